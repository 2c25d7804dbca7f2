"""Counts broken promises from the record of what workers did."""

import collections

from limpetyard.jobs import FINAL_STATES, TaskKey
from standins.platform._history import (
    Accepted,
    Cancelled,
    Draining,
    Ended,
    History,
    Lapsed,
    Noted,
    RunStarted,
    Shown,
    ZoneSet,
)
from standins.platform._virtual_time import START_WALL_MS

# A job may still be unknown for this long after its acceptance.
VISIBLE_MS = 3000

# Bounds in time hold again after the store was calm for this long.
CONTACT_MS = 3000

# A leaving worker may still be given work for this long.
DRAIN_MS = 2000

# Nothing is started in a zone for longer than this after it was taken out.
EVACUATE_MS = 5000

# A start may come so much before its time, and clocks may be off by the other.
EARLY_MS = 250
CLOCKS_MS = 5000

# An end counts as brought about by a trouble that was this near: the longest
# lease, twice, and what a takeover takes.
NEAR_MS = 15_000

# A cancelled job's tasks may still be started for this long.
CANCEL_MS = 3000


def violations(history: History, finished: bool = True) -> list[str]:
    """Returns every broken promise.

    Args:
        history: What happened.
        finished: Whether all jobs had time to be completed.
    """
    found = []
    for check in _CHECKS:
        found += check(history)
    if finished:
        found += _lost(history)
    return found


def _noted_ends(history: History) -> set[tuple[str, int, int]]:
    """Ends that were noted while the worker's lease had not lapsed between."""
    noted: set[tuple[str, int, int]] = set()
    lapses: dict[tuple[str, int], float] = {}
    ends: dict[tuple[str, int], list[Ended]] = collections.defaultdict(list)
    for entry in history.entries:
        if isinstance(entry, Ended):
            ends[entry.worker, entry.born].append(entry)
        elif isinstance(entry, Lapsed):
            lapses[entry.worker, entry.born] = entry.at_ms
        elif isinstance(entry, Noted):
            life = (entry.worker, entry.born)
            for end in ends[life]:
                lapsed_ms = lapses.get(life, -1.0)
                if end.number <= entry.number and end.at_ms >= lapsed_ms:
                    noted.add((*life, end.number))
    return noted


def _twice(history: History) -> list[str]:
    found = []
    running: dict[TaskKey, set[tuple[str, int, int]]] = collections.defaultdict(
        set
    )
    noted = _noted_ends(history)
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
        elif isinstance(entry, Ended):
            place = (entry.worker, entry.born, entry.run)
            running[entry.task].discard(place)
            end = (entry.worker, entry.born, entry.number)
            if entry.how == "done" and end in noted:
                done.add(entry.task)
    return found


def _limit(history: History) -> list[str]:
    return [
        f"LIMIT {entry.worker} at {entry.at_ms:.0f}"
        for entry in history.of(RunStarted)
        if entry.over
    ]


def _order(history: History) -> list[str]:
    found = []
    done: dict[tuple, set[int]] = collections.defaultdict(set)
    for entry in history.entries:
        if isinstance(entry, Ended) and entry.how == "done":
            done[entry.task[:3]].add(entry.task.index)
        elif isinstance(entry, RunStarted):
            spec = history.submitted.get(entry.task.job)
            if spec is None:
                continue
            for before in spec.steps[entry.task.step].after:
                place = (entry.task.job, entry.task.occurrence, before)
                if len(done[place]) < spec.steps[before].count:
                    found.append(f"ORDER {entry.task} at {entry.at_ms:.0f}")
    return found


def _budget(history: History) -> list[str]:
    found = []
    noted = _noted_ends(history)
    failed: collections.Counter = collections.Counter()
    for entry in history.entries:
        if isinstance(entry, Ended):
            end = (entry.worker, entry.born, entry.number)
            if entry.how == "failed" and end in noted:
                failed[entry.task] += 1
        elif isinstance(entry, RunStarted):
            spec = history.submitted.get(entry.task.job)
            lasting = spec and spec.steps[entry.task.step].long_running
            limit = spec.queue.max_attempts if spec else 1
            if not lasting and failed[entry.task] >= limit:
                found.append(f"BUDGET {entry.task} at {entry.at_ms:.0f}")
    return found


def _unasked(history: History) -> list[str]:
    found = []
    cancelled: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, Cancelled):
            cancelled.setdefault(entry.job, entry.at_ms)
        elif isinstance(entry, RunStarted):
            job = entry.task.job
            if job not in history.submitted:
                found.append(f"UNASKED {entry.task}")
            if job in history.refused:
                found.append(f"REFUSED {entry.task} at {entry.at_ms:.0f}")
            late_ms = entry.at_ms - cancelled.get(job, entry.at_ms)
            calm_ms = history.calm_for_ms(entry.at_ms)
            if late_ms > CANCEL_MS and calm_ms > CONTACT_MS:
                found.append(
                    f"UNASKED {entry.task} {late_ms:.0f} ms after its cancel"
                )
    return found


