"""Checks a history of workers and clients against the users' rules.

Each violation is a text that starts with the name of the rule, e.g. TWICE.
"""

import collections

from limpetyard.jobs import TaskKey
from standins.platform._history import (
    DrainAnnounced,
    EndsAcknowledged,
    History,
    LeaseExpired,
    RunEnded,
    RunStarted,
    TaskIdle,
    ZoneChanged,
)
from standins.platform._job_checks import (
    JOB_CHECKS,
    check_lost,
    in_touch,
)

# Runs may still start on a draining worker for this long.
DRAIN_GRACE_MS = 2000

# Runs may still start in an evacuated zone for this long.
EVACUATION_GRACE_MS = 5000

# A timed job may start at most this much early, on clocks that are off by at
# most CLOCK_SKEW_MS.
EARLY_TOLERANCE_MS = 250
CLOCK_SKEW_MS = 5000

# A fault may still cause runs to end for this long: twice the longest lease
# plus the duration of a takeover.
FAULT_EFFECT_MS = 15_000

# A task under which this many workers have crashed may start less than this
# many times more.
MAX_DEADLY_CRASHES = 3
MAX_DEADLY_STARTS = 3


def violations(history: History, finished: bool = True) -> list[str]:
    """Returns a description of each violation.

    Args:
        history: The history to check.
        finished: Whether all jobs had enough time to complete, so that those
            without a final state count as lost.
    """
    found = []
    for check in _CHECKS:
        found += check(history)
    if finished:
        found += check_lost(history)
    return found


def acknowledged_done(history: History) -> set[TaskKey]:
    """Returns the tasks whose end as done was acknowledged."""
    acked = _acked_ends(history)
    return {
        end.task
        for end in history.of(RunEnded)
        if end.end_kind == "done"
        and (end.worker, end.born, end.number) in acked
    }


def _acked_ends(history: History) -> set[tuple[str, int, int]]:
    """Returns ended runs whose end the owner acknowledged under a valid lease.

    An end is left out if the worker's lease expired between the end and its
    acknowledgement.
    """
    acked: set[tuple[str, int, int]] = set()
    expired_ms_by_worker: dict[tuple[str, int], float] = {}
    ends: dict[tuple[str, int], list[RunEnded]] = collections.defaultdict(list)
    for entry in history.entries:
        if isinstance(entry, RunEnded):
            ends[entry.worker, entry.born].append(entry)
        elif isinstance(entry, LeaseExpired):
            expired_ms_by_worker[entry.worker, entry.born] = entry.at_ms
        elif isinstance(entry, EndsAcknowledged):
            incarnation = (entry.worker, entry.born)
            for end in ends[incarnation]:
                expired_ms = expired_ms_by_worker.get(incarnation, -1.0)
                if end.number <= entry.number and end.at_ms >= expired_ms:
                    acked.add((*incarnation, end.number))
    return acked


def _check_twice(history: History) -> list[str]:
    """TWICE: a task runs in two places, or again once its end is acked."""
    found = []
    running: dict[TaskKey, set[tuple[str, int, int]]] = collections.defaultdict(
        set
    )
    acked = _acked_ends(history)
    done: set[TaskKey] = set()
    for entry in history.entries:
        if isinstance(entry, RunStarted):
            if running[entry.task]:
                found.append(
                    f"TWICE {entry.task} on {entry.worker} at"
                    f" {entry.at_ms:.0f}: also {running[entry.task]}"
                )
            if entry.task in done:
                found.append(
                    f"TWICE {entry.task} at {entry.at_ms:.0f}: was done"
                )
            running[entry.task].add((entry.worker, entry.born, entry.run))
        elif isinstance(entry, RunEnded):
            run_key = (entry.worker, entry.born, entry.run)
            running[entry.task].discard(run_key)
            end = (entry.worker, entry.born, entry.number)
            if entry.end_kind == "done" and end in acked:
                done.add(entry.task)
    return found


def _check_limit(history: History) -> list[str]:
    """LIMIT: a start exceeds the capacity of its worker."""
    return [
        f"LIMIT {entry.worker} at {entry.at_ms:.0f}"
        for entry in history.of(RunStarted)
        if entry.over_capacity
    ]


def _check_order(history: History) -> list[str]:
    """ORDER: a task starts before the steps that it depends on are done."""
    found = []
    done: dict[tuple, set[int]] = collections.defaultdict(set)
    for entry in history.entries:
        if isinstance(entry, RunEnded) and entry.end_kind == "done":
            done[entry.task[:3]].add(entry.task.index)
        elif isinstance(entry, RunStarted):
            spec = history.submitted.get(entry.task.job)
            if spec is None:
                continue
            for dependency in spec.steps[entry.task.step].after:
                step_key = (entry.task.job, entry.task.occurrence, dependency)
                if len(done[step_key]) < spec.steps[dependency].count:
                    found.append(f"ORDER {entry.task} at {entry.at_ms:.0f}")
    return found


