"""State of the owner of a cell: its jobs and workers, and what to do next.

Nothing is written to the store before a run starts: the workers are the source
of truth on what runs. A new owner polls every worker with a higher fencing
token, so that the worker rejects orders of the previous owner and reports its
runs. A task that may run on an unresponsive worker must wait until the
lease of that worker expires; no other task waits.
"""

import math
from collections.abc import Callable, Collection

from limpetyard._events import event
from limpetyard.engine._census import Census
from limpetyard.engine._crashes import CrashTracker
from limpetyard.engine._doubts import StartDoubts
from limpetyard.engine._effects import (
    Effect,
    Pace,
    RequestAdvice,
    Start,
    Stop,
)
from limpetyard.engine._eligibility import TakeoverProgress
from limpetyard.engine._interference import InterferenceModel
from limpetyard.engine._pacing import (
    PACERS,
    adopted_strain_ms,
    note_best_effort,
    update_interference,
)
from limpetyard.engine._params import EngineParams
from limpetyard.engine._planner import Planner
from limpetyard.engine._reserve import OfferedLoad
from limpetyard.engine._run_ends import FAILED_TASK_BACKOFF_MS, RunEndHandler
from limpetyard.engine._speeds import repeat_failed
from limpetyard.engine._step_worker_client import (
    PollReply,
    RunReport,
    StartResult,
    Ticket,
    WorkerEntry,
)
from limpetyard.engine._strain import Strain
from limpetyard.engine._strain_updates import note_effects, update_strain
from limpetyard.engine._worker import (
    MAX_ORDER_DELAY_MS,
    PROVEN_RUN_MS,
    RecordedState,
    RunState,
    Worker,
    WorkerRun,
    lease_bound_ms,
)
from limpetyard.jobs import (
    AnsweredPlace,
    Job,
    JobSpec,
    Resources,
    StartDoubt,
    StepSpec,
    Task,
    TaskHistory,
    TaskKey,
    apply_history,
    task_history,
)

# Step of a run whose job is unknown. Its cores and memory exceed those of any
# worker, so the worker counts as full until the run has ended.
UNKNOWN_STEP = StepSpec(1, Resources(1 << 40, 1 << 40, 0))

# Time after which a stop order without a reply is repeated.
STOP_RETRY_MS = 500

# Rejections of a start that say something about the worker rather than about
# the order.
WORKER_REJECTIONS = (StartResult.NO_ROOM, StartResult.UNHEALTHY)

# Time for which a worker gets no new work after such a rejection. Its next
# report shows what it runs.
REJECTED_START_BACKOFF_MS = 500

# Maximum of the exponential backoff of a task whose starts are rejected. It is
# longer than that of the worker, so that other tasks get a turn.
MAX_REJECTED_BACKOFF_MS = 1600

# Time for each task of a job after which its answered places are stored, and
# the longest such time. Each change rewrites what is stored of all its tasks;
# those of one such time share an append.
ANSWERS_DELAY_PER_TASK_MS = 0.1
MAX_ANSWERS_DELAY_MS = 300

# A worker whose directory entry is missing for longer than this counts as
# departed. After an outage of the store, entries are back within two seconds.
MISSING_ENTRY_GRACE_MS = 2500

# Time after the end of its lease for which a worker is kept whose crash would
# count against tasks. Most crashed workers are back, and thereby prove the
# crash, in seconds.
CRASH_PROOF_WAIT_MS = 20_000

# Time after the end of its lease from which a worker without a directory entry
# counts as crashed though nothing proves it.
UNPROVEN_CRASH_MS = 6000


class ChangeBatch:
    """Changes that one append to the store makes durable.

    Attributes:
        jobs: State of each job in the append, by id.
        received_ends: Incarnation of each worker and number of its last ended
            run that was processed, by worker id.
        places: Long-running tasks whose place changes, and the new place.
        answers: Tasks whose `recorded_answers` change, and the new ones.
    """

    __slots__ = ("answers", "jobs", "places", "received_ends")

    def __init__(
        self,
        jobs: dict[str, str],
        received_ends: dict[str, tuple[int, int]],
        places: list[tuple[Task, str]],
        answers: list[tuple[Task, frozenset[str]]],
    ):
        self.answers = answers
        self.jobs = jobs
        self.received_ends = received_ends
        self.places = places


