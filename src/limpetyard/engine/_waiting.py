"""Explains why long-running tasks wait although they should run."""

import math
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from limpetyard._events import event
from limpetyard._registry import Registry
from limpetyard.engine._candidate import Candidate
from limpetyard.engine._eligibility import (
    LEAVING,
    count_text,
    withheld_workers,
)
from limpetyard.engine._ranking import ServiceRound
from limpetyard.engine._unconfirmed import UnconfirmedWorkers
from limpetyard.jobs import Job, Task

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# A task that waits for longer than this is reported.
REPORTED_WAIT_MS = 1500

# Time between two reports on the same step.
REPORT_INTERVAL_MS = 2000

# Time between two looks at the waiting steps.
LOOK_INTERVAL_MS = 500

# Maximum number of reports in one round; the longest waits come first.
MAX_REPORTS = 10


class WaitingStep:
    """A step with long-running tasks that wait, at the end of a round.

    Attributes:
        job: The job.
        task: The task that has waited longest.
        number: Number of waiting tasks of the step.
        since_ms: Since when this owner has known the task to wait.
        withheld: Workers of the service that get no new work, or None before
            the wait is reported.
    """

    __slots__ = ("job", "number", "since_ms", "task", "withheld")

    def __init__(self, job: Job, waiting: list[Task], first_round_ms: float):
        self.job = job
        self.number = len(waiting)
        self.task = min(waiting, key=lambda task: _idle_since_ms(job, task))
        self.since_ms = max(_idle_since_ms(job, self.task), first_round_ms)
        self.withheld: Withheld | None = None

    def withheld_with_label(self) -> list[Candidate]:
        """Returns the withheld workers that stay and have the step's label."""
        if self.withheld is None:
            return []
        return self.withheld.labelled(self.task.step.label)


class RoundState:
    """What decided a round of planning.

    Attributes:
        now_ms: Time of the round.
        rounds: Workers by service, of the services that were looked at.
        unconfirmed: Workers on which a run of an earlier owner or incarnation
            may exist.
        starts_left: Number of starts that were not used.
        restarted: Ids of the workers on which tasks of before their restart may
            run.
    """

    __slots__ = (
        "_withheld",
        "now_ms",
        "restarted",
        "rounds",
        "starts_left",
        "unconfirmed",
    )

    def __init__(
        self,
        now_ms: float,
        rounds: dict[str, ServiceRound],
        unconfirmed: UnconfirmedWorkers,
        starts_left: float,
        restarted: Collection[str] = (),
    ):
        self.now_ms = now_ms
        self.rounds = rounds
        self.unconfirmed = unconfirmed
        self.starts_left = starts_left
        self.restarted = restarted
        self._withheld: dict[str, Withheld] = {}

    def withheld(self, service: str, engine: "Engine") -> "Withheld":
        """Returns the workers of a service that get no new work."""
        if service not in self._withheld:
            self._withheld[service] = Withheld(service, engine, self.now_ms)
        return self._withheld[service]


class Withheld:
    """Workers of a service that get no new work, at the end of a round.

    Attributes:
        by_condition: These workers by condition.
        staying: Those of them that are neither draining nor missing. The
            resources that they lack are those of runs that are known, which
            may be none before their first reply.
    """

    __slots__ = ("by_condition", "staying")

    def __init__(self, service: str, engine: "Engine", now_ms: float):
        workers = [
            worker
            for worker in engine.workers.values()
            if worker.entry.service == service
        ]
        self.by_condition = withheld_workers(workers, engine, now_ms)
        self.staying = [
            Candidate(worker, engine.interference, now_ms)
            for name, withheld in self.by_condition.items()
            if name not in LEAVING
            for worker in withheld
        ]

    def labelled(self, label: str) -> list[Candidate]:
        """Returns the staying workers with a label; all for no label."""
        return [c for c in self.staying if not label or label in c.entry.labels]


# Returns the input that made a step wait, or None if the reason does not apply.
Reason = Callable[[WaitingStep, RoundState], str | None]

REASONS: Registry[Reason] = Registry("reason to wait")

# The first of these that applies is reported.
REASON_ORDER = (
    "backoff",
    "earlier_owner",
    "restarted_worker",
    "no_worker",
    "start_limit",
    "withheld",
    "no_room",
)


