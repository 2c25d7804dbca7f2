"""Places ready tasks on workers."""

import itertools
from typing import TYPE_CHECKING

from limpetyard.engine._draining import vacate
from limpetyard.engine._effects import Effect, RequestAdvice, Start
from limpetyard.engine._placement import PLACERS, Candidate, kind_of
from limpetyard.engine._step_worker_client import Ticket
from limpetyard.engine._urgency import urgency
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import Job, StepSpec, Task

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# Runs are numbered from here on for tasks that an earlier owner may have
# started, so that no number is used twice.
RUNS_PER_EPOCH = 256

# Most workers that one call for advice names; each costs time in the answer.
ADVICE_WORKERS = 30

# Time of a ticket that must be left when it is used.
TICKET_MARGIN_MS = 300

# An unanswered question for advice is asked again after this.
ASK_REPEAT_MS = 2000


class Planner:
    """Decides which tasks start where."""

    __slots__ = ("_asked", "_engine", "_tickets")

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._tickets: dict[tuple, dict[str, tuple[str, float]]] = {}
        self._asked: dict[tuple, float] = {}

    def place(self, now_ms: float, wall_ms: float) -> list[Effect]:
        """Returns what to start, and what to ask before starting."""
        engine = self._engine
        unsure = self._unsure_services(now_ms)
        usable: dict[str, list[Candidate]] = {}
        steps = []
        for job in engine.open_jobs.values():
            if job.spec.timed:
                self._make_due(job, wall_ms)
            for occurrence, step in job.open_steps():
                waiting = [
                    task
                    for task in job.step_tasks(occurrence, step)
                    if task.state == "waiting"
                    and task.retry_at_ms <= now_ms
                    and not (task.unsure and job.spec.queue.service in unsure)
                ]
                if waiting:
                    key = urgency(job, step, now_ms)
                    steps.append((key, job, occurrence, step, waiting))
        steps.sort(key=lambda entry: entry[0])
        effects: list[Effect] = []
        for _, job, occurrence, step, waiting in steps:
            service = job.spec.queue.service
            if service not in usable:
                usable[service] = self._usable(service, now_ms)
            if usable[service]:
                effects += self._place_step(
                    job, occurrence, step, waiting, usable[service], now_ms
                )
        self._vacate(usable, now_ms)
        return effects

    def _vacate(
        self, usable: dict[str, list[Candidate]], now_ms: float
    ) -> None:
        """Takes work off workers that leave, as far as there is room."""
        for worker in self._engine.workers.values():
            if not worker.entry.draining or not worker.is_responsive(now_ms):
                continue
            service = worker.entry.service
            if service not in usable:
                usable[service] = self._usable(service, now_ms)
            vacate(worker, self._engine.find_task, usable[service], now_ms)

    def add_tickets(
        self, job: str, occurrence: int, step: int, tickets: list[Ticket]
    ) -> None:
        """Takes in an answer of the advice service.

        Args:
            job: Id of the job.
            occurrence: Number of the occurrence.
            step: Number of the step.
            tickets: Leaves, whose validity is a time on this process's clock.
        """
        known = self._tickets.setdefault((job, occurrence, step), {})
        for ticket in tickets:
            known[ticket.worker] = (ticket.ticket, ticket.valid_ms)
        self._asked.pop((job, occurrence, step), None)

    def _make_due(self, job: Job, wall_ms: float) -> None:
        while job.due < job.spec.occurrences:
            if wall_ms < job.due_at_ms(job.due):
                return
            job.make_due(job.due + 1)
            job.dirty = True

    def _unsure_services(self, now_ms: float) -> set[str]:
        """Services with a worker that may hold an earlier owner's runs."""
        return {
            worker.entry.service
            for worker in self._engine.workers.values()
            if not worker.token_confirmed and now_ms < worker.prior_lease_end_ms
        }

    def _usable(self, service: str, now_ms: float) -> list[Candidate]:
        engine = self._engine
        return [
            Candidate(worker, engine.tails, now_ms)
            for worker in engine.workers.values()
            if worker.entry.service == service
            and worker.token_confirmed
            and worker.recorded
            and not worker.entry.draining
            and worker.entry.availability_zone not in engine.zones_out
            and worker.missing_since_ms is None
            and now_ms >= worker.refused_until_ms
            and worker.is_responsive(now_ms)
            and worker.may_be_tried(now_ms)
        ]

    def _place_step(
        self,
        job: Job,
        occurrence: int,
        number: int,
        waiting: list[Task],
        candidates: list[Candidate],
        now_ms: float,
    ) -> list[Effect]:
        step = job.spec.steps[number]
        place = (job.spec.id, occurrence, number)
        fitting = [
            candidate
            for candidate in candidates
            if (not step.label or step.label in candidate.entry.labels)
            and step.reserved.fits(candidate.room)
        ]
        if not fitting:
            return []
        if job.spec.queue.advice is not None:
            known = self._valid_tickets(place, now_ms)
            ask = self._ask(place, fitting, known, now_ms)
            if ask is not None:
                return [ask]
            fitting = [c for c in fitting if c.worker.id in known]
        if step.gang:
            return self._place_gang(job, place, fitting, now_ms)
        placer = PLACERS.get(kind_of(step))
        effects: list[Effect] = []
        for task in waiting:
            chosen = placer(task, step, fitting, place)
            if chosen is None:
                break
            run = self._next_run(task)
            effects.append(self._start(job, task, run, chosen, now_ms))
        return effects

    def _place_gang(
        self,
        job: Job,
        place: tuple[str, int, int],
        fitting: list[Candidate],
        now_ms: float,
    ) -> list[Effect]:
        """Places all members of a gang, or none."""
        step = job.spec.steps[place[2]]
        members = list(job.step_tasks(place[1], place[2]))
        if any(task.state != "waiting" for task in members):
            return []
        for racks in self._rack_choices(step.same_rack, fitting):
            chosen = _fit_all(step, racks, place, len(members))
            if chosen is None:
                continue
            run = max(self._next_run(task) for task in members)
            checkpoint = max(task.checkpoint for task in members)
            for task in members:
                task.checkpoint = checkpoint
            return [
                self._start(job, task, run, candidate, now_ms)
                for task, candidate in zip(members, chosen, strict=True)
            ]
        return []

    def _rack_choices(
        self, same_rack: bool, fitting: list[Candidate]
    ) -> list[list[Candidate]]:
        choices = [fitting]
        if same_rack:
            racks: dict[str, list[Candidate]] = {}
            for candidate in fitting:
                racks.setdefault(candidate.entry.rack, []).append(candidate)
            choices = [*racks.values(), fitting]
        return choices

    def _valid_tickets(
        self, place: tuple[str, int, int], now_ms: float
    ) -> dict[str, str]:
        return {
            worker: ticket
            for worker, (ticket, until) in self._tickets.get(place, {}).items()
            if now_ms + TICKET_MARGIN_MS < until
        }

    def _ask(
        self,
        place: tuple[str, int, int],
        fitting: list[Candidate],
        known: dict[str, str],
        now_ms: float,
    ) -> RequestAdvice | None:
        if any(candidate.worker.id in known for candidate in fitting):
            return None
        asked_ms = self._asked.get(place)
        if asked_ms is not None and now_ms - asked_ms < ASK_REPEAT_MS:
            return None
        self._asked[place] = now_ms
        best = sorted(fitting, key=lambda c: -c.room.cores_milli)
        names = [candidate.worker.id for candidate in best[:ADVICE_WORKERS]]
        return RequestAdvice(*place, tuple(names))

    def _next_run(self, task: Task) -> int:
        if task.unsure:
            return max(task.run + 1, self._engine.epoch * RUNS_PER_EPOCH)
        return task.run + 1

    def _start(
        self,
        job: Job,
        task: Task,
        number: int,
        chosen: Candidate,
        now_ms: float,
    ) -> Start:
        worker: Worker = chosen.worker
        task.unsure = False
        task.run = number
        task.worker = worker.id
        task.fire("place")
        job.begin()
        run = WorkerRun(task.key, number, task.step, now_ms)
        run.checkpoint = task.checkpoint
        worker.runs[task.key, number] = run
        chosen.take(run)
        tickets = self._tickets.get(task.key[:3], {})
        ticket, _ = tickets.get(worker.id, ("", 0.0))
        return Start(
            worker.id,
            task.key,
            number,
            job.spec.payload,
            task.checkpoint,
            ticket,
            kind_of(task.step),
        )


def _fit_all(
    step: StepSpec,
    candidates: list[Candidate],
    place: tuple[str, int, int],
    count: int,
) -> list[Candidate] | None:
    """Returns a worker for each of `count` tasks, or None."""
    chosen: list[Candidate] = []
    for candidate in sorted(candidates, key=lambda c: -c.room.cores_milli):
        for held in itertools.count():
            if len(chosen) == count:
                return chosen
            limit = step.per_worker
            full = limit and held >= limit
            if full or not candidate.fits_times(step, held + 1):
                break
            chosen.append(candidate)
    return chosen if len(chosen) == count else None
