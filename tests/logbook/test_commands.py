"""Tests of the commands that read logs."""

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
    """Output and exit status of the commands."""

    def setUp(self):
        """Writes a log file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.log = self.directory / "n-1.log"
        self.log.write_text(LOG)

    def run_tool(self, *args: str) -> tuple[int, str, str]:
        """Runs limpetyardctl; returns exit status, stdout and stderr."""
        process = subprocess.run(
            [sys.executable, "-m", "limpetyard.ctl", *args],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        return process.returncode, process.stdout, process.stderr

    def test_explain(self):
        """The output of `explain` contains the findings."""
        code, out, _ = self.run_tool("explain", JOB, str(self.log))
        self.assertEqual(code, 0)
        self.assertIn("accepted in 9 ms", out)

    def test_unknown_job(self):
        """A job that no line mentions yields the exit status NOT_FOUND."""
        code, _, err = self.run_tool("explain", "0" * 16, str(self.log))
        self.assertEqual(code, 6)
        self.assertIn("0" * 16, err)

    def test_missing_log(self):
        """The error names a missing log file."""
        code, _, err = self.run_tool("explain", JOB, "/nowhere.log")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere.log", err)

    def test_report(self):
        """The plot is written to the requested file."""
        out = self.directory / "day.svg"
        code, _, err = self.run_tool("report", "--out", str(out), str(self.log))
        self.assertEqual((code, err), (0, ""))
        self.assertTrue(out.exists())


if __name__ == "__main__":
    unittest.main()
