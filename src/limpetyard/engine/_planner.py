"""Places ready tasks on workers, in the order of their urgency.

Tasks of a queue with advice are placed only on workers with a valid ticket; see
`limpetyard.engine._advice`.
"""

import collections
import itertools
import math
from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

from limpetyard._events import event
from limpetyard.engine._advice import AdviceCache
from limpetyard.engine._candidate import Candidate
from limpetyard.engine._crashes import split_suspects
from limpetyard.engine._draining import drain_worker
from limpetyard.engine._effects import Effect, RequestAdvice, Start
from limpetyard.engine._eligibility import usable_workers
from limpetyard.engine._placement import PLACERS, placer_name
from limpetyard.engine._ranking import Ranking, ServiceRound
from limpetyard.engine._reserve import LongRunningRoom
from limpetyard.engine._step_worker_client import Ticket
from limpetyard.engine._trials import IdleJobs, trial_cores, trial_percent
from limpetyard.engine._unconfirmed import UnconfirmedWorkers
from limpetyard.engine._urgency import restart_urgency, urgency
from limpetyard.engine._waiting import RoundState, WaitReporter
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import Job, StepSpec, Task, TaskKey

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# Run numbers reserved for each epoch. If an earlier owner may have started
# tasks of a job, their next runs get at least the number
# epoch * RUNS_PER_EPOCH, so that no number is used twice.
RUNS_PER_EPOCH = 256

# Runs on draining workers that one round looks at, up to the end of a worker. A
# zone that drains has hundreds.
MAX_DRAINED_RUNS = 48

# Steps with suspects that one round looks at; after a crash of a zone, hundreds
# may wait for isolated workers.
MAX_SUSPECT_STEPS = 24


