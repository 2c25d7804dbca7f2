"""Series over time, from the logs of all nodes."""

import dataclasses
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._lines import Line


class Point(NamedTuple):
    """A value at a time, seconds from the first line."""

    at_s: float
    value: float


@dataclasses.dataclass(slots=True)
class Day:
    """What the plots show.

    Attributes:
        hand_in_ms: Time to accept a job, by queue.
        first_start_ms: Time to the first running task, by queue.
        running: Runs under way, as far as the owners know.
        takeovers: Times of takeovers, seconds.
        refusals: Refused requests by kind.
    """

    hand_in_ms: dict[str, list[Point]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    first_start_ms: dict[str, list[Point]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    running: list[Point] = dataclasses.field(default_factory=list)
    takeovers: list[float] = dataclasses.field(default_factory=list)
    refusals: Counter = dataclasses.field(default_factory=Counter)


def read_day(lines: Iterable[Line]) -> Day:
    """Collects the series of a day."""
    day = Day()
    first_ms = None
    runs: set[tuple[str, str]] = set()
    for line in lines:
        if first_ms is None:
            first_ms = line.at_ms
        at_s = (line.at_ms - first_ms) / MS_PER_SECOND
        take = _TAKERS.get(line.event)
        if take is not None:
            take(day, line, at_s, runs)
    return day


def _take_accepted(day: Day, line: Line, at_s: float, runs: set) -> None:
    point = Point(at_s, line.number("took_ms"))
    day.hand_in_ms[line.fields.get("queue", "")].append(point)


def _take_begun(day: Day, line: Line, at_s: float, runs: set) -> None:
    point = Point(at_s, line.number("wait_ms"))
    day.first_start_ms[line.fields.get("queue", "")].append(point)


def _take_takeover(day: Day, line: Line, at_s: float, runs: set) -> None:
    day.takeovers.append(at_s)


def _take_refusal(day: Day, line: Line, at_s: float, runs: set) -> None:
    day.refusals[line.fields.get("kind", "")] += 1


def _take_run(day: Day, line: Line, at_s: float, runs: set) -> None:
    run = (line.fields.get("task", ""), line.fields.get("run", ""))
    if line.event in ("task_started", "run_found"):
        runs.add(run)
    else:
        runs.discard(run)
    day.running.append(Point(at_s, len(runs)))


_TAKERS = {
    "job_accepted": _take_accepted,
    "job_begun": _take_begun,
    "cell_taken_over": _take_takeover,
    "request_refused": _take_refusal,
    "task_started": _take_run,
    "run_found": _take_run,
    "run_ended": _take_run,
    "run_lost": _take_run,
    "start_refused": _take_run,
}
