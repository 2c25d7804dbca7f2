"""Tests of structured logging."""

import os
import unittest

from loguru import logger

from limpetyard import _events
from limpetyard._events import MAX_LINES_PER_SECOND, LineWriter, event


class LineWriterTest(unittest.TestCase):
    """Writing to a slow, stopped or closed reader."""

    def setUp(self):
        """Opens a pipe."""
        self.read_fd, self.write_fd = os.pipe()

    def tearDown(self):
        """Closes the writing end of the pipe."""
        os.close(self.write_fd)

    def test_stopped_reader(self):
        """A reader that stops reading does not block the writer."""
        writer = LineWriter(self.write_fd)
        for _ in range(10_000):
            writer.write("x" * 99 + "\n")
        self.assertGreater(writer.dropped_lines, 0)
        os.close(self.read_fd)

    def test_slow_reader(self):
        """Buffered lines arrive complete and in order."""
        writer = LineWriter(self.write_fd)
        lines = [f"{number:099}\n" for number in range(2000)]
        for line in lines:
            writer.write(line)
        received = b""
        while received.count(b"\n") < 2001:
            received += os.read(self.read_fd, 1 << 16)
            # Only a later write flushes the buffered lines.
            if writer.dropped_lines == 0 and received.count(b"\n") >= 600:
                writer.write("last\n")
        os.close(self.read_fd)
        self.assertEqual(received.decode().splitlines(True)[:2000], lines)

    def test_closed_reader(self):
        """Writing to a closed pipe raises no error."""
        os.close(self.read_fd)
        writer = LineWriter(self.write_fd)
        writer.write("x\n")


class EventTest(unittest.TestCase):
    """Format of lines and the rate limit."""

    def setUp(self):
        """Redirects log lines into a list."""
        self.lines: list[str] = []
        logger.remove()
        logger.configure(extra={"pairs": ""})
        logger.add(
            self.lines.append, format="{message}{extra[pairs]}", level="INFO"
        )
        self.addCleanup(logger.remove)

    def test_control_characters(self):
        """A key of another writer split a line or cost it its text."""
        event("test_text", key="a\r\n\x1b[2J\x85\u2028\ud800b")
        (line,) = self.lines
        self.assertTrue(line.rstrip("\n").isprintable(), line)
        self.assertIn("b", line)

    def test_pairs(self):
        """Values with spaces or quotes are quoted."""
        event("a", number=1.5, text='two "words"')
        self.assertEqual(
            self.lines[-1].strip(), "event=a number=1.500 text=\"two 'words'\""
        )

    def test_rate_limit(self):
        """Lines above the limit are counted; unlimited events always pass."""
        clock = _events._rate_limiter._clock
        for _ in range(MAX_LINES_PER_SECOND + 50):
            event("flood")
            event("job_ended")
        floods = sum("event=flood" in line for line in self.lines)
        ends = sum("event=job_ended" in line for line in self.lines)
        self.assertLessEqual(floods, 2 * MAX_LINES_PER_SECOND)
        self.assertEqual(ends, MAX_LINES_PER_SECOND + 50)
        _events._rate_limiter._window_start_ms = clock.now_ms() - 1001
        event("after")
        self.assertTrue(
            any("events_left_out of=flood" in line for line in self.lines)
        )


if __name__ == "__main__":
    unittest.main()