class Planner:
    """Decides which tasks start on which workers."""

    __slots__ = (
        "_advice",
        "_drained_ms",
        "_engine",
        "_idle_jobs",
        "_placed",
        "_rooms",
        "_suspect_steps_left",
        "_unrecorded_left",
        "_wait_reporter",
    )

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._wait_reporter = WaitReporter(engine)
        self._advice = AdviceCache()
        self._idle_jobs = IdleJobs()
        # When each draining worker last had its turn, by id.
        self._drained_ms: dict[str, float] = {}
        # Receivers of the tasks placed in this round.
        self._placed: list[Candidate] = []
        # Number of steps with suspects that this round may still look at.
        self._suspect_steps_left = MAX_SUSPECT_STEPS
        # Number of starts that this round may still plan whose place is not
        # stored yet.
        self._unrecorded_left = math.inf
        # Room for long-running tasks in this round, by service.
        self._rooms: dict[str, LongRunningRoom] = {}

    def place(
        self,
        now_ms: float,
        wall_ms: float,
        max_starts: int | None = None,
        max_unrecorded: int | None = None,
    ) -> list[Effect]:
        """Places ready tasks and moves runs off draining workers.

        Args:
            now_ms: Current time on this process's clock.
            wall_ms: Current time of day in Unix milliseconds, for timed
                occurrences.
            max_starts: Largest number of starts, or None for no limit. A gang
                that is wider than the rest of it still starts as a whole.
            max_unrecorded: Largest number of starts of long-running tasks at a
                place that is not stored yet, or None for no limit.

        Returns:
            Starts, and requests for advice that must precede starts.
        """
        unconfirmed = self._unconfirmed_workers(now_ms)
        restarted = self._restarted_workers(now_ms)
        self._confirm_places(unconfirmed, now_ms)
        self._placed = []
        self._rooms = {}
        self._suspect_steps_left = MAX_SUSPECT_STEPS
        rounds: dict[str, ServiceRound] = {}
        left = math.inf if max_starts is None else max_starts
        self._unrecorded_left = (
            math.inf if max_unrecorded is None else max_unrecorded
        )
        effects: list[Effect] = []
        ready_steps = self._ready_steps(now_ms, wall_ms)
        for job, occurrence, step, restarts_only in ready_steps:
            queue = job.spec.queue
            if left <= 0 and queue.advice is None:
                continue
            service = queue.service
            if service not in rounds:
                rounds[service] = ServiceRound(
                    self._candidates(service, now_ms)
                )
            if not rounds[service].candidates:
                continue
            is_unmet = rounds[service].is_unmet(job.spec.steps[step])
            if is_unmet and queue.advice is None:
                continue
            waiting = _startable(
                job.waiting_tasks(occurrence, step),
                unconfirmed.of_queue(queue.name),
                restarted,
                now_ms,
            )
            for task in waiting:
                self._engine.withdraw_answer(task)
            waiting = [
                task
                for task in waiting
                if (
                    task.start_doubt is None
                    or rounds[service].doubted_place(task) is not None
                )
                and not (
                    task.stray_workers and self._engine.has_stray_run(task)
                )
            ]
            if restarts_only:
                waiting = [task for task in waiting if task.is_restart]
            if self._needs_record(job.spec.steps[step]):
                waiting = [
                    task
                    for task in waiting
                    if rounds[service].recorded_place(task) is not None
                ]
            if waiting:
                step_effects = self._place_step(
                    job,
                    (job.spec.id, occurrence, step),
                    waiting,
                    rounds[service],
                    left,
                    now_ms,
                )
                left -= sum(type(e) is Start for e in step_effects)
                effects += step_effects
        for job, occurrence, step in self._idle_jobs.search(
            ready_steps,
            lambda name: (
                rounds[name].min_idle_ms if name in rounds else math.inf
            ),
            now_ms,
        ):
            service = job.spec.queue.service
            if left <= 0:
                break
            waiting = _startable(
                job.waiting_tasks(occurrence, step),
                unconfirmed.of_queue(job.spec.queue.name),
                restarted,
                now_ms,
            )
            trial = self._place_trial(job, waiting, rounds[service], now_ms)
            left -= len(trial)
            effects += trial
        self._wait_reporter.report(
            RoundState(
                now_ms,
                rounds,
                unconfirmed,
                min(left, self._unrecorded_left),
                restarted,
            )
        )
        self._drain_workers(rounds, now_ms)
        return effects

    def _needs_record(self, step: StepSpec) -> bool:
        """Returns whether tasks of a step may only start at stored places."""
        return step.long_running and self._unrecorded_left <= 0

    def _ready_steps(
        self, now_ms: float, wall_ms: float
    ) -> list[tuple[Job, int, int, bool]]:
        """Returns the ready steps with waiting tasks, most urgent first.

        A step with restarts is returned twice, first for these only.
        """
        steps = []
        for job in self._engine.open_jobs.values():
            if job.spec.timed:
                self._make_due(job, wall_ms)
        self._engine.doubts.add_due()
        for job in self._engine.open_jobs.values():
            for occurrence, step in job.waiting_steps():
                key = urgency(job, step, now_ms)
                steps.append((key, job, occurrence, step, False))
                if _may_restart_first(job, step):
                    key = restart_urgency(job)
                    steps.append((key, job, occurrence, step, True))
        steps.sort(key=lambda entry: entry[0])
        return [entry[1:] for entry in steps]

    def _drain_workers(
        self, rounds: dict[str, ServiceRound], now_ms: float
    ) -> None:
        """Moves runs off draining workers, a limited number in each round.

        Begins with the workers whose last turn is longest ago.

        Args:
            rounds: Workers by service; those of further services are added.
            now_ms: Current time.
        """
        draining = [
            worker
            for worker in self._engine.workers.values()
            if worker.entry.draining
            and worker.entry_is_current
            and worker.is_responsive(now_ms)
        ]
        draining.sort(key=lambda w: self._drained_ms.get(w.id, -math.inf))
        self._drained_ms = {
            worker.id: self._drained_ms.get(worker.id, -math.inf)
            for worker in draining
        }
        left = MAX_DRAINED_RUNS
        for worker in draining:
            if left <= 0:
                break
            left -= len(worker.runs)
            self._drained_ms[worker.id] = now_ms
            service = worker.entry.service
            if service not in rounds:
                rounds[service] = ServiceRound(
                    self._candidates(service, now_ms)
                )
            drain_worker(
                worker,
                self._engine.find_task,
                rounds[service],
                self._placed,
                now_ms,
            )

    def add_tickets(
        self, request: RequestAdvice, tickets: list[Ticket]
    ) -> None:
        """Adds the tickets of a reply of the advice service.

        Args:
            request: The request.
            tickets: Tickets whose `valid_ms` is the time on this process's
                clock until which they are valid.
        """
        self._advice.add(request, tickets)

    def fail_advice(self, request: RequestAdvice, now_ms: float) -> None:
        """Has a request for advice repeated that got no usable reply."""
        self._advice.fail(request, now_ms)

    def ticket(
        self, task: TaskKey, worker: Worker, now_ms: float
    ) -> str | None:
        """Returns a ticket of a task that is valid for long enough."""
        return self._advice.ticket(task[:3], worker, now_ms)

    def drop_ticket(self, task: Task, worker: Worker) -> None:
        """Drops a ticket that the worker did not accept."""
        self._advice.drop_ticket(task.key[:3], worker)

    def drop_job(self, job_id: str) -> None:
        """Drops the tickets of a job that has ended."""
        self._advice.drop_job(job_id)

    def _make_due(self, job: Job, wall_ms: float) -> None:
        """Creates the tasks of all occurrences that are due at `wall_ms`."""
        while job.due < job.spec.occurrences:
            if wall_ms < job.due_at_ms(job.due):
                return
            job.make_due(job.due + 1)
            job.dirty = True

    def _unconfirmed_workers(self, now_ms: float) -> UnconfirmedWorkers:
        """Returns the workers on which earlier runs may exist.

        These are runs of an earlier owner or of an earlier incarnation. Such a
        worker has not yet replied to a poll with its present token, and
        earlier leases may not have expired.
        """
        certain_ms = min(now_ms, self._engine.confirmed_ms)
        workers = [
            worker
            for worker in self._engine.workers.values()
            if not worker.token_confirmed
            and certain_ms < worker.prior_lease_end_ms
        ]
        return UnconfirmedWorkers(workers, self._engine.queue_services)

    def _restarted_workers(self, now_ms: float) -> set[str]:
        """Returns the workers on which tasks of before a restart may run."""
        certain_ms = min(now_ms, self._engine.confirmed_ms)
        return {
            worker.id
            for worker in self._engine.workers.values()
            if not worker.token_confirmed
            and certain_ms < worker.late_run_end_ms
        }

    def _confirm_places(
        self, unconfirmed: UnconfirmedWorkers, now_ms: float
    ) -> None:
        """Confirms the places of the jobs of each queue that is confirmed."""
        if now_ms < self._engine.predecessor_until_ms:
            return
        for job in self._engine.open_jobs.values():
            if not job.places_known and not unconfirmed.of_queue(
                job.spec.queue.name
            ):
                job.confirm_places()

    def _candidates(self, service: str, now_ms: float) -> list[Candidate]:
        """Returns the workers of a service that may get new work."""
        engine = self._engine
        workers = [
            worker
            for worker in engine.workers.values()
            if worker.entry.service == service
        ]
        return [
            Candidate(worker, engine.interference, now_ms)
            for worker in usable_workers(workers, engine, now_ms)
        ]

    def _place_step(
        self,
        job: Job,
        step_key: tuple[str, int, int],
        waiting: list[Task],
        service_round: ServiceRound,
        left: float,
        now_ms: float,
    ) -> list[Effect]:
        """Places the waiting tasks of a step as far as workers have room.

        Args:
            job: The job.
            step_key: Job, occurrence and number of the step.
            waiting: Tasks to place.
            service_round: Workers of the service of the job.
            left: Number of starts that are left in this round.
            now_ms: Current time.
        """
        step = job.spec.steps[step_key[2]]
        # A member that is placed, or may still run, holds back its gang.
        if step.gang and len(waiting) < step.count:
            return []
        if job.spec.queue.advice is not None:
            return self._place_advised(
                job, step_key, waiting, service_round, left, now_ms
            )
        if step.gang:
            fitting = service_round.fitting(step)
            starts = self._place_gang(job, step_key, fitting, now_ms)
            if not starts:
                service_round.add_unmet_gang(step)
            return starts
        suspects, waiting = split_suspects(waiting, now_ms)
        isolated = self._place_suspects(
            job,
            step_key,
            suspects,
            service_round,
            service_round.labelled(step.label),
            left,
            now_ms,
        )
        left -= len(isolated)
        if step.long_running:
            room = self._room(job, service_round, now_ms)
            waiting = [task for task in waiting if not room.refuses(task)]
            if not waiting:
                return isolated
        score = PLACERS.get(placer_name(step)).score
        ranking = service_round.ranking(score, step, step_key, self._placed)
        starts = self._place_ranked(
            job, waiting, ranking, service_round, left, now_ms
        )
        if len(starts) < min(len(waiting), left) and ranking.is_empty:
            service_round.add_unmet(step)
        return isolated + starts

    def _place_advised(
        self,
        job: Job,
        step_key: tuple[str, int, int],
        waiting: list[Task],
        service_round: ServiceRound,
        left: float,
        now_ms: float,
    ) -> list[Effect]:
        """Places tasks of a step on workers with a ticket.

        Requests advice on further workers if some tasks are left.
        """
        step = job.spec.steps[step_key[2]]
        fitting = [
            candidate
            for candidate in service_round.fitting(step)
            if candidate.allows(step, step_key)
        ]
        permitted = [
            candidate
            for candidate in fitting
            if self._advice.ticket(step_key, candidate.worker, now_ms)
            is not None
        ]
        starts: list[Effect] = []
        if left > 0 and step.gang:
            starts = self._place_gang(job, step_key, permitted, now_ms)
        elif left > 0:
            suspects, others = split_suspects(waiting, now_ms)
            starts = self._place_suspects(
                job,
                step_key,
                suspects,
                service_round,
                permitted,
                left,
                now_ms,
            )
            score = PLACERS.get(placer_name(step)).score
            ranking = Ranking(score, step, step_key, permitted, self._placed)
            starts += self._place_ranked(
                job, others, ranking, service_round, left - len(starts), now_ms
            )
        if len(starts) == len(waiting) or starts and len(starts) >= left:
            return starts
        request = self._advice.request(step_key, fitting, now_ms)
        return starts if request is None else [*starts, request]

    def _place_suspects(
        self,
        job: Job,
        step_key: tuple[str, int, int],
        suspects: list[Task],
        service_round: ServiceRound,
        candidates: list[Candidate],
        left: float,
        now_ms: float,
    ) -> list[Effect]:
        """Places suspects, each isolated from other unproven runs.

        Args:
            job: The job.
            step_key: Job, occurrence and number of the step.
            suspects: Tasks to place.
            service_round: Workers of the service of the job.
            candidates: Those that may run the step.
            left: Number of starts that are left in this round.
            now_ms: Current time.
        """
        starts: list[Effect] = []
        step = job.spec.steps[step_key[2]]
        if (
            not suspects
            or self._suspect_steps_left <= 0
            or self._needs_record(step)
        ):
            return starts
        self._suspect_steps_left -= 1
        score = PLACERS.get(placer_name(step)).score
        isolated = service_round.isolated(
            lambda all_: self._engine.crashes.isolated(all_, now_ms)
        )
        fitting = [
            candidate
            for candidate in isolated
            if candidate.allows(step, step_key)
            and score(candidate, step, step_key) is not None
        ]
        allowed = set(candidates)
        fitting = [c for c in fitting if c in allowed]
        count = int(min(left, len(suspects)))
        for task in suspects[:count]:
            candidate = _first_allowed(task, fitting, service_round)
            if candidate is None:
                continue
            fitting.remove(candidate)
            isolated.remove(candidate)
            run_number = self._next_run(task)
            starts.append(
                self._place_task(job, task, run_number, candidate, now_ms)
            )
        return starts

    def _place_ranked(
        self,
        job: Job,
        waiting: list[Task],
        ranking: Ranking,
        service_round: ServiceRound,
        left: float,
        now_ms: float,
    ) -> list[Effect]:
        """Places tasks until one does not fit or no start is left.

        Once the reserve holds a first start back, only tasks that have run are
        placed. A task whose place must be stored already is passed over if it
        does not fit there.
        """
        starts: list[Effect] = []
        held_back = False
        for task in sorted(waiting, key=_start_order):
            if len(starts) >= left:
                break
            if held_back and not task.run:
                continue
            if self._needs_record(task.step):
                candidate = service_round.recorded_place(task)
                if candidate is None:
                    continue
            elif task.start_doubt is not None:
                place = service_round.doubted_place(task)
                candidate = ranking.choose_only(place)
                if candidate is None:
                    continue
            else:
                candidate = ranking.choose(task)
            if candidate is None and task.recorded_answers:
                continue
            if candidate is None:
                break
            if task.step.long_running:
                room = self._room(job, service_round, now_ms)
                candidate = room.take(candidate, task, task.key[:3])
                if candidate is None:
                    held_back = True
                    continue
            run_number = self._next_run(task)
            starts.append(
                self._place_task(job, task, run_number, candidate, now_ms)
            )
        return starts

    def _place_trial(
        self,
        job: Job,
        waiting: list[Task],
        service_round: ServiceRound,
        now_ms: float,
    ) -> list[Effect]:
        """Places one best-effort task of a step as a trial, if possible.

        Prefers workers where no serving task is over its target, then the one
        with the most headroom; see `limpetyard.engine._trials`.
        """
        _, waiting = split_suspects(waiting, now_ms)
        waiting = [
            task
            for task in waiting
            if task.start_doubt is None and not self._engine.has_stray_run(task)
        ]
        if not waiting:
            return []
        task = min(waiting, key=_start_order)
        step, step_key = task.step, task.key[:3]
        cores = trial_cores(step)
        candidates = [
            candidate
            for candidate in service_round.labelled(step.label)
            if candidate.accepts_trial(step)
            and candidate.worker.id not in task.recorded_answers
            and candidate.allows(step, step_key)
            and (
                job.spec.queue.advice is None
                or self._advice.ticket(step_key, candidate.worker, now_ms)
                is not None
            )
        ]
        if not candidates:
            return []
        best = min(
            candidates,
            key=lambda candidate: (
                candidate.worker.id == task.avoided_worker,
                candidate.is_strained(),
                -candidate.headroom_with(step.image, cores),
                -candidate.idle_cores,
            ),
        )
        worker = best.worker
        start = self._place_task(
            job,
            task,
            self._next_run(task),
            best,
            now_ms,
            trial_percent(step),
        )
        worker.trial = worker.runs[task.key, start.run]
        if best.is_strained():
            worker.strain_counts_from_ms = now_ms
        event("trial_placed", task=task.key.name, worker=worker.id)
        return [start]

    def _room(
        self, job: Job, service_round: ServiceRound, now_ms: float
    ) -> LongRunningRoom:
        """Returns the room for long-running tasks of the job's service."""
        service = job.spec.queue.service
        if service not in self._rooms:
            self._rooms[service] = LongRunningRoom(
                service_round.candidates,
                self._engine.offered_load(service),
                self._engine.params.reserved_share,
                now_ms,
            )
        return self._rooms[service]

    def _place_gang(
        self,
        job: Job,
        step_key: tuple[str, int, int],
        fitting: list[Candidate],
        now_ms: float,
    ) -> list[Effect]:
        """Places all members of a gang, or none.

        A gang with a suspect prefers workers without unproven runs.
        """
        step = job.spec.steps[step_key[2]]
        members = list(job.step_tasks(step_key[1], step_key[2]))
        if any(task.state != "waiting" for task in members):
            return []
        choices = self._rack_choices(step.same_rack, fitting)
        if any(task.crash_score for task in members):
            isolated = [c for c in fitting if not c.worker.unproven_runs()]
            choices = self._rack_choices(step.same_rack, isolated) + choices
        for choice in choices:
            chosen = _fit_all(step, choice, step_key, members)
            if chosen is None:
                continue
            run_number = max(self._next_run(task) for task in members)
            checkpoint = max(task.checkpoint for task in members)
            for task in members:
                task.checkpoint = checkpoint
            return [
                self._place_task(job, task, run_number, candidate, now_ms)
                for task, candidate in zip(members, chosen, strict=True)
            ]
        return []

    def _rack_choices(
        self, same_rack: bool, fitting: list[Candidate]
    ) -> list[list[Candidate]]:
        """Returns the sets of workers to try for a gang, in this order.

        These are the workers of each single rack, if the tasks run slower on
        several racks, and then all workers.
        """
        choices = [fitting]
        if same_rack:
            racks: dict[str, list[Candidate]] = {}
            for candidate in fitting:
                racks.setdefault(candidate.entry.rack, []).append(candidate)
            choices = [*racks.values(), fitting]
        return choices

    def _next_run(self, task: Task) -> int:
        """Returns the number of the next run of a task."""
        if self._engine.jobs[task.key.job].inherited:
            return max(task.run + 1, self._engine.epoch * RUNS_PER_EPOCH)
        return task.run + 1

    def _place_task(
        self,
        job: Job,
        task: Task,
        run_number: int,
        candidate: Candidate,
        now_ms: float,
        speed_percent: int = 100,
    ) -> Start:
        """Records the placement of a task and returns its start order.

        An order for a lower speed follows once the worker has started it.
        """
        worker: Worker = candidate.worker
        task.put_on(worker.id, worker.born, run_number)
        task.restarted_worker = ""
        run = WorkerRun(task.key, run_number, task.step, now_ms)
        run.checkpoint = task.checkpoint
        run.speed_percent = speed_percent
        run.pace_failed = speed_percent < 100
        task.isolate_until_ms = None
        if task.crash_score:
            worker.isolated_run = run
        if task.step.long_running and task.recorded_place != worker.id:
            # It starts once its place is stored.
            job.dirty = True
            self._unrecorded_left -= 1
        self._engine.add_run(worker, run)
        candidate.reserve(run)
        self._placed.append(candidate)
        ticket = self._advice.ticket(task.key[:3], worker, now_ms)
        return Start(
            worker.id,
            task.key,
            run_number,
            job.spec.payload,
            task.checkpoint,
            ticket or "",
            placer_name(task.step),
        )


