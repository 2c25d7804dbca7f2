"""Runs the tests of one class in a worker process."""

import io
import unittest
from typing import NamedTuple


class ClassResult(NamedTuple):
    """Result of the tests of one class.

    Attributes:
        test_count: Number of tests that were run.
        failed_ids: Ids of the tests that failed.
        output: Output of the test runner, or "" if all tests passed.
    """

    test_count: int
    failed_ids: frozenset[str]
    output: str


def run_tests(name: str) -> ClassResult:
    """Runs the tests of the class with the given full name."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream, verbosity=1).run(suite)
    failed_ids = {test.id() for test, _ in result.failures + result.errors}
    failed_ids |= {test.id() for test in result.unexpectedSuccesses}
    output = stream.getvalue() if failed_ids else ""
    return ClassResult(result.testsRun, frozenset(failed_ids), output)
