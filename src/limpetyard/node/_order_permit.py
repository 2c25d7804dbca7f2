"""Permission of an owner to issue orders."""

import asyncio
from collections.abc import Collection, Sequence

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import EngineParams
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import WITNESSES_PREFIX
from limpetyard.node._witness import EXTENSION_MS
from limpetyard.store import KeyedRecord

# Number of witnesses of an owner. All of them are needed to extend its orders,
# and one of them to show its successor when it has stopped.
MAX_WITNESSES = 2

# Separates the addresses in a stored set of witnesses.
_SEPARATOR = ","

# An owner that has not been confirmed for this long asks its witnesses, and
# again at this interval.
EXTEND_AFTER_MS = 1000
EXTEND_INTERVAL_MS = 400


def decode_witnesses(value: bytes | None) -> list[str]:
    """Decodes the addresses of a stored set of witnesses."""
    text = (value or b"").decode(errors="replace")
    return [address for address in text.split(_SEPARATOR) if address]


class OrderPermit:
    """Whether an owner may issue orders.

    It may for `EngineParams.unwitnessed_ms` after the last confirmation that
    it holds the cell, and up to `EngineParams.self_fence_ms` while all its
    witnesses extend that time. Later owners must know the witnesses, so there
    are none before a set of them is stored. It can be replaced by another one.

    Attributes:
        confirmed_ms: Send time of the last call whose reply has confirmed that
            the owner holds the cell.
    """

    __slots__ = (
        "_cell",
        "_clock",
        "_extended_ms",
        "_params",
        "_peers",
        "_sent",
        "_stored",
        "confirmed_ms",
    )

    def __init__(
        self, cell: int, peers: PeerClient, clock: Clock, params: EngineParams
    ):
        # Set that was sent last, and the one that is known to be stored.
        self._sent: tuple[str, ...] = ()
        self._stored: tuple[str, ...] | None = None
        self._cell = cell
        self._peers = peers
        self._clock = clock
        self._params = params
        self.confirmed_ms = float("-inf")
        # Until when each witness has extended the permission.
        self._extended_ms: dict[str, float] = {}

    def confirm(self, sent_ms: float) -> None:
        """Records a confirmation that the owner holds the cell.

        Args:
            sent_ms: Send time of the call that the store answered with it.
        """
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)

    @property
    def age_ms(self) -> float:
        """Time since the last confirmation; infinite without any."""
        return self._clock.now_ms() - self.confirmed_ms

    @property
    def is_valid(self) -> bool:
        """Whether orders may be issued now."""
        age_ms = self.age_ms
        if age_ms < self._params.unwitnessed_ms:
            return True
        if self._stored is None or age_ms >= self._params.self_fence_ms:
            return False
        now_ms = self._clock.now_ms()
        return all(
            now_ms < self._extended_ms.get(witness, 0.0)
            for witness in self.witnesses
        )

    @property
    def witnesses(self) -> set[str]:
        """Addresses in each set of witnesses that may be the stored one."""
        return {*self._sent, *(self._stored or ())}

    def needs_record(self, others: Collection[str]) -> bool:
        """Returns whether a set is to be stored: the first, or another one.

        Args:
            others: Addresses of the other members of the group.
        """
        if self._stored is None:
            return True
        if any(witness not in others for witness in self._stored):
            return True
        return len(self._stored) < min(MAX_WITNESSES, len(others))

    def make_record(self, epoch: int, others: Sequence[str]) -> KeyedRecord:
        """Returns the record of a new set of witnesses.

        Args:
            epoch: Epoch of the ownership.
            others: Addresses of the other members of the group, the most
                preferred first.
        """
        self._sent = tuple(others[:MAX_WITNESSES])
        event(
            "witnesses_chosen",
            cell=self._cell,
            epoch=epoch,
            witnesses=_SEPARATOR.join(self._sent),
        )
        # The store drops a key without a value.
        value = (_SEPARATOR.join(self._sent) or _SEPARATOR).encode()
        return KeyedRecord(f"{WITNESSES_PREFIX}{epoch}", value)

    def on_stored(self) -> None:
        """Handles that the latest record has been stored."""
        self._stored = self._sent

    async def extend(self, epoch: int, joined: bool = False) -> None:
        """Asks the witnesses for an extension, if there is a need.

        Args:
            epoch: Epoch of the ownership.
            joined: Whether the owner has joined its group lately.
        """
        age_ms = self.age_ms
        if not EXTEND_AFTER_MS <= age_ms < self._params.self_fence_ms:
            return
        replies = await asyncio.gather(
            *(self._ask(witness, epoch, joined) for witness in self.witnesses)
        )
        event(
            "orders_extended",
            cell=self._cell,
            epoch=epoch,
            extended=all(replies) and self._stored is not None,
            age_ms=age_ms,
        )

    async def _ask(self, witness: str, epoch: int, joined: bool) -> bool:
        sent_ms = self._clock.now_ms()
        ask = self._peers.extend_joined if joined else self._peers.extend
        extended = await ask(witness, self._cell, epoch)
        if extended:
            self._extended_ms[witness] = sent_ms + EXTENSION_MS
        return extended
