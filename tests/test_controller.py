"""Decisions of a cell's owner, one hazard at a time."""

import unittest

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.cell import (
    Cancel,
    CellRecord,
    CellSnapshot,
    CellState,
    Claim,
    JobSpec,
    LeaseTerms,
    Size,
    Submit,
)
from limpetyard.config import ConfigState, SetZone
from limpetyard.log import Page, StreamFolder
from limpetyard.placement import new_policy
from limpetyard.platform import Role, RunState, Vm, VmState
from limpetyard.scheduler import (
    Append,
    CellController,
    ControlTerms,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
)
from standins import checks
from standins.log_model import LogModel
from standins.worker_model import WorkerModel, no_interference
from tests.guards import without

CELL = "cell-0"
TERMS = ControlTerms(
    lease=LeaseTerms(lease_ms=3000), task_lease_ms=6000, outage_ms=12_000
)
SIZE = Size(8.0, 8000)


class Bench:
    """One log, some workers and daemons that are stepped by hand.

    Attributes:
        clock: The driven clock.
        log: The log's model.
        workers: The workers by id.
        reach: Pairs of daemon and worker that cannot talk.
        zones_out: Availability zones that are out.
    """

    def __init__(self, workers: int = 2):
        self.clock = ManualClock(1000.0)
        self.log = LogModel()
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}", f"zone-{n}", SIZE, self.clock, no_interference
            )
            for n in range(workers)
        }
        self.cut: set[tuple[str, str]] = set()
        self.states: dict[str, VmState] = {}
        self.cfg = ConfigState()
        self.log_up = True

    def submit(self, job: str, count: int = 1, **terms: object) -> None:
        """Submits a job."""
        fields = {
            "partner": "north",
            "class_name": "batch",
            "size": Size(4.0, 1000),
            "run_ms": 20_000,
            **terms,
        }
        self.append(Submit(JobSpec(id=job, count=count, **fields)))

    def append(self, record: object) -> None:
        """Appends a record."""
        if self.log_up:
            self.log.append(CELL, msgspec.json.encode(record).decode())

    def set_zone(self, zone: str, out: bool) -> None:
        """Changes the configuration of all daemons at once."""
        act = SetZone("id", self.cfg.version, "test", zone, out)
        self.cfg.apply(0, act)

    def daemon(self, name: str) -> "Daemon":
        """Returns a new daemon."""
        return Daemon(self, name)

    def happenings(self) -> list:
        """Returns the record of all workers."""
        return [h for w in self.workers.values() for h in w.record]

    def starts(self, task: str) -> list[tuple[str, int]]:
        """Returns where a task was started."""
        return [
            (h.worker, h.attempt)
            for h in self.happenings()
            if h.task == task and h.what == "start"
        ]