def _drain(history: History) -> list[str]:
    found = []
    draining: dict[tuple[str, int], float] = {}
    for entry in history.entries:
        if isinstance(entry, Draining):
            draining[entry.worker, entry.born] = entry.at_ms
        elif isinstance(entry, RunStarted):
            since_ms = draining.get((entry.worker, entry.born), entry.at_ms)
            late_ms = entry.at_ms - since_ms
            calm_ms = history.calm_for_ms(entry.at_ms)
            if late_ms > DRAIN_MS and calm_ms > CONTACT_MS and not entry.late:
                found.append(f"DRAIN {entry.task} after {late_ms:.0f} ms")
    return found


def _shown(history: History) -> list[str]:
    found = []
    done: dict[str, set[TaskKey]] = collections.defaultdict(set)
    accepted: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, Ended) and entry.how == "done":
            done[entry.task.job].add(entry.task)
        elif isinstance(entry, Accepted):
            accepted[entry.spec.id] = entry.at_ms
        elif isinstance(entry, Shown):
            found += _shown_wrongly(history, entry, done, accepted)
    return found


def _shown_wrongly(
    history: History,
    entry: Shown,
    done: dict[str, set[TaskKey]],
    accepted: dict[str, float],
) -> list[str]:
    spec = history.submitted.get(entry.job)
    cancelled = history.cancels_sent
    known_ms = entry.at_ms - accepted.get(entry.job, entry.at_ms)
    gone = entry.state == "" and entry.job not in cancelled
    if gone and known_ms > VISIBLE_MS:
        return [f"LOST {entry.job} is unknown at {entry.at_ms:.0f}"]
    if entry.state == "cancelled" and entry.job not in cancelled:
        return [f"LOST {entry.job} shown as cancelled"]
    if entry.state != "completed":
        return []
    wanted = sum(step.count for step in spec.steps) * spec.occurrences
    if len(done[entry.job]) < wanted:
        return [f"MIXED {entry.job} shown as completed"]
    return []


def _route(history: History) -> list[str]:
    found = []
    running: dict[tuple, set] = collections.defaultdict(set)
    for entry in history.entries:
        if isinstance(entry, Ended):
            running[(entry.worker, *entry.task[:3])].discard(entry.task)
        elif (
            isinstance(entry, RunStarted)
            and entry.task.job in history.submitted
        ):
            step = history.submitted[entry.task.job].steps[entry.task.step]
            here = running[(entry.worker, *entry.task[:3])]
            here.add(entry.task)
            if step.per_worker and len(here) > step.per_worker:
                found.append(f"ROUTE {entry.task}: {len(here)} on one worker")
            if step.label and step.label not in history.labels[entry.worker]:
                found.append(f"ROUTE {entry.task} without {step.label}")
    return found


def _early(history: History) -> list[str]:
    found = []
    for entry in history.of(RunStarted):
        spec = history.submitted.get(entry.task.job)
        if spec is None or not spec.timed:
            continue
        due_ms = spec.first_due_ms + entry.task.occurrence * spec.interval_ms
        wall_ms = entry.at_ms + START_WALL_MS
        if wall_ms < due_ms - EARLY_MS - CLOCKS_MS:
            found.append(f"ORDER {entry.task} before its time")
    return found


def _evacuated(history: History) -> list[str]:
    found = []
    out: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, ZoneSet) and entry.out:
            out.setdefault(entry.zone, entry.at_ms)
        elif isinstance(entry, ZoneSet):
            out.pop(entry.zone, None)
        elif isinstance(entry, RunStarted) and not entry.late:
            zone = history.zones[entry.worker]
            late_ms = entry.at_ms - out.get(zone, entry.at_ms)
            calm_ms = history.calm_for_ms(entry.at_ms)
            if late_ms > EVACUATE_MS and calm_ms > CONTACT_MS:
                found.append(f"EVAC {entry.task} in {zone}")
    return found


def _gang(history: History) -> list[str]:
    return [
        f"GANG {entry.task} was alone at {entry.at_ms:.0f}"
        for entry in history.of(Ended)
        if entry.how == "alone"
        and entry.task.job not in history.cancels_sent
        and history.untroubled_for_ms(entry.at_ms) > NEAR_MS
    ]


def _lost(history: History) -> list[str]:
    last: dict[str, str] = {}
    for entry in history.of(Shown):
        last[entry.job] = entry.state
    return [
        f"LOST {entry.spec.id} is {last.get(entry.spec.id)!r} at the end"
        for entry in history.of(Accepted)
        if entry.spec.id not in history.cancels_sent
        and last.get(entry.spec.id) not in FINAL_STATES
        and not any(step.long_running for step in entry.spec.steps)
    ]


_CHECKS = (
    _twice,
    _limit,
    _order,
    _early,
    _budget,
    _unasked,
    _shown,
    _drain,
    _route,
    _evacuated,
    _gang,
)
