"""Random schedules hold with all guards and break without any one of them."""

import unittest

from tests.explorer import explore
from tests.guards import without

SEEDS = range(60)

# One seed whose schedule breaks without the guard.
BREAKING = {
    "capacity": 1,
    "claim-order": 20,
    "config-age": 0,
    "epoch-fence": 6,
    "lapse-wait": 19,
    "lease-start": 3,
    "reservation": 1,
    "snapshot-base": 71,
    "start-deadline": 3,
    "stopped-attempt": 11,
    "whole-swap": 13,
}


class ScheduleTest(unittest.TestCase):
    """Schedules of the explorer."""

    def test_nothing_is_violated(self):
        """No schedule violates anything or leaves work undone."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = explore(seed)
                self.assertFalse(outcome.bad, outcome)

    def test_every_guard_is_needed(self):
        """The checkers cry once a guard is taken out."""
        for guard, seed in BREAKING.items():
            with self.subTest(guard=guard, seed=seed):
                self.assertFalse(explore(seed).bad)
                with without(guard):
                    self.assertTrue(explore(seed).bad)


if __name__ == "__main__":
    unittest.main()
