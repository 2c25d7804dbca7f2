"""Random schedules hold with all guards and break without any one of them."""

import unittest

from tests.explorer import explore
from tests.guards import without

SEEDS = range(60)

# A seed near which a schedule breaks without the guard.
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
MAX_SEEDS = 200


class ScheduleTest(unittest.TestCase):
    """Schedules of the explorer."""

    def test_nothing_is_violated(self):
        """No schedule violates anything or leaves work undone."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = explore(seed)
                self.assertFalse(outcome.failed, outcome)

    def test_every_guard_is_needed(self):
        """The checkers cry once a guard is taken out."""
        for guard, seed in FIRST_SEEDS.items():
            with self.subTest(guard=guard):
                failing_seed = _first_failing_seed(guard, seed)
                self.assertIsNotNone(failing_seed)
                self.assertFalse(explore(failing_seed).failed)


def _first_failing_seed(guard: str, first: int) -> int | None:
    with without(guard):
        for seed in range(first, first + MAX_SEEDS):
            if explore(seed).failed:
                return seed
    return None


if __name__ == "__main__":
    unittest.main()
