"""Loads of best-effort work beside serving tasks, played without a network.

Each pattern is one that the users' sites have shown: serving tasks reserve most
of the cores and use less than half of them, in swings, and best-effort jobs
arrive in a burst.
"""

import dataclasses
import statistics
import unittest

from loguru import logger

from limpetyard.engine import EngineParams
from standins.colocation import ColocationModel, Outcome, Pattern

SEEDS = range(1, 6)

BURST = Pattern(pressure=1.0)

# Tasks that outlast each excess of the load: without pacing, they keep serving
# tasks over their targets for as long as they work.
LONG_TASKS = Pattern(pressure=1.0, swing_s=40.0, task_ms=9000.0, jobs_per_s=0.4)

# Tails that stay near their targets for long.
SLOW_SWING = dataclasses.replace(LONG_TASKS, swing_s=80.0)

STRAIN_LIMIT_MS = EngineParams(1.0, 1.0).strain_limit_ms


def play(
    pattern: Pattern, pacer: str, lost_pace_share: float = 0.0
) -> list[Outcome]:
    """Plays a pattern with each seed."""
    return [
        ColocationModel(pattern, pacer, seed, lost_pace_share).play()
        for seed in SEEDS
    ]


def longest_over_ms(outcomes: list[Outcome]) -> float:
    """Returns the longest strain of a serving task."""
    return max(outcome.longest_over_ms for outcome in outcomes)


class BurstTest(unittest.TestCase):
    """A burst of best-effort jobs beside serving tasks that swing."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_served_in_time(self):
        """Pacing by prediction slows most jobs for excesses that never come.

        At least a tenth more of the jobs must end in time.
        """
        measured = play(BURST, "measured")
        predicted = play(BURST, "predicted")
        self.assertGreaterEqual(
            statistics.mean(o.in_time for o in measured),
            statistics.mean(o.in_time for o in predicted) + 0.1,
        )
        self.assertLess(
            sum(o.pace_orders for o in measured),
            sum(o.pace_orders for o in predicted),
        )
        self.assertLess(longest_over_ms(measured), STRAIN_LIMIT_MS)


class LongTasksTest(unittest.TestCase):
    """Best-effort tasks that outlast each excess of the serving load."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_limit_of_strain(self):
        """A serving task is over its target for as long as others work."""
        outcomes = play(LONG_TASKS, "measured")
        self.assertLess(longest_over_ms(outcomes), STRAIN_LIMIT_MS)

    def test_lost_orders(self):
        """A task that should be paused works on, as the order was lost."""
        outcomes = play(LONG_TASKS, "measured", lost_pace_share=0.2)
        self.assertLess(longest_over_ms(outcomes), STRAIN_LIMIT_MS)

    def test_without_pacing(self):
        """The check of the limit notices that nothing is paced."""
        outcomes = play(LONG_TASKS, "none")
        self.assertGreater(longest_over_ms(outcomes), STRAIN_LIMIT_MS)


class ReportsTest(unittest.TestCase):
    """Reports that are rare or inexact."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_rare_reports(self):
        """HARM: a tail rises long before the first report that shows it."""
        pattern = dataclasses.replace(LONG_TASKS, report_ms=2000)
        outcomes = play(pattern, "measured")
        self.assertLess(longest_over_ms(outcomes), STRAIN_LIMIT_MS)

    def test_inexact_reports(self):
        """HARM: a tail that stays over its target is reported under it."""
        for noise in (0.03, 0.1):
            pattern = dataclasses.replace(SLOW_SWING, noise=noise)
            for seed in (6, 8):
                with self.subTest(noise=noise, seed=seed):
                    outcome = ColocationModel(pattern, "measured", seed).play()
                    self.assertLess(outcome.longest_over_ms, STRAIN_LIMIT_MS)


class OtherRatiosTest(unittest.TestCase):
    """Sizes of workers and shares of serving work that no site has."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_limit_of_strain(self):
        """The limit holds only for the ratios of the users' sites."""
        for cores in (4, 96):
            for serving_share in (0.2, 0.9):
                pattern = dataclasses.replace(
                    LONG_TASKS,
                    workers=6,
                    cores=cores,
                    serving_share=serving_share,
                    jobs_per_s=max(0.2, 0.4 * cores / 16),
                )
                with self.subTest(cores=cores, serving_share=serving_share):
                    outcome = ColocationModel(pattern, "measured", 1).play()
                    self.assertLess(outcome.longest_over_ms, STRAIN_LIMIT_MS)


if __name__ == "__main__":
    unittest.main()
