"""Runs the tests of one class, in whatever process."""

import io
import unittest
from typing import NamedTuple


class Outcome(NamedTuple):
    """What one class's tests came to.

    Attributes:
        run: Number of tests.
        red: Ids of those that did not pass.
        text: What the runner printed, if any did not.
    """

    run: int
    red: frozenset[str]
    text: str


def run_tests(name: str) -> Outcome:
    """Runs the tests of one class."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    printed = io.StringIO()
    result = unittest.TextTestRunner(printed, verbosity=1).run(suite)
    red = {test.id() for test, _ in result.failures + result.errors}
    red |= {test.id() for test in result.unexpectedSuccesses}
    text = printed.getvalue() if red else ""
    return Outcome(result.testsRun, frozenset(red), text)
