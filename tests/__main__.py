"""Runs all tests; known failures are printed, but do not fail the run.

Test classes run concurrently, each in its own process. The first part of
KNOWN-RED.txt, "[fails now]", lists the known failures, one a line; the test id
is the text before the first space. Lines that start with "#" are comments, and
those with "bench: " belong to the benchmarks. A listed test that does not fail
fails the run, as its entry is out of date. All other parts of that file are
only read by people.
"""

import concurrent.futures
import multiprocessing
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.class_runner import ClassResult, run_tests

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_PART = "[fails now]"

# Test classes that run concurrently. Their processes are idle most of the time.
MAX_PROCESSES = 4

# Slowest test classes; they start first to shorten the whole run.
LONGEST_FIRST = (
    "tests.test_failures",
    "tests.test_schedules",
    "tests.exploring.test_storms",
    "tests.test_requests",
)


def test_class_names() -> list[str]:
    """Returns the names of all test classes, the slowest first."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    names = sorted(
        {test.id().rpartition(".")[0] for test in _iter_tests(suite)}
    )
    return sorted(names, key=lambda name: not name.startswith(LONGEST_FIRST))


def _iter_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _iter_tests(test)
        else:
            yield test


def main() -> int:
    """Runs all tests; returns 0 if exactly the known failures occurred."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        MAX_PROCESSES, mp_context=context, max_tasks_per_child=1
    ) as pool:
        results = list(pool.map(run_tests, test_class_names()))
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    return report(results, known_failures(text))


def report(results: list[ClassResult], known: set[str]) -> int:
    """Prints the results; returns 0 if exactly the known failures occurred.

    Args:
        results: Results of all classes.
        known: Ids of the tests that are known to fail.
    """
    failed = frozenset().union(*(result.failed_ids for result in results))
    for result in results:
        if result.failed_ids - known:
            print(result.output)
    for test_id in sorted(known & failed):
        print(f"known red: {test_id}")
    outdated = known - failed
    for test_id in sorted(outdated):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    unexpected = failed - known
    test_count = sum(result.test_count for result in results)
    print(f"known red: {len(known & failed)}, out of date: {len(outdated)}")
    # Read by other programs, so that nothing else may stand on this line.
    print(f"tests: {test_count - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or outdated or test_count == 0 else 0


def known_failures(text: str) -> set[str]:
    """Returns the ids of the tests that are listed as failing now."""
    known: set[str] = set()
    part = ""
    for line in text.splitlines():
        if line.startswith("["):
            part = line.strip()
        elif (
            part == KNOWN_PART
            and line.strip()
            and not line.startswith(("#", "bench: "))
        ):
            known.add(line.split()[0])
    return known


if __name__ == "__main__":
    sys.exit(main())
