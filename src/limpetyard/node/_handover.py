"""Handover of lease expiries from the previous owner of a cell."""

import msgspec

from limpetyard.engine import Engine


class RemainingLeases(msgspec.Struct, frozen=True):
    """Remaining leases that one ownership granted or took over.

    Attributes:
        epoch: Epoch of that ownership.
        left_ms: Maximum time for which a run may still exist, by worker id,
            counted from the reply that reports it.
    """

    epoch: int
    left_ms: dict[str, float]


class FenceResult(msgspec.Struct, frozen=True):
    """Result of fencing the previous owner of a cell.

    Attributes:
        confirmed: Whether it is certain that the owner issues no more orders.
        leases: Leases that the owner reported, or None.
    """

    confirmed: bool
    leases: RemainingLeases | None = None


class LeaseExpiries:
    """Lease expiries of an ownership that has ended."""

    __slots__ = ("_epoch", "_until_ms")

    def __init__(self, engine: Engine):
        """Copies the time until which runs may exist, by worker.

        Args:
            engine: State of the ownership, which issues no more orders.
        """
        self._epoch = engine.epoch
        self._until_ms = {
            worker.id: worker.runs_until_ms
            for worker in engine.workers.values()
        }

    def remaining(self, now_ms: float) -> RemainingLeases:
        """Returns the remaining time of each lease at `now_ms`."""
        return RemainingLeases(
            self._epoch,
            {
                worker: max(0.0, until_ms - now_ms)
                for worker, until_ms in self._until_ms.items()
            },
        )