class Daemon:
    """A controller with its reader.

    Attributes:
        controller: The real controller.
        held: Effects that were decided and not carried out.
    """

    def __init__(self, bench: Bench, name: str):
        self.bench = bench
        self.name = name
        self.controller = CellController(
            CELL, name, TERMS, new_policy("learned", 0)
        )
        self.folder = StreamFolder(CellState(), CellRecord, CellSnapshot)
        self.controller.set_state(self.folder.fold)
        self.confirmed_ms: float | None = None
        self.config_ms: float | None = None

    def read(self) -> None:
        """Reads the stream to its end."""
        if not self.bench.log_up:
            return
        self.confirmed_ms = self.config_ms = self.bench.clock.now_ms()
        page: Page = self.bench.log.read(CELL, self.folder.next_offset, 10_000)
        self.folder.feed(page)

    def decide(self) -> list:
        """Returns what the controller wants done now."""
        bench = self.bench
        self.controller.set_config(bench.cfg, self.config_ms)
        self.controller.set_vms(
            Vm(
                w.id,
                Role.WORKER,
                w.zone,
                w.id,
                bench.states.get(w.id, VmState.LIVE),
                size=w.size,
            )
            for w in bench.workers.values()
        )
        return self.controller.step(
            bench.clock.now_ms(), self.confirmed_ms, 0.0
        )

    def step(self) -> None:
        """Reads, decides and carries everything out."""
        self.read()
        for effect in self.decide():
            self.perform(effect)

    def run(self, ms: int) -> None:
        """Steps for some time."""
        for _ in range(ms // 100):
            self.step()
            self.bench.clock.advance(100)
            for worker in self.bench.workers.values():
                worker.tick()

    def perform(self, effect) -> None:
        """Carries one effect out at once."""
        bench = self.bench
        if isinstance(effect, Append):
            bench.append(effect.record)
            return
        if (self.name, effect.worker) in bench.cut:
            return
        worker = bench.workers[effect.worker]
        if isinstance(effect, SyncWorker):
            reply = worker.sync(effect.order)
            self.controller.heard_sync(
                worker.id, effect.order, reply, bench.clock.now_ms()
            )
        elif isinstance(effect, StartRuns):
            reply = worker.start(effect.orders)
            self.controller.heard_start(worker.id, effect.orders, reply)
        elif isinstance(effect, StopRuns):
            worker.stop(effect.orders)
        elif isinstance(effect, ThrottleRuns):
            worker.throttle(effect.orders)


class ControllerTest(unittest.TestCase):
    """One owner and its workers."""

    def setUp(self):
        """Makes a daemon that owns the cell."""
        self.bench = Bench()
        self.daemon = self.bench.daemon("d0")
        self.daemon.run(1000)
        self.assertTrue(self.daemon.controller.ownership.owning)

    def test_places_and_finishes(self):
        """A task is placed once and its end reaches the stream."""
        self.bench.submit("job", 2, run_ms=500)
        self.daemon.run(3000)
        self.assertEqual(len(self.bench.starts("job/0")), 1)
        self.assertNotIn("job", self.daemon.folder.fold.jobs)
        self.assertTrue(self.daemon.folder.fold.knows_job("job"))

    def test_never_runnable_job_is_told_so(self):
        """A job that no worker can hold is rejected with the reason."""
        self.bench.submit("giant", size=Size(99.0, 1000))
        changes = []
        self.daemon.folder.fold.listener = changes.append
        self.daemon.run(1000)
        self.assertNotIn("giant", self.daemon.folder.fold.jobs)
        self.assertIn("99 cores", changes[0].entry.reason)

    def test_cancelled_job_stops(self):
        """Cancelling stops what runs and drops what waits."""
        self.bench.submit("job", 9)
        self.daemon.run(1000)
        self.bench.append(Cancel("job"))
        self.daemon.run(3000)
        ends = [h.what for h in self.bench.happenings() if h.what != "start"]
        self.assertEqual(ends, ["stopped"] * 4)
        self.assertNotIn("job", self.daemon.folder.fold.jobs)

    def test_silent_worker_keeps_its_task_until_the_lease_is_over(self):
        """Silence alone moves nothing; the end of the lease does."""
        self.bench.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.bench.starts("job/0")
        self.bench.cut.add(("d0", first))
        self.daemon.run(5000)
        self.assertEqual(len(self.bench.starts("job/0")), 1)
        self.daemon.run(5000)
        self.assertEqual(len(self.bench.starts("job/0")), 2)
        self.assertEqual(checks.overlaps(self.bench.happenings()), [])

    def test_gone_worker_frees_its_task_at_once(self):
        """The VM list shortens the wait for a worker that is gone."""
        self.bench.submit("job")
        self.daemon.run(1000)
        ((first, _),) = self.bench.starts("job/0")
        self.bench.workers[first].restart()
        self.bench.states[first] = VmState.GONE
        self.daemon.run(1000)
        self.assertEqual(len(self.bench.starts("job/0")), 2)

    def test_evicted_task_resumes_from_its_checkpoint(self):
        """A zone that goes out sends its task elsewhere with its progress."""
        self.bench.submit("job")
        self.daemon.run(2000)
        ((first, _),) = self.bench.starts("job/0")
        zone = self.bench.workers[first].zone
        self.bench.set_zone(zone, True)
        self.daemon.run(2000)
        self.assertEqual(len(self.bench.starts("job/0")), 2)
        self.assertEqual(checks.wrong_resumes(self.bench.happenings()), [])
        resumed = [h for h in self.bench.happenings() if h.what == "start"]
        self.assertGreater(float(resumed[-1].checkpoint), 1000)

    def test_log_outage_keeps_running_tasks(self):
        """An outage of ten leases ends no run and starts none."""
        terms = ControlTerms(lease=LeaseTerms(lease_ms=3000))
        self.daemon.controller._context.terms = terms
        self.bench.submit("job", 2, run_ms=60_000)
        self.daemon.run(1000)
        self.bench.log_up = False
        self.daemon.run(10 * terms.lease.lease_ms)
        ends = [h.what for h in self.bench.happenings()]
        self.assertEqual(ends, ["start"] * 2)
        self.bench.log_up = True
        self.daemon.run(2000)
        self.assertTrue(
            self.daemon.controller.ownership.holds(self.bench.clock.now_ms())
        )

    def test_fail_everything_worker_gets_a_probe_at_a_time(self):
        """A worker that fails all it starts does not eat the queue."""
        self.bench.workers["w0"].faults.fail_everything = True
        self.bench.submit("job", 40, run_ms=1000, max_attempts=1000)
        self.daemon.run(60_000)
        failed = [h for h in self.bench.happenings() if h.what == "failed"]
        self.assertLess(len(failed), 20)
        self.assertNotIn("job", self.daemon.folder.fold.jobs)

    def test_held_back_answer_is_passed_over(self):
        """An answer from before a run's end does not bring it back."""
        self.assertTrue(self._over_after_held_back_answer())
        self.setUp()
        with without("answer-order"):
            self.assertFalse(self._over_after_held_back_answer())

    def _over_after_held_back_answer(self) -> bool:
        self.bench.states["w1"] = VmState.LEAVING
        self.bench.submit("job", run_ms=1000)
        self.daemon.run(600)
        worker = self.bench.workers["w0"]
        early = self._sync_of("w0")
        early_reply = worker.sync(early)
        self.bench.log_up = False
        self.daemon.run(1500)
        last = self._sync_of("w0")
        last_reply = worker.sync(last)
        for order, reply in ((early, early_reply), (last, last_reply)):
            now_ms = self.bench.clock.now_ms()
            self.daemon.controller.heard_sync("w0", order, reply, now_ms)
        self.bench.log_up = True
        self.daemon.run(3000)
        return "job" not in self.daemon.folder.fold.jobs

    def _sync_of(self, worker: str):
        while True:
            self.bench.clock.advance(100)
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
        self.bench.submit("job", run_ms=100)
        copies = []
        perform = self.daemon.perform

        def keep(effect) -> None:
            if isinstance(effect, StartRuns):
                copies.append(effect)
            perform(effect)

        self.daemon.perform = keep
        self.daemon.run(1500)
        for effect in copies:
            self.bench.workers[effect.worker].start(effect.orders)
        return len(self.bench.starts("job/0"))


class TakeoverTest(unittest.TestCase):
    """Two daemons and one cell."""

    def setUp(self):
        """Makes an owner with a running task, and a standby."""
        self.bench = Bench()
        self.first = self.bench.daemon("d0")
        self.second = self.bench.daemon("d1")
        self.first.run(1000)
        self.bench.submit("job", run_ms=60_000)
        self.first.run(1000)
        ((self.place, _),) = self.bench.starts("job/0")

    def both(self, ms: int) -> None:
        """Steps both daemons for some time."""
        for _ in range(ms // 100):
            self.first.step()
            self.second.run(100)

    def test_standby_waits_for_a_full_lease(self):
        """A daemon that has just started has watched nobody."""
        self.second.run(2500)
        self.assertFalse(self.second.controller.ownership.owning)
        self.second.run(1500)
        self.assertTrue(self.second.controller.ownership.owning)

    def test_new_owner_adopts_running_tasks(self):
        """A takeover neither ends nor repeats what runs."""
        self.second.run(10_000)
        self.assertTrue(self.second.controller.ownership.owning)
        self.assertEqual(len(self.bench.starts("job/0")), 1)
        ends = [h for h in self.bench.happenings() if h.what != "start"]
        self.assertEqual(ends, [])

    def test_takeover_takes_at_most_two_leases(self):
        """The first start of the new owner comes within two leases."""
        self.bench.submit("next", run_ms=100)
        begin_ms = self.bench.clock.now_ms()
        self.second.run(2 * TERMS.lease.lease_ms)
        starts = [
            h.at_ms
            for h in self.bench.happenings()
            if h.task == "next/0" and h.what == "start"
        ]
        self.assertLessEqual(starts[0] - begin_ms, 2 * TERMS.lease.lease_ms)

    def test_release_spares_the_wait(self):
        """A daemon that leaves hands its cells over."""
        for effect in self.first.controller.release(self.bench.clock.now_ms()):
            self.first.perform(effect)
        self.second.run(300)
        self.assertTrue(self.second.controller.ownership.owning)

    def test_stale_claim_is_void(self):
        """A claim that did not see the last renewal loses."""
        self.second.read()
        self.bench.append(Claim("late", 2, -1))
        self.first.run(300)
        self.assertEqual(self.first.folder.fold.owner, "d0")

    def test_old_owner_may_renew_in_its_outage(self):
        """A worker that only the old owner reaches keeps its task in peace."""
        self.assertEqual(self._overlaps_in_split(), [])
        self.setUp()
        with without("outage-wait"):
            self.assertNotEqual(self._overlaps_in_split(), [])

    def _overlaps_in_split(self) -> list[str]:
        self.bench.cut.add(("d1", self.place))
        self.first.read = lambda: None
        perform = self.first.perform

        def cut_from_log(effect) -> None:
            if not isinstance(effect, Append):
                perform(effect)

        self.first.perform = cut_from_log
        self.both(40_000)
        self.assertTrue(self.second.controller.ownership.owning)
        self.assertEqual(len(self.bench.starts("job/0")), 2)
        return checks.overlaps(self.bench.happenings())

    def test_unconfirmed_placement_is_started_by_the_new_owner(self):
        """A placement without a start is carried out after a takeover."""
        self.bench.submit("next", run_ms=100)
        perform = self.first.perform

        def no_starts(effect) -> None:
            if not isinstance(effect, StartRuns):
                perform(effect)

        self.first.perform = no_starts
        self.first.run(500)
        self.assertEqual(self.first.folder.fold.tasks["next/0"].state, "placed")
        self.second.run(6000)
        self.assertEqual(len(self.bench.starts("next/0")), 1)

    def test_worker_reports_runs_of_old_epochs(self):
        """The new owner learns what ended under the last one."""
        self.bench.submit("next", run_ms=2000)
        self.first.run(500)
        self.second.run(9000)
        self.assertTrue(self.second.folder.fold.knows_job("next"))
        self.assertNotIn("next", self.second.folder.fold.jobs)
        run = self.bench.workers[self.place]._runs["job/0"]
        self.assertIs(run.state, RunState.RUNNING)


if __name__ == "__main__":
    unittest.main()
