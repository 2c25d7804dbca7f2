"""Series of a day and their plots."""

import tempfile
import unittest
from pathlib import Path

from limpetyard.logbook import Point, read_day
from limpetyard.logbook._plots import draw
from tests.logbook.test_job_history import line

LINES = [
    line(1, "job_accepted", job="a", queue="q", took_ms=5),
    line(2, "task_started", task="a.0.0.0", run=1),
    line(2, "job_begun", job="a", queue="q", wait_ms=1000),
    line(3, "cell_taken_over", cell=0, epoch=2),
    line(3, "run_found", task="a.0.0.0", run=1),
    line(4, "request_refused", kind="not_ready"),
    line(5, "run_ended", task="a.0.0.0", run=1, how="done"),
]


class DayTest(unittest.TestCase):
    """What the plots show."""

    def test_series(self):
        """Each series holds its points, in seconds from the first line."""
        day = read_day(LINES)
        self.assertEqual(day.hand_in_ms, {"q": [Point(0, 5)]})
        self.assertEqual(day.first_start_ms, {"q": [Point(1, 1000)]})
        self.assertEqual(day.takeovers, [2])
        self.assertEqual(day.refusals, {"not_ready": 1})

    def test_found_run_is_one_run(self):
        """A run that a new owner finds is not counted twice."""
        running = [point.value for point in read_day(LINES).running]
        self.assertEqual(running, [1, 1, 0])

    def test_drawn(self):
        """The page names what it shows."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "day.svg"
            draw(read_day(LINES), str(path))
            self.assertIn("runs under way", path.read_text())

    def test_empty(self):
        """A day without lines is drawn too."""
        with tempfile.TemporaryDirectory() as folder:
            draw(read_day([]), str(Path(folder) / "day.svg"))


if __name__ == "__main__":
    unittest.main()
