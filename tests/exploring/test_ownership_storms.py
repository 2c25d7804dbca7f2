"""Randomized faults aimed at the ownership, with fixed seeds."""

import math
import unittest
from unittest import mock

from loguru import logger

from limpetyard.engine import Worker
from tests.exploring import ownership_storms

SEEDS = range(1, 26)

# With a safeguard disabled, one of these seeds must violate the rule.
SEARCH_SEEDS = range(1, 7)


class OwnershipStormTest(unittest.TestCase):
    """Randomized faults aimed at the ownership violate no rule."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_seeds(self):
        """Fixed seeds pass."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(ownership_storms.run_schedule(seed), [])


class OwnershipGuardTest(unittest.TestCase):
    """The search detects a bound on earlier owners that is wrong."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def assert_detects(self, rule: str, bound: property) -> None:
        """Checks that some seeds violate a rule with another bound."""
        found = []
        with mock.patch.object(Worker, "prior_lease_end_ms", bound):
            for seed in SEARCH_SEEDS:
                found += ownership_storms.run_schedule(seed)
        self.assertTrue(any(v.startswith(rule) for v in found), found)

    def test_no_bound(self):
        """Leases of earlier owners are taken to be over at once: TWICE."""
        self.assert_detects(
            "TWICE", property(lambda worker: 0.0, lambda worker, end_ms: None)
        )

    def test_endless_bound(self):
        """Leases of earlier owners are never taken to be over: LOST."""
        bound = Worker.prior_lease_end_ms

        def set_bound(worker: Worker, end_ms: float) -> None:
            bound.__set__(worker, math.inf if end_ms else 0.0)

        self.assert_detects("LOST", property(bound.__get__, set_bound))


if __name__ == "__main__":
    unittest.main()
