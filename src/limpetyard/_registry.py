"""Registries of named behaviour, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """A table from name to one variant of a behaviour."""

    __slots__ = ("_entries", "_what")

    def __init__(self, what: str):
        self._what = what
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its subject under `name`.

        Raises:
            ValueError: If the name is taken.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._what} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Returns the entry called `name`.

        Raises:
            KeyError: If there is none.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise KeyError(f"no {self._what} {name!r}; known are {known}")
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))
