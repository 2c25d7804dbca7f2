"""Buffer of the newest decisions and their reasons, for operators."""

import collections

import msgspec

from limpetyard.cell import Entry, StateChange

MAX_DECISIONS = 500


class Decision(msgspec.Struct, frozen=True):
    """One decision that took effect.

    Attributes:
        at_ms: Reading of the daemon's clock when it read the decision.
        cell: Name of the cell.
        offset: Offset of its record in the cell's stream.
        entry: The decision as stored in the stream.
    """

    at_ms: float
    cell: str
    offset: int
    entry: Entry


class RecentDecisions:
    """Keeps the newest `MAX_DECISIONS` decisions."""

    __slots__ = ("_newest",)

    def __init__(self):
        self._newest: collections.deque[Decision] = collections.deque(
            maxlen=MAX_DECISIONS
        )

    def add(self, cell: str, change: StateChange, now_ms: float) -> None:
        """Adds a decision and drops the oldest if the buffer is full."""
        self._newest.append(Decision(now_ms, cell, change.offset, change.entry))

    def newest(self, count: int) -> list[Decision]:
        """Returns up to `count` decisions, the oldest first."""
        return list(self._newest)[-count:]
