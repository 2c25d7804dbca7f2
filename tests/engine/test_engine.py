"""The owner's decisions, on a clock that the test drives."""

import math
import unittest

from limpetyard.engine import (
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
from limpetyard.jobs import (
    AdviceParams,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    TaskKey,
)

ONE = Resources(1000, 1000, 0)
LEASE_MS = 4000


def entry(number: int, cores: int = 4, **more) -> WorkerEntry:
    """Returns a worker's entry."""
    values = {
        "availability_zone": f"zone-{number % 2}",
        "rack": f"rack-{number}",
        "labels": ("plain",),
        "born": 1,
    } | more
    return WorkerEntry(
        id=f"w-{number}",
        service="pool",
        address="",
        capacity=Resources(cores * 1000, 64_000, 0),
        **values,
    )


def job(number: int, *steps: StepSpec, **params) -> JobSpec:
    """Returns a job."""
    queue = QueueParams("q", "pool", **params)
    return JobSpec(f"{number:016x}", queue, "payload", steps)


class EngineCase(unittest.TestCase):
    """An engine with workers that have been looked at."""

    workers = 2

    def setUp(self):
        """Makes the engine."""
        self.now_ms = 1000.0
        self.engine = Engine(3, EngineParams(LEASE_MS, 5000))
        self.ends: dict[str, int] = {}
        for number in range(self.workers):
            self.add(entry(number))

    def add(self, what: WorkerEntry) -> None:
        """Adds a worker and looks at it."""
        self.engine.set_entry(what, self.now_ms)
        self.poll(what.id, sounding=True)
        recorded = {w.id: (w.born, False) for w in self.engine.workers.values()}
        self.engine.set_recorded(recorded)

    def poll(
        self,
        worker_id: str,
        ends: tuple = (),
        extra: tuple = (),
        drop: tuple = (),
        sounding: bool = False,
        born: int = 1,
    ) -> None:
        """Has a worker list its runs, without those that end."""
        worker = self.engine.workers[worker_id]
        ended = {task for task, _, _ in ends}
        rows = [
            RunReport(run.task, run.run, "cp", 100, 0.0)
            for run in worker.runs.values()
            if run.task not in ended and run.task not in drop
        ]
        end_rows = []
        for task, run, how in ends:
            number = self.ends[worker_id] = self.ends.get(worker_id, 0) + 1
            end_rows.append(RunEndReport(number, task, run, how, "cp"))
        reply = PollReply(born, self.now_ms, [*rows, *extra], end_rows)
        self.engine.on_poll(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def plan(self, kind: type | None = None) -> list:
        """Returns what the engine wants done, of one kind."""
        effects = self.engine.plan(self.now_ms, 0.0)
        return [e for e in effects if kind is None or isinstance(e, kind)]

    def start_all(self) -> list[Start]:
        """Plans, and has every start answered."""
        starts = self.plan(Start)
        for start in starts:
            self.engine.on_start(start, StartResult.STARTED, self.now_ms)
        self.now_ms += 10
        return starts

    def end(self, start: Start, how: RunEndKind = RunEndKind.DONE) -> None:
        """Has a run end."""
        self.now_ms += 200
        self.poll(start.worker, ((start.task, start.run, how),))

    def submit(self, spec: JobSpec, loaded: bool = False):
        """Takes a job in."""
        return self.engine.add_job(spec, self.now_ms, loaded)


class OrderTest(EngineCase):
    """Steps, attempts, cancelling."""

    def test_steps_in_order(self):
        """A step starts when the one before is done."""
        spec = job(1, StepSpec(2, ONE), StepSpec(1, ONE, after=(0,)))
        got = self.submit(spec)
        first, second = self.start_all()
        self.end(first)
        self.assertEqual(self.plan(Start), [])
        self.end(second)
        (last,) = self.start_all()
        self.assertEqual(last.task.step, 1)
        self.end(last)
        self.assertEqual(got.state, "completed")

    def test_shown_only_when_stored(self):
        """A job is shown as completed after that was stored."""
        got = self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.start_all()
        self.end(start)
        worker = self.engine.workers[start.worker]
        self.assertEqual((got.stored_state, worker.acked_end), ("queued", 0))
        _, batch = self.engine.take_dirty()
        self.engine.on_stored(batch)
        self.assertEqual((got.stored_state, worker.acked_end), ("completed", 1))

    def test_refused_append(self):
        """What was not stored stays to be stored, and is not noted."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.start_all()
        self.end(start)
        _, batch = self.engine.take_dirty()
        self.engine.on_store_rejected(batch)
        jobs, _ = self.engine.take_dirty()
        self.assertEqual(len(jobs), 1)
        self.assertEqual(self.engine.workers[start.worker].acked_end, 0)

    def test_attempts(self):
        """A job fails with the last attempt of a task, and not before."""
        got = self.submit(job(1, StepSpec(1, ONE), max_attempts=2))
        (start,) = self.start_all()
        self.end(start, RunEndKind.FAILED)
        self.now_ms += 1000
        self.assertEqual(got.state, "running")
        (again,) = self.start_all()
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(again.run, start.run + 1)
        self.end(again, RunEndKind.FAILED)
        self.assertEqual(got.state, "failed")
        self.assertEqual(self.plan(Start), [])

    def test_lost_runs_are_no_attempts(self):
        """A stopped or lapsed run does not count."""
        got = self.submit(job(1, StepSpec(1, ONE), max_attempts=1))
        for how in (RunEndKind.STOPPED, RunEndKind.LAPSED, RunEndKind.BROKEN):
            (start,) = self.start_all()
            self.end(start, how)
        self.assertEqual(got.state, "running")

    def test_checkpoint(self):
        """A run goes on from the newest progress."""
        self.submit(job(1, StepSpec(1, ONE, checkpoints=True)))
        (start,) = self.start_all()
        self.end(start, RunEndKind.STOPPED)
        (again,) = self.plan(Start)
        self.assertEqual(again.checkpoint, "cp")

    def test_long_running_comes_back(self):
        """A lasting task starts again however it ended."""
        spec = job(1, StepSpec(1, ONE, long_running=True), max_attempts=1)
        got = self.submit(spec)
        for how in (RunEndKind.DONE, RunEndKind.FAILED, RunEndKind.FAILED):
            (start,) = self.start_all()
            self.end(start, how)
            self.now_ms += 1000
            self.poll("w-0")
            self.poll("w-1")
        self.assertEqual(got.state, "running")
        self.assertEqual(len(self.plan(Start)), 1)

    def test_cancel_stops(self):
        """A cancelled job's runs are stopped and nothing of it starts."""
        got = self.submit(job(1, StepSpec(3, ONE), StepSpec(1, ONE)))
        self.start_all()
        self.engine.cancel(got.spec.id, self.now_ms)
        effects = self.plan()
        self.assertEqual({type(e) for e in effects}, {Stop})
        self.assertEqual(len(effects), 4)
        self.assertEqual(got.state, "cancelled")

    def test_same_id_is_one_job(self):
        """A job that is handed in again is the same job."""
        spec = job(1, StepSpec(1, ONE))
        self.assertIs(self.submit(spec), self.submit(spec))


class PlacingTest(EngineCase):
    """Where tasks may go."""

    def test_capacity(self):
        """No worker gets more than it has; what is stopped still counts."""
        got = self.submit(job(1, StepSpec(20, ONE)))
        self.assertEqual(len(self.start_all()), 8)
        self.engine.cancel(got.spec.id, self.now_ms)
        self.plan()
        self.submit(job(2, StepSpec(1, ONE)))
        self.assertEqual(self.plan(Start), [])

    def test_zone_out(self):
        """Nothing starts in a zone that is out."""
        self.engine.zones_out = frozenset({"zone-0"})
        self.submit(job(1, StepSpec(8, ONE)))
        starts = self.plan(Start)
        self.assertEqual({s.worker for s in starts}, {"w-1"})

    def test_draining(self):
        """Nothing starts on a worker that leaves."""
        self.engine.set_entry(entry(0, draining=True), self.now_ms)
        self.submit(job(1, StepSpec(8, ONE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_other_service(self):
        """A task stays in the pool of its queue."""
        spec = JobSpec("0" * 16, QueueParams("q", "x"), "", (StepSpec(1),))
        self.submit(spec)
        self.assertEqual(self.plan(Start), [])

    def test_label(self):
        """A label that is required is there."""
        self.add(entry(2, labels=("big", "rack-2")))
        self.submit(job(1, StepSpec(2, ONE, label="big")))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-2"})

    def test_per_worker(self):
        """No more tasks of a step go to a worker than it allows."""
        self.submit(job(1, StepSpec(6, ONE, per_worker=1)))
        self.assertEqual(len(self.plan(Start)), 2)

    def test_data_rack(self):
        """Work goes where its data are."""
        self.submit(job(1, StepSpec(2, ONE, data_rack="rack-1")))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_gang_all_or_nothing(self):
        """A gang starts whole, with one run number, or not at all."""
        self.submit(job(1, StepSpec(9, ONE, gang=True)))
        self.assertEqual(self.plan(Start), [])
        self.submit(job(2, StepSpec(8, ONE, gang=True)))
        starts = self.plan(Start)
        self.assertEqual(len(starts), 8)
        self.assertEqual(len({s.run for s in starts}), 1)

    def test_silent_worker(self):
        """A worker that has not answered lately gets nothing."""
        self.now_ms += 2000
        self.poll("w-1")
        self.submit(job(1, StepSpec(8, ONE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_unrecorded_worker(self):
        """A worker that a later owner would not know of gets nothing."""
        self.engine.set_recorded({"w-1": (1, False)})
        self.submit(job(1, StepSpec(8, ONE)))
        self.assertEqual({s.worker for s in self.plan(Start)}, {"w-1"})

    def test_probation(self):
        """A worker that fails everything gets one task at a time."""
        for number in range(4):
            self.submit(job(number, StepSpec(1, ONE), max_attempts=1))
        starts = self.start_all()
        for start in starts:
            if start.worker == "w-0":
                self.end(start, RunEndKind.FAILED)
        self.now_ms += 500
        self.poll("w-0")
        self.poll("w-1")
        self.submit(job(9, StepSpec(8, ONE)))
        starts = [s.worker for s in self.start_all()]
        self.assertEqual(starts.count("w-0"), 1)
        self.assertNotIn("w-0", [s.worker for s in self.plan(Start)])

    def fail_both(self) -> list[Start]:
        """Fills the only worker with lasting tasks, and has two fail."""
        self.engine.workers["w-1"].entry = entry(1, draining=True)
        self.submit(job(1, StepSpec(4, ONE, long_running=True)))
        starts = self.start_all()
        for start in starts[:2]:
            self.end(start, RunEndKind.FAILED)
        return starts

    def test_probation_beside_other_work(self):
        """A worker on probation is tried although it has other work."""
        self.fail_both()
        self.now_ms += 500
        self.poll("w-0")
        self.assertEqual(len(self.start_all()), 1)
        self.assertEqual(self.plan(Start), [])

    def test_probation_ends(self):
        """A run that has worked for a while ends it."""
        self.fail_both()
        self.now_ms += 500
        self.poll("w-0")
        self.start_all()
        for _ in range(3):
            self.now_ms += 500
            self.poll("w-0")
        self.assertEqual(len(self.start_all()), 1)
        self.assertFalse(self.engine.workers["w-0"].on_probation)

    def test_advice(self):
        """A step of such a queue starts only with a ticket."""
        queue = QueueParams("q", "pool", advice=AdviceParams(1, 1, 3000))
        spec = JobSpec("0" * 16, queue, "", (StepSpec(2, ONE),))
        self.submit(spec)
        (ask,) = self.plan()
        self.assertIsInstance(ask, RequestAdvice)
        self.assertEqual(self.plan(), [])
        ticket = Ticket("w-1", "t", self.now_ms + 3000)
        self.engine.add_tickets(spec.id, 0, 0, [ticket])
        starts = self.plan(Start)
        self.assertEqual({(s.worker, s.ticket) for s in starts}, {("w-1", "t")})


class LeavingTest(EngineCase):
    """Work on a worker that is about to leave."""

    def drain(self, worker: str, left_ms: float) -> None:
        """Has a worker say that it leaves."""
        number = int(worker.removeprefix("w-"))
        leaving = entry(number, draining=True, remaining_ms=left_ms)
        self.engine.set_entry(leaving, self.now_ms)

    def stops(self) -> list[Stop]:
        """Returns what two rounds of planning stop."""
        return self.plan(Stop) + self.plan(Stop)

    def test_lasting_moves(self):
        """A lasting task goes elsewhere while there is time."""
        self.submit(job(1, StepSpec(1, ONE, long_running=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        (stop,) = self.stops()
        self.assertEqual(stop.task, start.task)
        self.end(start, RunEndKind.STOPPED)
        (again,) = self.plan(Start)
        self.assertNotEqual(again.worker, start.worker)

    def test_lasting_stays_without_room(self):
        """A lasting task stays as long as it has no other place."""
        self.submit(job(1, StepSpec(2, ONE, long_running=True, per_worker=1)))
        start, _ = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.stops(), [])
        self.drain(start.worker, 400)
        self.assertEqual(len(self.stops()), 1)

    def test_nearly_done_stays(self):
        """What ends in time is left to its end."""
        self.submit(job(1, StepSpec(1, ONE, 1500, checkpoints=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.stops(), [])

    def test_saved_work_moves(self):
        """What saves its progress and would not end in time moves at once."""
        self.submit(job(1, StepSpec(1, ONE, 9000, checkpoints=True)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(len(self.stops()), 1)

    def test_unsaved_work_moves_last(self):
        """What would be lost by a stop stays until the last call."""
        self.submit(job(1, StepSpec(1, ONE, 9000)))
        (start,) = self.start_all()
        self.drain(start.worker, 2000)
        self.assertEqual(self.stops(), [])
        self.now_ms += 1600
        self.poll(start.worker)
        self.assertEqual(len(self.stops()), 1)


class UnknownOutcomeTest(EngineCase):
    """Orders without an answer, and workers without one."""

    def test_unanswered_start(self):
        """It is stopped first, and free only when that was answered."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.plan(Start)
        self.engine.on_start(start, None, self.now_ms)
        (stop,) = self.plan()
        self.assertEqual((stop.task, stop.run), (start.task, start.run))
        self.poll(start.worker, drop=(start.task,))
        self.assertEqual(self.plan(Start), [])
        self.engine.on_stop(stop, self.now_ms)
        self.now_ms += 10
        self.poll(start.worker, drop=(start.task,))
        (again,) = self.plan(Start)
        self.assertGreater(again.run, start.run)

    def test_list_asked_before_the_start(self):
        """A list that was asked for before a start proves nothing."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.plan(Start)
        worker = self.engine.workers[start.worker]
        asked_ms = self.now_ms
        self.now_ms += 50
        self.engine.on_start(start, StartResult.STARTED, self.now_ms)
        reply = PollReply(1, self.now_ms, [], [])
        self.engine.on_poll(worker, asked_ms, reply, self.now_ms)
        self.assertEqual(self.plan(Start), [])
        self.engine.on_poll(worker, self.now_ms + 1, reply, self.now_ms + 2)
        self.assertEqual(len(self.plan(Start)), 1)

    def test_lapse(self):
        """A silent worker's runs are free when its lease surely ended."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.start_all()
        other = "w-1" if start.worker == "w-0" else "w-0"
        begun_ms = self.now_ms
        while self.now_ms < begun_ms + LEASE_MS / 0.98 - 100:
            self.now_ms += 100
            self.poll(other)
            self.assertEqual(self.plan(Start), [])
        self.now_ms += 400
        self.poll(other)
        (again,) = self.plan(Start)
        self.assertEqual(again.worker, other)

    def test_new_life(self):
        """Runs of a former life are free once the new one was looked at."""
        self.submit(job(1, StepSpec(1, ONE)))
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

    def test_left(self):
        """A worker that said so and is gone costs no lease."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.start_all()
        number = int(start.worker[-1])
        worker = self.engine.workers[start.worker]
        self.engine.on_connection_refused(worker, self.now_ms)
        self.assertEqual(self.plan(Start), [])
        self.engine.set_entry(entry(number, draining=True), self.now_ms)
        self.engine.on_connection_refused(worker, self.now_ms)
        self.assertEqual(self.plan(Start), [])
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.engine.on_connection_refused(worker, self.now_ms)
        self.assertEqual(len(self.plan(Start)), 1)

    def replace(self, spec: JobSpec) -> tuple[Start, Start]:
        """Has a run given up with its lease and replaced; returns both."""
        self.submit(spec)
        (first,) = self.start_all()
        other = "w-1" if first.worker == "w-0" else "w-0"
        self.now_ms += 5000
        self.poll(other)
        (second,) = self.start_all()
        return first, second

    def test_stop_of_a_run_that_was_replaced(self):
        """An end that says nothing of the task changes nothing."""
        spec = job(1, StepSpec(1, ONE))
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.LAPSED),))
        got = self.engine.jobs[spec.id]
        self.assertEqual(got.task(0, 0, 0).worker, second.worker)
        self.assertEqual(got.state, "running")

    def test_failure_of_a_run_that_was_replaced(self):
        """A run that was carried out late and failed is an attempt."""
        spec = job(1, StepSpec(1, ONE), max_attempts=2)
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.FAILED),))
        self.assertEqual(self.engine.jobs[spec.id].state, "running")
        self.end(second, RunEndKind.FAILED)
        self.assertEqual(self.engine.jobs[spec.id].state, "failed")

    def test_success_of_a_run_that_was_replaced(self):
        """A run that was carried out late and is done ends the task."""
        spec = job(1, StepSpec(1, ONE))
        first, second = self.replace(spec)
        self.poll(first.worker, ((first.task, first.run, RunEndKind.DONE),))
        self.assertEqual(self.engine.jobs[spec.id].state, "completed")
        (stop,) = self.plan(Stop)
        self.assertEqual((stop.worker, stop.run), (second.worker, second.run))

    def test_refused_start(self):
        """A refused start is tried elsewhere."""
        self.submit(job(1, StepSpec(1, ONE)))
        (start,) = self.plan(Start)
        self.engine.on_start(start, StartResult.NO_ROOM, self.now_ms)
        self.now_ms += 200
        (again,) = self.plan(Start)
        self.assertNotEqual(again.worker, start.worker)


class TakeoverTest(EngineCase):
    """What an earlier owner left."""

    workers = 1

    def silent(self, unsure_ms: float = 6000) -> None:
        """Adds a worker that does not answer."""
        silent = self.engine.set_entry(entry(5), self.now_ms)
        silent.prior_lease_end_ms = self.now_ms + unsure_ms

    def take_over(self, unsure_ms: float = 6000) -> JobSpec:
        """Loads a job, with one worker that does not answer."""
        spec = job(1, StepSpec(2, ONE))
        self.silent(unsure_ms)
        self.submit(spec, loaded=True)
        return spec

    def test_waits_for_silent_workers(self):
        """What may run on a silent worker waits for its lease."""
        self.take_over()
        self.assertEqual(self.plan(Start), [])
        self.now_ms += 6001
        self.poll("w-0")
        self.assertEqual(len(self.plan(Start)), 2)

    def test_new_jobs_do_not_wait(self):
        """A job that no earlier owner knew starts at once."""
        self.take_over()
        self.submit(job(2, StepSpec(1, ONE)))
        (start,) = self.plan(Start)
        self.assertEqual(start.task.job, f"{2:016x}")

    def test_found_runs_go_on(self):
        """What a worker lists is not started again."""
        spec = self.take_over()
        row = RunReport(TaskKey(spec.id, 0, 0, 0), 1, "", 100, 0.0)
        self.poll("w-0", extra=(row,))
        self.poll("w-5")
        (start,) = self.plan(Start)
        self.assertEqual(start.task.index, 1)

    def test_found_runs_outlive_the_first_round(self):
        """A found run whose lease is not extended yet is not taken as lost."""
        worker = self.engine.workers["w-0"]
        got = self.submit(job(1, StepSpec(1, ONE)), loaded=True)
        worker.prior_lease_end_ms = self.now_ms + LEASE_MS
        row = RunReport(TaskKey(got.spec.id, 0, 0, 0), 4, "", 100, 0.0)
        reply = PollReply(1, self.now_ms, [row], [])
        worker.lease_end_ms = 0.0
        self.engine.on_poll(worker, self.now_ms, reply, self.now_ms)
        self.assertEqual(self.plan(), [])
        self.assertEqual(list(worker.runs), [(row.task, row.run)])

    def timed(self):
        """Takes in a loaded job whose second occurrence is not due yet."""
        spec = JobSpec(
            f"{1:016x}",
            QueueParams("q", "pool"),
            "payload",
            (StepSpec(1, ONE),),
            occurrences=2,
            first_due_ms=1000.0,
            interval_ms=1000.0,
        )
        return self.submit(spec, loaded=True)

    def test_occurrence_that_the_last_owner_found_due(self):
        """An end of an occurrence that is not due here is not lost."""
        got = self.timed()
        self.poll(
            "w-0", ends=((TaskKey(got.spec.id, 1, 0, 0), 1, RunEndKind.DONE),)
        )
        self.assertEqual(got.task(1, 0, 0).state, "done")
        self.assertTrue(got.dirty)

    def test_occurrence_that_falls_due_later(self):
        """Its tasks wait for silent workers too."""
        got = self.timed()
        self.silent()
        self.assertEqual(self.engine.plan(self.now_ms, 5000.0), [])
        self.assertEqual(got.due, 2)

    def test_job_read_while_the_last_owner_may_order(self):
        """A new job waits too as long as the last owner is not silenced."""
        self.engine.predecessor_until_ms = self.now_ms + 5000
        self.silent()
        self.submit(job(1, StepSpec(1, ONE)))
        self.assertEqual(self.plan(Start), [])

    def test_run_numbers_rise(self):
        """Runs of this epoch have numbers that no earlier one used."""
        self.take_over()
        self.poll("w-5")
        starts = self.plan(Start)
        self.assertTrue(all(start.run >= 3 * 256 for start in starts))

    def test_unnoted_end(self):
        """An end that the last owner did not note counts."""
        spec = self.take_over()
        done = (TaskKey(spec.id, 0, 0, 1), 4, RunEndKind.DONE)
        self.poll("w-0", (done,))
        self.poll("w-5")
        (start,) = self.plan(Start)
        self.assertEqual(start.task.index, 0)

    def test_failures_in_any_order(self):
        """Failed runs on two workers count, whichever is seen first."""
        spec = job(1, StepSpec(1, ONE), max_attempts=2)
        self.engine.set_entry(entry(5), self.now_ms)
        got = self.submit(spec, loaded=True)
        key = TaskKey(spec.id, 0, 0, 0)
        self.poll("w-0", ((key, 769, RunEndKind.FAILED),))
        self.poll("w-5", ((key, 768, RunEndKind.FAILED),))
        self.assertEqual(got.state, "failed")
        self.assertEqual(self.plan(Start), [])

    def test_run_of_an_unknown_job(self):
        """It is stopped, and its worker counts as full until it ended."""
        row = RunReport(TaskKey("f" * 16, 0, 0, 0), 1, "", 100, 0.0)
        self.poll("w-0", extra=(row,))
        self.submit(job(2, StepSpec(1, ONE)))
        (stop,) = self.plan()
        self.assertIsInstance(stop, Stop)


class FillingTest(EngineCase):
    """Filling tasks beside tasks that serve."""

    workers = 1

    def show(self, tail_ms: float, cores: float) -> None:
        """Has the worker list figures."""
        worker = self.engine.workers["w-0"]
        self.now_ms += 500
        rows = [
            RunReport(
                run.task,
                run.run,
                "",
                100,
                tail_ms
                if run.step.target_ms
                else cores * 10 * run.wanted_percent,
            )
            for run in worker.runs.values()
        ]
        reply = PollReply(1, self.now_ms, rows, [])
        self.engine.on_poll(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def serve(self) -> None:
        """Starts a serving task and a filling one beside it."""
        serving = StepSpec(
            1, ONE, long_running=True, image="web", target_ms=18.0
        )
        filling = StepSpec(1, Resources(2000, 100, 0), image="loud", fills=True)
        self.submit(job(1, serving))
        self.start_all()
        for _ in range(4):
            self.show(6.0, 0.0)
        self.submit(job(2, filling))
        self.start_all()

    def test_paced_before_the_target(self):
        """A filling task is slowed when a tail comes near its target."""
        self.serve()
        self.show(17.5, 2.0)
        self.show(17.5, 2.0)
        paces = self.plan(Pace)
        self.assertEqual(len(paces), 1)
        self.assertLess(paces[0].percent, 100)

    def test_left_alone_far_from_the_target(self):
        """A filling task that does not press keeps its speed."""
        self.serve()
        for _ in range(4):
            self.show(6.0, 2.0)
            self.assertEqual(self.plan(Pace), [])

    def test_held_goes_elsewhere(self):
        """A filling task that gets no speed is stopped."""
        self.serve()
        for _ in range(8):
            self.show(40.0, 2.0)
            effects = self.plan()
            if any(isinstance(effect, Stop) for effect in effects):
                return
        self.fail("the filling task was never stopped")


class GatheringTest(EngineCase):
    """Where tasks that serve go."""

    workers = 3

    def serve(self, number: int, count: int) -> list[str]:
        """Starts a job that serves; returns its workers."""
        step = StepSpec(count, ONE, long_running=True, target_ms=10)
        self.submit(job(number, step))
        return [start.worker for start in self.start_all()]

    def test_one_job_on_one_worker(self):
        """Tasks of one job go where it is already."""
        self.assertEqual(len(set(self.serve(1, 3))), 1)

    def test_beside_others_that_serve(self):
        """Another job goes beside them before it takes an empty worker."""
        (first,) = set(self.serve(1, 2))
        self.assertEqual(self.serve(2, 1), [first])

    def test_next_worker_when_full(self):
        """What does not fit there goes elsewhere."""
        (first,) = set(self.serve(1, 4))
        self.assertNotIn(first, self.serve(2, 2))


class LastingTest(EngineCase):
    """Tasks that run until they are cancelled."""

    def test_start_however_full(self):
        """A lasting task takes the last room; others have no claim to it."""
        self.submit(job(1, StepSpec(6, ONE)))
        self.start_all()
        self.submit(job(2, StepSpec(2, ONE, long_running=True)))
        self.assertEqual(len(self.plan(Start)), 2)


class HealthyOutcomeTest(unittest.TestCase):
    """Bounds on a worker's lease."""

    def test_lease_end_covers_a_slow_clock(self):
        """The bound lies after the end on a clock that is 2 % slow."""
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
