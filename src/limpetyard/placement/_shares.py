"""Weighted dominant resource fairness between partners."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Iterator

from limpetyard.cell import ResourceVector
from limpetyard.placement._policy import TaskView, WorkerView

DECAY_TIME_CONSTANT_MS = 60_000.0


@dataclasses.dataclass(slots=True)
class PartnerView:
    """Entitlement, allocation and queue of a partner.

    Attributes:
        name: Name of the partner.
        weight: Weight of the partner; its fair share is proportional to it.
        quota_cores: Maximum number of cores allocated to it at one time.
        allocated: Resources allocated to its placed tasks.
        queued: Its queued tasks, in the order in which they should start.
        past_share: Decayed dominant share of the recent past, as a fraction.
    """

    name: str
    weight: float
    quota_cores: float
    allocated: ResourceVector = ResourceVector(0.0, 0)
    queued: list[TaskView] = dataclasses.field(default_factory=list)
    past_share: float = 0.0

    def within_quota(self, task: TaskView) -> bool:
        """Returns whether the quota leaves room for the task."""
        return self.allocated.cores + task.size.cores <= self.quota_cores

    def weighted_share(self, total: ResourceVector) -> float:
        """Returns the current plus past dominant share, over the weight."""
        return (
            dominant_share(self.allocated, total) + self.past_share
        ) / self.weight


def dominant_share(size: ResourceVector, total: ResourceVector) -> float:
    """Returns the largest fraction of any resource that `size` takes."""
    return max(
        _fraction(size.cores, total.cores),
        _fraction(size.memory_mb, total.memory_mb),
        _fraction(size.accelerators, total.accelerators),
    )


def order_by_share(
    partners: Iterable[PartnerView], total: ResourceVector
) -> Iterator[tuple[PartnerView, TaskView]]:
    """Yields queued tasks of the partner with the lowest weighted share first.

    Latency-critical tasks of all partners precede batch tasks. Tasks that
    would exceed their partner's quota are skipped. The caller must add the
    size of a placed task to the partner's `allocated` before it takes the next.
    """
    partners = list(partners)
    for critical in (True, False):
        heap = _build_heap(partners, total, critical)
        while heap:
            _, _, partner, tasks = heapq.heappop(heap)
            task = tasks.pop()
            if partner.within_quota(task):
                yield partner, task
            if tasks:
                _push_partner(heap, partner, total, tasks)


def _build_heap(
    partners: list[PartnerView], total: ResourceVector, critical: bool
) -> list:
    heap: list = []
    for partner in partners:
        tasks = [t for t in partner.queued if t.latency_critical is critical]
        if tasks:
            tasks.reverse()
            _push_partner(heap, partner, total, tasks)
    return heap


def _push_partner(
    heap: list, partner: PartnerView, total: ResourceVector, tasks: list
) -> None:
    share = partner.weighted_share(total)
    heapq.heappush(heap, (share, partner.name, partner, tasks))


def _fraction(part: float, total: float) -> float:
    return part / total if total else 0.0


class DecayedUsage:
    """Exponentially decayed dominant shares of partners."""

    __slots__ = ("_last_observed_ms", "_mean_shares")

    def __init__(self):
        self._mean_shares: dict[str, float] = {}
        self._last_observed_ms: float | None = None

    def observe(
        self,
        partners: Iterable[PartnerView],
        workers: Iterable[WorkerView],
        now_ms: float,
    ) -> None:
        """Updates the decayed shares and writes them to the partners."""
        total = ResourceVector(0.0, 0)
        for worker in workers:
            total = total.plus(worker.capacity)
        elapsed_ms = (
            0.0
            if self._last_observed_ms is None
            else now_ms - self._last_observed_ms
        )
        self._last_observed_ms = now_ms
        decay = math.exp(-elapsed_ms / DECAY_TIME_CONSTANT_MS)
        for partner in partners:
            share = dominant_share(partner.allocated, total)
            mean = self._mean_shares.get(partner.name, 0.0)
            mean = decay * mean + (1 - decay) * share
            self._mean_shares[partner.name] = partner.past_share = mean
