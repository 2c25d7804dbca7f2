"""Lines of key=value pairs, as processes write them."""

import datetime
import heapq
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from limpetyard._clock import MS_PER_SECOND

_PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')


class Line(NamedTuple):
    """One event.

    Attributes:
        at_ms: Time of day at which it was logged, Unix milliseconds.
        node: VM that logged it, or "".
        event: Its name.
        fields: Its values, as text, in order.
    """

    at_ms: float
    node: str
    event: str
    fields: dict[str, str]

    def number(self, field: str) -> float:
        """Returns a value as a number; 0 if it is none."""
        try:
            return float(self.fields.get(field, ""))
        except ValueError:
            return 0.0


def parse_line(text: str) -> Line | None:
    """Reads a line, or returns None for one of another form.

    What stands before the time, such as a collector's own prefix, is skipped.
    """
    begin = text.find("ts=")
    if begin < 0:
        return None
    pairs = {
        key: value.strip('"') for key, value in _PAIR.findall(text[begin:])
    }
    name = pairs.pop("event", "")
    try:
        at = datetime.datetime.fromisoformat(pairs.pop("ts"))
    except ValueError:
        return None
    if not name:
        return None
    pairs.pop("level", None)
    at_ms = at.replace(tzinfo=datetime.UTC).timestamp() * MS_PER_SECOND
    return Line(at_ms, pairs.pop("node", ""), name, pairs)


def read_logs(paths: list[str]) -> Iterator[Line]:
    """Yields the lines of several logs by their time.

    Within one log their order is kept, since a clock may be set back.

    Raises:
        OSError: If a file cannot be read.
    """
    return heapq.merge(*map(_read, paths), key=lambda line: line.at_ms)


def _read(path: str) -> Iterator[Line]:
    with Path(path).open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = parse_line(text)
            if line is not None:
                yield line
