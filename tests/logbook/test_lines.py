"""Reading lines of logs."""

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
    """One line."""

    def test_pairs(self):
        """Values are told apart, quoted ones too."""
        line = parse_line(LINE)
        self.assertEqual((line.node, line.event), ("n-1", "cell_lost"))
        self.assertEqual(
            line.fields, {"cell": "0", "reason": "dealt to another node"}
        )

    def test_prefix(self):
        """A collector's prefix is skipped."""
        self.assertEqual(parse_line(f"  12.1 n-1 {LINE}\n"), parse_line(LINE))

    def test_other_text(self):
        """Lines of another form are none of ours."""
        for text in ("", "Traceback", "ts=today event=x", "ts=2026-09-06"):
            self.assertIsNone(parse_line(text))

    def test_number(self):
        """A value that is no number counts as 0."""
        line = parse_line(LINE)
        self.assertEqual((line.number("cell"), line.number("reason")), (0, 0))

    def test_written_line(self):
        """What the log writes is read again."""
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
    """Several logs."""

    def test_merged_by_time(self):
        """Lines of several nodes come by their time."""
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, seconds in (("a", (1, 4)), ("b", (2, 3))):
                path = Path(folder) / name
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
