"""Structured logging: one line of key=value pairs for each event.

Lines are written to standard output without blocking. If the pipe is full,
lines are kept in a bounded buffer; if the buffer is full too, they are dropped
and counted.
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

# Lines kept for a slow reader: a few seconds of output of a busy node.
MAX_BUFFERED_LINES = 4096

# Limit for each event name; `UNLIMITED_EVENTS` are exempt.
MAX_LINES_PER_SECOND = 200

# Events that report the outcome of a request; they are never rate-limited.
UNLIMITED_EVENTS = frozenset(
    {"job_accepted", "job_cancelled", "job_ended", "request_refused"}
)


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
        dropped_lines: Number of lines dropped because the buffer was full.
    """

    __slots__ = ("_buffer", "_fd", "dropped_lines")

    def __init__(self, fd: int):
        if not os.isatty(fd):
            os.set_blocking(fd, False)
        self._fd = fd
        self._buffer: collections.deque[bytes] = collections.deque()
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Writes a line, or buffers it for a later call if the pipe is full."""
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
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
                # The reader has closed the pipe, and there is no other output
                # to report it to.
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


class EventRateLimiter:
    """Limits the lines of each event name per second."""

    __slots__ = ("_clock", "_counts", "_window_start_ms")

    def __init__(self, clock: BootClock):
        self._clock = clock
        self._counts: collections.Counter = collections.Counter()
        self._window_start_ms = clock.now_ms()

    def allows(self, name: str) -> bool:
        """Counts a line of an event; returns whether it may be written."""
        self._counts[name] += 1
        return (
            name in UNLIMITED_EVENTS
            or self._counts[name] <= MAX_LINES_PER_SECOND
        )

    def pop_dropped_counts(self) -> dict[str, int]:
        """Returns the dropped lines by event name, and resets the counters.

        The result is empty if the last reset is less than a second ago.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms < MS_PER_SECOND:
            return {}
        dropped = {
            name: count - MAX_LINES_PER_SECOND
            for name, count in self._counts.items()
            if count > MAX_LINES_PER_SECOND and name not in UNLIMITED_EVENTS
        }
        self._counts.clear()
        self._window_start_ms = now_ms
        return dropped


_rate_limiter = EventRateLimiter(BootClock())
_listeners: list[Callable[[str, dict[str, object]], None]] = []


def add_listener(listener: Callable[[str, dict[str, object]], None]) -> None:
    """Registers a callback for all events, also those that are not logged.

    Args:
        listener: Called with the name and the fields of each event.
    """
    _listeners.append(listener)


def notify_listeners(name: str, **fields: object) -> None:
    """Passes an event to the listeners only, without logging it."""
    for listener in _listeners:
        listener(name, fields)


def configure(level: str, node: str, fd: int | None = None) -> None:
    """Configures logging of events of at least `level` to standard output.

    Args:
        level: Name of a loguru level.
        node: Id of this VM, part of every line.
        fd: File descriptor to write to instead of standard output.
    """
    writer = LineWriter(sys.stdout.fileno() if fd is None else fd)
    logger.remove()
    logger.configure(extra={"node": node, "pairs": ""})
    logger.add(writer.write, level=level, format=_FORMAT, backtrace=False)


def event(name: str, level: str = "INFO", **fields: object) -> None:
    """Logs an event and passes it to the listeners.

    Lines above the rate limit are dropped; the listeners receive every event.

    Args:
        name: Name of the event in snake case.
        level: Name of a loguru level.
        **fields: Fields of the event, written in the order given.
    """
    notify_listeners(name, **fields)
    for dropped_event, count in _rate_limiter.pop_dropped_counts().items():
        _log(
            "events_left_out", "WARNING", {"of": dropped_event, "number": count}
        )
    if _rate_limiter.allows(name):
        _log(name, level, fields)


def _log(name: str, level: str, fields: dict[str, object]) -> None:
    pairs = "".join(f" {key}={_quote(value)}" for key, value in fields.items())
    logger.bind(pairs=pairs).log(level, f"event={name}")


def _quote(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and text.isprintable() and not any(c in text for c in ' "=')
    if plain:
        return text
    escaped = "".join(
        c if c.isprintable() else " " for c in text.replace('"', "'")
    )
    return f'"{escaped}"'
