"""Decisions of a cell's owner, one hazard at a time."""

import unittest

from limpetyard.cell import Cancel, Claim, LeaseParams, ResourceVector
from limpetyard.fleet import RunState, VmState
from limpetyard.scheduler import (
    Append,
    SchedulerParams,
    StartRuns,
    SyncWorker,
)
from standins import checks
from standins.driven import Stage
from tests.guards import without

TERMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), task_lease_ms=6000, outage_ms=12_000
)
SIZE = ResourceVector(8.0, 8000)


class ControllerTest(unittest.TestCase):
    """One owner and its workers."""

    def setUp(self):
        """Makes a daemon that owns the cell."""
        self.stage = Stage(2, SIZE, TERMS)
        self.daemon = self.stage.daemon("d0")
        self.daemon.run(1000)
        self.assertTrue(self.daemon.controller.ownership.is_owner)

    def test_places_and_finishes(self):
        """A task is placed once and its end reaches the stream."""
        self.stage.submit("job", 2, run_ms=500)
        self.daemon.run(3000)
        self.assertEqual(len(self.stage.starts("job/0")), 1)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)
        self.assertTrue(self.daemon.projector.projection.has_job("job"))

    def test_never_runnable_job_is_told_so(self):
        """A job that no worker can hold is rejected with the reason."""
        self.stage.submit("giant", size=ResourceVector(99.0, 1000))
        changes = []
        self.daemon.projector.projection.listener = changes.append
        self.daemon.run(1000)
        self.assertNotIn("giant", self.daemon.projector.projection.jobs)
        self.assertIn("99 cores", changes[0].entry.reason)

    def test_cancelled_job_stops(self):
        """Cancelling stops what runs and drops what waits."""
        self.stage.submit("job", 9)
        self.daemon.run(1000)
        self.stage.append(Cancel("job"))
        self.daemon.run(3000)
        ends = [h.what for h in self.stage.happenings() if h.what != "start"]
        self.assertEqual(ends, ["stopped"] * 4)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)

    def test_silent_worker_keeps_its_task_until_the_lease_is_over(self):
        """Silence alone moves nothing; the end of the lease does."""
        self.stage.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.stage.starts("job/0")
        self.stage.cut.add(("d0", first))
        self.daemon.run(5000)
        self.assertEqual(len(self.stage.starts("job/0")), 1)
        self.daemon.run(5000)
        self.assertEqual(len(self.stage.starts("job/0")), 2)
        self.assertEqual(checks.overlaps(self.stage.happenings()), [])

    def test_gone_worker_frees_its_task_at_once(self):
        """The VM list shortens the wait for a worker that is gone."""
        self.stage.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.stage.starts("job/0")
        self.stage.workers[first].restart()
        self.stage.states[first] = VmState.GONE
        self.daemon.run(1000)
        self.assertEqual(len(self.stage.starts("job/0")), 2)

    def test_evicted_task_resumes_from_its_checkpoint(self):
        """A zone that goes out sends its task elsewhere with its progress."""
        self.stage.submit("job")
        self.daemon.run(2000)
        ((first, _),) = self.stage.starts("job/0")
        zone = self.stage.workers[first].zone
        self.stage.set_zone(zone, True)
        self.daemon.run(2000)
        self.assertEqual(len(self.stage.starts("job/0")), 2)
        self.assertEqual(checks.wrong_resumes(self.stage.happenings()), [])
        resumed = [h for h in self.stage.happenings() if h.what == "start"]
        self.assertGreater(float(resumed[-1].checkpoint), 1000)

    def test_log_outage_keeps_running_tasks(self):
        """An outage of ten leases ends no run and starts none."""
        params = SchedulerParams(lease=LeaseParams(lease_ms=3000))
        self.daemon.controller._context.params = params
        self.stage.submit("job", 2, run_ms=60_000)
        self.daemon.run(1000)
        self.stage.log_up = False
        self.daemon.run(10 * params.lease.lease_ms)
        ends = [h.what for h in self.stage.happenings()]
        self.assertEqual(ends, ["start"] * 2)
        self.stage.log_up = True
        self.daemon.run(2000)
        self.assertTrue(
            self.daemon.controller.ownership.lease_is_valid(
                self.stage.clock.now_ms()
            )
        )

    def test_fail_everything_worker_gets_a_probe_at_a_time(self):
        """A worker that fails all it starts does not eat the queue."""
        self.stage.workers["w0"].faults.fail_everything = True
        self.stage.submit("job", 40, run_ms=1000, max_attempts=1000)
        self.daemon.run(60_000)
        failed = [h for h in self.stage.happenings() if h.what == "failed"]
        self.assertLess(len(failed), 20)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)

    def test_held_back_answer_is_passed_over(self):
        """An answer from before a run's end does not bring it back."""
        self.assertTrue(self._over_after_held_back_answer())
        self.setUp()
        with without("answer-order"):
            self.assertFalse(self._over_after_held_back_answer())

    def _over_after_held_back_answer(self) -> bool:
        self.stage.states["w1"] = VmState.LEAVING
        self.stage.submit("job", run_ms=1000)
        self.daemon.run(600)
        worker = self.stage.workers["w0"]
        early = self._sync_of("w0")
        early_reply = worker.sync(early)
        self.stage.log_up = False
        self.daemon.run(1500)
        last = self._sync_of("w0")
        last_reply = worker.sync(last)
        for order, reply in ((early, early_reply), (last, last_reply)):
            now_ms = self.stage.clock.now_ms()
            self.daemon.controller.on_sync_reply("w0", order, reply, now_ms)
        self.stage.log_up = True
        self.daemon.run(3000)
        return "job" not in self.daemon.projector.projection.jobs

    def _sync_of(self, worker: str):
        while True:
            self.stage.clock.advance(100)
            self.daemon.read()
            for effect in self.daemon.decide():
                sync = isinstance(effect, SyncWorker)
                if sync and effect.worker == worker:
                    return effect.order
                self.daemon.perform(effect)

    def test_repeated_start_of_a_forgotten_run_does_nothing(self):
        """A run is forgotten only once no copy of its start can arrive."""
        self.assertEqual(self._starts_with_late_copy(), 1)
        self.setUp()
        with without("forget-wait"):
            self.assertEqual(self._starts_with_late_copy(), 2)

    def _starts_with_late_copy(self) -> int:
        self.stage.submit("job", run_ms=100)
        copies = []
        perform = self.daemon.perform

        def keep(effect) -> None:
            if isinstance(effect, StartRuns):
                copies.append(effect)
            perform(effect)

        self.daemon.perform = keep
        self.daemon.run(1500)
        for effect in copies:
            self.stage.workers[effect.worker].start(effect.orders)
        return len(self.stage.starts("job/0"))


