"""Runs the proofs of what must always hold.

    python -m tests.proofs [--schedules N] [--first SEED]

Ends with one line of key=value pairs; the exit status is 0 if no proof failed
and no schedule violated anything.
"""

import argparse
import dataclasses
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor

from tests.explorer import ExplorationResult, explore

PROCESSES = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Invariant:
    """One thing that must always hold.

    Attributes:
        text: The point.
        tests: Tests that prove it.
        limitation: What is not proved yet, or "".
    """

    text: str
    tests: tuple[str, ...]
    limitation: str = ""


_SCHEDULES = "tests.test_schedules.ScheduleTest"
_OWNERS = "tests.test_failures.OwnerTest"
_REQUESTS = "tests.test_requests"

INVARIANTS = (
    Invariant(
        "no overload",
        (_SCHEDULES, f"{_OWNERS}.test_killed_owner"),
        "true use above the declared sizes is relieved, not excluded",
    ),
    Invariant(
        "one place at a time",
        (
            _SCHEDULES,
            "tests.test_controller.TakeoverTest",
            f"{_OWNERS}.test_frozen_owner",
            f"{_OWNERS}.test_start_held_back_past_the_move",
        ),
    ),
    Invariant(
        "evicted work resumes once",
        (_SCHEDULES, "tests.test_controller.ControllerTest"),
    ),
    Invariant(
        "no start in a zone that is out",
        (
            _SCHEDULES,
            f"{_OWNERS}.test_zone_out_during_takeover",
            "tests.test_failures.OutageTest.test_log_outage",
        ),
    ),
    Invariant("whole and own answers", (f"{_REQUESTS}.AnswerTest",)),
    Invariant("not run is true", (f"{_REQUESTS}.NotRunTest",)),
    Invariant("at most once", (f"{_REQUESTS}.AtMostOnceTest",)),
    Invariant(
        "a leaving target gets nothing new",
        (
            f"{_REQUESTS}.LeavingTest.test_leaving_target_gets_nothing_new",
            f"{_REQUESTS}.LeavingTest.test_leaving_target_without_guard",
            "tests.test_failures.LeavingTest"
            ".test_target_that_leaves_gets_nothing_new",
        ),
        "counted from when the VM list shows it; the list's own lag is not"
        " bounded here",
    ),
    Invariant(
        "shutdown cuts off nothing",
        (
            f"{_REQUESTS}.LeavingTest.test_drain_finishes_requests_in_progress",
            f"{_REQUESTS}.LeavingTest.test_drain_without_guard",
            "tests.test_failures.LeavingTest"
            ".test_daemon_that_leaves_cuts_nothing_off",
        ),
    ),
    Invariant(
        "configuration in force and never reverted",
        (
            _SCHEDULES,
            "tests.test_reader",
            "tests.test_failures.ConfigurationTest",
        ),
    ),
)


def main() -> int:
    """Returns the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--schedules", type=int, default=300)
    parser.add_argument("--first", type=int, default=1000)
    args = parser.parse_args()
    passed = _run_tests()
    counts = {"proved": 0, "partial": 0, "not_proved": 0}
    for number, invariant in enumerate(INVARIANTS, 1):
        status = _status(invariant, passed)
        counts[status] += 1
        note = f" ({invariant.limitation})" if invariant.limitation else ""
        print(f"{number}. {invariant.text}: {status}{note}")
    seeds = range(args.first, args.first + args.schedules)
    bad = _explore(seeds)
    text = " ".join(f"{key}={value}" for key, value in counts.items())
    print(
        f"proofs points={len(INVARIANTS)} {text}"
        f" schedules={args.schedules} violations={len(bad)}"
    )
    return 1 if bad or counts["not_proved"] else 0


def _run_tests() -> dict[str, bool]:
    """Runs each named test once and returns which passed."""
    names = sorted(
        {name for invariant in INVARIANTS for name in invariant.tests}
    )
    passed = {}
    for name in names:
        suite = unittest.defaultTestLoader.loadTestsFromName(name)
        result = unittest.TextTestRunner(verbosity=0).run(suite)
        passed[name] = result.wasSuccessful() and result.testsRun > 0
    return passed


def _status(invariant: Invariant, passed: dict[str, bool]) -> str:
    if not all(passed[name] for name in invariant.tests):
        return "not_proved"
    return "partial" if invariant.limitation else "proved"


def _explore(seeds: range) -> list[ExplorationResult]:
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(explore, seeds, chunksize=10))
    bad = [outcome for outcome in outcomes if outcome.failed]
    for outcome in bad:
        print(f"violated: seed {outcome.seed} {outcome}")
    return bad


if __name__ == "__main__":
    sys.exit(main())
