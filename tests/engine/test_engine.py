"""Tests of the engine. Each test advances the time itself."""

import math
import unittest
from unittest import mock

import msgspec

from limpetyard.engine import (
    DEFAULT_PACER,
    Engine,
    EngineParams,
    Pace,
    PollReply,
    RequestAdvice,
    RunEndKind,
    RunEndReport,
    RunReport,
    Start,
    StartResult,
    Stop,
    Ticket,
    WorkerEntry,
)
from limpetyard.engine._interference import InterferenceModel
from limpetyard.engine._pacing import PAUSE_ALL_LEAD_MS
from limpetyard.engine._speeds import MAX_PAUSE_MS
from limpetyard.engine._strain import MEASUREMENT_AGE_MS, MEASUREMENT_WINDOW_MS
from limpetyard.jobs import (
    AdviceParams,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    TaskKey,
)

ONE_CORE = Resources(1000, 1000, 0)
LEASE_MS = 4000


def entry(number: int, cores: int = 4, **more) -> WorkerEntry:
    """Returns the directory entry of a worker."""
    values = {
        "availability_zone": f"zone-{number % 2}",
        "rack": f"rack-{number}",
        "labels": ("plain",),
        "born": 1,
        "address": f"10.0.0.{number}:80",
    } | more
    return WorkerEntry(
        id=f"w-{number}",
        service="pool",
        capacity=Resources(cores * 1000, 64_000, 0),
        **values,
    )


def job(number: int, *steps: StepSpec, **settings) -> JobSpec:
    """Returns the specification of a job in a queue with these settings."""
    queue = QueueParams("q", "pool", **settings)
    return JobSpec(f"{number:016x}", queue, "payload", steps)


class EngineTestCase(unittest.TestCase):
    """Base of tests of an engine whose workers have replied to a poll."""

    workers = 2
    pacer = DEFAULT_PACER

    def setUp(self):
        """Creates the engine and its workers."""
        self.now_ms = 1000.0
        params = EngineParams(LEASE_MS, 5000, pacer=self.pacer)
        self.engine = Engine(3, params)
        self.ends: dict[str, int] = {}
        for number in range(self.workers):
            self.add(entry(number))

    def add(self, worker_entry: WorkerEntry) -> None:
        """Adds a worker that replies to a poll and is recorded."""
        self.engine.set_entry(worker_entry, self.now_ms)
        self.poll(worker_entry.id, first_poll=True)
        recorded = {w.id: (w.born, False) for w in self.engine.workers.values()}
        self.engine.set_recorded_workers(recorded)

    def poll(
        self,
        worker_id: str,
        ends: tuple = (),
        extra: tuple = (),
        drop: tuple = (),
        first_poll: bool = False,
        born: int = 1,
    ) -> None:
        """Has a worker reply to a poll.

        Args:
            worker_id: Id of the worker.
            ends: Task, run number and outcome of each run that has ended.
            extra: Reports of further runs.
            drop: Tasks whose runs are missing from the reply.
            first_poll: Whether this is the first poll of the worker.
            born: Incarnation that replies.
        """
        worker = self.engine.workers[worker_id]
        ended = {task for task, _, _ in ends}
        reports = [
            RunReport(run.task, run.run, "cp", 100, 0.0)
            for run in worker.runs.values()
            if run.task not in ended and run.task not in drop
        ]
        end_reports = []
        for task, run, kind in ends:
            number = self.ends[worker_id] = self.ends.get(worker_id, 0) + 1
            end_reports.append(RunEndReport(number, task, run, kind, "cp"))
        reply = PollReply(born, self.now_ms, [*reports, *extra], end_reports)
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def plan(self, kind: type | None = None) -> list:
        """Returns the planned effects, of one kind if given."""
        effects = self.engine.plan(self.now_ms, 0.0)
        return [e for e in effects if kind is None or isinstance(e, kind)]

    def start_all(self) -> list[Start]:
        """Plans, and confirms every start."""
        starts = self.plan(Start)
        for start in starts:
            self.engine.on_start_reply(start, StartResult.STARTED, self.now_ms)
        self.now_ms += 10
        return starts

    def end(self, start: Start, kind: RunEndKind = RunEndKind.DONE) -> None:
        """Has the worker report the end of a run."""
        self.now_ms += 200
        self.poll(start.worker, ((start.task, start.run, kind),))

    def submit(self, spec: JobSpec, loaded: bool = False):
        """Adds a job to the engine."""
        return self.engine.add_job(spec, self.now_ms, loaded)