class TakeoverTest(unittest.TestCase):
    """Two daemons and one cell."""

    def setUp(self):
        """Makes an owner with a running task, and a standby."""
        self.stage = Stage(2, SIZE, TERMS)
        self.first = self.stage.daemon("d0")
        self.second = self.stage.daemon("d1")
        self.first.run(1000)
        self.stage.submit("job", run_ms=60_000)
        self.first.run(1000)
        ((self.place, _),) = self.stage.starts("job/0")

    def both(self, ms: int) -> None:
        """Steps both daemons for some time."""
        for _ in range(ms // 100):
            self.first.step()
            self.second.run(100)

    def test_standby_waits_for_a_full_lease(self):
        """A daemon that has just started has watched nobody."""
        self.second.run(2500)
        self.assertFalse(self.second.controller.ownership.is_owner)
        self.second.run(1500)
        self.assertTrue(self.second.controller.ownership.is_owner)

    def test_new_owner_adopts_running_tasks(self):
        """A takeover neither ends nor repeats what runs."""
        self.second.run(10_000)
        self.assertTrue(self.second.controller.ownership.is_owner)
        self.assertEqual(len(self.stage.starts("job/0")), 1)
        ends = [h for h in self.stage.happenings() if h.what != "start"]
        self.assertEqual(ends, [])

    def test_takeover_takes_at_most_two_leases(self):
        """The first start of the new owner comes within two leases."""
        self.stage.submit("next", run_ms=100)
        begin_ms = self.stage.clock.now_ms()
        self.second.run(2 * TERMS.lease.lease_ms)
        starts = [
            h.at_ms
            for h in self.stage.happenings()
            if h.task == "next/0" and h.what == "start"
        ]
        self.assertLessEqual(starts[0] - begin_ms, 2 * TERMS.lease.lease_ms)

    def test_release_spares_the_wait(self):
        """A daemon that leaves hands its cells over."""
        for effect in self.first.controller.release(self.stage.clock.now_ms()):
            self.first.perform(effect)
        self.second.run(300)
        self.assertTrue(self.second.controller.ownership.is_owner)

    def test_stale_claim_is_void(self):
        """A claim that did not see the last renewal loses."""
        self.second.read()
        self.stage.append(Claim("late", 2, -1))
        self.first.run(300)
        self.assertEqual(self.first.projector.projection.owner, "d0")

    def test_old_owner_may_renew_in_its_outage(self):
        """A worker that only the old owner reaches keeps its task in peace."""
        self.assertEqual(self._overlaps_in_split(), [])
        self.setUp()
        with without("outage-wait"):
            self.assertNotEqual(self._overlaps_in_split(), [])

    def _overlaps_in_split(self) -> list[str]:
        self.stage.cut.add(("d1", self.place))
        self.first.read = lambda: None
        perform = self.first.perform

        def cut_from_log(effect) -> None:
            if not isinstance(effect, Append):
                perform(effect)

        self.first.perform = cut_from_log
        self.both(40_000)
        self.assertTrue(self.second.controller.ownership.is_owner)
        self.assertEqual(len(self.stage.starts("job/0")), 2)
        return checks.overlaps(self.stage.happenings())

    def test_unconfirmed_placement_is_started_by_the_new_owner(self):
        """A placement without a start is carried out after a takeover."""
        self.stage.submit("next", run_ms=100)
        perform = self.first.perform

        def no_starts(effect) -> None:
            if not isinstance(effect, StartRuns):
                perform(effect)

        self.first.perform = no_starts
        self.first.run(500)
        self.assertEqual(
            self.first.projector.projection.tasks["next/0"].state, "placed"
        )
        self.second.run(6000)
        self.assertEqual(len(self.stage.starts("next/0")), 1)

    def test_worker_reports_runs_of_old_epochs(self):
        """The new owner learns what ended under the last one."""
        self.stage.submit("next", run_ms=2000)
        self.first.run(500)
        self.second.run(9000)
        self.assertTrue(self.second.projector.projection.has_job("next"))
        self.assertNotIn("next", self.second.projector.projection.jobs)
        run = self.stage.workers[self.place]._runs["job/0"]
        self.assertIs(run.state, RunState.RUNNING)


if __name__ == "__main__":
    unittest.main()
