"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one kind by name; iteration yields sorted names."""

    __slots__ = ("_entries", "_kind")

    def __init__(self, kind: str):
        """Initializes an empty registry.

        Args:
            kind: Kind of the entries, for error messages.
        """
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers an entry under `name`.

        Raises:
            ValueError: If the name is already registered.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Returns the entry registered under `name`.

        Raises:
            KeyError: If the name is not registered.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise KeyError(f"unknown {self._kind} {name!r}; known: {known}")
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
