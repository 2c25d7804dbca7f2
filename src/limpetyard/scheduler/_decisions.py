"""The newest decisions with their reasons, for operators."""

import collections

import msgspec

from limpetyard.cell import Entry, StateChange

DECISIONS_KEPT = 500


class Decision(msgspec.Struct, frozen=True):
    """One decision that took effect.

    Attributes:
        at_ms: Clock of the daemon that followed it.
        cell: Cell that it belongs to.
        offset: Place of its record in the cell's stream.
        entry: The decision as the stream holds it.
    """

    at_ms: float
    cell: str
    offset: int
    entry: Entry


class RecentDecisions:
    """Keeps the newest decisions."""

    __slots__ = ("_kept",)

    def __init__(self):
        self._kept: collections.deque[Decision] = collections.deque(
            maxlen=DECISIONS_KEPT
        )

    def note(self, cell: str, change: StateChange, now_ms: float) -> None:
        """Adds one decision."""
        self._kept.append(Decision(now_ms, cell, change.offset, change.entry))

    def newest(self, count: int) -> list[Decision]:
        """Returns up to `count` decisions, the oldest first."""
        return list(self._kept)[-count:]
