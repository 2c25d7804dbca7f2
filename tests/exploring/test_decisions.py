"""Tests of the record of decisions and of its comparison."""

import contextlib
import io
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from limpetyard.engine import Engine
from limpetyard.engine._placement import PLACERS
from tests.exploring import decisions

# Both schedules of nodes have an owner that asks several witnesses.
SCHEDULES = (
    *("--storms", "4", "4", "--ownership", "1", "1"),
    *("--cells", "0", "1", "--colocation", "1", "1"),
)
CELLS = (
    *("--storms", "1", "0", "--ownership", "1", "0"),
    *("--cells", "0", "3", "--colocation", "1", "0"),
)
KINDS = {"Start", "Stop", "Pace", "RequestAdvice", "record"}


class DecisionsTestCase(unittest.TestCase):
    """Base class with a directory of recordings."""

    def setUp(self):
        """Creates the directory."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def run_command(self, *args: str) -> tuple[int, str]:
        """Returns the exit status and the output of a command."""
        with contextlib.redirect_stdout(io.StringIO()) as out:
            status = decisions.main(list(args))
        return status, out.getvalue()

    def write(self, name: str, *lines: str) -> str:
        """Writes a recording and returns its path."""
        path = self.directory / name
        path.write_text("".join(f"{line}\n" for line in lines))
        return str(path)


class ComparisonTest(DecisionsTestCase):
    """Comparison of two files."""

    def test_equal(self):
        """Equal files differ."""
        old = self.write("old", "# storms 1", "1.0 a", "# cells 2", "2.0 b")
        self.assertEqual(
            self.run_command("compare", old, old),
            (0, "schedules=2 decisions=2 differing=0\n"),
        )

    def test_first_differing_decision(self):
        """The difference lacks its seed, its time or one of the versions."""
        old = self.write("old", "# storms 1", "1.0 a", "# cells 2", "2.0 b")
        new = self.write("new", "# storms 1", "1.0 a", "# cells 2", "2.5 c")
        status, out = self.run_command("compare", old, new)
        self.assertEqual(status, 1)
        self.assertEqual(
            out.splitlines(),
            [
                "cells 2: decision 0 differs",
                "  before: 2.0 b",
                "  after:  2.5 c",
                "schedules=2 decisions=2 differing=1",
            ],
        )

    def test_end_of_decisions(self):
        """Decisions that only one file has at its end are not seen."""
        short = self.write("short", "# storms 1", "1.0 a")
        long = self.write("long", "# storms 1", "1.0 a", "2.0 b")
        for pair in ((short, long), (long, short)):
            with self.subTest(pair):
                status, out = self.run_command("compare", *pair)
                self.assertEqual(status, 1)
                self.assertIn("storms 1: decision 1 differs", out)
                self.assertIn("none", out)

    def test_missing_schedule(self):
        """A schedule that only the later file has is not seen."""
        old = self.write("old", "# storms 1", "1.0 a")
        new = self.write("new", "# storms 1", "1.0 a", "# storms 2", "1.0 a")
        status, out = self.run_command("compare", old, new)
        self.assertEqual(status, 1)
        self.assertIn("storms 2: decision 0 differs", out)


class RecordingTest(DecisionsTestCase):
    """Recordings of schedules."""

    def test_changed_placement(self):
        """A change of a placer goes unnoticed."""
        path = str(self.directory / "cells")
        self.run_command("record", path, *CELLS)
        self.assertEqual(self.run_command("compare", path)[0], 0)
        with mock.patch.object(
            PLACERS.get("plain"), "score", lambda candidate, *_: (0,)
        ):
            status, out = self.run_command("compare", path)
        self.assertEqual(status, 1)
        self.assertIn("before: ", out)

    def test_all_kinds(self):
        """A kind of decision is missing, or the methods stay replaced."""
        plan = Engine.plan
        path = self.directory / "all"
        self.run_command("record", str(path), *SCHEDULES)
        line = re.compile(r"^\d+\.\d+ (?:epoch \d+ )?(\w+) ", re.MULTILINE)
        self.assertEqual(set(line.findall(path.read_text())), KINDS)
        self.assertIs(Engine.plan, plan)

    def test_any_hash_seed(self):
        """Decisions depend on the order in which sets are iterated."""
        found = set()
        for hash_seed in ("1", "2"):
            path = self.directory / hash_seed
            subprocess.run(
                (sys.executable, "-m", "tests.exploring.decisions", "record")
                + (str(path), *SCHEDULES),
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
                check=True,
                stdout=subprocess.DEVNULL,
            )
            found.add(path.read_bytes())
        self.assertEqual(len(found), 1)


if __name__ == "__main__":
    unittest.main()
