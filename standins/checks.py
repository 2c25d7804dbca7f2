"""Finds violations in the records of the simulated workers and targets."""

import collections
import dataclasses
from collections.abc import Iterable

from limpetyard.cell import ResourceVector
from standins.target import TargetRecord
from standins.worker_model import WorkerEvent

END_EVENTS = frozenset({"finished", "failed", "stopped", "lapsed", "restarted"})

LostRuns = frozenset[tuple[str, int]]


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneOutage:
    """A period in which an availability zone was out of service.

    Attributes:
        zone: The availability zone.
        from_ms: Start, on the clock of the worker records.
        to_ms: End, infinite if the zone is still out.
    """

    zone: str
    from_ms: float
    to_ms: float


def overlaps(worker_events: Iterable[WorkerEvent]) -> list[str]:
    """Returns tasks of which two runs overlapped in time."""
    running: dict[str, set] = collections.defaultdict(set)
    findings = []
    for event in _chronological(worker_events):
        run_key = (event.worker, event.attempt)
        if event.what == "start":
            if running[event.task]:
                findings.append(
                    f"{event.task} at {run_key} and {running[event.task]}"
                )
            running[event.task].add(run_key)
        elif event.what in END_EVENTS:
            running[event.task].discard(run_key)
    return findings


def finished_twice(
    worker_events: Iterable[WorkerEvent], lost: LostRuns = frozenset()
) -> list[str]:
    """Returns tasks that finished more than once.

    Args:
        worker_events: Records of the workers.
        lost: Runs whose worker was restarted, terminated or unreachable when
            they finished. Their outcome is unknown to the owner; they do not
            count.
    """
    counts = collections.Counter(
        event.task
        for event in worker_events
        if event.what == "finished" and (event.task, event.attempt) not in lost
    )
    return [task for task, count in counts.items() if count > 1]


def started_twice(worker_events: Iterable[WorkerEvent]) -> list[str]:
    """Returns runs (task and attempt) that started more than once."""
    counts = collections.Counter(
        (event.task, event.attempt)
        for event in worker_events
        if event.what == "start"
    )
    return [f"{key}" for key, count in counts.items() if count > 1]


def wrong_resumes(
    worker_events: Iterable[WorkerEvent], lost: LostRuns = frozenset()
) -> list[str]:
    """Returns runs that did not resume from the last known checkpoint.

    Args:
        worker_events: Records of the workers.
        lost: Runs whose end no owner could learn; their progress is lost.
    """
    known: dict[str, str] = {}
    findings = []
    for event in _chronological(worker_events):
        if event.what == "start":
            if event.checkpoint != known.get(event.task, ""):
                findings.append(
                    f"{event.task} run {event.attempt}:"
                    f" from {event.checkpoint!r},"
                    f" not {known.get(event.task)!r}"
                )
        elif (
            event.what in END_EVENTS and (event.task, event.attempt) not in lost
        ):
            known[event.task] = event.checkpoint or known.get(event.task, "")
    return findings


def overloads(
    worker_events: Iterable[WorkerEvent], sizes: dict[str, ResourceVector]
) -> list[str]:
    """Returns starts that exceeded the capacity of their worker."""
    free = dict(sizes)
    allocated: dict[tuple, ResourceVector] = {}
    findings = []
    for event in _chronological(worker_events):
        key = (event.worker, event.task, event.attempt)
        if event.what == "start":
            free[event.worker] = free[event.worker].minus(event.size)
            allocated[key] = event.size
            if _exceeded(free[event.worker]):
                findings.append(
                    f"{event.worker} at {event.at_ms:.0f}: {free[event.worker]}"
                )
        elif key in allocated:
            free[event.worker] = free[event.worker].plus(allocated.pop(key))
    return findings


def zone_outage_starts(
    worker_events: Iterable[WorkerEvent],
    outages: Iterable[ZoneOutage],
    grace_ms: float,
) -> list[str]:
    """Returns starts in a zone later than `grace_ms` after it went out."""
    outages = list(outages)
    return [
        f"{event.task} on {event.worker}"
        f" {event.at_ms - outage.from_ms:.0f} ms after"
        for event in worker_events
        if event.what == "start"
        for outage in outages
        if event.zone == outage.zone
        and outage.from_ms + grace_ms < event.at_ms < outage.to_ms
    ]


def duplicate_requests(records: Iterable[TargetRecord]) -> list[str]:
    """Returns ids of requests that were executed more than once."""
    return [i for i, count in _run_counts(records).items() if i and count > 1]


def executed_requests(records: Iterable[TargetRecord]) -> set[str]:
    """Returns ids of requests that were executed."""
    return set(_run_counts(records))


def _exceeded(free: ResourceVector) -> bool:
    return free.cores < -1e-6 or free.memory_mb < 0 or free.accelerators < 0


def _run_counts(records: Iterable[TargetRecord]) -> collections.Counter:
    counts: collections.Counter[str] = collections.Counter()
    for record in records:
        counts.update(record.runs)
    return counts


def _chronological(worker_events: Iterable[WorkerEvent]) -> list[WorkerEvent]:
    """Returns events by time; at the same time, ends precede starts."""
    return sorted(
        worker_events, key=lambda event: (event.at_ms, event.what == "start")
    )
