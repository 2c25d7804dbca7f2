"""Extension of the time for which an owner may issue orders.

An owner that hears nothing from the store may issue orders for some time. It
may do so for longer while each witness, a node that is named in its claim,
extends that time. A node extends none while it hears from the store itself, as
another node can own the cell then; but an owner that is in the group keeps it.
So a new owner needs the reply of one witness of an earlier owner to know when
that one has stopped.
"""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard.engine import MIN_CLOCK_RATE

# Time by which a witness extends the orders of an owner.
EXTENSION_MS = 2000

# A witness extends nothing if it has heard from the store in this time, unless
# the owner has joined in this time.
MIN_STORE_SILENCE_MS = 1000


class Witness:
    """Extensions that this process has given to owners on other nodes.

    Attributes:
        address: IP:port at which other nodes reach this process.
    """

    __slots__ = (
        "_clock",
        "_epochs",
        "_extended_ms",
        "_heard_ms",
        "_read_cells",
        "address",
    )

    def __init__(
        self,
        address: str,
        clock: Clock,
        heard_ms: Callable[[], float | None],
    ):
        """Initializes a witness.

        Args:
            address: IP:port at which other nodes reach this process.
            clock: Clock for the times of extensions.
            heard_ms: Returns when this node last heard from the store, or None
                if it never did.
        """
        self.address = address
        self._clock = clock
        self._heard_ms = heard_ms
        # Highest known epoch by cell.
        self._epochs: dict[int, int] = {}
        # Cells of which the latest claim was read. What an earlier process of
        # this VM was told, it has replied to after the claim was appended.
        self._read_cells: set[int] = set()
        # An earlier process of this VM may have given extensions until now.
        self._extended_ms = clock.now_ms() + EXTENSION_MS / MIN_CLOCK_RATE

    def record_claim(self, cell: int, epoch: int) -> None:
        """Records that the latest claim of a cell has been read.

        Args:
            cell: Number of the cell.
            epoch: Epoch of the claim, 0 if there is none.
        """
        self._read_cells.add(cell)
        self._raise_epoch(cell, epoch)

    def _raise_epoch(self, cell: int, epoch: int) -> None:
        self._epochs[cell] = max(epoch, self._epochs.get(cell, 0))

    def extend(self, cell: int, epoch: int, joined: bool = False) -> bool:
        """Extends the orders of an owner by `EXTENSION_MS` from now on.

        Args:
            cell: Number of the cell.
            epoch: Epoch of the owner.
            joined: Whether the owner has joined its group lately, so that no
                other node claims the cell.

        Returns:
            False, without an extension, if this node has heard from the store
            lately and the owner has not joined, if it has not read the claims
            of the cell since its start, or if it knows of a later epoch.
        """
        now_ms = self._clock.now_ms()
        heard_ms = self._heard_ms()
        if (
            cell not in self._read_cells
            or epoch < self._epochs[cell]
            or heard_ms is None
            or (not joined and now_ms - heard_ms < MIN_STORE_SILENCE_MS)
        ):
            return False
        self._extended_ms = max(
            self._extended_ms, now_ms + EXTENSION_MS / MIN_CLOCK_RATE
        )
        return True

    def withhold(self, cell: int, epoch: int) -> float:
        """Gives no more extensions to owners with an epoch below `epoch`.

        Returns:
            Time for which an earlier extension may still last.
        """
        self._raise_epoch(cell, epoch)
        return max(0.0, self._extended_ms - self._clock.now_ms())
