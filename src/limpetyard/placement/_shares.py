"""Weighted dominant-resource fairness between partners."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Iterator

from limpetyard.cell import ResourceVector
from limpetyard.placement._policy import TaskView, WorkerView

WINDOW_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class PartnerView:
    """What a partner may have and holds.

    Attributes:
        name: The partner.
        weight: Its share is in proportion to this.
        quota_cores: Cores that it may hold at one time.
        allocated: What its placed tasks hold.
        waiting: Its tasks that wait, in the order they should start.
        past_share: Dominant share of the recent past, in the unit of
            `allocated` over the total.
    """

    name: str
    weight: float
    quota_cores: float
    allocated: ResourceVector = ResourceVector(0.0, 0)
    waiting: list[TaskView] = dataclasses.field(default_factory=list)
    past_share: float = 0.0

    def within_quota(self, task: TaskView) -> bool:
        """Returns whether the quota leaves room for the task."""
        return self.allocated.cores + task.size.cores <= self.quota_cores

    def weighted_share(self, total: ResourceVector) -> float:
        """Returns the dominant share divided by the weight."""
        return (
            dominant_share(self.allocated, total) + self.past_share
        ) / self.weight


def dominant_share(size: ResourceVector, total: ResourceVector) -> float:
    """Returns the largest fraction that `size` takes of any resource."""
    return max(
        _fraction(size.cores, total.cores),
        _fraction(size.memory_mb, total.memory_mb),
        _fraction(size.accelerators, total.accelerators),
    )


def order_by_share(
    partners: Iterable[PartnerView], total: ResourceVector
) -> Iterator[tuple[PartnerView, TaskView]]:
    """Yields waiting tasks, the partner with the smallest share first.

    The caller adds what it placed to `allocated` before it asks for the next.
    Latency-critical tasks of any partner within its quota go before batch.
    """
    partners = list(partners)
    for critical in (True, False):
        heap = _heap_of(partners, total, critical)
        while heap:
            _, _, partner, tasks = heapq.heappop(heap)
            task = tasks.pop()
            if partner.within_quota(task):
                yield partner, task
            if tasks:
                _push(heap, partner, total, tasks)


def _heap_of(
    partners: list[PartnerView], total: ResourceVector, critical: bool
) -> list:
    heap: list = []
    for partner in partners:
        tasks = [t for t in partner.waiting if t.latency_critical is critical]
        if tasks:
            tasks.reverse()
            _push(heap, partner, total, tasks)
    return heap


def _push(
    heap: list, partner: PartnerView, total: ResourceVector, tasks: list
) -> None:
    share = partner.weighted_share(total)
    heapq.heappush(heap, (share, partner.name, partner, tasks))


def _fraction(part: float, total: float) -> float:
    return part / total if total else 0.0


class DecayedUsage:
    """What partners held in the recent past, fading with time."""

    __slots__ = ("_means", "_seen_ms")

    def __init__(self):
        self._means: dict[str, float] = {}
        self._seen_ms: float | None = None

    def observe(
        self,
        partners: Iterable[PartnerView],
        workers: Iterable[WorkerView],
        now_ms: float,
    ) -> None:
        """Takes in what partners hold now and sets their history."""
        total = ResourceVector(0.0, 0)
        for worker in workers:
            total = total.plus(worker.capacity)
        passed_ms = 0.0 if self._seen_ms is None else now_ms - self._seen_ms
        self._seen_ms = now_ms
        kept = math.exp(-passed_ms / WINDOW_MS)
        for partner in partners:
            share = dominant_share(partner.allocated, total)
            mean = self._means.get(partner.name, 0.0)
            mean = kept * mean + (1 - kept) * share
            self._means[partner.name] = partner.past_share = mean