def _may_restart_first(job: Job, step: int) -> bool:
    """Returns whether a step has restarts that come before first starts."""
    spec = job.spec.steps[step]
    return (
        spec.long_running
        and not spec.gang
        and job.spec.queue.advice is None
        and job.has_restart(step)
    )


def _startable(
    waiting: list[Task],
    unconfirmed: Mapping[str, int],
    restarted: Collection[str],
    now_ms: float,
) -> list[Task]:
    """Returns the tasks that may start now.

    Args:
        waiting: Waiting tasks.
        unconfirmed: Incarnations, by id, of the workers on which runs of an
            earlier owner may exist.
        restarted: Ids of the workers on which tasks of before their restart may
            run.
        now_ms: Current time.
    """
    return [
        task
        for task in waiting
        if task.retry_at_ms <= now_ms
        and not task.may_run_on(unconfirmed)
        and task.restarted_worker not in restarted
    ]


def _start_order(task: Task) -> tuple[int, bool]:
    """Returns the sort key of a task of a step, first to start lowest.

    Long-running tasks are ordered as their steps are by `urgency`, others not.
    """
    is_restart = task.step.long_running and task.is_restart
    return (task.early_failures, not is_restart)


def _fit_all(
    step: StepSpec,
    candidates: list[Candidate],
    step_key: tuple[str, int, int],
    tasks: list[Task],
) -> list[Candidate] | None:
    """Returns a worker for each of some tasks, or None.

    A task with a doubt gets the incarnation that this names.
    """
    count = len(tasks)
    needed = collections.Counter(
        task.start_doubt.worker
        for task in tasks
        if task.start_doubt is not None
    )
    # Places that the doubts do not take.
    spare = count - needed.total()
    chosen: list[Candidate] = []
    for candidate in sorted(
        candidates,
        key=lambda c: (
            c.worker.id not in needed,
            -c.free_resources.cores_milli,
        ),
    ):
        own = needed[candidate.worker.id]
        for placed in itertools.count():
            if len(chosen) == count or (placed >= own and not spare):
                break
            limit = step.per_worker
            full = limit and placed >= limit
            if full or not candidate.fits_times(step, placed + 1):
                break
            chosen.append(candidate)
            spare -= placed >= own
    if len(chosen) < count:
        return None
    return _assigned(tasks, chosen) if needed else chosen


def _assigned(
    tasks: list[Task], chosen: list[Candidate]
) -> list[Candidate] | None:
    """Returns the chosen workers in the order of tasks, some with doubts.

    None if the worker of a doubt is not among them often enough.
    """
    left = list(chosen)
    places: dict[TaskKey, Candidate] = {}
    for task in sorted(tasks, key=lambda task: task.start_doubt is None):
        doubt = task.start_doubt
        place = next(
            (c for c in left if doubt is None or c.worker.id == doubt.worker),
            None,
        )
        if place is None:
            return None
        left.remove(place)
        places[task.key] = place
    return [places[task.key] for task in tasks]


def _first_allowed(
    task: Task, candidates: list[Candidate], service_round: ServiceRound
) -> Candidate | None:
    """Returns the first worker on which the doubt of a task lets it start."""
    if task.start_doubt is None:
        allowed = (
            candidate
            for candidate in candidates
            if candidate.worker.id not in task.recorded_answers
        )
        return next(allowed, None)
    place = service_round.doubted_place(task)
    return place if place in candidates else None
