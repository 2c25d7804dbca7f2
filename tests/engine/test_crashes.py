"""Tests of tasks that crash workers, and of innocent tasks beside them."""

from limpetyard.engine import (
    Engine,
    RunEndKind,
    RunReport,
    Start,
    StartResult,
    Stop,
    Worker,
)
from limpetyard.engine._crashes import (
    ISOLATION_WAIT_MS,
    LONE_CRASH,
    MAX_SCORE,
    SHARED_CRASH,
)
from limpetyard.engine._engine import (
    MISSING_ENTRY_GRACE_MS,
    UNPROVEN_CRASH_MS,
)
from limpetyard.engine._worker import PROVEN_RUN_MS
from limpetyard.jobs import StepSpec, Task, apply_progress, encode_progress
from tests.engine.test_engine import (
    ONE_CORE,
    EngineTestCase,
    entry,
    job,
)


class CrashTestCase(EngineTestCase):
    """Base of tests with crashes."""

    workers = 4

    def worker(self, start: Start) -> Worker:
        """Returns the worker of a start."""
        return self.engine.workers[start.worker]

    def task(self, start: Start) -> Task:
        """Returns the task of a start."""
        return self.engine.find_task(start.task)

    def poll_all(self, after_ms: float = 0.0) -> None:
        """Has all workers that have not ended reply after some time."""
        self.now_ms += after_ms
        for worker in self.engine.workers.values():
            if not worker.ended:
                self.poll(worker.id)

    def replace(self, start: Start) -> None:
        """Shows that another worker has replaced that of a start."""
        worker = self.worker(start)
        self.now_ms += 3000
        for other in self.engine.workers.values():
            if other is not worker and not other.ended:
                self.poll(other.id)
        self.engine.on_worker_replaced(worker, self.now_ms)

    def reply_reborn(self, start: Start) -> None:
        """Has a later incarnation reply."""
        self.poll(start.worker, born=2)

    def list_reborn(self, start: Start) -> None:
        """Lists a later incarnation in the directory."""
        number = int(start.worker.removeprefix("w-"))
        self.engine.set_entry(entry(number, born=2), self.now_ms)

    def refuse(self, start: Start) -> None:
        """Lets a worker without an entry refuse connections."""
        worker = self.worker(start)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.engine.on_connection_refused(worker, self.now_ms)
        self.assertEqual(self.task(start).crash_score, 0)
        self.now_ms += MISSING_ENTRY_GRACE_MS + 1
        for _ in range(2):
            self.engine.on_connection_refused(worker, self.now_ms)
        self.assertEqual(worker.unproven_runs(), [])


