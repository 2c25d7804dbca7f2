"""The owner's state: jobs, workers, and what follows from news of them.

Nothing is written before a start: the workers are the record of what runs.
A new owner raises the fencing token at every worker, which shuts the last
owner's orders out and lists what runs. Only tasks that may be on a worker that
does not answer wait, for that worker's lease.
"""

import math

from limpetyard._events import event
from limpetyard.engine._effects import Effect, Start, Stop
from limpetyard.engine._interference import TailModel
from limpetyard.engine._pacing import learn, pace
from limpetyard.engine._params import EngineParams
from limpetyard.engine._planner import Planner
from limpetyard.engine._run_ends import FAILED_PAUSE_MS, Ends
from limpetyard.engine._step_worker_client import (
    PollReply,
    RunReport,
    StartResult,
    Ticket,
    WorkerEntry,
)
from limpetyard.engine._worker import (
    RunState,
    Worker,
    WorkerRun,
    lease_bound_ms,
)
from limpetyard.jobs import (
    Job,
    JobSpec,
    Resources,
    StepSpec,
    Task,
    TaskKey,
)

# Stands for the step of a run that no known job has: the worker counts as
# full until the run has ended.
UNKNOWN_STEP = StepSpec(1, Resources(1 << 40, 1 << 40, 0))

# A stop without an answer is repeated after this.
STOP_REPEAT_MS = 500

# After a refusal for want of room or health a worker gets nothing for this
# long; its next list shows what it has.
REFUSED_PAUSE_MS = 500

# An entry that is missing longer than this is gone: entries are back within
# two seconds of the store's return.
MISSING_MS = 2500


class StoredBatch:
    """What one append to the store covers.

    Attributes:
        jobs: States of jobs, as written.
        received_end: Number of the last end taken in, by worker and its life.
    """

    __slots__ = ("jobs", "received_end")

    def __init__(
        self, jobs: dict[str, str], received_end: dict[str, tuple[int, int]]
    ):
        self.jobs = jobs
        self.received_end = received_end


