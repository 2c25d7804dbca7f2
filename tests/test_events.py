"""Structured logs."""

import os
import unittest

from loguru import logger

from limpetyard import _events
from limpetyard._events import LINES_PER_SECOND, LineWriter, event


class LineWriterTest(unittest.TestCase):
    """A reader that is slow or gone."""

    def setUp(self):
        """Makes a pipe."""
        self.reading, self.writing = os.pipe()

    def tearDown(self):
        """Closes it."""
        os.close(self.writing)

    def test_stopped_reader(self):
        """A reader that stops reading does not stop the process."""
        writer = LineWriter(self.writing)
        for _ in range(10_000):
            writer.write("x" * 99 + "\n")
        self.assertGreater(writer.left_out, 0)
        os.close(self.reading)

    def test_reader_goes_on(self):
        """What was buffered comes whole and in order."""
        writer = LineWriter(self.writing)
        lines = [f"{number:099}\n" for number in range(2000)]
        for line in lines:
            writer.write(line)
        got = b""
        while got.count(b"\n") < 2001:
            got += os.read(self.reading, 1 << 16)
            if writer.left_out == 0 and got.count(b"\n") >= 600:
                writer.write("last\n")
        os.close(self.reading)
        self.assertEqual(got.decode().splitlines(True)[:2000], lines)

    def test_reader_is_gone(self):
        """A closed pipe is no error."""
        os.close(self.reading)
        writer = LineWriter(self.writing)
        writer.write("x\n")


class EventTest(unittest.TestCase):
    """Lines and their number."""

    def setUp(self):
        """Collects lines."""
        self.lines: list[str] = []
        logger.remove()
        logger.configure(extra={"pairs": ""})
        logger.add(
            self.lines.append, format="{message}{extra[pairs]}", level="INFO"
        )
        self.addCleanup(logger.remove)

    def test_pairs(self):
        """Values are quoted where they must be."""
        event("a", number=1.5, text='two "words"')
        self.assertEqual(
            self.lines[-1].strip(), "event=a number=1.500 text=\"two 'words'\""
        )

    def test_budget(self):
        """More lines than the budget are counted, the last word never is."""
        clock = _events._budget._clock
        for _ in range(LINES_PER_SECOND + 50):
            event("flood")
            event("job_ended")
        floods = sum("event=flood" in line for line in self.lines)
        ends = sum("event=job_ended" in line for line in self.lines)
        self.assertLessEqual(floods, 2 * LINES_PER_SECOND)
        self.assertEqual(ends, LINES_PER_SECOND + 50)
        _events._budget._since_ms = clock.now_ms() - 1001
        event("after")
        self.assertTrue(
            any("events_left_out of=flood" in line for line in self.lines)
        )


if __name__ == "__main__":
    unittest.main()
