"""Tests of the parser of log lines."""

import io
import tempfile
import unittest
from pathlib import Path

from loguru import logger

from limpetyard import _events
from limpetyard.logbook import parse_line, read_logs

LINE = (
    "ts=2026-09-06T18:47:25.170 level=INFO node=n-1 event=cell_lost cell=0"
    ' reason="dealt to another node"'
)


class ParseTest(unittest.TestCase):
    """Parsing of one line."""

    def test_pairs(self):
        """Plain and quoted values are parsed."""
        line = parse_line(LINE)
        self.assertEqual((line.node, line.event), ("n-1", "cell_lost"))
        self.assertEqual(
            line.fields, {"cell": "0", "reason": "dealt to another node"}
        )

    def test_prefix(self):
        """The prefix of a log collector is skipped."""
        self.assertEqual(parse_line(f"  12.1 n-1 {LINE}\n"), parse_line(LINE))

    def test_other_text(self):
        """Lines that are not events are ignored."""
        for text in ("", "Traceback", "ts=today event=x", "ts=2026-09-06"):
            self.assertIsNone(parse_line(text))

    def test_number(self):
        """A value that is not a number counts as 0."""
        line = parse_line(LINE)
        self.assertEqual((line.number("cell"), line.number("reason")), (0, 0))

    def test_round_trip(self):
        """A line written by `event` can be parsed."""
        out = io.StringIO()
        logger.remove()
        logger.configure(extra={"node": "n-2", "pairs": ""})
        logger.add(out, format=_events._FORMAT)
        self.addCleanup(logger.remove)
        _events.event("job_cancelled", job="1", state='a "b" c')
        line = parse_line(out.getvalue())
        self.assertEqual(line.node, "n-2")
        self.assertEqual(line.fields, {"job": "1", "state": "a 'b' c"})


class ReadTest(unittest.TestCase):
    """Reading of several logs."""

    def test_merged_by_time(self):
        """Lines of several nodes are sorted by time."""
        with tempfile.TemporaryDirectory() as directory:
            paths = []
            for name, seconds in (("a", (1, 4)), ("b", (2, 3))):
                path = Path(directory) / name
                path.write_text(
                    "".join(
                        f"ts=2026-09-06T18:47:0{s}.000 level=INFO event=e\n"
                        for s in seconds
                    )
                )
                paths.append(str(path))
            times = [line.at_ms % 10_000 for line in read_logs(paths)]
        self.assertEqual(times, [1000, 2000, 3000, 4000])


if __name__ == "__main__":
    unittest.main()
