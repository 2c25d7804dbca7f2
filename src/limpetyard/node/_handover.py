"""What an owner leaves to the next one: how long its leases may run."""

import msgspec

from limpetyard.engine import Engine


class RemainingLeases(msgspec.Struct, frozen=True):
    """Leases that one ownership gave or took over.

    Attributes:
        epoch: Epoch of that ownership.
        left_ms: How long a run may exist on each worker, at most, from when
            this was said.
    """

    epoch: int
    left_ms: dict[str, float]


class FenceResult(msgspec.Struct, frozen=True):
    """What became of silencing the last owner.

    Attributes:
        confirmed: Whether it gives no more orders.
        leases: What it said of its leases, if it could.
    """

    confirmed: bool
    leases: RemainingLeases | None = None


class LeaseRecord:
    """The leases of an ownership that is over."""

    __slots__ = ("_epoch", "_until_ms")

    def __init__(self, engine: Engine):
        """Notes how long runs may exist on each worker.

        Args:
            engine: State of the ownership, which orders nothing any more.
        """
        self._epoch = engine.epoch
        self._until_ms = {
            worker.id: worker.runs_until_ms
            for worker in engine.workers.values()
        }

    def left(self, now_ms: float) -> RemainingLeases:
        """Returns what is left of them."""
        return RemainingLeases(
            self._epoch,
            {
                worker: max(0.0, until_ms - now_ms)
                for worker, until_ms in self._until_ms.items()
            },
        )