class Engine:
    """All that one owner knows and decides of one cell.

    Attributes:
        epoch: Term of the ownership.
        jobs: Jobs by id, ended ones included until they are forgotten.
        open_jobs: Jobs that are not over.
        workers: Workers by id.
        zones_out: Availability zones out of service.
        predecessor_until_ms: Until then the last owner may still start tasks,
            also of jobs that come now.
    """

    __slots__ = (
        "_ends",
        "_planner",
        "dirty_workers",
        "predecessor_until_ms",
        "epoch",
        "jobs",
        "open_jobs",
        "tails",
        "params",
        "workers",
        "zones_out",
    )

    def __init__(self, epoch: int, params: EngineParams):
        self.epoch = epoch
        self.params = params
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.dirty_workers = False
        self.predecessor_until_ms = float("-inf")
        self.tails = TailModel()
        self._ends = Ends(self)
        self._planner = Planner(self)

    def add_job(self, spec: JobSpec, now_ms: float, loaded: bool) -> Job:
        """Takes in an accepted job; a known id changes nothing.

        Args:
            spec: The job.
            now_ms: When it was accepted, on this process's clock.
            loaded: Whether an earlier owner may have started it.
        """
        job = self.jobs.get(spec.id)
        if job is not None:
            return job
        job = Job(spec, now_ms)
        self.jobs[spec.id] = job
        self.open_jobs[spec.id] = job
        if loaded or now_ms < self.predecessor_until_ms:
            job.mark_inherited()
        return job

    def cancel(self, job_id: str, now_ms: float) -> None:
        """Cancels a job; one that is over stays as it is."""
        job = self.open_jobs.get(job_id)
        if job is not None:
            self.end_job(job, "cancel", now_ms)

    def forget(self, job_id: str) -> None:
        """Drops a job that is over."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)

    def set_entry(self, entry: WorkerEntry, now_ms: float) -> Worker:
        """Takes in what a worker says of itself."""
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = Worker(entry, self.epoch)
            worker.begin_life(entry.born)
            worker.set_entry(entry, now_ms)
            self.workers[entry.id] = worker
            return worker
        if entry.born < worker.born:
            return worker
        worker.set_entry(entry, now_ms)
        worker.missing_since_ms = None
        if entry.born > worker.born:
            self._begin_life(worker, entry.born, now_ms)
        return worker

    def set_recorded(self, recorded: dict[str, tuple[int, bool]]) -> None:
        """Notes which lives of workers a later owner will know of.

        Args:
            recorded: Life of each recorded worker and whether it was leaving,
                by its id.
        """
        for worker in self.workers.values():
            born, _ = recorded.get(worker.id, (0, False))
            worker.recorded = born == worker.born

    def add_tickets(
        self, job: str, occurrence: int, step: int, tickets: list[Ticket]
    ) -> None:
        """Takes in which workers may run a step; see `Planner`."""
        self._planner.add_tickets(job, occurrence, step, tickets)

    def mark_entry_missing(self, worker_id: str, now_ms: float) -> None:
        """Notes that no entry names a worker any more."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.missing_since_ms is None:
            worker.missing_since_ms = now_ms

    def on_connection_refused(self, worker: Worker, now_ms: float) -> None:
        """Notes that nobody listens at a worker's address.

        That alone may be the network's doing. A worker that said it would
        leave and whose entry is gone has left, and runs nothing any more.
        """
        left = worker.entry.draining and worker.missing_since_ms is not None
        if not left or not (worker.runs or worker.prior_lease_end_ms > now_ms):
            return
        event("worker_left", worker=worker.id, runs=len(worker.runs))
        runs = list(worker.runs.values())
        worker.runs.clear()
        worker.token_confirmed = False
        worker.lease_end_ms = 0.0
        worker.prior_lease_end_ms = 0.0
        for run in runs:
            self._release_run(worker, run, now_ms)

    def remove_gone_workers(self, now_ms: float) -> list[str]:
        """Drops and returns workers that are gone and can run nothing."""
        gone = [
            worker.id
            for worker in self.workers.values()
            if worker.missing_since_ms is not None
            and now_ms - worker.missing_since_ms > MISSING_MS
            and not worker.runs
            and now_ms > worker.runs_until_ms
        ]
        for worker_id in gone:
            del self.workers[worker_id]
        return gone

    def on_poll(
        self, worker: Worker, sent_ms: float, reply: PollReply, now_ms: float
    ) -> bool:
        """Takes in a worker's lists.

        Args:
            worker: The worker, which has answered to its present token.
            sent_ms: When the lists were asked for.
            reply: The lists.
            now_ms: When they arrived.

        Returns:
            Whether anything ended, or is news of another life.
        """
        if reply.born != worker.born:
            if reply.born > worker.born:
                self._begin_life(worker, reply.born, now_ms)
            return True
        worker.set_clock(reply.clock_ms, now_ms)
        worker.replied_ms = now_ms
        if not worker.token_confirmed:
            self._sound(worker, now_ms)
            event(
                "worker_sounded",
                worker=worker.id,
                token=worker.token,
                runs=len(reply.runs),
                ends=len(reply.ends),
            )
        news = self._ends.take(worker, reply.ends, now_ms)
        self.dirty_workers |= news
        self._take_runs(worker, reply.runs, sent_ms, now_ms)
        learn(worker, self.tails, now_ms)
        return news

    def _sound(self, worker: Worker, now_ms: float) -> None:
        """Notes that no other owner extends its lease any more."""
        worker.token_confirmed = True
        worker.prior_lease_end_ms = min(
            worker.prior_lease_end_ms,
            now_ms + lease_bound_ms(self.params.lease_ms),
        )

    def end_job(self, job: Job, how: str, now_ms: float) -> None:
        """Ends a job, and has what is left of it stopped.

        Args:
            job: The job.
            how: Event of the job chart.
            now_ms: Now.
        """
        job.end(how, now_ms)
        self.open_jobs.pop(job.spec.id, None)
        self.tails.forget(job.spec.id)
        event(
            "job_ended",
            job=job.spec.id,
            queue=job.spec.queue.name,
            state=job.state,
            age_ms=now_ms - job.seen_ms,
        )
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.task.job == job.spec.id:
                    run.state = RunState.STOPPING

    def _take_runs(
        self,
        worker: Worker,
        rows: list[RunReport],
        sent_ms: float,
        now_ms: float,
    ) -> None:
        listed = set()
        for row in rows:
            listed.add((row.task, row.run))
            run = worker.runs.get((row.task, row.run))
            if run is None:
                run = self._adopt(worker, row, now_ms)
            run.refresh(row)
        worker.note_sound_runs(now_ms)
        absent = [key for key in worker.runs if key not in listed]
        for key in absent:
            run = worker.runs[key]
            if run.settled_ms is not None and run.settled_ms < sent_ms:
                del worker.runs[key]
                self._release_run(worker, run, now_ms)

    def _adopt(
        self, worker: Worker, row: RunReport, now_ms: float
    ) -> WorkerRun:
        """Takes in a run that this owner did not order."""
        job = self.jobs.get(row.task.job)
        task = self.started_task(row.task)
        if task is None:
            run = WorkerRun(row.task, row.run, UNKNOWN_STEP, now_ms)
            run.state = RunState.STOPPING
        else:
            run = WorkerRun(row.task, row.run, task.step, now_ms)
            wanted = (
                not job.over
                and task.state == "waiting"
                and row.run not in task.ended
                and row.run >= task.run
            )
            if wanted:
                task.fire("place")
                task.run = row.run
                task.worker = worker.id
                job.begin()
                job.begun_ms = now_ms
            else:
                run.state = RunState.STOPPING
        run.settled_ms = now_ms
        worker.runs[row.task, row.run] = run
        event(
            "run_found",
            task=row.task.name,
            run=row.run,
            worker=worker.id,
            state=run.state.value,
        )
        return run

    def _release_run(
        self, worker: Worker, run: WorkerRun, now_ms: float
    ) -> None:
        job = self.jobs.get(run.task.job)
        task = job.task(*run.task[1:]) if job is not None else None
        if task is None or task.worker != worker.id or task.run != run.run:
            return
        task.checkpoint = run.checkpoint or task.checkpoint
        event(
            "run_lost",
            task=run.task.name,
            run=run.run,
            worker=worker.id,
            state=run.state.value,
        )
        self.release(task, now_ms)

    def release(self, task: Task, now_ms: float) -> None:
        """Has a task that was placed wait again."""
        if task.state == "placed":
            task.fire("release")
            task.worker = ""
            task.idle_since_ms = now_ms

    def _begin_life(self, worker: Worker, born: int, now_ms: float) -> None:
        event("worker_reborn", worker=worker.id, born=born)
        runs = list(worker.runs.values())
        held_until_ms = worker.lease_end_ms
        worker.begin_life(born)
        for run in runs:
            self._release_run(worker, run, now_ms)
            task = self.find_task(run.task)
            if task is not None:
                task.unsure = True
        if runs:
            worker.prior_lease_end_ms = max(
                worker.prior_lease_end_ms, held_until_ms
            )

    def find_task(self, key: TaskKey) -> Task | None:
        """Returns a task, or None if there is none of that name."""
        job = self.jobs.get(key.job)
        return job.task(*key[1:]) if job is not None else None

    def started_task(self, key: TaskKey) -> Task | None:
        """Returns a task that a worker has, or None if there is none.

        An owner whose clock was ahead may have found an occurrence due that
        this one has not.
        """
        job = self.jobs.get(key.job)
        if job is None:
            return None
        if job.due <= key.occurrence < job.spec.occurrences:
            job.make_due(key.occurrence + 1)
            job.dirty = True
        return job.task(*key[1:])

    def on_start(
        self, effect: Start, result: StartResult | None, now_ms: float
    ) -> None:
        """Takes in the outcome of a start.

        Args:
            effect: The `Start` that was carried out.
            result: What the worker said, or None if it gave no answer.
            now_ms: Now.
        """
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if not run:
            return
        if result is StartResult.STARTED:
            run.settled_ms = now_ms
            if run.state is RunState.ORDERED:
                run.state = RunState.RUNNING
            self._note_begun(effect.task.job, now_ms)
            return
        if result is None:
            if run.state is RunState.ORDERED:
                run.state = RunState.STOPPING
            return
        del worker.runs[effect.task, effect.run]
        event(
            "start_refused",
            task=effect.task.name,
            run=effect.run,
            worker=worker.id,
            reason=result.value,
        )
        worker.refused_until_ms = now_ms + REFUSED_PAUSE_MS
        task = self.find_task(effect.task)
        if task is not None and task.worker == worker.id:
            self.release(task, now_ms)
            task.retry_at_ms = now_ms + FAILED_PAUSE_MS

    def _note_begun(self, job_id: str, now_ms: float) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.begun_ms is not None:
            return
        job.begun_ms = now_ms
        event(
            "job_begun",
            job=job_id,
            queue=job.spec.queue.name,
            wait_ms=now_ms - job.seen_ms,
        )

    def on_stop(self, effect: Stop, now_ms: float) -> None:
        """Takes in that a worker answered a stop."""
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if run:
            run.order_ms = math.inf
            if run.settled_ms is None:
                run.settled_ms = now_ms

    def plan(self, now_ms: float, wall_ms: float) -> list[Effect]:
        """Decides what to do now."""
        self._lapse(now_ms)
        effects: list[Effect] = self._stops(now_ms)
        effects += self._planner.place(now_ms, wall_ms)
        for worker in self.workers.values():
            effects += pace(worker, self.tails, now_ms)
        return effects

    def _lapse(self, now_ms: float) -> None:
        for worker in self.workers.values():
            if not worker.runs or now_ms <= worker.runs_until_ms:
                continue
            event(
                "worker_lapsed",
                worker=worker.id,
                runs=len(worker.runs),
                replied_ms=worker.replied_ms,
            )
            runs = list(worker.runs.values())
            worker.runs.clear()
            worker.token_confirmed = False
            for run in runs:
                self._release_run(worker, run, now_ms)

    def _stops(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        for worker in self.workers.values():
            for run in worker.runs.values():
                due = now_ms - run.order_ms >= STOP_REPEAT_MS
                if run.state is RunState.STOPPING and due:
                    run.order_ms = now_ms
                    effects.append(Stop(worker.id, run.task, run.run))
        return effects

    def take_dirty(self) -> tuple[list[Job], StoredBatch]:
        """Returns the jobs to store next, and what that will cover."""
        jobs = [job for job in self.jobs.values() if job.dirty]
        received_end = {
            worker.id: (worker.born, worker.received_end)
            for worker in self.workers.values()
            if worker.received_end > worker.acked_end
        }
        self.dirty_workers = False
        for job in jobs:
            job.dirty = False
        return jobs, StoredBatch(
            {j.spec.id: j.state for j in jobs}, received_end
        )

    def on_stored(self, batch: StoredBatch) -> None:
        """Takes in that a batch is stored."""
        for job_id, state in batch.jobs.items():
            if job_id in self.jobs:
                self.jobs[job_id].stored_state = state
        for worker_id, (born, received_end) in batch.received_end.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.acked_end = max(worker.acked_end, received_end)

    def on_store_rejected(self, batch: StoredBatch) -> None:
        """Takes in that a batch was refused."""
        for job_id in batch.jobs:
            if job_id in self.jobs:
                self.jobs[job_id].dirty = True
        self.dirty_workers = True
