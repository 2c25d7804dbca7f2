"""The verdict of a run on known failures."""

import contextlib
import io
import unittest

from tests.__main__ import KNOWN_RED, known_failures, report
from tests.class_runner import ClassResult

LIST = """# A comment.
[fails now]
# Why.
tests.a.ATest.test_one since then
bench: ukili: ratio

tests.b.BTest.test_two
[seen]
tests.c.CTest.test_three
"""


class KnownFailuresTest(unittest.TestCase):
    """Only the listed tests may fail, and all of them must."""

    def run_with(self, *failed: str) -> tuple[int, str]:
        """Returns the verdict and the output of a run with some failures."""
        results = [
            ClassResult(3, frozenset(failed), "traceback" if failed else "")
        ]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            status = report(results, known_failures(LIST))
        return status, output.getvalue()

    def test_verdict(self):
        """Each set of failures but the listed one fails the run."""
        one, two = "tests.a.ATest.test_one", "tests.b.BTest.test_two"
        status, output = self.run_with(one, two)
        self.assertEqual(status, 0)
        self.assertIn(f"known red: {one}", output)
        self.assertEqual(output.splitlines()[-1], "tests: 1 passed, 0 failed")
        for failed in ((one, two, "tests.c.CTest.test_three"), (one,), ()):
            with self.subTest(failed=failed):
                self.assertEqual(self.run_with(*failed)[0], 1)
        status, output = self.run_with(one, two, "tests.c.CTest.test_three")
        self.assertIn("traceback", output)
        _, output = self.run_with(one)
        self.assertIn(f"did not fail: {two}", output)

    def test_list_of_this_repository(self):
        """Each listed test exists."""
        for test_id in known_failures(KNOWN_RED.read_text()):
            with self.subTest(test_id):
                name, _, method = test_id.rpartition(".")
                suite = unittest.defaultTestLoader.loadTestsFromName(name)
                self.assertIn(method, [test._testMethodName for test in suite])


if __name__ == "__main__":
    unittest.main()
