"""Workers that come back under their id as another kind of worker."""

import unittest

from limpetyard.engine import (
    RequestAdvice,
    RunEndKind,
    RunReport,
    RunState,
    Start,
    Stop,
    Ticket,
)
from limpetyard.jobs import AdviceParams, StepSpec, TaskKey
from tests.engine.test_engine import ONE_CORE, EngineTestCase, entry, job


class IncarnationTest(EngineTestCase):
    """Work for an incarnation whose directory entry is older than it."""

    workers = 1

    def restart(self) -> None:
        """Has the second incarnation reply, and its record stored."""
        self.poll("w-0", born=2)
        self.poll("w-0", born=2)
        self.record()

    def record(self) -> None:
        """Counts the present incarnation as stored."""
        self.engine.set_recorded_workers(
            {w.id: (w.born, False) for w in self.engine.workers.values()}
        )

    def list_as(self, born: int, cores: int, **more) -> None:
        """Reads a directory entry of the worker, which is stored."""
        listed = entry(0, cores, born=born, **more)
        self.engine.set_entry(listed, self.now_ms)
        self.record()

    def test_smaller_than_before(self):
        """Tasks started by the capacity of the incarnation before: LIMIT."""
        self.restart()
        self.submit(job(1, StepSpec(4, ONE_CORE)))
        self.assertEqual(self.plan(Start), [])
        self.list_as(2, 2)
        self.assertEqual(len(self.plan(Start)), 2)

    def test_another_label(self):
        """Tasks started by the labels of the incarnation before: ROUTE."""
        self.restart()
        self.submit(job(1, StepSpec(1, ONE_CORE, label="plain")))
        self.assertEqual(self.plan(Start), [])
        self.list_as(2, 4, labels=("gpu",))
        self.assertEqual(self.plan(Start), [])

    def test_entry_of_the_incarnation_before(self):
        """An entry of an earlier incarnation that is read late is used."""
        self.restart()
        self.list_as(1, 8)
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.assertEqual(self.plan(Start), [])

    def test_entry_read_first(self):
        """A late reply of the incarnation before confirms the new one."""
        self.list_as(2, 2)
        self.submit(job(1, StepSpec(4, ONE_CORE)))
        self.poll("w-0", born=1)
        self.assertEqual(self.plan(Start), [])
        self.poll("w-0", born=2)
        self.assertEqual(len(self.plan(Start)), 2)

    def test_listed_again(self):
        """The token of a worker fell when it was dropped and listed again.

        The worker rejected it, which ended the ownership.
        """
        self.restart()
        token = self.engine.workers["w-0"].token
        self.engine.mark_entry_missing("w-0", self.now_ms)
        self.now_ms += 60_000
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), ["w-0"])
        worker = self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.assertGreaterEqual(worker.token, token)

    def test_listed_again_as_the_next_incarnation(self):
        """TWICE: late orders of before were executed, as the token was equal.

        The worker was dropped, and came back as its second incarnation.
        """
        token = self.engine.workers["w-0"].token
        self.engine.mark_entry_missing("w-0", self.now_ms)
        self.now_ms += 60_000
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), ["w-0"])
        worker = self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.assertGreater(worker.token, token)

    def acknowledged_after(self, next_incarnation) -> int:
        """Stores the end of a run once the next incarnation is known.

        Returns:
            Number of the last end that is acknowledged to that one.
        """
        key = TaskKey("f" * 16, 0, 0, 0)
        self.poll("w-0", ((key, 1, RunEndKind.DONE),))
        _, batch = self.engine.pop_dirty()
        next_incarnation()
        self.engine.on_stored(batch)
        return self.engine.workers["w-0"].last_acked_end

    def test_ends_stored_after_the_restart(self):
        """TWICE: a stored end of before is acknowledged to the next one."""
        self.assertEqual(
            self.acknowledged_after(lambda: self.poll("w-0", born=2)), 0
        )

    def test_ends_stored_after_the_worker_is_listed_again(self):
        """TWICE: the same for a worker that was dropped in between."""

        def list_again() -> None:
            del self.engine.workers["w-0"]
            self.engine.set_entry(entry(0, born=2), self.now_ms)

        self.assertEqual(self.acknowledged_after(list_again), 0)

    def test_ticket_of_the_incarnation_before(self):
        """A start has a ticket that was requested for the one before."""
        advice = AdviceParams(1, 1, 3000)
        self.submit(job(1, StepSpec(1, ONE_CORE), advice=advice))
        (request,) = self.plan(RequestAdvice)
        self.restart()
        self.list_as(2, 4)
        self.engine.add_tickets(request, [Ticket("w-0", "old", 1e9)])
        (again,) = self.plan()
        self.assertIsInstance(again, RequestAdvice)
        self.engine.add_tickets(again, [Ticket("w-0", "new", 1e9)])
        (start,) = self.plan(Start)
        self.assertEqual(start.ticket, "new")

    def test_reported_run(self):
        """A run is not adopted, or is stopped as the one before drained."""
        self.add(entry(1))
        self.submit(job(1, StepSpec(1, ONE_CORE, long_running=True)), True)
        self.list_as(1, 4, draining=True)
        self.poll("w-0", born=2)
        key = TaskKey(job(1).id, 0, 0, 0)
        report = RunReport(key, 900, "", 100, 0.0)
        self.poll("w-0", born=2, extra=(report,))
        (run,) = self.engine.workers["w-0"].runs.values()
        self.assertIs(run.state, RunState.RUNNING)
        self.assertEqual(self.plan(Stop) + self.plan(Stop), [])


if __name__ == "__main__":
    unittest.main()
