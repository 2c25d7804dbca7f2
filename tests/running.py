"""Runs the tests of one class, in whatever process."""

import io
import unittest
from typing import NamedTuple


class ClassResult(NamedTuple):
    """What one class's tests came to.

    Attributes:
        test_count: Number of tests.
        failed_ids: Ids of those that did not pass.
        output: What the runner printed, if any did not.
    """

    test_count: int
    failed_ids: frozenset[str]
    output: str


def run_tests(name: str) -> ClassResult:
    """Runs the tests of one class."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    printed = io.StringIO()
    result = unittest.TextTestRunner(printed, verbosity=1).run(suite)
    red = {test.id() for test, _ in result.failures + result.errors}
    red |= {test.id() for test in result.unexpectedSuccesses}
    text = printed.getvalue() if red else ""
    return ClassResult(result.testsRun, frozenset(red), text)
