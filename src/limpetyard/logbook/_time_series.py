"""Time series from the logs of all nodes."""

import dataclasses
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._lines import LogLine


class Point(NamedTuple):
    """A value of a series.

    Attributes:
        at_s: Seconds since the first line of the logs.
        value: Value at that time.
    """

    at_s: float
    value: float


@dataclasses.dataclass(slots=True)
class ReportSeries:
    """Time series for the plots.

    Attributes:
        acceptance_ms: Time to accept a job, by queue, milliseconds.
        first_start_ms: Time to the start of the first task of a job, by queue,
            milliseconds.
        running: Number of current runs, as logged by the owners.
        takeovers: Times of takeovers, seconds since the first line.
        rejections: Number of rejected requests by error kind.
        work: Counts of the owners by kind of work and state, such as
            "filling paused".
    """

    acceptance_ms: dict[str, list[Point]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    first_start_ms: dict[str, list[Point]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    running: list[Point] = dataclasses.field(default_factory=list)
    takeovers: list[float] = dataclasses.field(default_factory=list)
    rejections: Counter = dataclasses.field(default_factory=Counter)
    work: dict[str, list[Point]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )


def read_series(lines: Iterable[LogLine]) -> ReportSeries:
    """Collects the series from lines in order of time."""
    series = ReportSeries()
    first_ms = None
    runs: set[tuple[str, str]] = set()
    for line in lines:
        if first_ms is None:
            first_ms = line.at_ms
        at_s = (line.at_ms - first_ms) / MS_PER_SECOND
        handler = _HANDLERS.get(line.event)
        if handler is not None:
            handler(series, line, at_s, runs)
    return series


def _add_acceptance(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    point = Point(at_s, line.number("took_ms"))
    series.acceptance_ms[line.fields.get("queue", "")].append(point)


def _add_first_start(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    point = Point(at_s, line.number("wait_ms"))
    series.first_start_ms[line.fields.get("queue", "")].append(point)


def _add_takeover(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    series.takeovers.append(at_s)


def _add_rejection(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    series.rejections[line.fields.get("kind", "")] += 1


def _add_run(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    run = (line.fields.get("task", ""), line.fields.get("run", ""))
    if line.event in ("task_started", "run_found"):
        runs.add(run)
    else:
        runs.discard(run)
    series.running.append(Point(at_s, len(runs)))


def _add_work(
    series: ReportSeries, line: LogLine, at_s: float, runs: set
) -> None:
    for state in WORK_STATES:
        name = f"{line.fields.get('kind', '')} {state}"
        series.work[name].append(Point(at_s, line.number(state)))


# Fields of a count of work that are plotted.
WORK_STATES = ("waiting", "running", "paused", "over_target")

_HANDLERS = {
    "work_counted": _add_work,
    "job_accepted": _add_acceptance,
    "job_begun": _add_first_start,
    "cell_taken_over": _add_takeover,
    "request_refused": _add_rejection,
    "task_started": _add_run,
    "run_found": _add_run,
    "run_ended": _add_run,
    "run_lost": _add_run,
    "start_refused": _add_run,
}
