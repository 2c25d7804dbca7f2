"""Requests that wait for a slot: urgent ones first, then by deadline."""

import bisect
import dataclasses
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _Key:
    batch: bool
    deadline_ms: float
    number: int


class DeadlineQueue(Generic[T]):
    """A bounded queue; when it is full the least urgent request goes."""

    __slots__ = ("_entries", "_length", "_number")

    def __init__(self, length: int):
        self._length = length
        self._number = 0
        self._entries: list[tuple[_Key, T]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, item: T, deadline_ms: float, batch: bool) -> T | None:
        """Adds a request and returns the one that has to go, if any."""
        self._number += 1
        key = _Key(batch, deadline_ms, self._number)
        bisect.insort(self._entries, (key, item), key=lambda e: e[0])
        if len(self._entries) <= self._length:
            return None
        return self._entries.pop()[1]

    def first(self) -> T | None:
        """Returns the most urgent request and leaves it in place."""
        return self._entries[0][1] if self._entries else None

    def pop(self) -> T | None:
        """Takes out the most urgent request."""
        return self._entries.pop(0)[1] if self._entries else None

    def discard(self, item: T) -> None:
        """Takes out a request that waits no more."""
        self._entries = [e for e in self._entries if e[1] is not item]
