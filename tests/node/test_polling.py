"""Tests of the first polls of many workers after a takeover."""

import asyncio
import unittest
from collections.abc import Callable

import msgspec

from limpetyard.engine import (
    Engine,
    EngineParams,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunReport,
    WorkerDisconnectedError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import (
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    TaskKey,
)
from limpetyard.node import _polling
from standins.platform import run_in_virtual_time
from standins.platform._virtual_time import VirtualClock

REPLY_DELAY_MS = 10

# Time that a worker is known to have been up if it closes a poll then.
RESET_DELAY_MS = 500


class _Workers:
    """Worker client that counts polls; the workers in `silent` do not reply.

    Attributes:
        silent: Ids of workers that do not reply.
        replaced: Ids of workers at whose address another worker replies.
        resetting: Ids of workers that close the connections of polls late.
        ends: Ended runs in each reply.
        runs: Current runs in each reply.
        polled: Worker of each poll, in order.
        most_first_polls: Highest number of first polls in flight.
        most_polls: Highest number of other polls in flight.
    """

    def __init__(self, engine: Engine):
        self._engine = engine
        self._first_polls = 0
        self._polls = 0
        self.silent: set[str] = set()
        self.replaced: set[str] = set()
        self.resetting: set[str] = set()
        self.ends: list[RunEndReport] = []
        self.runs: list[RunReport] = []
        self.polled: list[str] = []
        self.most_first_polls = 0
        self.most_polls = 0

    async def poll(self, entry, request, timeout_ms) -> PollReply:
        self.polled.append(entry.id)
        is_first = not self._engine.workers[entry.id].token_confirmed
        self._first_polls += is_first
        self._polls += not is_first
        self.most_first_polls = max(self.most_first_polls, self._first_polls)
        self.most_polls = max(self.most_polls, self._polls)
        try:
            if entry.id in self.silent:
                await asyncio.sleep(timeout_ms / 1000)
                raise WorkerOutcomeUnknownError(entry.id)
            if entry.id in self.resetting:
                await asyncio.sleep(RESET_DELAY_MS / 1000)
                raise WorkerDisconnectedError(entry.id)
            if entry.id in self.replaced:
                raise WrongWorkerError(entry.id)
            await asyncio.sleep((REPLY_DELAY_MS + request.wait_ms) / 1000)
            return PollReply(1, 0.0, self.runs, self.ends)
        finally:
            self._first_polls -= is_first
            self._polls -= not is_first


class FirstPollTest(unittest.TestCase):
    """Polls of workers that do not know the owner's token yet."""

    def poll(self, workers: int, silent: int, scenario) -> _Workers:
        """Polls workers, of which the first ones are silent."""

        async def main() -> _Workers:
            self.engine = Engine(1, EngineParams(4000, 5000))
            client = _Workers(self.engine)
            self.may_order = True
            poller = _polling.WorkerPoller(
                self.engine,
                client,
                VirtualClock(),
                4000,
                lambda: self.may_order,
                self.fail,
                lambda: None,
                asyncio.Event(),
            )
            for number in range(workers):
                worker_id = f"w-{number}"
                resources = Resources(1000, 1000)
                entry = WorkerEntry(
                    worker_id, "pool", "", "z", "r", (), resources, 1
                )
                self.engine.set_entry(entry, 0.0)
                if number < silent:
                    client.silent.add(worker_id)
            tasks = [
                asyncio.create_task(poller.poll_until_removed(worker_id))
                for worker_id in self.engine.workers
            ]
            await scenario(client)
            for task in tasks:
                task.cancel()
            return client

        return run_in_virtual_time(main())

    def test_bounded(self):
        """A takeover polls all workers at the same moment."""
        limit = _polling.MAX_FIRST_POLLS

        async def scenario(client: _Workers) -> None:
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(len(client.polled), limit)
            await asyncio.sleep(2)

        client = self.poll(4 * limit, 0, scenario)
        self.assertEqual(client.most_first_polls, limit)
        self.assertEqual(client.most_polls, 4 * limit)

    def test_silent_workers(self):
        """Retries of silent workers keep the others from being polled."""
        limit = _polling.MAX_FIRST_POLLS

        async def scenario(client: _Workers) -> None:
            await asyncio.sleep(10)

        client = self.poll(4 * limit, 2 * limit, scenario)
        self.assertEqual(client.most_first_polls, limit)
        confirmed = [
            worker.id
            for worker in self.engine.workers.values()
            if worker.token_confirmed
        ]
        self.assertEqual(len(confirmed), 2 * limit)
        last_first_poll = max(client.polled.index(w) for w in confirmed)
        before = [
            w for w in client.polled[:last_first_poll] if w in client.silent
        ]
        self.assertEqual(len(before), len(set(before)))

    def test_checked_after_the_wait(self):
        """Workers are polled though orders were suspended while they waited."""
        limit = _polling.MAX_FIRST_POLLS

        async def scenario(client: _Workers) -> None:
            await asyncio.sleep(0.1)
            self.may_order = False
            await asyncio.sleep(2)
            self.assertEqual(len(client.polled), limit)
            self.may_order = True
            await asyncio.sleep(2)
            self.assertIn(f"w-{limit}", client.polled)

        self.poll(limit + 1, limit, scenario)

    def test_removed_while_waiting(self):
        """A worker is polled though it was removed while it waited."""
        limit = _polling.MAX_FIRST_POLLS

        async def scenario(client: _Workers) -> None:
            await asyncio.sleep(0.1)
            del self.engine.workers[f"w-{limit}"]
            await asyncio.sleep(2)
            self.assertIn(f"w-{limit + 1}", client.polled)
            self.assertNotIn(f"w-{limit}", client.polled)

        self.poll(limit + 2, limit, scenario)

    def test_removed_during_a_poll(self):
        """A task was placed on a worker that the owner had dropped: LOST."""

        async def scenario(client: _Workers) -> None:
            step = StepSpec(1, Resources(1000, 1000))
            spec = JobSpec("0" * 16, QueueParams("q", "pool"), "", (step,))
            job = self.engine.add_job(spec, 0.0, loaded=True)
            task = TaskKey(spec.id, 0, 0, 0)
            client.runs = [RunReport(task, 900, "", 100, 0.0)]
            await asyncio.sleep(REPLY_DELAY_MS / 2000)
            self.assertEqual(client.polled, ["w-0"])
            del self.engine.workers["w-0"]
            await asyncio.sleep(1)
            self.assertEqual(job.task(0, 0, 0).state, "waiting")

        self.poll(1, 0, scenario)

    def test_replaced_worker(self):
        """A worker that has ended is polled every 150 ms."""

        async def scenario(client: _Workers) -> None:
            client.replaced.add("w-0")
            await asyncio.sleep(5)

        client = self.poll(1, 0, scenario)
        self.assertLessEqual(len(client.polled), 6)

    def alive_ms(self, silent: bool) -> float:
        """Returns when a worker whose connections are closed was last up.

        Args:
            silent: Whether a poll got no reply before.
        """

        async def scenario(client: _Workers) -> None:
            await asyncio.sleep(1)
            if silent:
                client.silent.add("w-0")
                await asyncio.sleep(3)
                client.silent.clear()
            client.resetting.add("w-0")
            await asyncio.sleep(3)

        self.poll(1, 0, scenario)
        return self.engine.workers["w-0"].alive_ms

    def test_connections_closed_by_the_next_incarnation(self):
        """A deadly task was cleared: its worker was taken to be up too long.

        The worker is silent after its crash, and closes connections once it is
        back.
        """
        self.assertLess(self.alive_ms(silent=True), 2000)
        self.assertGreaterEqual(
            self.alive_ms(silent=False), 1000 + RESET_DELAY_MS
        )

    def test_ends_that_are_not_stored(self):
        """Workers are polled all the time while the store refuses appends."""

        async def scenario(client: _Workers) -> None:
            task = TaskKey("0" * 16, 0, 0, 0)
            end = RunEndReport(1, task, 1, RunEndKind.DONE, "")
            client.ends = [end]
            await asyncio.sleep(5)

        client = self.poll(1, 0, scenario)
        most = 5000 // _polling.POLL_SERVING_WAIT_MS + 1
        self.assertLessEqual(len(client.polled), most)


class PollIntervalTest(unittest.TestCase):
    """How often calm workers are polled."""

    serving = StepSpec(1, long_running=True, target_ms=10.0)
    best_effort = StepSpec(1, image="f", fills=True)

    def polls(
        self,
        workers: int,
        *steps: StepSpec,
        observe: Callable[[Worker, float], None] = lambda worker, now_ms: None,
    ) -> int:
        """Returns the number of polls in 10 s of one worker of many.

        Args:
            workers: Number of workers; the others are not polled.
            steps: Steps of the runs on the worker.
            observe: Called with the worker and the time, every 100 ms after
                the first reply.
        """

        async def main() -> int:
            clock = VirtualClock()
            engine = Engine(1, EngineParams(4000, 5000))
            client = _Workers(engine)
            poller = _polling.WorkerPoller(
                engine,
                client,
                clock,
                4000,
                lambda: True,
                self.fail,
                lambda: None,
                asyncio.Event(),
            )
            entry = WorkerEntry(
                "w", "pool", "", "z", "r", (), Resources(9000, 9000), 1
            )
            worker = engine.set_entry(entry, 0.0)
            for number in range(1, workers):
                other = msgspec.structs.replace(entry, id=f"other-{number}")
                engine.set_entry(other, 0.0)
            for index, step in enumerate(steps):
                task = TaskKey("0" * 16, 0, 0, index)
                run = WorkerRun(task, 1, step, clock.now_ms())
                engine.add_run(worker, run)
            polling = asyncio.create_task(poller.poll_until_removed("w"))
            for _ in range(100):
                await asyncio.sleep(0.1)
                observe(worker, clock.now_ms())
            polling.cancel()
            return len(client.polled)

        return run_in_virtual_time(main())

    def test_serving_on_many_workers(self):
        """Each of many workers was polled twice a second.

        The polls took most of the owner's processor, although nothing depends
        on tail latencies where no best-effort task runs.
        """
        self.assertLessEqual(self.polls(500, self.serving, self.serving), 11)

    def test_serving_on_few_workers(self):
        """The tail latencies on few workers are read too seldom."""
        self.assertGreaterEqual(self.polls(50, self.serving), 18)

    def test_idle_on_very_many_workers(self):
        """Each of 1,000 idle workers was polled once a second.

        The polls took the owner's whole processor: tasks that could run did not
        start, and the cell passed on every 10 s (LOST).
        """
        self.assertLessEqual(self.polls(1000), 6)

    def test_idle_on_many_workers(self):
        """Idle workers are polled less often where polls are few."""
        self.assertGreaterEqual(self.polls(300), 9)

    def test_running_on_very_many_workers(self):
        """Workers with runs are polled as seldom as idle ones."""
        plain = StepSpec(1, Resources(1000, 1000))
        self.assertGreaterEqual(self.polls(1000, plain), 9)

    def test_responsive_between_replies(self):
        """An idle worker gets no tasks, as its replies are 2 s apart."""
        times = []

        def observe(worker, now_ms: float) -> None:
            times.append(worker.is_responsive(now_ms))

        self.polls(1000, observe=observe)
        self.assertTrue(times and all(times))

    def test_serving_beside_best_effort(self):
        """Tail latencies beside best-effort tasks are read too seldom."""
        polls = self.polls(500, self.serving, self.best_effort)
        self.assertGreaterEqual(polls, 18)


if __name__ == "__main__":
    unittest.main()
