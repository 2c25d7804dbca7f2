"""Parser of log lines, which consist of key=value pairs."""

import datetime
import heapq
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from limpetyard._clock import MS_PER_SECOND

_PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')


class LogLine(NamedTuple):
    """A logged event.

    Attributes:
        at_ms: Wall-clock time of the event, Unix milliseconds.
        node: Id of the VM that logged the event, or "".
        event: Name of the event.
        fields: Values of the other fields as text, in order.
    """

    at_ms: float
    node: str
    event: str
    fields: dict[str, str]

    def number(self, field: str) -> float:
        """Returns a field as a number, or 0 if it is absent or not a number."""
        try:
            return float(self.fields.get(field, ""))
        except ValueError:
            return 0.0


def parse_line(text: str) -> LogLine | None:
    """Parses a line; returns None if it is not the line of an event.

    Text before `ts=`, such as the prefix of a log collector, is skipped.
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
    return LogLine(at_ms, pairs.pop("node", ""), name, pairs)


def read_logs(paths: list[str]) -> Iterator[LogLine]:
    """Merges the lines of several logs by time.

    The order within one log is kept, since its clock may have been set back.

    Raises:
        OSError: If a file cannot be read.
    """
    return heapq.merge(*map(_read, paths), key=lambda line: line.at_ms)


def _read(path: str) -> Iterator[LogLine]:
    with Path(path).open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = parse_line(text)
            if line is not None:
                yield line
