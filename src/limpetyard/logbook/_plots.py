"""Plots of the time series; the only module that needs matplotlib."""

from collections import defaultdict

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._time_series import Point, ReportSeries

WIDTH_IN = 11
HEIGHT_IN = 18
DOTS_PER_INCH = 100


def draw(series: ReportSeries, path: str) -> None:
    """Draws all plots into a file.

    Args:
        series: Time series.
        path: File to write; its suffix determines the format.

    Raises:
        OSError: If the file cannot be written.
    """
    figure = Figure((WIDTH_IN, HEIGHT_IN), DOTS_PER_INCH, layout="constrained")
    acceptance, first, running, work, rejections = figure.subplots(5)
    _draw_maxima(
        acceptance,
        series.acceptance_ms,
        "time to accept a job, maximum per second",
    )
    _draw_maxima(
        first, series.first_start_ms, "time to first start, maximum per second"
    )
    running.step(*_columns(series.running), where="post")
    running.set_title("current runs")
    running.set_ylabel("runs")
    for name, points in sorted(series.work.items()):
        work.step(*_columns(points), where="post", label=name)
    work.set_title("tasks by kind and state")
    work.set_ylabel("tasks")
    if series.work:
        work.legend(fontsize="small", ncols=3)
    for axes in (acceptance, first, running, work):
        axes.set_xlabel("second")
        for at_s in series.takeovers:
            axes.axvline(at_s, color="grey", linestyle=":")
    rejections.barh(list(series.rejections), list(series.rejections.values()))
    rejections.set_title("rejected requests by kind")
    figure.suptitle("dotted lines: takeovers")
    figure.savefig(path)


def _draw_maxima(
    axes: Axes, points_by_queue: dict[str, list[Point]], title: str
) -> None:
    for queue, points in sorted(points_by_queue.items()):
        maxima: dict[int, float] = defaultdict(float)
        for point in points:
            second = int(point.at_s)
            maxima[second] = max(maxima[second], point.value / MS_PER_SECOND)
        seconds = sorted(maxima)
        axes.plot(seconds, [maxima[s] for s in seconds], ".-", label=queue)
    axes.set_title(title)
    axes.set_ylabel("seconds")
    if points_by_queue:
        axes.legend(fontsize="small")


def _columns(points: list[Point]) -> tuple[list[float], list[float]]:
    return [p.at_s for p in points], [p.value for p in points]
