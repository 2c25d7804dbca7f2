"""Structured logs: one line of key=value pairs for each event.

Lines go to standard output and never wait for its reader: what does not fit
into the pipe is kept in a bounded buffer, and what does not fit there is
counted and left out.
"""

import collections
import os
import sys
from collections.abc import Callable

from loguru import logger

from limpetyard._clock import MS_PER_SECOND, BootClock

_FORMAT = (
    "ts={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} node={extra[node]}"
    " {message}{extra[pairs]}"
)

# Lines kept for a reader that is slow: a few seconds of a busy node.
BUFFERED_LINES = 4096

# Lines of one event a second; those that end a request's fate have no limit.
LINES_PER_SECOND = 200

# Events that are never left out for their number.
UNLIMITED = frozenset(
    {"job_accepted", "job_cancelled", "job_ended", "request_refused"}
)


class LineWriter:
    """Writes lines to a descriptor without ever waiting.

    Attributes:
        left_out: Lines that were dropped since this was last told.
    """

    __slots__ = ("_buffer", "_fd", "left_out")

    def __init__(self, fd: int):
        if not os.isatty(fd):
            os.set_blocking(fd, False)
        self._fd = fd
        self._buffer: collections.deque[bytes] = collections.deque()
        self.left_out = 0

    def write(self, text: str) -> None:
        """Writes a line now, or later with a following one."""
        if len(self._buffer) >= BUFFERED_LINES:
            self.left_out += 1
        else:
            self._buffer.append(text.encode())
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


class Budget:
    """Counts the lines of each event within a second."""

    __slots__ = ("_clock", "_counts", "_since_ms")

    def __init__(self, clock: BootClock):
        self._clock = clock
        self._counts: collections.Counter = collections.Counter()
        self._since_ms = clock.now_ms()

    def allows(self, name: str) -> bool:
        """Returns whether one more line of an event may be written."""
        self._counts[name] += 1
        return name in UNLIMITED or self._counts[name] <= LINES_PER_SECOND

    def over(self) -> dict[str, int]:
        """Returns, once a second, how many lines of an event were left out."""
        now_ms = self._clock.now_ms()
        if now_ms - self._since_ms < MS_PER_SECOND:
            return {}
        left_out = {
            name: number - LINES_PER_SECOND
            for name, number in self._counts.items()
            if number > LINES_PER_SECOND and name not in UNLIMITED
        }
        self._counts.clear()
        self._since_ms = now_ms
        return left_out


_budget = Budget(BootClock())
_listeners: list[Callable[[str, dict[str, object]], None]] = []


def listen(take: Callable[[str, dict[str, object]], None]) -> None:
    """Has every event told, also those that are not logged.

    Args:
        take: Called with the name and the fields of each.
    """
    _listeners.append(take)


def note(name: str, **fields: object) -> None:
    """Tells listeners of something that is counted and not logged."""
    for take in _listeners:
        take(name, fields)


def configure(level: str, node: str, fd: int | None = None) -> None:
    """Sends events of at least `level` to standard output.

    Args:
        level: Name of a loguru level.
        node: Id of this VM, part of every line.
        fd: Descriptor to write to instead.
    """
    writer = LineWriter(sys.stdout.fileno() if fd is None else fd)
    logger.remove()
    logger.configure(extra={"node": node, "pairs": ""})
    logger.add(writer.write, level=level, format=_FORMAT, backtrace=False)


def event(name: str, level: str = "INFO", **fields: object) -> None:
    """Logs one event.

    Args:
        name: Name of the event in snake case.
        level: Name of a loguru level.
        **fields: Values of the event, written in the order given.
    """
    note(name, **fields)
    for other, number in _budget.over().items():
        _log("events_left_out", "WARNING", {"of": other, "number": number})
    if _budget.allows(name):
        _log(name, level, fields)


def _log(name: str, level: str, fields: dict[str, object]) -> None:
    pairs = "".join(f" {key}={_quote(value)}" for key, value in fields.items())
    logger.bind(pairs=pairs).log(level, f"event={name}")


def _quote(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and not any(c in text for c in ' "=\n')
    if plain:
        return text
    escaped = text.replace('"', "'").replace("\n", " ")
    return f'"{escaped}"'