def _check_budget(history: History) -> list[str]:
    """BUDGET: a task starts again after its maximum number of failures."""
    found = []
    acked = _acked_ends(history)
    failed: collections.Counter = collections.Counter()
    for entry in history.entries:
        if isinstance(entry, RunEnded):
            end = (entry.worker, entry.born, entry.number)
            if entry.end_kind == "failed" and end in acked:
                failed[entry.task] += 1
        elif isinstance(entry, RunStarted):
            spec = history.submitted.get(entry.task.job)
            long_running = spec and spec.steps[entry.task.step].long_running
            limit = spec.queue.max_attempts if spec else 1
            if not long_running and failed[entry.task] >= limit:
                found.append(f"BUDGET {entry.task} at {entry.at_ms:.0f}")
    return found


def _check_deadly(history: History) -> list[str]:
    """BUDGET: a task that crashes workers is started again and again."""
    found = []
    crashes: collections.Counter = collections.Counter()
    starts: collections.Counter = collections.Counter()
    for entry in history.entries:
        if isinstance(entry, RunEnded):
            crashes[entry.task] += entry.end_kind == "crashed"
        elif (
            isinstance(entry, RunStarted)
            and entry.task.job in history.deadly
            and crashes[entry.task] >= MAX_DEADLY_CRASHES
        ):
            starts[entry.task] += 1
            if starts[entry.task] >= MAX_DEADLY_STARTS:
                found.append(f"BUDGET {entry.task} crashes its workers")
    return found


def _check_drain(history: History) -> list[str]:
    """DRAIN: a run starts on a worker that has been draining for too long."""
    found = []
    draining: dict[tuple[str, int], float] = {}
    for entry in history.entries:
        if isinstance(entry, DrainAnnounced):
            draining[entry.worker, entry.born] = entry.at_ms
        elif isinstance(entry, RunStarted):
            since_ms = draining.get((entry.worker, entry.born), entry.at_ms)
            late_ms = entry.at_ms - since_ms
            if (
                late_ms > DRAIN_GRACE_MS
                and in_touch(history, entry.sender, entry.at_ms)
                and not entry.late_delivery
            ):
                found.append(f"DRAIN {entry.task} after {late_ms:.0f} ms")
    return found


def _check_route(history: History) -> list[str]:
    """ROUTE: a worker without the label, or with too many tasks of a step."""
    found = []
    running: dict[tuple, set] = collections.defaultdict(set)
    for entry in history.entries:
        if isinstance(entry, RunEnded):
            running[(entry.worker, *entry.task[:3])].discard(entry.task)
        elif (
            isinstance(entry, RunStarted)
            and entry.task.job in history.submitted
        ):
            step = history.submitted[entry.task.job].steps[entry.task.step]
            colocated = running[(entry.worker, *entry.task[:3])]
            colocated.add(entry.task)
            if step.per_worker and len(colocated) > step.per_worker:
                found.append(
                    f"ROUTE {entry.task}: {len(colocated)} on one worker"
                )
            if step.label and step.label not in history.labels[entry.worker]:
                found.append(f"ROUTE {entry.task} without {step.label}")
    return found


def _check_early(history: History) -> list[str]:
    """ORDER: a task of a timed job starts before its due time."""
    found = []
    for entry in history.of(RunStarted):
        spec = history.submitted.get(entry.task.job)
        if spec is None or not spec.timed:
            continue
        due_ms = spec.first_due_ms + entry.task.occurrence * spec.interval_ms
        wall_ms = entry.at_ms + history.start_wall_ms
        if wall_ms < due_ms - EARLY_TOLERANCE_MS - CLOCK_SKEW_MS:
            found.append(f"ORDER {entry.task} before its due time")
    return found


def _check_evacuation(history: History) -> list[str]:
    """EVAC: a run starts in a zone that has been out of service for long."""
    found = []
    out: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, ZoneChanged) and entry.out:
            out.setdefault(entry.zone, entry.at_ms)
        elif isinstance(entry, ZoneChanged):
            out.pop(entry.zone, None)
        elif isinstance(entry, RunStarted) and not entry.late_delivery:
            zone = history.zones[entry.worker]
            late_ms = entry.at_ms - out.get(zone, entry.at_ms)
            if late_ms > EVACUATION_GRACE_MS and in_touch(
                history, entry.sender, entry.at_ms
            ):
                found.append(f"EVAC {entry.task} in {zone}")
    return found


def _check_gangs(history: History) -> list[str]:
    """GANG: a member waited in vain for the others, with no fault near."""
    return [
        f"GANG {entry.task} was alone at {entry.at_ms:.0f}"
        for entry in history.of(RunEnded)
        if entry.end_kind == "alone"
        and entry.task.job not in history.cancel_requests
        and history.undisturbed_ms(entry.at_ms) > FAULT_EFFECT_MS
    ]


def _check_idle(history: History) -> list[str]:
    """LOST: a long-running task did not run though a worker had room."""
    return [
        f"LOST {entry.task.name} at {entry.at_ms:.0f}: waits since"
        f" {entry.idle_since_ms:.0f}, {entry.worker} has room"
        for entry in history.of(TaskIdle)
    ]


_CHECKS = (
    _check_twice,
    _check_limit,
    _check_order,
    _check_early,
    _check_budget,
    _check_deadly,
    *JOB_CHECKS,
    _check_drain,
    _check_route,
    _check_evacuation,
    _check_gangs,
    _check_idle,
)