class CountTest(CrashTestCase):
    """Which crashes count against which tasks."""

    def start_one(self, **step_args) -> Start:
        """Starts a job of one task, or fails the test."""
        self.submit(job(1, StepSpec(1, ONE_CORE, **step_args)))
        (start,) = self.start_all()
        return start

    def test_second_crash_fails_the_job(self):
        """A task that crashes its workers is started for ever."""
        start = self.start_one()
        self.replace(start)
        (again,) = self.start_all()
        self.assertNotEqual(again.worker, start.worker)
        self.replace(again)
        self.assertEqual(self.plan(Start), [])
        self.assertEqual(self.engine.jobs[start.task.job].state, "failed")

    def test_long_running_too(self):
        """A long-running task has no limit of crashes, or that of others."""
        start = self.start_one(long_running=True)
        for state in ("running", "running", "failed"):
            self.replace(start)
            self.assertEqual(self.engine.jobs[start.task.job].state, state)
            if state == "running":
                (start,) = self.start_all()

    def test_proofs_of_a_crash(self):
        """Each proof of a crash counts once, and a suspicion counts less.

        A network fault that refuses connections counted as a crash: LOST.
        """
        for prove, count in (
            (self.replace, LONE_CRASH),
            (self.reply_reborn, LONE_CRASH),
            (self.list_reborn, LONE_CRASH),
            (self.refuse, SHARED_CRASH),
        ):
            with self.subTest(prove.__name__):
                self.setUp()
                start = self.start_one()
                self.engine.pop_dirty()
                prove(start)
                self.assertEqual(self.task(start).crash_score, count)
                (changed,), _ = self.engine.pop_dirty()
                self.assertEqual(changed.spec.id, start.task.job)

    def start_without_reply(self) -> Start:
        """Sends a start order that gets no reply."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        self.engine.on_start_reply(start, None, self.now_ms)
        return start

    def test_unanswered_start(self):
        """Orders to workers that were down made a job fail: LOST.

        A worker acknowledges stop orders for any run, so that one shows no more
        than the lack of a reply.
        """
        start = self.start_without_reply()
        (stop,) = self.plan(Stop)
        self.engine.on_stop_reply(stop, self.now_ms)
        self.replace(start)
        task = self.task(start)
        self.assertEqual((task.crash_score, task.state), (0, "waiting"))

    def test_unanswered_start_that_was_reported(self):
        """A run is known by a report although its start had no reply."""
        start = self.start_without_reply()
        self.poll(start.worker)
        self.replace(start)
        self.assertEqual(self.task(start).crash_score, LONE_CRASH)

    def doubt(self, start: Start) -> None:
        """Starts a run after a poll of its worker got no reply."""
        self.worker(start).may_have_restarted = True
        self.engine.on_start_reply(start, StartResult.STARTED, self.now_ms)

    def test_start_after_an_unanswered_poll(self):
        """LOST: a job failed as its run was in the incarnation that worked on.

        The new incarnation had acknowledged the start, before the restart was
        known.
        """
        for restart in (self.reply_reborn, self.list_reborn):
            with self.subTest(restart.__name__):
                self.setUp()
                self.replace(self.start_one())
                (again,) = self.plan(Start)
                task = self.task(again)
                self.assertEqual(task.crash_score, LONE_CRASH)
                self.doubt(again)
                restart(again)
                self.assertEqual(task.crash_score, LONE_CRASH + SHARED_CRASH)
                self.assertEqual(
                    self.engine.jobs[again.task.job].state, "running"
                )

    def test_reported_after_an_unanswered_poll(self):
        """A crash counts less though the run was reported before it."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.plan(Start)
        self.doubt(start)
        self.poll(start.worker)
        self.reply_reborn(start)
        self.assertEqual(self.task(start).crash_score, LONE_CRASH)

    def test_order_beside_a_run_that_began(self):
        """A run that began is the only suspect where another order was sent."""
        start = self.start_one()
        worker = self.worker(start)
        for other in self.engine.workers.values():
            other.backoff_until_ms = 0.0 if other is worker else 1e9
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        (silent,) = self.plan(Start)
        self.engine.on_start_reply(silent, None, self.now_ms)
        self.replace(start)
        self.assertEqual(self.task(start).crash_score, SHARED_CRASH)
        self.assertEqual(self.task(silent).crash_score, 0)

    def test_place_of_a_run_that_may_not_have_begun(self):
        """The next owner counted a crash under a run that never began."""
        self.replace(self.start_one())
        (again,) = self.plan(Start)
        task = self.task(again)
        self.assertEqual(task.suspect_place, ("", 0))
        self.engine.pop_dirty()
        self.engine.on_start_reply(again, StartResult.STARTED, self.now_ms)
        self.assertEqual(task.suspect_place, (again.worker, 1))
        (changed,), _ = self.engine.pop_dirty()
        self.assertEqual(changed.spec.id, again.task.job)

    def test_proven_run(self):
        """A crash long after the start counts against the task."""
        start = self.start_one()
        self.poll_all(PROVEN_RUN_MS)
        self.replace(start)
        self.assertEqual(self.task(start).crash_score, 0)

    def test_report_soon_after_the_start(self):
        """A report from before a crash proves the run."""
        start = self.start_one()
        self.poll_all(PROVEN_RUN_MS / 2)
        self.replace(start)
        self.assertEqual(self.task(start).crash_score, LONE_CRASH)

    def test_closed_connection(self):
        """A crash counts against a run that had been up for long by then."""
        for after_ms, count in (
            (PROVEN_RUN_MS, 0),
            (PROVEN_RUN_MS / 2, LONE_CRASH),
        ):
            with self.subTest(after_ms):
                self.setUp()
                start = self.start_one()
                sent_ms = self.now_ms
                self.now_ms += after_ms
                self.worker(start).record_disconnect(sent_ms, self.now_ms)
                self.replace(start)
                self.assertEqual(self.task(start).crash_score, count)

    def test_connection_closed_at_once(self):
        """A poll after the crash proves that the worker was up until then."""
        start = self.start_one()
        self.now_ms += PROVEN_RUN_MS
        self.worker(start).record_disconnect(self.now_ms, self.now_ms)
        self.replace(start)
        self.assertEqual(self.task(start).crash_score, LONE_CRASH)

    def test_run_of_an_earlier_owner(self):
        """A run that was found counts as started just now."""
        spec = job(1, StepSpec(1, ONE_CORE))
        submitted = self.submit(spec, loaded=True)
        task = submitted.task(0, 0, 0)
        self.poll("w-0", extra=(RunReport(task.key, 1, "", 100, 0.0),))
        worker = self.engine.workers["w-0"]
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.assertEqual(task.crash_score, 0)

    def lapse(self, start: Start) -> Worker:
        """Lets the lease of the worker of a start expire."""
        for _ in range(6):
            self.now_ms += 1000
            for worker in self.engine.workers.values():
                if worker.id != start.worker:
                    self.poll(worker.id)
        self.plan()
        self.assertEqual(self.worker(start).runs, {})
        return self.worker(start)

    def test_lost_for_good_in_silence(self):
        """A worker that neither answers nor returns counts for nothing."""
        start = self.start_one()
        worker = self.lapse(start)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.now_ms += UNPROVEN_CRASH_MS + 1
        for _ in range(2):
            self.engine.remove_gone_workers(self.now_ms)
        self.assertEqual(self.task(start).crash_score, SHARED_CRASH)

    def test_worker_that_answers_after_all(self):
        """A refused connection counts although the worker goes on: LOST."""
        start = self.start_one()
        self.refuse(start)
        self.assertEqual(self.task(start).crash_score, SHARED_CRASH)
        self.poll(start.worker, drop=(start.task,))
        self.assertEqual(self.task(start).crash_score, 0)

    def test_lost_worker_that_answers_after_all(self):
        """A crash stays counted although the lost worker is back: LOST."""
        start = self.start_one()
        worker = self.lapse(start)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.now_ms += UNPROVEN_CRASH_MS + 1
        self.engine.remove_gone_workers(self.now_ms)
        self.assertEqual(self.task(start).crash_score, SHARED_CRASH)
        self.assertNotIn(worker.id, self.engine.workers)
        self.engine.set_entry(worker.entry, self.now_ms)
        self.poll(worker.id, ((start.task, start.run, RunEndKind.LAPSED),))
        self.assertEqual(self.task(start).crash_score, 0)

    def test_place_is_kept_until_the_proof(self):
        """A new owner that stores progress forgets where a suspect ran."""
        start = self.start_one()
        self.replace(start)
        (again,) = self.start_all()
        engine = self.engine
        for _ in range(2):
            stored = encode_progress(engine.jobs[start.task.job], 0.0)
            engine = Engine(engine.epoch + 1, engine.params)
            engine.add_job(self.engine.jobs[start.task.job].spec, 0.0, True)
            apply_progress(engine.jobs[start.task.job], stored, self.now_ms)
        task = engine.find_task(start.task)
        self.assertEqual(task.suspect_place, (again.worker, 1))

    def test_counted_crash_is_not_stored(self):
        """A crash is counted by this owner and again by the next one."""
        start = self.start_one()
        self.refuse(start)
        self.assertEqual(self.task(start).suspect_place, ("", 0))

    def test_lapse_before_the_proof(self):
        """A crash that is proven after the lease expired does not count."""
        start = self.start_one()
        worker = self.lapse(start)
        self.assertEqual(self.task(start).crash_score, 0)
        self.engine.mark_entry_missing(worker.id, self.now_ms)
        self.now_ms += MISSING_ENTRY_GRACE_MS + 1
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), [])
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.assertEqual(self.task(start).crash_score, LONE_CRASH)

    def test_lapse_without_a_crash(self):
        """A task counts a crash after its worker was cut off for long."""
        start = self.start_one()
        worker = self.lapse(start)
        self.poll(worker.id, drop=(start.task,))
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.assertEqual(self.task(start).crash_score, 0)

    def test_draining_worker(self):
        """The departure of a worker counts as a crash."""
        start = self.start_one()
        number = int(start.worker.removeprefix("w-"))
        self.engine.set_entry(entry(number, draining=True), self.now_ms)
        for prove in (self.replace, self.list_reborn):
            prove(start)
            self.assertEqual(self.task(start).crash_score, 0)

    def test_ends_clear_the_count(self):
        """A task that has survived a start remains a suspect."""
        for kind, count in (
            (RunEndKind.FAILED, 0),
            (RunEndKind.STOPPED, 0),
            (RunEndKind.LAPSED, LONE_CRASH),
        ):
            with self.subTest(kind):
                self.setUp()
                self.replace(self.start_one())
                (again,) = self.start_all()
                self.end(again, kind)
                self.assertEqual(self.task(again).crash_score, count)


