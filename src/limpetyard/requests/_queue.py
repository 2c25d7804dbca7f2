"""Priority queue: urgent requests first, then earliest deadline first."""

import bisect
import dataclasses
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Key:
    batch: bool
    deadline_ms: float
    sequence: int


class DeadlineQueue(Generic[T]):
    """Bounded priority queue of requests.

    When the queue is full, the request at its end is shed: batch before
    urgent, the latest deadline first.

    Args:
        length: Maximum number of queued requests.
    """

    __slots__ = ("_entries", "_length", "_sequence")

    def __init__(self, length: int):
        self._length = length
        self._sequence = 0
        self._entries: list[tuple[_Key, T]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, item: T, deadline_ms: float, batch: bool) -> T | None:
        """Adds a request and returns the one that is shed, if any.

        Args:
            item: The request.
            deadline_ms: Clock reading of the request's deadline.
            batch: Whether it is queued behind all urgent requests.
        """
        self._sequence += 1
        key = _Key(batch, deadline_ms, self._sequence)
        bisect.insort(self._entries, (key, item), key=lambda e: e[0])
        if len(self._entries) <= self._length:
            return None
        return self._entries.pop()[1]

    def peek(self) -> T | None:
        """Returns the first request without removing it; None if empty."""
        return self._entries[0][1] if self._entries else None

    def pop(self) -> T | None:
        """Removes and returns the first request; None if empty."""
        return self._entries.pop(0)[1] if self._entries else None

    def discard(self, item: T) -> None:
        """Removes a request, if it is queued."""
        self._entries = [e for e in self._entries if e[1] is not item]
