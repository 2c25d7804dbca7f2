"""Random schedules hold with all guards and break without any one of them."""

import unittest

from tests.explorer import explore
from tests.guards import guard_disabled

SEEDS = range(60)

# A seed near which a schedule breaks without the guard.
BREAKING = {
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
SEARCH = 200


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
            with self.subTest(guard=guard):
                crying = _first_crying(guard, seed)
                self.assertIsNotNone(crying)
                self.assertFalse(explore(crying).bad)


def _first_crying(guard: str, first: int) -> int | None:
    with guard_disabled(guard):
        for seed in range(first, first + SEARCH):
            if explore(seed).bad:
                return seed
    return None


if __name__ == "__main__":
    unittest.main()
