"""Runs the tests and random schedules that check the system's invariants.

    python -m tests.proofs [--schedules N] [--first SEED]

Prints the status of each invariant and a summary line of key=value pairs. The
exit status is 0 if all tests passed and no schedule failed.
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
    """One invariant of the system.

    Attributes:
        text: Short description.
        tests: Names of the tests that check it.
        limitation: What the tests do not cover yet, or "".
    """

    text: str
    tests: tuple[str, ...]
    limitation: str = ""


_SCHEDULES = "tests.test_schedules.ScheduleTest"
_OWNERS = "tests.test_failures.OwnerTest"
_REQUESTS = "tests.test_requests"

INVARIANTS = (
    Invariant(
        "no worker is overloaded",
        (_SCHEDULES, f"{_OWNERS}.test_killed_owner"),
        "usage above the declared sizes is mitigated, not prevented",
    ),
    Invariant(
        "a task runs in one place at a time",
        (
            _SCHEDULES,
            "tests.test_controller.TakeoverTest",
            f"{_OWNERS}.test_paused_owner",
            f"{_OWNERS}.test_delayed_start_after_move",
        ),
    ),
    Invariant(
        "an evicted task resumes once",
        (_SCHEDULES, "tests.test_controller.ControllerTest"),
    ),
    Invariant(
        "no start in a zone that is out of service",
        (
            _SCHEDULES,
            f"{_OWNERS}.test_zone_out_during_takeover",
            "tests.test_failures.OutageTest.test_log_outage",
        ),
    ),
    Invariant(
        "each caller gets its own, complete response",
        (f"{_REQUESTS}.AnswerTest",),
    ),
    Invariant(
        "a request reported as not executed was not executed",
        (f"{_REQUESTS}.NotRunTest",),
    ),
    Invariant(
        "a request that is not idempotent runs at most once",
        (f"{_REQUESTS}.AtMostOnceTest",),
    ),
    Invariant(
        "a leaving target gets no new requests",
        (
            f"{_REQUESTS}.LeavingTest.test_leaving_target_gets_nothing_new",
            f"{_REQUESTS}.LeavingTest.test_leaving_target_without_guard",
            "tests.test_failures.LeavingTest"
            ".test_leaving_target_gets_no_new_requests",
        ),
        "counted from the time when the VM list shows it; the delay of the list"
        " itself is not bounded here",
    ),
    Invariant(
        "a shutdown interrupts no request",
        (
            f"{_REQUESTS}.LeavingTest.test_drain_finishes_requests_in_progress",
            f"{_REQUESTS}.LeavingTest.test_drain_without_guard",
            "tests.test_failures.LeavingTest"
            ".test_leaving_daemon_interrupts_no_request",
        ),
    ),
    Invariant(
        "a configuration takes effect and is never reverted",
        (
            _SCHEDULES,
            "tests.test_reader",
            "tests.test_failures.ConfigurationTest",
        ),
    ),
)


def main() -> int:
    """Checks all invariants; returns the exit status."""
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
    failed = _explore(seeds)
    text = " ".join(f"{key}={value}" for key, value in counts.items())
    print(
        f"proofs points={len(INVARIANTS)} {text}"
        f" schedules={args.schedules} violations={len(failed)}"
    )
    return 1 if failed or counts["not_proved"] else 0


def _run_tests() -> dict[str, bool]:
    """Runs each named test once; returns by name whether it passed."""
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
        results = list(pool.map(explore, seeds, chunksize=10))
    failed = [result for result in results if result.failed]
    for result in failed:
        print(f"violated: seed {result.seed} {result}")
    return failed


if __name__ == "__main__":
    sys.exit(main())