class Engine:
    """Scheduling state of one cell, and the decisions of its owner.

    Attributes:
        epoch: Epoch of the ownership.
        params: Time limits of the site.
        jobs: Jobs by id, including ended ones until they are dropped.
        open_jobs: Jobs by id that are not in a final state.
        workers: Workers by id.
        zones_out: Availability zones that are out of service.
        dirty_workers: Whether ended runs were processed that are not stored.
        confirmed_ms: Latest time at which no later owner can have renewed a
            lease. A lease that ends after it counts as lasting.
        may_lease: Returns whether a worker, by id, may be granted a lease.
        may_have_stale_orders: Returns whether earlier owners may have sent
            orders to a worker, by id, that no record of theirs names.
        predecessor_until_ms: Time until which an earlier owner may still start
            tasks, including those of jobs that arrive now.
        predecessor_asked: Whether the previous owner has replied, or has not
            done so in time.
        places_trusted: Whether the earlier owners stored the places of
            long-running tasks before they started them.
        queue_services: Services under which jobs of each queue may have been
            accepted, by queue; those of jobs that were added, and others that
            the caller adds.
        unstored_jobs: Ids of the jobs whose progress was left out of a batch
            and is in none since.
        interference: Model of the effect of best-effort tasks on tail
            latencies.
        crashes: Counts crashes of workers for each task.
        doubts: Starts that later incarnations may still carry out.
    """

    __slots__ = (
        "_census",
        "_offered_loads",
        "_pace",
        "_planner",
        "_removed_incarnations",
        "_run_end_handler",
        "_takeover_progress",
        "_unstored_answers",
        "_workers_by_job",
        "crashes",
        "dirty_workers",
        "doubts",
        "epoch",
        "interference",
        "jobs",
        "open_jobs",
        "params",
        "places_trusted",
        "predecessor_asked",
        "confirmed_ms",
        "may_have_stale_orders",
        "may_lease",
        "predecessor_until_ms",
        "queue_services",
        "unstored_jobs",
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
        self.confirmed_ms = float("inf")
        self.may_lease: Callable[[str], bool] = lambda worker_id: True
        self.may_have_stale_orders: Callable[[str], bool] = lambda worker_id: (
            True
        )
        self.predecessor_until_ms = float("-inf")
        self.predecessor_asked = False
        self.places_trusted = False
        self.interference = InterferenceModel()
        self.crashes = CrashTracker(self)
        self.doubts = StartDoubts(self)
        self._offered_loads: dict[str, OfferedLoad] = {}
        self._run_end_handler = RunEndHandler(self)
        self._planner = Planner(self)
        self._census = Census(self)
        self._takeover_progress = TakeoverProgress(self)
        self._pace = PACERS.get(params.pacer)
        # Ids of the workers that have got runs of a job, by its id, until it
        # ends.
        self._workers_by_job: dict[str, set[str]] = {}
        # Number of incarnations of each dropped worker, by id.
        self._removed_incarnations: dict[str, int] = {}
        self.unstored_jobs: set[str] = set()
        self.queue_services: dict[str, set[str]] = {}
        # When the answered places of a job are to be stored, by its id; only if
        # they are not yet.
        self._unstored_answers: dict[str, float] = {}

    def add_job(self, spec: JobSpec, now_ms: float, loaded: bool) -> Job:
        """Adds an accepted job and returns it; idempotent by id.

        Args:
            spec: Specification of the job.
            now_ms: When the job was accepted or, if it is new, read, on this
                process's clock.
            loaded: Whether an earlier owner may have started the job.
        """
        job = self.jobs.get(spec.id)
        if job is not None:
            return job
        job = Job(spec, now_ms)
        self.jobs[spec.id] = job
        self.open_jobs[spec.id] = job
        if loaded or now_ms < self.predecessor_until_ms:
            job.mark_inherited()
            if not self.places_trusted:
                job.forget_places()
            if not loaded:
                # Earlier owners cannot store places any more.
                job.exclude_earlier_starts()
        self.add_queue_service(spec.queue.name, spec.queue.service)
        self.offered_load(spec.queue.service).add(spec, now_ms)
        return job

    def add_queue_service(self, queue: str, service: str) -> None:
        """Adds a service under which jobs of a queue may have been accepted."""
        self.queue_services.setdefault(queue, set()).add(service)

    @property
    def services(self) -> frozenset[str]:
        """Services of all jobs that were added."""
        return frozenset(self._offered_loads)

    def offered_load(self, service: str) -> OfferedLoad:
        """Returns the load of the short tasks of a service."""
        if service not in self._offered_loads:
            self._offered_loads[service] = OfferedLoad()
        return self._offered_loads[service]

    def cancel_job(self, job_id: str, now_ms: float) -> None:
        """Cancels a job, unless it is unknown or in a final state."""
        job = self.open_jobs.get(job_id)
        if job is not None:
            self.end_job(job, "cancel", now_ms)

    def drop_job(self, job_id: str) -> None:
        """Drops a job that is in a final state."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self._workers_by_job.pop(job_id, None)
        self.unstored_jobs.discard(job_id)

    def set_entry(self, entry: WorkerEntry, now_ms: float) -> Worker:
        """Adds or updates a worker from its directory entry.

        Ignores entries of earlier incarnations.
        """
        worker = self.workers.get(entry.id)
        if worker is None:
            incarnations = self._removed_incarnations.pop(entry.id, 0)
            worker = Worker(entry, self.epoch, incarnations)
            worker.start_incarnation(entry.born)
            worker.set_entry(entry, now_ms)
            self.workers[entry.id] = worker
            return worker
        if entry.born < worker.born:
            return worker
        if entry.born > worker.born:
            self._start_incarnation(worker, entry.born, now_ms)
        worker.set_entry(entry, now_ms)
        worker.missing_since_ms = None
        return worker

    def set_recorded_workers(self, recorded: dict[str, RecordedState]) -> None:
        """Sets which workers are stored, so that a later owner polls them.

        Args:
            recorded: Stored state of each worker, by worker id.
        """
        for worker in self.workers.values():
            born, *_ = recorded.get(worker.id, (0,))
            worker.recorded = born == worker.born

    def add_tickets(
        self, request: RequestAdvice, tickets: list[Ticket]
    ) -> None:
        """Adds tickets to run a step on workers; see `Planner`."""
        self._planner.add_tickets(request, tickets)

    def on_advice_failed(self, request: RequestAdvice, now_ms: float) -> None:
        """Handles a request for advice without a usable reply.

        Each request must end here or in `add_tickets`, unless its job has
        ended: it is not repeated before.
        """
        self._planner.fail_advice(request, now_ms)

    def has_valid_ticket(self, effect: Start, now_ms: float) -> bool:
        """Returns whether a start of an open job has the ticket that it needs.

        It may have expired, or the worker may have rejected it, since the start
        was planned.
        """
        if not effect.ticket:
            return True
        worker = self.workers.get(effect.worker)
        if worker is None:
            return False
        ticket = self._planner.ticket(effect.task, worker, now_ms)
        return ticket == effect.ticket

    def mark_entry_missing(self, worker_id: str, now_ms: float) -> None:
        """Records that a worker has no directory entry any more."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.missing_since_ms is None:
            worker.missing_since_ms = now_ms

    def on_connection_refused(self, worker: Worker, now_ms: float) -> bool:
        """Handles a refused connection.

        The worker may have ended, but a network fault can refuse connections to
        one that works on, and the directory drops the entry of a worker that
        cannot reach it. So the runs may exist until their lease has expired,
        and the crash of a worker whose entry is gone for good is not proven.

        Returns:
            Whether the state of a run or task has changed.
        """
        return self._is_missing_long(
            worker, now_ms
        ) and self.crashes.record_crash(worker, now_ms, proven=False)

    def on_worker_replaced(self, worker: Worker, now_ms: float) -> bool:
        """Handles a reply of another worker at the address of a worker.

        The worker has ended, and so have its runs. A late order cannot start
        one in the other worker either, as it names the worker it is meant for.

        Returns:
            Whether this was not known yet.
        """
        if worker.ended:
            return False
        worker.ended = True
        event("worker_replaced", worker=worker.id, runs=len(worker.runs))
        self.doubts.end_over(now_ms)
        self.crashes.record_crash(worker, now_ms)
        worker.replied_ms = None
        self._drop_ended_worker(worker, now_ms)
        return True

    def _drop_ended_worker(self, worker: Worker, now_ms: float) -> None:
        """Releases the runs of a worker that has ended, whoever started them.

        Their tasks need not wait for any lease.
        """
        worker.lease_end_ms = 0.0
        worker.prior_lease_end_ms = 0.0
        worker.stale_lease_end_ms = 0.0
        worker.late_run_end_ms = 0.0
        self._drop_runs(worker, now_ms)

    def _drop_runs(self, worker: Worker, now_ms: float) -> None:
        """Releases all runs of a worker."""
        runs = list(worker.runs.values())
        worker.runs.clear()
        worker.token_confirmed = False
        for run in runs:
            self._release_run(worker, run, now_ms)

    def remove_gone_workers(self, now_ms: float) -> list[str]:
        """Drops departed workers and returns their ids.

        Counts the crashes of those that were lost in silence. A worker is kept
        as long as a run may exist on it, its next runs would have a stale lease
        or, for a limited time, a crash would count against tasks. One that has
        ended or drained need not be missing for long, as it gets no work if it
        is listed again.
        """
        for worker in self.workers.values():
            if (
                worker.lost_runs
                and now_ms - worker.lapsed_ms > UNPROVEN_CRASH_MS
                and self._is_missing_long(worker, now_ms)
            ):
                self.crashes.record_crash(worker, now_ms, proven=False)
        departed_ids = [
            worker.id
            for worker in self.workers.values()
            if worker.missing_since_ms is not None
            and (
                worker.ended
                or worker.entry.draining
                or self._is_missing_long(worker, now_ms)
            )
            and not worker.runs
            and now_ms > worker.runs_until_ms
            and now_ms > worker.stale_lease_end_ms
            and not (
                worker.lost_runs
                and now_ms - worker.lapsed_ms < CRASH_PROOF_WAIT_MS
            )
        ]
        for worker_id in departed_ids:
            worker = self.workers.pop(worker_id)
            # A worker that is listed again gets a higher token, as late orders
            # may still reach it.
            self._removed_incarnations[worker_id] = worker.incarnations
        return departed_ids

    def _is_missing_long(self, worker: Worker, now_ms: float) -> bool:
        since_ms = worker.missing_since_ms
        return (
            since_ms is not None and now_ms - since_ms > MISSING_ENTRY_GRACE_MS
        )

    def on_poll_reply(
        self, worker: Worker, sent_ms: float, reply: PollReply, now_ms: float
    ) -> bool:
        """Handles the reply of a worker to a poll.

        Args:
            worker: The worker; its token is still the one that was sent.
            sent_ms: When the poll was sent.
            reply: The reply.
            now_ms: When the reply arrived.

        Returns:
            Whether a run ended, or another incarnation replied.
        """
        if reply.born != worker.born:
            if reply.born > worker.born:
                self._start_incarnation(worker, reply.born, now_ms)
            return True
        worker.set_clock(reply.clock_ms, now_ms)
        self.crashes.retract_crash(worker)
        worker.record_reply(now_ms)
        worker.polled_ms = sent_ms
        worker.has_all_ends = reply.has_all_ends
        worker.first_listed_end = reply.ends[0].number if reply.ends else 0
        if not worker.token_confirmed:
            self._confirm_token(worker, now_ms)
            event(
                "worker_sounded",
                worker=worker.id,
                token=worker.token,
                runs=len(reply.runs),
                ends=len(reply.ends),
                clock_ms=reply.clock_ms,
                lease_left_ms=worker.lease_left_ms(now_ms),
            )
        has_new_ends = self._run_end_handler.handle_ends(
            worker, reply.ends, now_ms
        )
        self.dirty_workers |= has_new_ends
        self._update_runs(worker, reply, sent_ms, now_ms)
        update_interference(worker, self.interference, now_ms)
        return has_new_ends

    def _confirm_token(self, worker: Worker, now_ms: float) -> None:
        """Records that the worker rejects orders of earlier owners from now on.

        No earlier owner can renew its lease any more, so that leases of earlier
        owners expire within one lease duration. Those that orders to an earlier
        incarnation have granted can be the longest that the worker accepts.
        """
        worker.token_confirmed = True
        worker.late_run_end_ms = 0.0
        if worker.accepts_stale_orders:
            worker.accepts_stale_orders = False
            if worker.has_restarted:
                self._bound_stale_leases(worker, now_ms)
            elif self.may_have_stale_orders(worker.id):
                latest_ms = min(now_ms, self.predecessor_until_ms)
                self._bound_stale_leases(worker, latest_ms)
        worker.prior_lease_end_ms = min(
            worker.prior_lease_end_ms,
            now_ms + lease_bound_ms(self.params.lease_ms),
        )

    def _bound_stale_leases(self, worker: Worker, latest_ms: float) -> None:
        """Limits the leases that orders to an earlier incarnation have granted.

        Args:
            worker: The worker.
            latest_ms: Time until which it may have accepted such orders.
        """
        worker.stale_lease_end_ms = max(
            worker.stale_lease_end_ms,
            latest_ms + lease_bound_ms(self.params.longest_lease_ms),
        )

    def end_job(self, job: Job, job_event: str, now_ms: float) -> None:
        """Moves a job to a final state and marks its runs as stopping.

        The job stays in `jobs` until `drop_job`; its runs are stopped by the
        next `plan`.

        Args:
            job: The job.
            job_event: Event of the job state machine: complete, fail or cancel.
            now_ms: Current time.

        Raises:
            ChartError: If the job is in a final state already.
        """
        job.move_to_final(job_event, now_ms)
        self.open_jobs.pop(job.spec.id, None)
        self.interference.drop_job(job.spec.id)
        self._planner.drop_job(job.spec.id)
        event(
            "job_ended",
            job=job.spec.id,
            queue=job.spec.queue.name,
            state=job.state,
            age_ms=now_ms - job.submitted_ms,
        )
        for worker_id in self._workers_by_job.pop(job.spec.id, ()):
            worker = self.workers.get(worker_id)
            runs = worker.runs.values() if worker is not None else ()
            for run in runs:
                if run.task.job == job.spec.id:
                    run.state = RunState.STOPPING

    def add_run(self, worker: Worker, run: WorkerRun) -> None:
        """Adds a run that may exist on a worker from now on."""
        worker.runs[run.task, run.run] = run
        if run.task.job in self.open_jobs:
            workers = self._workers_by_job.setdefault(run.task.job, set())
            workers.add(worker.id)

    def _update_runs(
        self,
        worker: Worker,
        reply: PollReply,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Updates the runs of a worker from the reports of a reply.

        A run that is missing from the reply no longer exists if the worker had
        acknowledged an order for it, or reported it, before the poll was sent,
        or if its start orders have expired. It is kept while one of them is in
        flight, as its task would have no doubt yet.
        """
        reported = set()
        for report in reply.runs:
            reported.add((report.task, report.run))
            run = worker.runs.get((report.task, report.run))
            if run is None:
                run = self._adopt_run(worker, report, now_ms)
            self._mark_begun(worker, run, now_ms)
            worker.settle_start(run)
            previous_ms = run.reported_ms or run.placed_ms
            run.apply_report(report, now_ms)
            update_strain(worker, run, previous_ms, now_ms)
            self._note_answered(worker, run, now_ms)
            if (
                not run.proven
                and run.acked_ms is not None
                and now_ms - run.acked_ms >= PROVEN_RUN_MS
            ):
                run.proven = True
                self.crashes.clear(run.task)
        note_effects(worker, now_ms)
        worker.reset_failures_if_healthy(now_ms)
        if not reply.has_all_ends:
            # The end of an absent run may be among those that are missing.
            return
        absent = [key for key in worker.runs if key not in reported]
        for key in absent:
            run = worker.runs[key]
            if run.start_in_flight:
                continue
            was_acked = run.acked_ms is not None and run.acked_ms < sent_ms
            if was_acked or run.start_expires_ms < reply.clock_ms:
                del worker.runs[key]
                self._release_run(worker, run, now_ms)
                if run.step.gang and not was_acked:
                    self._stop_gang(run)

    def _adopt_run(
        self, worker: Worker, report: RunReport, now_ms: float
    ) -> WorkerRun:
        """Adds a reported run that is not in `worker.runs`.

        An earlier owner started it, or this owner has dropped it, for example
        because the lease expired. The run is marked as stopping if its task
        does not need it.
        """
        job = self.jobs.get(report.task.job)
        task = self.find_reported_task(report.task)
        if task is None:
            step = job and job.step_of_done(*report.task[1:3])
            run = WorkerRun(
                report.task, report.run, step or UNKNOWN_STEP, now_ms
            )
            run.state = RunState.STOPPING
        else:
            run = WorkerRun(report.task, report.run, task.step, now_ms)
            is_needed = (
                not job.is_final
                and task.state == "waiting"
                and report.run not in task.ended_runs
                and report.run >= task.run
            )
            if is_needed:
                self._place_reported(worker, job, task, run, now_ms)
            else:
                run.state = RunState.STOPPING
                task.stray_workers |= {worker.id}
        if run.step.target_ms and report.measurement > run.step.target_ms:
            # It may have been over its target since long before.
            since_ms = now_ms - adopted_strain_ms(self.params)
            run.strain = Strain(since_ms, since_ms)
        run.acked_ms = now_ms
        run.unanswered_start = not run.answered_here
        run.proven = task is None or not task.crash_score
        self.add_run(worker, run)
        event(
            "run_found",
            task=report.task.name,
            run=report.run,
            worker=worker.id,
            state=run.state.value,
        )
        return run

    def _place_reported(
        self,
        worker: Worker,
        job: Job,
        task: Task,
        run: WorkerRun,
        now_ms: float,
    ) -> None:
        """Places a waiting task where a run of it was reported.

        No owner starts a run while another one may exist, except for late
        orders to a worker that has restarted.
        """
        if task.may_be_running:
            self._exclude_later_steps(worker, job, task, now_ms)
        answered = task.inherited_answer
        is_answered = (
            answered is not None
            and (answered.worker, answered.born) == (worker.id, worker.born)
            and run.run == task.run
        )
        task.put_on(worker.id, worker.born, run.run)
        if is_answered:
            task.answered = answered
            run.answered_here = True
        job.dirty |= task.step.long_running
        job.mark_running()
        job.started_ms = now_ms

    def _exclude_later_steps(
        self, worker: Worker, job: Job, task: Task, now_ms: float
    ) -> None:
        """Excludes runs of earlier owners of the steps after a task's step.

        An earlier owner starts such a step once a worker has told it of the end
        of this task. The run exists, and from now on its worker tells earlier
        owners nothing. This says nothing of a gang, as another worker may tell
        of the end, of copies, and of a run that a late order to an earlier
        incarnation may have started again.

        Args:
            worker: Worker that has reported the run, with a confirmed token.
            job: Job of the task.
            task: Task with an earlier owner's run.
            now_ms: Current time.
        """
        is_only_run = not (task.step.gang or task.step.copies)
        if not is_only_run or now_ms < worker.stale_lease_end_ms:
            return
        _, occurrence, step, _ = task.key
        tasks = job.exclude_inherited_runs(occurrence, step)
        if tasks:
            event("steps_unstarted", after=task.key.name, tasks=tasks)

    def _release_run(
        self, worker: Worker, run: WorkerRun, now_ms: float
    ) -> None:
        """Returns the task of a run that no longer exists to waiting.

        Does nothing if the task has another run by now.
        """
        job = self.jobs.get(run.task.job)
        task = job.task(*run.task[1:]) if job is not None else None
        if task is None or task.worker != worker.id or task.run != run.run:
            return
        task.checkpoint = run.checkpoint or task.checkpoint
        task.ran_ms = run.reported_ms or task.ran_ms
        event(
            "run_lost",
            task=run.task.name,
            run=run.run,
            worker=worker.id,
            state=run.state.value,
        )
        self.release_task(task, now_ms)

    def release_task(self, task: Task, now_ms: float) -> None:
        """Returns a placed task to the waiting state."""
        if task.state == "placed":
            task.fire("release")
            task.worker = ""
            task.idle_since_ms = now_ms
            task.answered = None
            if task.step.long_running or task.recorded_answers:
                self.jobs[task.key.job].dirty = True

    def withdraw_answer(self, task: Task) -> None:
        """Has the store forget the answered place of a task that may start.

        Once it has, the task may also start on that worker.
        """
        if task.answered is not None:
            task.answered = None
            self.jobs[task.key.job].dirty = True

    def _note_answered(
        self, worker: Worker, run: WorkerRun, now_ms: float
    ) -> None:
        """Records the answered place of a task, once it is known.

        Late orders of earlier owners are over by then. Tasks of which copies
        may run, and members of gangs, have none.
        """
        job = self.open_jobs.get(run.task.job)
        task = job and job.task(*run.task[1:])
        if task is None:
            return
        sole = now_ms >= task.unanswered_until_ms
        if (
            (task.answered is not None and (task.answered.sole or not sole))
            or (task.worker, task.run) != (worker.id, run.run)
            or run.state is not RunState.RUNNING
            or run.may_outlast_incarnation(now_ms)
            or task.start_doubt is not None
            or worker.has_pending_start(run.task, now_ms)
            or task.step.gang
            or task.step.copies
        ):
            return
        late_orders_end_ms = self.predecessor_until_ms + MAX_ORDER_DELAY_MS
        may_be_late = job.inherited and not task.earlier_starts_over
        if may_be_late and now_ms < late_orders_end_ms:
            return
        task.answered = AnsweredPlace(worker.id, worker.born, self.epoch, sole)
        delay_ms = min(
            ANSWERS_DELAY_PER_TASK_MS * len(job.tasks), MAX_ANSWERS_DELAY_MS
        )
        self._unstored_answers.setdefault(job.spec.id, now_ms + delay_ms)

    @property
    def answers_due_ms(self) -> float:
        """When answered places are to be stored; infinite if all are."""
        return min(self._unstored_answers.values(), default=math.inf)

    def store_answers(self, until_ms: float = math.inf) -> None:
        """Has the answered places stored that are due by some time."""
        due = [
            j
            for j, due_ms in self._unstored_answers.items()
            if due_ms <= until_ms
        ]
        for job_id in due:
            del self._unstored_answers[job_id]
            if job_id in self.open_jobs:
                self.open_jobs[job_id].dirty = True

    def _start_incarnation(
        self, worker: Worker, born: int, now_ms: float
    ) -> None:
        """Handles a restart of a worker: releases its runs.

        Some of them may have been started in the new incarnation, or may still
        be, by orders to the earlier one. Their tasks wait for the first reply
        of the new one, or until the last of these orders has been carried out
        and the longest lease that it may grant has expired.
        """
        event(
            "worker_reborn",
            worker=worker.id,
            born=born,
            clock_ms=worker.last_clock_ms,
            lease_left_ms=worker.lease_left_ms(now_ms),
        )
        self.crashes.record_crash(worker, now_ms)
        runs = list(worker.runs.values())
        worker.start_incarnation(born)
        worker.has_restarted = True
        self._bound_stale_leases(worker, now_ms)
        for run in runs:
            self._release_run(worker, run, now_ms)
            task = self.find_task(run.task)
            if task is not None and run.may_outlast_incarnation(now_ms):
                task.restarted_worker = worker.id
                task.unanswered_until_ms = now_ms + MAX_ORDER_DELAY_MS
                worker.late_run_end_ms = (
                    worker.stale_lease_end_ms + MAX_ORDER_DELAY_MS
                )
        if now_ms < worker.prior_lease_end_ms:
            worker.prior_lease_end_ms = max(
                worker.prior_lease_end_ms,
                worker.stale_lease_end_ms + MAX_ORDER_DELAY_MS,
            )

    def find_task(self, key: TaskKey) -> Task | None:
        """Returns the task with this key, or None if there is none."""
        job = self.jobs.get(key.job)
        return job.task(*key[1:]) if job is not None else None

    def has_stray_run(self, task: Task) -> bool:
        """Returns whether a run exists that a waiting task does not need."""
        for worker_id in task.stray_workers:
            worker = self.workers.get(worker_id)
            if worker is None or all(key != task.key for key, _ in worker.runs):
                task.stray_workers -= {worker_id}
        return bool(task.stray_workers)

    def find_reported_task(self, key: TaskKey) -> Task | None:
        """Returns the task of a reported run, or None if there is none.

        Makes the occurrence of the task due if it is not: an earlier owner
        whose clock was ahead may have started it.
        """
        job = self.jobs.get(key.job)
        if job is None:
            return None
        if job.due <= key.occurrence < job.spec.occurrences:
            job.make_due(key.occurrence + 1)
            job.dirty = True
        return job.task(*key[1:])

    def on_start_unanswered(
        self, effect: Start, born: int, sent_ms: float
    ) -> None:
        """Records that an order for a start got no reply.

        Args:
            effect: The `Start`.
            born: Incarnation to which the order was sent.
            sent_ms: When it was sent.
        """
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if run:
            run.unanswered_start = True
        task = self.find_task(effect.task)
        if task is not None:
            task.unanswered_until_ms = max(
                task.unanswered_until_ms, sent_ms + MAX_ORDER_DELAY_MS
            )
        self.doubts.add(effect.task, StartDoubt(effect.worker, born, sent_ms))

    def on_start_reply(
        self,
        effect: Start,
        result: StartResult | None,
        now_ms: float,
        clock_ms: float | None = None,
    ) -> None:
        """Handles the reply to a start order.

        If there was no reply, the run may exist, so it is marked as stopping.
        If the worker rejected the order, the run is dropped and its task waits
        again.

        Args:
            effect: The `Start` that was executed.
            result: Result in the reply, or None if no reply arrived.
            now_ms: Current time.
            clock_ms: Reading of the worker's clock in a reply that has just
                arrived, or None.
        """
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if not run:
            return
        if result is StartResult.STARTED:
            if not run.began:
                run.began_in_doubt = worker.may_have_restarted
            self._mark_begun(worker, run, now_ms)
            run.acked_ms = now_ms
            worker.silent_starts = 0
            task = self.find_task(effect.task)
            if task is not None:
                task.rejections = 0
            if run.state is RunState.ORDERED:
                run.state = RunState.RUNNING
            run.answered_here = clock_ms is not None and worker.shows_clock(
                clock_ms, run.start_sent_ms, now_ms
            )
            self._note_answered(worker, run, now_ms)
            return
        if result is None:
            worker.record_silent_start(now_ms)
            if run.state is RunState.ORDERED:
                run.state = RunState.STOPPING
                self._avoid_worker(run, worker)
            return
        del worker.runs[effect.task, effect.run]
        event(
            "start_refused",
            task=effect.task.name,
            run=effect.run,
            worker=worker.id,
            reason=result.value,
        )
        if result in WORKER_REJECTIONS:
            worker.backoff_until_ms = now_ms + REJECTED_START_BACKOFF_MS
        if run.step.gang:
            self._stop_gang(effect)
        task = self.find_task(effect.task)
        if task is not None and task.worker == worker.id:
            if result is StartResult.BAD_TICKET:
                self._planner.drop_ticket(task, worker)
            self.release_task(task, now_ms)
            task.avoided_worker = worker.id
            # Limits the size of the shift.
            doublings = min(task.rejections, 10)
            task.rejections += 1
            task.retry_at_ms = now_ms + min(
                FAILED_TASK_BACKOFF_MS << doublings, MAX_REJECTED_BACKOFF_MS
            )

    def _mark_begun(
        self, worker: Worker, run: WorkerRun, now_ms: float
    ) -> None:
        """Records that a run has begun, and has it stored if a crash counts."""
        if run.began:
            return
        run.began = True
        self._record_job_start(run.task.job, now_ms)
        task = self.find_task(run.task)
        if (
            task is not None
            and (task.worker, task.run) == (worker.id, run.run)
            and task.crash_score
        ):
            task.begun_run = run.run
            self.jobs[run.task.job].dirty = True

    def _avoid_worker(self, run: WorkerRun, worker: Worker) -> None:
        """Makes the task of a run prefer other workers for its next run."""
        task = self.find_task(run.task)
        if task is not None and task.worker == worker.id:
            task.avoided_worker = worker.id

    def on_start_withdrawn(self, effect: Start, now_ms: float) -> None:
        """Handles a start order that was never sent: drops the run.

        Its task waits again, unless it has another run by now. The other
        members of a gang are stopped, as they would wait for it.
        """
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.pop((effect.task, effect.run), None)
        if not run:
            return
        event(
            "start_withdrawn",
            task=effect.task.name,
            run=effect.run,
            worker=worker.id,
        )
        if run.step.gang:
            self._stop_gang(effect)
        task = self.find_task(effect.task)
        if (
            task is not None
            and task.worker == worker.id
            and task.run == effect.run
        ):
            self.release_task(task, now_ms)

    def _stop_gang(self, member: Start | WorkerRun) -> None:
        """Marks the runs that were planned with a member of a gang."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                same_gang = run.task[:3] == member.task[:3]
                if same_gang and run.run == member.run:
                    run.state = RunState.STOPPING

    def _record_job_start(self, job_id: str, now_ms: float) -> None:
        """Records that a run of a job has begun.

        A planned or an unanswered start says nothing, as the worker may have
        rejected it.
        """
        job = self.jobs.get(job_id)
        if job is None or job.started_ms is not None:
            return
        job.mark_running()
        job.started_ms = now_ms
        event(
            "job_begun",
            job=job_id,
            queue=job.spec.queue.name,
            wait_ms=now_ms - job.submitted_ms,
        )

    def on_stop_reply(self, effect: Stop, now_ms: float) -> None:
        """Handles the reply to a stop order."""
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if run:
            run.last_stop_ms = math.inf
            if run.acked_ms is None:
                run.acked_ms = now_ms

    def on_pace_failed(self, effect: Pace) -> None:
        """Handles an order for a speed that got no reply: it is repeated."""
        worker = self.workers.get(effect.worker)
        run = worker and worker.runs.get((effect.task, effect.run))
        if run and run.speed_percent == effect.percent:
            run.pace_failed = True

    def plan(
        self,
        now_ms: float,
        wall_ms: float,
        max_starts: int | None = None,
        max_unrecorded: int | None = None,
    ) -> list[Effect]:
        """Expires leases and plans stops, starts and changes of speed.

        Args:
            now_ms: Current time on this process's clock.
            wall_ms: Current time of day in Unix milliseconds, for timed
                occurrences.
            max_starts: Largest number of starts, or None for no limit; see
                `Planner.place`.
            max_unrecorded: Largest number of those that must wait for the
                store, or None for no limit.

        Returns:
            Effects for the caller to execute.
        """
        self._expire_leases(now_ms)
        self.doubts.end_over(now_ms)
        self.store_answers(now_ms)
        effects: list[Effect] = self._due_stops(now_ms)
        effects += self._planner.place(
            now_ms, wall_ms, max_starts, max_unrecorded
        )
        limit_ms = self.params.strain_limit_ms
        for worker in self.workers.values():
            effects += self._pace(worker, self.interference, limit_ms, now_ms)
            note_best_effort(worker, now_ms)
            effects += repeat_failed(worker)
        self._census.count_if_due(now_ms)
        self._takeover_progress.observe(now_ms)
        return effects

    def _expire_leases(self, now_ms: float) -> None:
        """Releases the runs of workers whose leases have expired.

        Such a worker may have crashed or be cut off, so its unproven runs are
        remembered until one or the other is shown.
        """
        certain_ms = min(now_ms, self.confirmed_ms)
        for worker in self.workers.values():
            if not worker.runs or certain_ms <= worker.runs_until_ms:
                continue
            event(
                "worker_lapsed",
                worker=worker.id,
                runs=len(worker.runs),
                replied_ms=worker.replied_ms,
            )
            worker.lost_runs = worker.unproven_runs()
            worker.lapsed_ms = now_ms
            self._drop_runs(worker, now_ms)

    def awaited_ends_ms(self, now_ms: float) -> tuple[float, float]:
        """Returns ends of leases of silent workers.

        Returns:
            The latest one that has passed, but not when the ownership was
            confirmed last, and the next one; infinite without any.
        """
        passed_ms, next_ms = -math.inf, math.inf
        for worker in self.workers.values():
            if worker.token_confirmed and worker.is_responsive(now_ms):
                continue
            end_ms = worker.runs_until_ms
            if end_ms > now_ms:
                next_ms = min(next_ms, end_ms)
            elif end_ms > self.confirmed_ms:
                passed_ms = max(passed_ms, end_ms)
        return passed_ms, next_ms

    def _due_stops(self, now_ms: float) -> list[Effect]:
        """Returns stop orders for stopping runs that are due for one."""
        effects: list[Effect] = []
        # A member of an enum is slow to look up, and there are many runs.
        stopping = RunState.STOPPING
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.state is not stopping:
                    continue
                if now_ms - run.last_stop_ms >= STOP_RETRY_MS:
                    run.last_stop_ms = now_ms
                    effects.append(Stop(worker.id, run.task, run.run))
        return effects

    def pop_dirty(self) -> tuple[list[Job], ChangeBatch]:
        """Returns the changed jobs to store, and the batch to confirm later.

        Marks the jobs as clean. The caller must pass the batch to
        `on_stored` or `on_store_rejected`.
        """
        jobs = [job for job in self.jobs.values() if job.dirty]
        received_ends = {
            worker.id: (worker.born, worker.last_received_end)
            for worker in self.workers.values()
            if worker.last_received_end > worker.last_acked_end
        }
        self.dirty_workers = False
        places: list[tuple[Task, str]] = []
        answers: list[tuple[Task, frozenset[str]]] = []
        for job in jobs:
            job.dirty = False
            self._unstored_answers.pop(job.spec.id, None)
            for task in job.tasks.values():
                if task.answered is None and not task.recorded_answers:
                    continue
                stored = frozenset((task.answered or ())[:1])
                task.recorded_answers |= stored
                answers.append((task, stored))
            for task in job.long_running_tasks():
                if task.recorded_place != task.place:
                    task.recorded_place = None
                    places.append((task, task.place))
        return jobs, ChangeBatch(
            {j.spec.id: j.state for j in jobs}, received_ends, places, answers
        )

    def unstarted_tasks(self) -> tuple[TaskKey, ...]:
        """Returns the tasks with stored places that certainly have no run.

        These are long-running tasks that were placed, but for which no order
        was sent, and those whose last run has ended. A place counts as stored
        until an append without it is known to be.
        """
        runs = [r for w in self.workers.values() for r in w.runs.values()]
        existing = {run.task for run in runs if run.may_exist}
        planned = {run.task for run in runs} - existing
        return tuple(
            task.key
            for job in self.open_jobs.values()
            for task in job.long_running_tasks()
            if task.recorded_place != ""
            and not task.may_be_running
            and not task.restarted_worker
            and task.key not in existing
            and (task.state == "waiting" or task.key in planned)
        )

    def untold_tasks(self) -> tuple[TaskKey, ...]:
        """Returns the tasks that only an earlier owner can have started.

        These are long-running tasks that wait since an earlier owner's run of
        them may exist. This owner has neither started nor found any.
        """
        existing = {
            r.task for w in self.workers.values() for r in w.runs.values()
        }
        return tuple(
            task.key
            for job in self.open_jobs.values()
            for task in job.long_running_tasks()
            if task.state == "waiting"
            and task.may_be_running
            and task.possible_worker != ""
            and not task.restarted_worker
            and task.key not in existing
        )

    def task_histories(
        self, keys: Collection[TaskKey]
    ) -> tuple[TaskHistory, ...]:
        """Returns what this owner knows of the earlier runs of tasks."""
        return tuple(task_history(self.find_task(key)) for key in keys)

    def on_unstarted_tasks(
        self,
        keys: Collection[TaskKey],
        histories: Collection[TaskHistory] = (),
    ) -> None:
        """Handles that the previous owner reports that tasks have no run.

        Args:
            keys: These tasks.
            histories: What it knew of their earlier runs; none from an owner of
                an earlier release.
        """
        history_by_key = {history.task: history for history in histories}
        for key in keys:
            task = self.find_task(key)
            if task is None or task.state != "waiting":
                continue
            if task.step.long_running and task.may_be_running:
                task.may_be_running = False
                task.possible_worker = ""
                if key in history_by_key:
                    apply_history(task, history_by_key[key])
                self.jobs[key.job].dirty = True

    def is_place_recorded(self, key: TaskKey, worker: str) -> bool:
        """Returns whether a later owner would know of a run on a worker.

        Always true for tasks that are not long-running: a later owner waits for
        any worker on which they may run.
        """
        task = self.find_task(key)
        return (
            task is None
            or not task.step.long_running
            or task.recorded_place == worker
        )

    def on_stored(
        self, batch: ChangeBatch, left_out: Collection[str] = ()
    ) -> None:
        """Handles a successful append of a batch.

        From now on, final states may be reported to callers, and ended runs
        may be acknowledged to workers.

        Args:
            batch: The batch.
            left_out: Ids of the jobs whose progress the store does not take. It
                does not count as stored until a later batch has it.
        """
        self.unstored_jobs.difference_update(batch.jobs)
        self.unstored_jobs.update(left_out)
        for job_id, state in batch.jobs.items():
            if job_id in self.jobs and job_id not in left_out:
                self.jobs[job_id].stored_state = state
        for task, place in batch.places:
            if task.key.job not in left_out:
                task.recorded_place = place
        for task, stored in batch.answers:
            if task.key.job not in left_out:
                task.recorded_answers = stored
        for worker_id, (born, last_received_end) in batch.received_ends.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.acknowledge_ends(last_received_end, self.unstored_jobs)

    def on_store_rejected(self, batch: ChangeBatch) -> None:
        """Handles a rejected append: marks the jobs as changed again."""
        for job_id in batch.jobs:
            if job_id in self.jobs:
                self.jobs[job_id].dirty = True
        self.dirty_workers = True
