"""Draws a day; the only module that needs matplotlib."""

from collections import defaultdict

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._time_series import Day, Point

WIDTH_IN = 11
HEIGHT_IN = 14
DOTS_PER_INCH = 100


def draw(day: Day, path: str) -> None:
    """Draws a day into a file.

    Args:
        day: The series.
        path: Where to; its ending says the format.

    Raises:
        OSError: If it cannot be written.
    """
    figure = Figure((WIDTH_IN, HEIGHT_IN), DOTS_PER_INCH, layout="constrained")
    hand_in, first, running, refusals = figure.subplots(4)
    _draw_worst(hand_in, day.hand_in_ms, "hand-in, longest of each second")
    _draw_worst(first, day.first_start_ms, "first start, longest wait")
    running.step(*_columns(day.running), where="post")
    running.set_title("runs under way")
    running.set_ylabel("runs")
    for axes in (hand_in, first, running):
        axes.set_xlabel("second")
        for at_s in day.takeovers:
            axes.axvline(at_s, color="grey", linestyle=":")
    refusals.barh(list(day.refusals), list(day.refusals.values()))
    refusals.set_title("refused requests by kind")
    figure.suptitle("dotted: takeovers")
    figure.savefig(path)


def _draw_worst(axes: Axes, series: dict[str, list[Point]], title: str) -> None:
    for queue, points in sorted(series.items()):
        worst: dict[int, float] = defaultdict(float)
        for point in points:
            second = int(point.at_s)
            worst[second] = max(worst[second], point.value / MS_PER_SECOND)
        seconds = sorted(worst)
        axes.plot(seconds, [worst[s] for s in seconds], ".-", label=queue)
    axes.set_title(title)
    axes.set_ylabel("seconds")
    if series:
        axes.legend(fontsize="small")


def _columns(points: list[Point]) -> tuple[list[float], list[float]]:
    return [p.at_s for p in points], [p.value for p in points]