class WaitReporter:
    """Logs steps whose long-running tasks wait for long."""

    __slots__ = ("_engine", "_first_round_ms", "_looked_ms", "_reported_ms")

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._first_round_ms: float | None = None
        self._looked_ms = -math.inf
        # When each waiting step was last reported, by job, occurrence and step.
        self._reported_ms: dict[tuple, float] = {}

    def report(self, state: RoundState) -> None:
        """Logs the steps that have waited longest, with the reason."""
        if self._first_round_ms is None:
            self._first_round_ms = state.now_ms
        if state.now_ms - self._looked_ms < LOOK_INTERVAL_MS:
            return
        self._looked_ms = state.now_ms
        steps = self._waiting_steps(state.now_ms)
        keys = {step.task.key[:3] for step in steps}
        self._reported_ms = {
            key: at_ms
            for key, at_ms in self._reported_ms.items()
            if key in keys
        }
        steps.sort(key=lambda step: step.since_ms)
        reported = 0
        for step in steps:
            last_ms = self._reported_ms.get(step.task.key[:3], -math.inf)
            if state.now_ms - last_ms < REPORT_INTERVAL_MS:
                continue
            if reported == MAX_REPORTS:
                return
            reported += 1
            self._reported_ms[step.task.key[:3]] = state.now_ms
            step.withheld = state.withheld(
                step.job.spec.queue.service, self._engine
            )
            reason, detail = explain(step, state)
            event(
                "task_waiting",
                task=step.task.key.name,
                tasks=step.number,
                age_ms=state.now_ms - step.since_ms,
                reason=reason,
                detail=detail,
                withheld=count_text(step.withheld.by_condition),
                withheld_free=_most_free(step.withheld_with_label()),
            )

    def _waiting_steps(self, now_ms: float) -> list[WaitingStep]:
        found = []
        for job in self._engine.open_jobs.values():
            for occurrence, number in job.waiting_steps():
                if not job.spec.steps[number].long_running:
                    continue
                waiting = job.waiting_tasks(occurrence, number)
                step = WaitingStep(job, waiting, self._first_round_ms)
                if now_ms - step.since_ms > REPORTED_WAIT_MS:
                    found.append(step)
        return found


def explain(step: WaitingStep, state: RoundState) -> tuple[str, str]:
    """Returns the first reason that applies to a step, and its input."""
    for name in REASON_ORDER:
        detail = REASONS.get(name)(step, state)
        if detail is not None:
            return name, detail
    return "unknown", ""


def _most_free(candidates: list[Candidate]) -> int:
    """Returns the most free thousandths of a core on one of some workers."""
    return max((c.free_resources.cores_milli for c in candidates), default=0)


def _idle_since_ms(job: Job, task: Task) -> float:
    if task.idle_since_ms is None:
        return job.submitted_ms
    return task.idle_since_ms


@REASONS.register("backoff")
def _backoff(step: WaitingStep, state: RoundState) -> str | None:
    left_ms = step.task.retry_at_ms - state.now_ms
    return f"{left_ms:.0f} ms left" if left_ms > 0 else None


@REASONS.register("earlier_owner")
def _earlier_owner(step: WaitingStep, state: RoundState) -> str | None:
    """A run of an earlier owner may exist on a worker."""
    workers = state.unconfirmed.of_queue(step.job.spec.queue.name)
    if not step.task.may_run_on(workers):
        return None
    return f"unconfirmed: {step.task.possible_worker or next(iter(workers))}"


@REASONS.register("no_room")
def _no_room(step: WaitingStep, state: RoundState) -> str | None:
    service = state.rounds.get(step.job.spec.queue.service)
    if state.starts_left <= 0 or service is None or not service.candidates:
        return None
    step_spec = step.task.step
    labelled = service.labelled(step_spec.label)
    most = _most_free(labelled)
    with_room = sum(c.has_room(step_spec) for c in labelled)
    return (
        f"needs {step_spec.need.cores_milli} thousandths of a core;"
        f" {len(labelled)} workers with label {step_spec.label!r}, at most"
        f" {most} free, {with_room} with room; limit per worker"
        f" {step_spec.per_worker or None}"
    )


@REASONS.register("no_worker")
def _no_worker(step: WaitingStep, state: RoundState) -> str | None:
    service = state.rounds.get(step.job.spec.queue.service)
    if service is None or service.candidates:
        return None
    return "no worker accepts work"


@REASONS.register("start_limit")
def _start_limit(step: WaitingStep, state: RoundState) -> str | None:
    return "no start left in this round" if state.starts_left <= 0 else None


@REASONS.register("restarted_worker")
def _restarted_worker(step: WaitingStep, state: RoundState) -> str | None:
    """A late order may start the task's last run again on its worker."""
    worker = step.task.restarted_worker
    return f"unconfirmed: {worker}" if worker in state.restarted else None


@REASONS.register("withheld")
def _withheld(step: WaitingStep, state: RoundState) -> str | None:
    """Only workers that get no new work at present have room."""
    step_spec = step.task.step
    service = state.rounds.get(step.job.spec.queue.service)
    if service is None or any(
        c.has_room(step_spec) for c in service.labelled(step_spec.label)
    ):
        return None
    with_room = [c for c in step.withheld_with_label() if c.has_room(step_spec)]
    if not with_room:
        return None
    return (
        f"needs {step_spec.need.cores_milli} thousandths of a core;"
        f" {len(with_room)} withheld workers have room, such as"
        f" {with_room[0].worker.id}"
    )
