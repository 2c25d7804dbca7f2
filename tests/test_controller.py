"""Tests of a cell owner's decisions, one failure mode each."""

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
from standins.stepped_cluster import SteppedCluster
from tests.guards import guard_disabled

PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), task_lease_ms=6000, outage_ms=12_000
)
SIZE = ResourceVector(8.0, 8000)


class ControllerTest(unittest.TestCase):
    """Tests with one owner and its workers."""

    def setUp(self):
        """Creates a daemon that owns the cell."""
        self.cluster = SteppedCluster(2, SIZE, PARAMS)
        self.daemon = self.cluster.daemon("d0")
        self.daemon.run(1000)
        self.assertTrue(self.daemon.controller.ownership.is_owner)

    def test_places_and_finishes(self):
        """A task is started once and its end is written to the stream."""
        self.cluster.submit("job", 2, run_ms=500)
        self.daemon.run(3000)
        self.assertEqual(len(self.cluster.starts("job/0")), 1)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)
        self.assertTrue(self.daemon.projector.projection.has_job("job"))

    def test_job_that_fits_nowhere_is_rejected(self):
        """A job that is larger than every worker is rejected with a reason."""
        self.cluster.submit("giant", size=ResourceVector(99.0, 1000))
        changes = []
        self.daemon.projector.projection.on_change = changes.append
        self.daemon.run(1000)
        self.assertNotIn("giant", self.daemon.projector.projection.jobs)
        self.assertIn("99 cores", changes[0].entry.reason)

    def test_cancelled_job_is_stopped(self):
        """Cancelling stops a job's running tasks and drops its queued ones."""
        self.cluster.submit("job", 9)
        self.daemon.run(1000)
        self.cluster.append(Cancel("job"))
        self.daemon.run(3000)
        ends = [
            e.what for e in self.cluster.worker_events() if e.what != "start"
        ]
        self.assertEqual(ends, ["stopped"] * 4)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)

    def test_unreachable_worker_keeps_its_task_until_the_lease_expires(self):
        """A task is restarted elsewhere only after its lease has expired."""
        self.cluster.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.cluster.starts("job/0")
        self.cluster.cut_links.add(("d0", first))
        self.daemon.run(5000)
        self.assertEqual(len(self.cluster.starts("job/0")), 1)
        self.daemon.run(5000)
        self.assertEqual(len(self.cluster.starts("job/0")), 2)
        self.assertEqual(checks.overlaps(self.cluster.worker_events()), [])

    def test_task_of_gone_worker_is_restarted_at_once(self):
        """No lease is waited for if the worker is `GONE` in the VM list."""
        self.cluster.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.cluster.starts("job/0")
        self.cluster.workers[first].restart()
        self.cluster.vm_states[first] = VmState.GONE
        self.daemon.run(1000)
        self.assertEqual(len(self.cluster.starts("job/0")), 2)

    def test_evicted_task_resumes_from_its_checkpoint(self):
        """If a zone goes out of service, its task resumes in another zone.

        It resumes from its checkpoint and keeps its progress.
        """
        self.cluster.submit("job")
        self.daemon.run(2000)
        ((first, _),) = self.cluster.starts("job/0")
        zone = self.cluster.workers[first].zone
        self.cluster.set_zone(zone, True)
        self.daemon.run(2000)
        self.assertEqual(len(self.cluster.starts("job/0")), 2)
        self.assertEqual(checks.wrong_resumes(self.cluster.worker_events()), [])
        resumed = [e for e in self.cluster.worker_events() if e.what == "start"]
        self.assertGreater(float(resumed[-1].checkpoint), 1000)

    def test_log_outage_keeps_running_tasks(self):
        """A log outage of ten leases ends no run and starts none."""
        params = SchedulerParams(lease=LeaseParams(lease_ms=3000))
        self.daemon.controller.context.params = params
        self.cluster.submit("job", 2, run_ms=60_000)
        self.daemon.run(1000)
        self.cluster.log_available = False
        self.daemon.run(10 * params.lease.lease_ms)
        ends = [e.what for e in self.cluster.worker_events()]
        self.assertEqual(ends, ["start"] * 2)
        self.cluster.log_available = True
        self.daemon.run(2000)
        self.assertTrue(
            self.daemon.controller.ownership.lease_is_valid(
                self.cluster.clock.now_ms()
            )
        )

    def test_failing_worker_gets_one_probe_at_a_time(self):
        """A worker on which every run fails gets few of the queued tasks."""
        self.cluster.workers["w0"].faults.fail_everything = True
        self.cluster.submit("job", 40, run_ms=1000, max_attempts=1000)
        self.daemon.run(60_000)
        failed = [e for e in self.cluster.worker_events() if e.what == "failed"]
        self.assertLess(len(failed), 20)
        self.assertNotIn("job", self.daemon.projector.projection.jobs)

    def test_delayed_reply_is_ignored(self):
        """A delayed reply from before a run's end does not undo the end."""
        self.assertTrue(self._job_ends_despite_delayed_reply())
        self.setUp()
        with guard_disabled("answer-order"):
            self.assertFalse(self._job_ends_despite_delayed_reply())

    def _job_ends_despite_delayed_reply(self) -> bool:
        self.cluster.vm_states["w1"] = VmState.LEAVING
        self.cluster.submit("job", run_ms=1000)
        self.daemon.run(600)
        worker = self.cluster.workers["w0"]
        delayed = self._next_sync_to("w0")
        delayed_reply = worker.sync(delayed)
        self.cluster.log_available = False
        self.daemon.run(1500)
        last = self._next_sync_to("w0")
        last_reply = worker.sync(last)
        for order, reply in ((delayed, delayed_reply), (last, last_reply)):
            now_ms = self.cluster.clock.now_ms()
            self.daemon.controller.on_sync_reply("w0", order, reply, now_ms)
        self.cluster.log_available = True
        self.daemon.run(3000)
        return "job" not in self.daemon.projector.projection.jobs

    def _next_sync_to(self, worker: str):
        while True:
            self.cluster.clock.advance(100)
            self.daemon.read()
            for effect in self.daemon.decide():
                is_sync = isinstance(effect, SyncWorker)
                if is_sync and effect.worker == worker:
                    return effect.order
                self.daemon.perform(effect)

    def test_late_copy_of_a_start_has_no_effect(self):
        """A run is forgotten only after every copy of its start has expired.

        Otherwise a copy that arrives late would start the run again.
        """
        self.assertEqual(self._starts_with_late_copy(), 1)
        self.setUp()
        with guard_disabled("forget-wait"):
            self.assertEqual(self._starts_with_late_copy(), 2)

    def _starts_with_late_copy(self) -> int:
        self.cluster.submit("job", run_ms=100)
        copies = []
        perform = self.daemon.perform

        def record(effect) -> None:
            if isinstance(effect, StartRuns):
                copies.append(effect)
            perform(effect)

        self.daemon.perform = record
        self.daemon.run(1500)
        for effect in copies:
            self.cluster.workers[effect.worker].start(effect.orders)
        return len(self.cluster.starts("job/0"))


