"""Counts violations from the stand-ins' own records."""

import collections
import dataclasses
from collections.abc import Iterable

from limpetyard.cell import ResourceVector
from standins.target import TargetRecord
from standins.worker_model import WorkerEvent

ENDS = frozenset({"finished", "failed", "stopped", "lapsed", "restarted"})

LostRuns = frozenset[tuple[str, int]]


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneOutage:
    """When an availability zone was out of service, by the machine's clock."""

    zone: str
    from_ms: float
    to_ms: float


def overlaps(worker_events: Iterable[WorkerEvent]) -> list[str]:
    """Returns tasks that ran in two places at one time."""
    running: dict[str, set] = collections.defaultdict(set)
    found = []
    for h in _in_order(worker_events):
        place = (h.worker, h.attempt)
        if h.what == "start":
            if running[h.task]:
                found.append(f"{h.task} at {place} and {running[h.task]}")
            running[h.task].add(place)
        elif h.what in ENDS:
            running[h.task].discard(place)
    return found


def finished_twice(
    worker_events: Iterable[WorkerEvent], lost: LostRuns = frozenset()
) -> list[str]:
    """Returns tasks that ran to their end more than once.

    A run whose worker was restarted, ended or out of reach when it finished
    has no known outcome; `lost` holds these runs, and they do not count.
    """
    counts = collections.Counter(
        h.task
        for h in worker_events
        if h.what == "finished" and (h.task, h.attempt) not in lost
    )
    return [task for task, count in counts.items() if count > 1]


def started_twice(worker_events: Iterable[WorkerEvent]) -> list[str]:
    """Returns runs that were started more than once."""
    counts = collections.Counter(
        (h.task, h.attempt) for h in worker_events if h.what == "start"
    )
    return [f"{key}" for key, count in counts.items() if count > 1]


def wrong_resumes(
    worker_events: Iterable[WorkerEvent], lost: LostRuns = frozenset()
) -> list[str]:
    """Returns runs that did not continue from the last known checkpoint.

    Args:
        worker_events: Records of the workers.
        lost: Runs whose end no owner could learn; what they reached is gone.
    """
    known: dict[str, str] = {}
    found = []
    for h in _in_order(worker_events):
        if h.what == "start":
            if h.checkpoint != known.get(h.task, ""):
                found.append(
                    f"{h.task} run {h.attempt}: from {h.checkpoint!r},"
                    f" not {known.get(h.task)!r}"
                )
        elif h.what in ENDS and (h.task, h.attempt) not in lost:
            known[h.task] = h.checkpoint or known.get(h.task, "")
    return found


def overloads(
    worker_events: Iterable[WorkerEvent], sizes: dict[str, ResourceVector]
) -> list[str]:
    """Returns moments at which a worker held more than it has."""
    free = dict(sizes)
    held: dict[tuple, ResourceVector] = {}
    found = []
    for h in _in_order(worker_events):
        key = (h.worker, h.task, h.attempt)
        if h.what == "start":
            free[h.worker] = free[h.worker].minus(h.size)
            held[key] = h.size
            if _exceeded(free[h.worker]):
                found.append(f"{h.worker} at {h.at_ms:.0f}: {free[h.worker]}")
        elif key in held:
            free[h.worker] = free[h.worker].plus(held.pop(key))
    return found


def zone_outage_starts(
    worker_events: Iterable[WorkerEvent],
    outs: Iterable[ZoneOutage],
    grace_ms: float,
) -> list[str]:
    """Returns starts in a zone later than `grace_ms` after it was taken out."""
    outs = list(outs)
    return [
        f"{h.task} on {h.worker} {h.at_ms - out.from_ms:.0f} ms after"
        for h in worker_events
        if h.what == "start"
        for out in outs
        if h.zone == out.zone and out.from_ms + grace_ms < h.at_ms < out.to_ms
    ]


def doubled(records: Iterable[TargetRecord]) -> list[str]:
    """Returns ids of requests that ran more than once."""
    return [i for i, count in _runs(records).items() if i and count > 1]


def ran(records: Iterable[TargetRecord]) -> set[str]:
    """Returns ids of requests that ran."""
    return set(_runs(records))


def _exceeded(free: ResourceVector) -> bool:
    return free.cores < -1e-6 or free.memory_mb < 0 or free.accelerators < 0


def _runs(records: Iterable[TargetRecord]) -> collections.Counter:
    counts: collections.Counter[str] = collections.Counter()
    for record in records:
        counts.update(record.runs)
    return counts


def _in_order(worker_events: Iterable[WorkerEvent]) -> list[WorkerEvent]:
    """Returns happenings by time; at one moment ends go before starts."""
    return sorted(worker_events, key=lambda h: (h.at_ms, h.what == "start"))