class OtherCausesTest(CrashTestCase):
    """Crashes that the task may not have caused."""

    def test_shared_crash(self):
        """A task is given up because of another one beside it."""
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 1e9
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        starts = self.start_all()
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 0.0
        self.replace(starts[0])
        for start in starts:
            self.assertEqual(self.task(start).crash_score, SHARED_CRASH)
        again = self.start_all()
        self.assertEqual(len({s.worker for s in again}), 2)
        self.replace(again[0])
        self.assertEqual(self.engine.jobs[again[0].task.job].state, "running")

    def test_more_crashes_are_allowed(self):
        """A task is given up at two crashes while other workers crash."""
        idle = self.engine.workers["w-3"]
        idle.backoff_until_ms = 1e9
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (first,) = self.start_all()
        self.engine.on_worker_replaced(idle, self.now_ms)
        self.replace(first)
        (second,) = self.start_all()
        self.replace(second)
        self.assertEqual(self.task(second).crash_score, MAX_SCORE)
        (third,) = self.start_all()
        self.replace(third)
        self.assertEqual(self.engine.jobs[third.task.job].state, "failed")


class InheritedSuspectTest(CrashTestCase):
    """Suspects that an earlier owner placed."""

    def load(self, worker_id: str, born: int) -> Task:
        """Loads a task of which one crash was counted, placed there."""
        submitted = self.submit(job(1, StepSpec(1, ONE_CORE)), loaded=True)
        task = submitted.task(0, 0, 0)
        task.crash_score, task.run = LONE_CRASH, 1
        task.stored_worker, task.stored_born = worker_id, born
        self.engine.workers[worker_id].replied_ms = None
        self.engine.crashes.expect_runs(self.now_ms)
        return task

    def test_crash_of_the_worker(self):
        """A crash is not counted if the owner changes before its proof."""
        task = self.load("w-0", 1)
        worker = self.engine.workers["w-0"]
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.assertEqual(task.crash_score, LONE_CRASH + SHARED_CRASH)

    def test_crash_before_the_takeover(self):
        """A crash is not counted if the worker is back at the takeover."""
        self.engine.set_entry(entry(0, born=3), self.now_ms)
        self.assertEqual(
            self.load("w-0", 2).crash_score, LONE_CRASH + SHARED_CRASH
        )

    def adopt(self) -> Task:
        """Loads a suspect whose run the worker then reports."""
        task = self.load("w-0", 1)
        self.poll("w-0", extra=(RunReport(task.key, 1, "", 100, 0.0),))
        return task

    def test_place_of_a_run_that_was_found(self):
        """Each further owner counts a crash of a worker that works on: LOST."""
        self.assertEqual(self.adopt().suspect_place, ("w-0", 1))

    def test_place_after_the_end_of_a_run_that_was_found(self):
        """A crash long after a run ended counts against its task: LOST."""
        task = self.adopt()
        self.poll("w-0", ((task.key, 1, RunEndKind.LAPSED),))
        self.assertEqual(task.crash_score, LONE_CRASH)
        self.assertEqual(task.suspect_place, ("", 0))

    def test_no_crash(self):
        """A reply of the worker does not clear it of the stored run."""
        task = self.load("w-0", 1)
        self.poll("w-0")
        self.reply_reborn(Start("w-0", task.key, 1, "", "", "", ""))
        self.assertEqual(task.crash_score, LONE_CRASH)