class TakeoverTest(unittest.TestCase):
    """Tests with two daemons and one cell."""

    def setUp(self):
        """Creates an owner with a running task, and a standby."""
        self.cluster = SteppedCluster(2, SIZE, PARAMS)
        self.first = self.cluster.daemon("d0")
        self.second = self.cluster.daemon("d1")
        self.first.run(1000)
        self.cluster.submit("job", run_ms=60_000)
        self.first.run(1000)
        ((self.worker, _),) = self.cluster.starts("job/0")

    def run_both(self, ms: int) -> None:
        """Runs both daemons for `ms` milliseconds."""
        for _ in range(ms // 100):
            self.first.step()
            self.second.run(100)

    def test_standby_waits_for_a_full_lease(self):
        """A new daemon claims only after observing the owner for a lease."""
        self.second.run(2500)
        self.assertFalse(self.second.controller.ownership.is_owner)
        self.second.run(1500)
        self.assertTrue(self.second.controller.ownership.is_owner)

    def test_new_owner_adopts_running_tasks(self):
        """A takeover neither ends nor restarts running tasks."""
        self.second.run(10_000)
        self.assertTrue(self.second.controller.ownership.is_owner)
        self.assertEqual(len(self.cluster.starts("job/0")), 1)
        ends = [e for e in self.cluster.worker_events() if e.what != "start"]
        self.assertEqual(ends, [])

    def test_takeover_takes_at_most_two_leases(self):
        """The new owner sends its first start within two leases."""
        self.cluster.submit("next", run_ms=100)
        begin_ms = self.cluster.clock.now_ms()
        self.second.run(2 * PARAMS.lease.lease_ms)
        starts = [
            e.at_ms
            for e in self.cluster.worker_events()
            if e.task == "next/0" and e.what == "start"
        ]
        self.assertLessEqual(starts[0] - begin_ms, 2 * PARAMS.lease.lease_ms)

    def test_release_hands_over_without_waiting(self):
        """After a release, the standby claims without waiting for the lease."""
        for effect in self.first.controller.release(
            self.cluster.clock.now_ms()
        ):
            self.first.perform(effect)
        self.second.run(300)
        self.assertTrue(self.second.controller.ownership.is_owner)

    def test_stale_claim_is_ignored(self):
        """A claim that is based on an older renewal than the last one loses."""
        self.second.read()
        self.cluster.append(Claim("late", 2, -1))
        self.first.run(300)
        self.assertEqual(self.first.projector.projection.owner, "d0")

    def test_old_owner_may_renew_runs_during_a_log_outage(self):
        """A task on a worker that only the old owner reaches runs once.

        The new owner must wait for the renewals that the old owner may send
        during its outage. Otherwise it starts the task a second time.
        """
        self.assertEqual(self._overlaps_in_network_split(), [])
        self.setUp()
        with guard_disabled("outage-wait"):
            self.assertNotEqual(self._overlaps_in_network_split(), [])

    def _overlaps_in_network_split(self) -> list[str]:
        self.cluster.cut_links.add(("d1", self.worker))
        self.first.read = lambda: None
        perform = self.first.perform

        def perform_without_log(effect) -> None:
            if not isinstance(effect, Append):
                perform(effect)

        self.first.perform = perform_without_log
        self.run_both(40_000)
        self.assertTrue(self.second.controller.ownership.is_owner)
        self.assertEqual(len(self.cluster.starts("job/0")), 2)
        return checks.overlaps(self.cluster.worker_events())

    def test_unconfirmed_placement_is_started_by_the_new_owner(self):
        """A placement whose start was not sent is started after a takeover."""
        self.cluster.submit("next", run_ms=100)
        perform = self.first.perform

        def perform_without_starts(effect) -> None:
            if not isinstance(effect, StartRuns):
                perform(effect)

        self.first.perform = perform_without_starts
        self.first.run(500)
        self.assertEqual(
            self.first.projector.projection.tasks["next/0"].state, "placed"
        )
        self.second.run(6000)
        self.assertEqual(len(self.cluster.starts("next/0")), 1)

    def test_new_owner_reads_runs_of_older_epochs(self):
        """The new owner records a run that ended under the previous one."""
        self.cluster.submit("next", run_ms=2000)
        self.first.run(500)
        self.second.run(9000)
        self.assertTrue(self.second.projector.projection.has_job("next"))
        self.assertNotIn("next", self.second.projector.projection.jobs)
        run = self.cluster.workers[self.worker]._runs["job/0"]
        self.assertIs(run.state, RunState.RUNNING)


if __name__ == "__main__":
    unittest.main()
