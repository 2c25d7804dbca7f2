"""Randomized schedules of faults, with all guards and without each of them.

With all guards no schedule may violate an invariant. With one guard disabled
some schedule must, which shows that the checks detect its absence.
"""

import unittest

from tests.explorer import explore
from tests.guards import guard_disabled

SEEDS = range(60)

# Seed at which the search for a failing schedule without the guard starts.
FIRST_SEEDS = {
    "capacity": 1,
    "claim-order": 37,
    "config-age": 3,
    "epoch-fence": 14,
    "lapse-wait": 19,
    "lease-start": 3,
    "reservation": 1,
    "snapshot-base": 71,
    "start-deadline": 3,
    "stopped-attempt": 11,
    "whole-swap": 13,
}
# Number of seeds that the search tries.
MAX_SEEDS = 200


class ScheduleTest(unittest.TestCase):
    """Invariants hold in schedules of the explorer."""

    def test_nothing_is_violated(self):
        """No schedule violates an invariant or leaves a job unfinished."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = explore(seed)
                self.assertFalse(result.failed, result)

    def test_every_guard_is_needed(self):
        """Without a guard some schedule fails that passes with it."""
        for guard, seed in FIRST_SEEDS.items():
            with self.subTest(guard=guard):
                failing_seed = _first_failing_seed(guard, seed)
                self.assertIsNotNone(failing_seed)
                self.assertFalse(explore(failing_seed).failed)


def _first_failing_seed(guard: str, first: int) -> int | None:
    with guard_disabled(guard):
        for seed in range(first, first + MAX_SEEDS):
            if explore(seed).failed:
                return seed
    return None


if __name__ == "__main__":
    unittest.main()
