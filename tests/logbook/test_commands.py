"""Commands that read logs."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

JOB = "5f8425b77689ff45"
LOG = (
    "ts=2026-09-06T18:47:25.170 level=INFO node=n-1 event=job_accepted"
    f" job={JOB} queue=q steps=1 took_ms=9.1\n"
)


class LogCommandsTest(unittest.TestCase):
    """What the tool prints, and how it exits."""

    def setUp(self):
        """Writes a log."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = self.folder / "n-1.log"
        self.log.write_text(LOG)

    def run_tool(self, *words: str) -> tuple[int, str, str]:
        """Runs the tool; returns exit status, output and errors."""
        done = subprocess.run(
            [sys.executable, "-m", "limpetyard.ctl", *words],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        return done.returncode, done.stdout, done.stderr

    def test_explain(self):
        """The fate is told with its causes."""
        code, out, _ = self.run_tool("explain", JOB, str(self.log))
        self.assertEqual(code, 0)
        self.assertIn("accepted in 9 ms", out)

    def test_unknown_job(self):
        """A job that no line names has an exit status of its own."""
        code, _, err = self.run_tool("explain", "0" * 16, str(self.log))
        self.assertEqual(code, 6)
        self.assertIn("0" * 16, err)

    def test_missing_log(self):
        """A log that is not there is named."""
        code, _, err = self.run_tool("explain", JOB, "/nowhere.log")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere.log", err)

    def test_report(self):
        """A plot is written where it was asked for."""
        out = self.folder / "day.svg"
        code, _, err = self.run_tool("report", "--out", str(out), str(self.log))
        self.assertEqual((code, err), (0, ""))
        self.assertTrue(out.exists())


if __name__ == "__main__":
    unittest.main()
