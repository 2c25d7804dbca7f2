"""Tests of the time series and their plots."""

import tempfile
import unittest
from pathlib import Path

from limpetyard.logbook import Point, read_series
from limpetyard.logbook._plots import draw
from tests.logbook.test_job_history import line

LINES = [
    line(1, "job_accepted", job="a", queue="q", took_ms=5),
    line(2, "task_started", task="a.0.0.0", run=1),
    line(2, "job_begun", job="a", queue="q", wait_ms=1000),
    line(3, "cell_taken_over", cell=0, epoch=2),
    line(3, "run_found", task="a.0.0.0", run=1),
    line(4, "request_refused", kind="not_ready"),
    line(
        4,
        "work_counted",
        kind="filling",
        waiting=3,
        running=5,
        stopping=0,
        slowed=2,
        paused=1,
        over_target=0,
    ),
    line(5, "run_ended", task="a.0.0.0", run=1, how="done"),
]


class TimeSeriesTest(unittest.TestCase):
    """Content of the series and of the plots."""

    def test_series(self):
        """Points have the number of seconds since the first line."""
        series = read_series(LINES)
        self.assertEqual(series.acceptance_ms, {"q": [Point(0, 5)]})
        self.assertEqual(series.first_start_ms, {"q": [Point(1, 1000)]})
        self.assertEqual(series.takeovers, [2])
        self.assertEqual(series.rejections, {"not_ready": 1})
        self.assertEqual(series.work["filling waiting"], [Point(3, 3)])
        self.assertEqual(series.work["filling paused"], [Point(3, 1)])

    def test_found_run_is_one_run(self):
        """A run that a new owner finds after a takeover is counted once."""
        running = [point.value for point in read_series(LINES).running]
        self.assertEqual(running, [1, 1, 0])

    def test_plot(self):
        """The plot contains the titles of its series."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "day.svg"
            draw(read_series(LINES), str(path))
            self.assertIn("current runs", path.read_text())
            self.assertIn("filling paused", path.read_text())

    def test_empty(self):
        """Empty logs yield a plot without points."""
        with tempfile.TemporaryDirectory() as directory:
            draw(read_series([]), str(Path(directory) / "day.svg"))


if __name__ == "__main__":
    unittest.main()