class IsolationTest(CrashTestCase):
    """Placement of suspects."""

    def suspects(self, count: int, **step_args) -> list[Start]:
        """Starts tasks on one worker, which crashes."""
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 1e9
        self.submit(job(1, StepSpec(count, ONE_CORE, **step_args)))
        starts = self.start_all()
        self.assertEqual({s.worker for s in starts}, {"w-0"})
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 0.0
        self.replace(starts[0])
        return starts

    def test_one_suspect_to_a_worker(self):
        """The next crash has several suspects."""
        self.suspects(4)
        starts = self.start_all()
        self.assertEqual({s.worker for s in starts}, {"w-1", "w-2", "w-3"})
        self.assertEqual(len(starts), 3)
        self.submit(job(2, StepSpec(1, ONE_CORE)))
        self.assertEqual(self.plan(Start), [])
        self.poll_all(PROVEN_RUN_MS)
        self.assertEqual([self.task(s).crash_score for s in starts], [0] * 3)
        self.assertEqual(len(self.start_all()), 2)

    def suspect_beside_unproven_runs(self, **step_args) -> Start:
        """Makes a task a suspect while all other workers have new runs."""
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 1e9
        self.submit(job(1, StepSpec(1, ONE_CORE, **step_args)))
        (first,) = self.start_all()
        for number in range(1, self.workers):
            self.engine.workers[f"w-{number}"].backoff_until_ms = 0.0
        self.submit(job(2, StepSpec(4, ONE_CORE, per_worker=1)))
        others = self.start_all()
        self.assertEqual(len({s.worker for s in others}), 4)
        self.engine.on_worker_replaced(self.worker(first), self.now_ms)
        self.engine.cancel_job(f"{2:016x}", self.now_ms)
        return first

    def test_worker_with_unproven_runs(self):
        """A suspect starts beside a run that is not proven."""
        first = self.suspect_beside_unproven_runs()
        self.assertEqual(self.plan(Start), [])
        self.poll_all(PROVEN_RUN_MS)
        (again,) = self.start_all()
        self.assertEqual(again.task, first.task)

    def test_wait_is_bounded(self):
        """A suspect waits as long as all workers have unproven runs."""
        first = self.suspect_beside_unproven_runs(long_running=True)
        self.assertEqual(self.plan(Start), [])
        self.now_ms += ISOLATION_WAIT_MS
        for worker in self.engine.workers.values():
            if not worker.ended:
                worker.replied_ms = self.now_ms
        (again,) = self.plan(Start)
        self.assertEqual(again.task, first.task)

    def test_avoids_the_machine_that_crashed(self):
        """A suspect goes back to a machine that flaps."""
        (start,) = self.suspects(1)
        address = self.worker(start).entry.address
        self.add(entry(9, address=address))
        self.engine.workers["w-9"].backoff_until_ms = self.now_ms + 1
        self.engine.open_jobs[start.task.job].task(0, 0, 0).retry_at_ms = (
            self.now_ms + 100
        )
        self.submit(job(2, StepSpec(3, ONE_CORE, per_worker=1)))
        self.start_all()
        self.poll_all(PROVEN_RUN_MS)
        (again,) = self.plan(Start)
        self.assertEqual(again.task, start.task)
        self.assertNotEqual(again.worker, "w-9")

    def test_gang(self):
        """A gang with suspects is never placed for lack of free workers."""
        self.suspects(2, gang=True)
        starts = self.start_all()
        self.assertEqual(len(starts), 2)
        self.replace(starts[0])
        self.assertEqual(self.engine.jobs[starts[0].task.job].state, "failed")

    def test_gang_beside_unproven_runs(self):
        """A gang with suspects waits for workers without unproven runs."""
        self.suspects(2, gang=True)
        self.submit(job(0, StepSpec(3, ONE_CORE, per_worker=1)))
        gang = self.engine.open_jobs.pop(f"{1:016x}")
        self.assertEqual(len(self.start_all()), 3)
        self.engine.open_jobs[gang.spec.id] = gang
        self.assertEqual(len(self.start_all()), 2)