class JobLifecycleTest(EngineTestCase):
    """Order of steps, attempts, and cancellation."""

    def test_steps_in_order(self):
        """A step starts once all tasks of the preceding step are done."""
        spec = job(1, StepSpec(2, ONE_CORE), StepSpec(1, ONE_CORE, after=(0,)))
        submitted = self.submit(spec)
        first, second = self.start_all()
        self.end(first)
        self.assertEqual(self.plan(Start), [])
        self.end(second)
        (last,) = self.start_all()
        self.assertEqual(last.task.step, 1)
        self.end(last)
        self.assertEqual(submitted.state, "completed")

    def test_final_state_reported_only_when_stored(self):
        """A job is reported as completed only after that state is stored."""
        submitted = self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        self.end(start)
        worker = self.engine.workers[start.worker]
        self.assertEqual(
            (submitted.stored_state, worker.last_acked_end), ("queued", 0)
        )
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        self.assertEqual(
            (submitted.stored_state, worker.last_acked_end), ("completed", 1)
        )

    def test_rejected_append(self):
        """After a rejected append, changes stay pending and unacknowledged."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        self.end(start)
        _, batch = self.engine.pop_dirty()
        self.engine.on_store_rejected(batch)
        jobs, _ = self.engine.pop_dirty()
        self.assertEqual(len(jobs), 1)
        self.assertEqual(self.engine.workers[start.worker].last_acked_end, 0)

    def test_job_that_the_store_does_not_take(self):
        """Ends from the first one of such a job on are not acknowledged."""
        engine = self.engine
        small, large = (
            self.submit(job(number, StepSpec(4, ONE_CORE, per_worker=1)))
            for number in (1, 2)
        )
        starts = {(s.worker, s.task.job): s for s in self.start_all()}
        name = starts[min(starts)].worker
        worker = engine.workers[name]
        self.end(starts[name, small.spec.id])
        self.end(starts[name, large.spec.id])
        _, batch = engine.pop_dirty()
        engine.on_stored(batch, {large.spec.id})
        self.assertEqual(
            (small.stored_state, worker.last_acked_end), (small.state, 1)
        )
        self.assertNotEqual(large.stored_state, large.state)
        engine.on_stored(engine.pop_dirty()[1])
        self.assertEqual(worker.last_acked_end, 1)
        large.dirty = True
        engine.on_stored(engine.pop_dirty()[1])
        self.assertEqual(
            (large.stored_state, worker.last_acked_end), (large.state, 2)
        )

    def test_attempts(self):
        """A job fails with the last attempt of a task, not earlier."""
        submitted = self.submit(job(1, StepSpec(1, ONE_CORE), max_attempts=2))
        (start,) = self.start_all()
        self.end(start, RunEndKind.FAILED)
        self.now_ms += 1000
        self.assertEqual(submitted.state, "running")
        (again,) = self.start_all()
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(again.run, start.run + 1)
        self.end(again, RunEndKind.FAILED)
        self.assertEqual(submitted.state, "failed")
        self.assertEqual(self.plan(Start), [])

    def test_lost_runs_do_not_count_as_attempts(self):
        """Runs that did not fail on their own do not count as attempts."""
        submitted = self.submit(job(1, StepSpec(1, ONE_CORE), max_attempts=1))
        for kind in (RunEndKind.STOPPED, RunEndKind.LAPSED, RunEndKind.BROKEN):
            (start,) = self.start_all()
            self.end(start, kind)
        self.assertEqual(submitted.state, "running")

    def test_checkpoint(self):
        """A new run resumes from the latest checkpoint."""
        self.submit(job(1, StepSpec(1, ONE_CORE, checkpoints=True)))
        (start,) = self.start_all()
        self.end(start, RunEndKind.STOPPED)
        (again,) = self.plan(Start)
        self.assertEqual(again.checkpoint, "cp")

    def test_long_running_restarts(self):
        """A long-running task restarts whatever the outcome of its run."""
        spec = job(1, StepSpec(1, ONE_CORE, long_running=True), max_attempts=1)
        submitted = self.submit(spec)
        for kind in (RunEndKind.DONE, RunEndKind.FAILED, RunEndKind.FAILED):
            (start,) = self.start_all()
            self.end(start, kind)
            self.now_ms += 1000
            self.poll("w-0")
            self.poll("w-1")
        self.assertEqual(submitted.state, "running")
        self.assertEqual(len(self.plan(Start)), 1)

    def test_cancel_stops(self):
        """All runs of a cancelled job are stopped, and none is started."""
        submitted = self.submit(
            job(1, StepSpec(3, ONE_CORE), StepSpec(1, ONE_CORE))
        )
        self.start_all()
        self.engine.cancel_job(submitted.spec.id, self.now_ms)
        effects = self.plan()
        self.assertEqual({type(e) for e in effects}, {Stop})
        self.assertEqual(len(effects), 4)
        self.assertEqual(submitted.state, "cancelled")

    def test_same_id_is_one_job(self):
        """Adding a job again under the same id is idempotent."""
        spec = job(1, StepSpec(1, ONE_CORE))
        self.assertIs(self.submit(spec), self.submit(spec))


class PlacementTest(EngineTestCase):
    """Constraints on the workers of tasks."""

    def test_capacity(self):
        """A worker is never overcommitted; stopping runs still count."""
        submitted = self.submit(job(1, StepSpec(20, ONE_CORE)))
        self.assertEqual(len(self.start_all()), 8)
        self.engine.cancel_job(submitted.spec.id, self.now_ms)
        self.plan()
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        self.assertEqual(self.plan(Start), [])

    def resize(self, number: int, cores: int, memory_mb: int = 64_000) -> None:
        """Publishes another capacity of a worker."""
        capacity = Resources(cores * 1000, memory_mb, 0)
        resized = msgspec.structs.replace(entry(number), capacity=capacity)
        self.engine.set_entry(resized, self.now_ms)

    def test_capacity_shrinks(self):
        """A start exceeds a capacity that shrank below what is running."""
        self.submit(job(1, StepSpec(8, ONE_CORE, long_running=True)))
        self.assertEqual(len(self.start_all()), 8)
        for number in range(2):
            self.resize(number, 2, 1000)
        for step in (
            StepSpec(1, ONE_CORE),
            StepSpec(2, ONE_CORE, gang=True),
            StepSpec(1, Resources(0, 100, 0)),
            StepSpec(1, Resources(100, 0, 0)),
            StepSpec(1, Resources(100, 0, 0), fills=True),
        ):
            self.submit(job(2, step))
            self.assertEqual(self.plan(Start), [], step)
            self.engine.drop_job(f"{2:016x}")

    def test_idle_cores_shrink(self):
        """Best-effort tasks start on cores that a worker no longer has."""
        for number in range(2):
            self.resize(number, 1)
        filling = StepSpec(9, ONE_CORE, fills=True)
        self.submit(job(1, filling))
        self.assertEqual(len(self.start_all()), 2)

    def test_capacity_grows(self):
        """A capacity that has grown again is not used."""
        self.resize(0, 1)
        self.resize(1, 1)
        self.submit(job(1, StepSpec(8, ONE_CORE)))
        self.assertEqual(len(self.start_all()), 2)
        self.resize(0, 4)
        self.assertEqual(len(self.start_all()), 3)

    def test_zone_out(self):
        """No task starts in a zone that is out of service."""
        self.engine.zones_out = frozenset({"zone-0"})
        self.submit(job(1, StepSpec(8, ONE_CORE)))
        starts = self.plan(Start)
        self.assertEqual({s.worker for s in starts}, {"w-1"})

    def test_draining(self):
        """No task starts on a draining worker."""
        self.engine.set_entry(entry(0, draining=True), self.now_ms)
        self.submit(job(1, StepSpec(8, ONE_CORE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_other_service(self):
        """Tasks run only in the worker pool of their queue."""
        spec = JobSpec("0" * 16, QueueParams("q", "x"), "", (StepSpec(1),))
        self.submit(spec)
        self.assertEqual(self.plan(Start), [])

    def test_label(self):
        """Tasks run only on workers with the required label."""
        self.add(entry(2, labels=("big", "rack-2")))
        self.submit(job(1, StepSpec(2, ONE_CORE, label="big")))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-2"})

    def test_per_worker(self):
        """The limit of tasks per worker of a step holds."""
        self.submit(job(1, StepSpec(6, ONE_CORE, per_worker=1)))
        self.assertEqual(len(self.plan(Start)), 2)

    def test_data_rack(self):
        """Tasks are placed in the rack that holds their data."""
        self.submit(job(1, StepSpec(2, ONE_CORE, data_rack="rack-1")))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_gang_all_or_nothing(self):
        """A gang starts all members with one run number, or none."""
        self.submit(job(1, StepSpec(9, ONE_CORE, gang=True)))
        self.assertEqual(self.plan(Start), [])
        self.submit(job(2, StepSpec(8, ONE_CORE, gang=True)))
        starts = self.plan(Start)
        self.assertEqual(len(starts), 8)
        self.assertEqual(len({s.run for s in starts}), 1)

    def test_unresponsive_worker(self):
        """A worker that has not replied recently gets no new work."""
        self.now_ms += 2000
        self.poll("w-1")
        self.submit(job(1, StepSpec(8, ONE_CORE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_unrecorded_worker(self):
        """A worker that is not recorded for later owners gets no work."""
        self.engine.set_recorded_workers({"w-1": (1, False)})
        self.submit(job(1, StepSpec(8, ONE_CORE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_probation(self):
        """A worker on probation gets one task at a time."""
        for number in range(4):
            self.submit(job(number, StepSpec(1, ONE_CORE), max_attempts=1))
        starts = self.start_all()
        for start in starts:
            if start.worker == "w-0":
                self.end(start, RunEndKind.FAILED)
        self.now_ms += 500
        self.poll("w-0")
        self.poll("w-1")
        self.submit(job(9, StepSpec(8, ONE_CORE)))
        starts = [s.worker for s in self.start_all()]
        self.assertEqual(starts.count("w-0"), 1)
        self.assertNotIn("w-0", [s.worker for s in self.plan(Start)])

    def fail_two_runs(self) -> list[Start]:
        """Fills the only worker with long-running tasks, of which two fail."""
        self.engine.workers["w-1"].entry = entry(1, draining=True)
        self.submit(job(1, StepSpec(4, ONE_CORE, long_running=True)))
        starts = self.start_all()
        for start in starts[:2]:
            self.end(start, RunEndKind.FAILED)
        return starts

    def test_probation_beside_other_work(self):
        """A worker on probation with other tasks running gets one probe."""
        self.fail_two_runs()
        self.now_ms += 500
        self.poll("w-0")
        self.assertEqual(len(self.start_all()), 1)
        self.assertEqual(self.plan(Start), [])

    def test_probation_ends(self):
        """A probe at full speed long enough after placement ends probation."""
        self.fail_two_runs()
        self.now_ms += 500
        self.poll("w-0")
        self.start_all()
        for _ in range(3):
            self.now_ms += 500
            self.poll("w-0")
        self.assertEqual(len(self.start_all()), 1)
        self.assertFalse(self.engine.workers["w-0"].on_probation)

    def test_advice(self):
        """A step of a queue with advice starts only with a ticket."""
        queue = QueueParams("q", "pool", advice=AdviceParams(1, 1, 3000))
        spec = JobSpec("0" * 16, queue, "", (StepSpec(2, ONE_CORE),))
        self.submit(spec)
        (request,) = self.plan()
        self.assertIsInstance(request, RequestAdvice)
        self.assertEqual(self.plan(), [])
        ticket = Ticket("w-1", "t", self.now_ms + 3000)
        self.engine.add_tickets(request, [ticket])
        starts = self.plan(Start)
        self.assertEqual({(s.worker, s.ticket) for s in starts}, {("w-1", "t")})


class DrainingTest(EngineTestCase):
    """Runs on a draining worker."""

    def drain(self, worker: str, left_ms: float) -> None:
        """Sets a worker to draining, with `left_ms` until it departs."""
        number = int(worker.removeprefix("w-"))
        leaving = entry(number, draining=True, remaining_ms=left_ms)
        self.engine.set_entry(leaving, self.now_ms)

    def plan_stops(self) -> list[Stop]:
        """Returns the stop orders of two rounds of planning."""
        return self.plan(Stop) + self.plan(Stop)

    def test_long_running_moves(self):
        """A long-running task moves to another worker in time."""
        self.submit(job(1, StepSpec(1, ONE_CORE, long_running=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        (stop,) = self.plan_stops()
        self.assertEqual(stop.task, start.task)
        self.end(start, RunEndKind.STOPPED)
        (again,) = self.plan(Start)
        self.assertNotEqual(again.worker, start.worker)

    def test_long_running_stays_without_destination(self):
        """Without a destination, a long-running task is stopped late."""
        self.submit(
            job(1, StepSpec(2, ONE_CORE, long_running=True, per_worker=1))
        )
        start, _ = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.plan_stops(), [])
        self.drain(start.worker, 400)
        self.assertEqual(len(self.plan_stops()), 1)

    def test_run_that_ends_in_time_stays(self):
        """A run that ends before the worker departs is not stopped."""
        self.submit(job(1, StepSpec(1, ONE_CORE, 1500, checkpoints=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.plan_stops(), [])

    def test_run_with_checkpoints_moves(self):
        """A run with checkpoints that would not end in time moves at once."""
        self.submit(job(1, StepSpec(1, ONE_CORE, 9000, checkpoints=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(len(self.plan_stops()), 1)

    def test_run_without_checkpoints_moves_last(self):
        """A run without checkpoints is stopped shortly before the departure."""
        self.submit(job(1, StepSpec(1, ONE_CORE, 9000)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.plan_stops(), [])
        self.now_ms += 1600
        self.poll(start.worker)
        self.assertEqual(len(self.plan_stops()), 1)


class UnknownOutcomeTest(EngineTestCase):
    """Orders without a reply, and workers that do not reply."""

    def test_unanswered_start(self):
        """The run of an unanswered start is stopped before a restart.

        The order may take effect late. The task must not run elsewhere until
        the worker has acknowledged the stop and a later poll shows no run.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        self.engine.on_start_reply(start, None, self.now_ms)
        (stop,) = self.plan()
        self.assertEqual((stop.task, stop.run), (start.task, start.run))
        self.poll(start.worker, drop=(start.task,))
        self.assertEqual(self.plan(Start), [])
        self.engine.on_stop_reply(stop, self.now_ms)
        self.now_ms += 10
        self.poll(start.worker, drop=(start.task,))
        (again,) = self.plan(Start)
        self.assertGreater(again.run, start.run)

    def test_poll_sent_before_the_start(self):
        """A reply to a poll sent before a start does not release the run."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        worker = self.engine.workers[start.worker]
        sent_ms = self.now_ms
        self.now_ms += 50
        self.engine.on_start_reply(start, StartResult.STARTED, self.now_ms)
        reply = PollReply(1, self.now_ms, [], [])
        self.engine.on_poll_reply(worker, sent_ms, reply, self.now_ms)
        self.assertEqual(self.plan(Start), [])
        self.engine.on_poll_reply(
            worker, self.now_ms + 1, reply, self.now_ms + 2
        )
        self.assertEqual(len(self.plan(Start)), 1)

    def test_lease_expires(self):
        """Tasks of an unresponsive worker restart once its lease has expired.

        The bound on the lease allows for a worker clock that is 2 % slow.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        other = "w-1" if start.worker == "w-0" else "w-0"
        started_ms = self.now_ms
        while self.now_ms < started_ms + LEASE_MS / 0.98 - 100:
            self.now_ms += 100
            self.poll(other)
            self.assertEqual(self.plan(Start), [])
        self.now_ms += 400
        self.poll(other)
        (again,) = self.plan(Start)
        self.assertEqual(again.worker, other)

    def test_new_incarnation(self):
        """Runs of an earlier incarnation are released by the next poll."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        worker = self.engine.workers[start.worker]
        token = worker.token
        other = "w-1" if start.worker == "w-0" else "w-0"
        self.poll(start.worker, born=2)
        self.poll(other)
        self.assertGreater(worker.token, token)
        self.assertEqual(self.plan(Start), [])
        self.poll(start.worker, born=2)
        self.assertEqual(len(self.plan(Start)), 1)

    def test_draining_worker_that_refuses_connections(self):
        """A draining worker that was cut off counted as departed: TWICE.

        Its directory entry has expired and connections are refused, but its
        lease has not ended.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        worker = self.engine.workers[start.worker]
        other = "w-1" if start.worker == "w-0" else "w-0"
        draining = entry(int(start.worker[-1]), draining=True)
        self.engine.set_entry(draining, self.now_ms)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        lease_end_ms = worker.lease_end_ms
        while self.now_ms < lease_end_ms:
            self.engine.on_connection_refused(worker, self.now_ms)
            self.assertEqual(self.plan(Start), [])
            self.now_ms += 500
            self.poll(other)
        self.assertEqual(len(self.plan(Start)), 1)

    def test_lease_of_an_order_that_was_not_sent(self):
        """A refused poll extended the lease, but granted none.

        A grant that another one has followed stays.
        """
        worker = self.engine.workers["w-0"]
        end_ms = worker.lease_end_ms
        first = worker.grant_lease(self.now_ms + 100, LEASE_MS)
        worker.revoke_lease(worker.token, first)
        self.assertEqual(worker.lease_end_ms, end_ms)
        first = worker.grant_lease(self.now_ms + 100, LEASE_MS)
        worker.grant_lease(self.now_ms + 200, LEASE_MS // 2)
        end_ms = worker.lease_end_ms
        worker.revoke_lease(worker.token, first)
        self.assertEqual(worker.lease_end_ms, end_ms)

    def test_drained_worker(self):
        """Later owners waited for a drained worker that had run nothing.

        It is dropped once its entry is missing, but not while it has a run.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        worker = self.engine.workers[start.worker]
        draining = entry(int(start.worker[-1]), draining=True)
        self.engine.set_entry(draining, self.now_ms)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), [])
        self.end(start)
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        self.assertEqual(
            self.engine.remove_gone_workers(self.now_ms), [worker.id]
        )

    def test_end_that_is_not_stored(self):
        """The next owner started a task again that was done: TWICE.

        It did not wait for the worker, as the previous owner knew the end.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        self.end(start)
        worker = self.engine.workers[start.worker]
        self.assertGreater(worker.runs_until_ms, self.now_ms)
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        self.assertEqual(worker.runs_until_ms, 0.0)
        reply = PollReply(1, self.now_ms, [], [], has_all_ends=False)
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        self.assertGreater(worker.runs_until_ms, self.now_ms)

    def test_replaced_worker(self):
        """Tasks of a replaced worker do not wait for its lease.

        The worker is dropped without a grace once its entry is missing.
        """
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        worker = self.engine.workers[start.worker]
        self.assertTrue(self.engine.on_worker_replaced(worker, self.now_ms))
        self.assertFalse(self.engine.on_worker_replaced(worker, self.now_ms))
        (again,) = self.plan(Start)
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), [])
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.assertEqual(
            self.engine.remove_gone_workers(self.now_ms), [worker.id]
        )

    def test_replaced_worker_of_an_earlier_owner(self):
        """Inherited tasks do not wait for the lease of a replaced worker."""
        worker = self.engine.set_entry(entry(2), self.now_ms)
        worker.prior_lease_end_ms = math.inf
        self.submit(job(1, StepSpec(1, ONE_CORE)), loaded=True)
        self.assertEqual(self.plan(Start), [])
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.assertEqual(len(self.plan(Start)), 1)

    def replace(self, spec: JobSpec) -> tuple[Start, Start]:
        """Replaces a run whose lease expired, and returns both starts."""
        self.submit(spec)
        (first,) = self.start_all()
        other = "w-1" if first.worker == "w-0" else "w-0"
        self.now_ms += 5000
        self.poll(other)
        (second,) = self.start_all()
        return first, second

    def test_expiry_of_a_replaced_run(self):
        """The expiry of a replaced run does not affect its successor."""
        spec = job(1, StepSpec(1, ONE_CORE))
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.LAPSED),))
        submitted = self.engine.jobs[spec.id]
        self.assertEqual(submitted.task(0, 0, 0).worker, second.worker)
        self.assertEqual(submitted.state, "running")

    def test_failure_of_a_replaced_run(self):
        """A replaced run that took effect late and failed is an attempt."""
        spec = job(1, StepSpec(1, ONE_CORE), max_attempts=2)
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.FAILED),))
        self.assertEqual(self.engine.jobs[spec.id].state, "running")
        self.end(second, RunEndKind.FAILED)
        self.assertEqual(self.engine.jobs[spec.id].state, "failed")

    def test_success_of_a_replaced_run(self):
        """A replaced run that took effect late and is done ends the task."""
        spec = job(1, StepSpec(1, ONE_CORE))
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.DONE),))
        self.assertEqual(self.engine.jobs[spec.id].state, "completed")
        (stop,) = self.plan(Stop)
        self.assertEqual((stop.worker, stop.run), (second.worker, second.run))

    def test_rejected_start(self):
        """A rejected start is retried on another worker."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        self.engine.on_start_reply(start, StartResult.NO_ROOM, self.now_ms)
        self.now_ms += 200
        (again,) = self.plan(Start)
        self.assertNotEqual(again.worker, start.worker)


class TakeoverTest(EngineTestCase):
    """Takeover of runs and ends that an earlier owner left behind."""

    workers = 1

    def add_unresponsive_worker(self, lease_left_ms: float = 6000) -> None:
        """Adds a worker that does not reply."""
        worker = self.engine.set_entry(entry(5), self.now_ms)
        worker.prior_lease_end_ms = self.now_ms + lease_left_ms

    def take_over(self, lease_left_ms: float = 6000) -> JobSpec:
        """Loads a job of an earlier owner, with one unresponsive worker."""
        spec = job(1, StepSpec(2, ONE_CORE))
        self.add_unresponsive_worker(lease_left_ms)
        self.submit(spec, loaded=True)
        return spec

    def test_waits_for_unresponsive_workers(self):
        """A task that may run on an unresponsive worker waits for its lease."""
        self.take_over()
        self.assertEqual(self.plan(Start), [])
        self.now_ms += 6001
        self.poll("w-0")
        self.assertEqual(len(self.plan(Start)), 2)

    def test_new_jobs_do_not_wait(self):
        """A job that no earlier owner can have started does not wait."""
        self.take_over()
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        self.assertEqual(start.task.job, f"{2:016x}")

    def test_found_runs_continue(self):
        """A task whose run is reported is not started again."""
        spec = self.take_over()
        report = RunReport(TaskKey(spec.id, 0, 0, 0), 1, "", 100, 0.0)
        self.poll("w-0", extra=(report,))
        self.poll("w-5")
        (start,) = self.plan(Start)
        self.assertEqual(start.task.index, 1)

    def test_state_after_found_ends(self):
        """A job was reported as queued although some of its tasks were done."""
        steps = (StepSpec(1, ONE_CORE), StepSpec(1, ONE_CORE, after=(0,)))
        spec = job(1, *steps, max_attempts=2)
        for kind in (RunEndKind.DONE, RunEndKind.FAILED):
            with self.subTest(kind):
                self.setUp()
                submitted = self.submit(spec, loaded=True)
                task = TaskKey(spec.id, 0, 0, 0)
                self.poll("w-0", ((task, 1, kind),))
                self.assertEqual(submitted.state, "running")

    def test_found_run_before_first_renewal(self):
        """A found run is kept before this owner first renews its lease."""
        worker = self.engine.workers["w-0"]
        submitted = self.submit(job(1, StepSpec(1, ONE_CORE)), loaded=True)
        worker.prior_lease_end_ms = self.now_ms + LEASE_MS
        report = RunReport(TaskKey(submitted.spec.id, 0, 0, 0), 4, "", 100, 0.0)
        reply = PollReply(1, self.now_ms, [report], [])
        worker.lease_end_ms = 0.0
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        self.assertEqual(self.plan(), [])
        self.assertEqual(list(worker.runs), [(report.task, report.run)])

    def submit_timed(self):
        """Adds a loaded job whose second occurrence is not due yet."""
        spec = JobSpec(
            f"{1:016x}",
            QueueParams("q", "pool"),
            "payload",
            (StepSpec(1, ONE_CORE),),
            occurrences=2,
            first_due_ms=1000.0,
            interval_ms=1000.0,
        )
        return self.submit(spec, loaded=True)

    def test_end_of_occurrence_not_due_here(self):
        """The end of an occurrence that is not due here yet is processed."""
        submitted = self.submit_timed()
        self.poll(
            "w-0",
            ends=((TaskKey(submitted.spec.id, 1, 0, 0), 1, RunEndKind.DONE),),
        )
        self.assertIn(1, submitted.done_occurrences)
        self.assertTrue(submitted.dirty)

    def test_occurrence_that_becomes_due_later(self):
        """Tasks of a newly due occurrence wait for unresponsive workers."""
        submitted = self.submit_timed()
        self.add_unresponsive_worker()
        self.assertEqual(self.engine.plan(self.now_ms, 5000.0), [])
        self.assertEqual(submitted.due, 2)

    def test_new_job_while_predecessor_is_active(self):
        """A new job waits while the previous owner may still start tasks."""
        self.engine.predecessor_until_ms = self.now_ms + 5000
        self.add_unresponsive_worker()
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.assertEqual(self.plan(Start), [])

    def test_run_numbers_rise(self):
        """Runs of this epoch get numbers that no earlier epoch used."""
        self.take_over()
        self.poll("w-5")
        starts = self.plan(Start)
        self.assertTrue(all(start.run >= 3 * 256 for start in starts))

    def test_unacknowledged_end(self):
        """An end that the previous owner did not acknowledge counts."""
        spec = self.take_over()
        done = (TaskKey(spec.id, 0, 0, 1), 4, RunEndKind.DONE)
        self.poll("w-0", (done,))
        self.poll("w-5")
        (start,) = self.plan(Start)
        self.assertEqual(start.task.index, 0)

    def test_failures_in_any_order(self):
        """Failed runs on two workers count in any order of arrival."""
        spec = job(1, StepSpec(1, ONE_CORE), max_attempts=2)
        self.engine.set_entry(entry(5), self.now_ms)
        submitted = self.submit(spec, loaded=True)
        key = TaskKey(spec.id, 0, 0, 0)
        self.poll("w-0", ((key, 769, RunEndKind.FAILED),))
        self.poll("w-5", ((key, 768, RunEndKind.FAILED),))
        self.assertEqual(submitted.state, "failed")
        self.assertEqual(self.plan(Start), [])

    def test_run_of_an_unknown_job(self):
        """A run of an unknown job is stopped; until then its worker is full."""
        report = RunReport(TaskKey("f" * 16, 0, 0, 0), 1, "", 100, 0.0)
        self.poll("w-0", extra=(report,))
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        (stop,) = self.plan()
        self.assertIsInstance(stop, Stop)


class BestEffortTest(EngineTestCase):
    """Best-effort tasks next to serving tasks."""

    workers = 1
    # Paused within the limit of strain, stopped after the longest pause.
    reports_to_stop = math.ceil((4000 + MAX_PAUSE_MS) / 500) + 1

    def report_measurements(self, tail_ms: float, cores: float) -> None:
        """Has the worker report measurements.

        Args:
            tail_ms: Tail latency of the serving task.
            cores: Cores that the best-effort task uses at full speed.
        """
        worker = self.engine.workers["w-0"]
        self.now_ms += 500
        reports = [
            RunReport(
                run.task,
                run.run,
                "",
                100,
                tail_ms
                if run.step.target_ms
                else cores * 10 * run.speed_percent,
            )
            for run in worker.runs.values()
        ]
        reply = PollReply(1, self.now_ms, reports, [])
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def start_serving(self) -> None:
        """Starts a serving task and a best-effort task next to it."""
        serving = StepSpec(
            1, ONE_CORE, long_running=True, image="web", target_ms=18.0
        )
        best_effort = StepSpec(
            1, Resources(2000, 100, 0), image="noisy", fills=True
        )
        self.submit(job(1, serving))
        self.start_all()
        for _ in range(4):
            self.report_measurements(6.0, 0.0)
        self.submit(job(2, best_effort))
        self.start_all()

    def test_not_paced_far_from_the_target(self):
        """A best-effort task keeps its speed while headroom is large."""
        self.start_serving()
        for _ in range(4):
            self.report_measurements(6.0, 2.0)
            self.assertEqual(self.plan(Pace), [])

    def test_no_start_beside_strain(self):
        """A task starts where the next report would have it slowed."""
        self.start_serving()
        self.report_measurements(19.0, 0.0)
        step = StepSpec(1, Resources(10, 100, 0), image="quiet", fills=True)
        self.submit(job(3, step))
        self.assertEqual(self.plan(Start), [])
        for _ in range(4):
            self.report_measurements(6.0, 2.0)
        self.assertEqual(len(self.plan(Start)), 1)

    def test_lost_order_is_repeated(self):
        """A task whose order was lost keeps the speed that it had."""
        self.start_serving()
        effects = []
        while not effects:
            self.report_measurements(40.0, 2.0)
            effects = self.plan(Pace)
        self.engine.on_pace_failed(effects[0])
        self.assertEqual(self.plan(Pace), effects)
        self.assertEqual(self.plan(Pace), [])

    def test_paused_task_is_stopped(self):
        """A best-effort task that is paused for too long is stopped."""
        self.start_serving()
        for _ in range(self.reports_to_stop):
            self.report_measurements(40.0, 2.0)
            effects = self.plan()
            if any(isinstance(effect, Stop) for effect in effects):
                return
        self.fail("the best-effort task was never stopped")


class PredictedPaceTest(BestEffortTest):
    """The same with tasks that are slowed by the predicted headroom."""

    pacer = "predicted"
    reports_to_stop = 8

    def test_paced_near_the_target(self):
        """A best-effort task is slowed if a tail latency nears its target."""
        self.start_serving()
        self.report_measurements(17.5, 2.0)
        self.report_measurements(17.5, 2.0)
        effects = self.plan(Pace)
        self.assertEqual(len(effects), 1)
        self.assertLess(effects[0].percent, 100)


class MeasuredPaceTest(BestEffortTest):
    """The stages of pacing by measured strain."""

    def paused_after_ms(self) -> float:
        """Returns the time from the first report of strain to the pause."""
        self.start_serving()
        self.report_measurements(40.0, 2.0)
        since_ms = self.now_ms
        worker = self.engine.workers["w-0"]
        while self.now_ms - since_ms < 4000 and any(
            run.step.fills and run.speed_percent > 0
            for run in worker.runs.values()
        ):
            self.plan()
            self.now_ms += 20
            if (self.now_ms - since_ms) % 500 == 0:
                self.now_ms -= 500
                self.report_measurements(40.0, 2.0)
        return self.now_ms - since_ms

    def test_paused_in_time_whatever_is_known(self):
        """A stage that changes no speed, or a recent one, delays the pause.

        The first report over the target comes half a second after another
        report, whose measurement is older and itself covers half a second.
        """
        limit_ms = self.engine.params.strain_limit_ms
        unseen_ms = 500 + MEASUREMENT_AGE_MS + MEASUREMENT_WINDOW_MS
        latest_ms = limit_ms - PAUSE_ALL_LEAD_MS - unseen_ms
        for weight in (0.0, 0.001, 0.3):
            self.setUp()
            with (
                self.subTest(weight=weight),
                mock.patch.object(
                    InterferenceModel, "weight", return_value=weight
                ),
            ):
                self.assertLessEqual(self.paused_after_ms(), latest_ms + 40)


class ServingPlacementTest(EngineTestCase):
    """Packing of serving tasks."""

    workers = 3

    def start_serving(self, number: int, count: int) -> list[str]:
        """Starts a serving job and returns its workers."""
        step = StepSpec(count, ONE_CORE, long_running=True, target_ms=10)
        self.submit(job(number, step))
        return [start.worker for start in self.start_all()]

    def test_one_job_is_packed_on_one_worker(self):
        """Tasks of one job are packed onto one worker."""
        self.assertEqual(len(set(self.start_serving(1, 3))), 1)

    def test_shares_worker_with_other_serving_job(self):
        """Another serving job shares a worker before it takes an empty one."""
        (first,) = set(self.start_serving(1, 2))
        self.assertEqual(self.start_serving(2, 1), [first])

    def test_next_worker_when_full(self):
        """A job that does not fit on a shared worker gets another one."""
        (first,) = set(self.start_serving(1, 4))
        self.assertNotIn(first, self.start_serving(2, 2))


class LongRunningPlacementTest(EngineTestCase):
    """Placement of long-running tasks on full workers."""

    def test_starts_on_nearly_full_workers(self):
        """Long-running tasks may use the last free resources."""
        self.submit(job(1, StepSpec(6, ONE_CORE)))
        self.start_all()
        self.submit(job(2, StepSpec(2, ONE_CORE, long_running=True)))
        self.assertEqual(len(self.plan(Start)), 2)


class LeaseBoundTest(unittest.TestCase):
    """Bound on the lease of a worker."""

    def test_lease_end_covers_a_slow_clock(self):
        """The bound covers a lease on a worker clock that is 2 % slow."""
        engine = Engine(1, EngineParams(LEASE_MS, 5000))
        worker = engine.set_entry(entry(0), 0.0)
        self.assertIsNone(worker.grant_lease(0.0, LEASE_MS))
        worker.set_clock(100.0, 0.0)
        until = worker.grant_lease(1000.0, LEASE_MS)
        self.assertEqual(until, 5100)
        self.assertGreaterEqual(
            worker.lease_end_ms, math.floor((until - 100) / 0.98)
        )


if __name__ == "__main__":
    unittest.main()
