"""Strain of serving tasks on a simulated site, as their workers see it."""

import asyncio
import math
import random
import unittest
from unittest import mock

from limpetyard.engine import EngineParams, _strain
from limpetyard.jobs import JobSpec, Resources, StepSpec
from limpetyard.node import _polling
from standins.platform import SimulatedSite, TailModel, run_in_virtual_time
from standins.platform._site import QUEUE

WORKERS = 3
DURATION_S = 60
STRAIN_LIMIT_MS = EngineParams(1.0, 1.0).strain_limit_ms

# Best-effort tasks last longer than the limit.
SERVING = StepSpec(
    WORKERS,
    Resources(4000, 1000, 0),
    long_running=True,
    image="serving",
    per_worker=1,
    target_ms=30.0,
)
BEST_EFFORT = StepSpec(
    2 * WORKERS, Resources(2000, 1000, 0), 9000, image="best", fills=True
)

# Share of the capacity that a core of best-effort work uses.
PRESSURE = 0.06


def load_at(now_ms: float, phase: float) -> float:
    """Returns the share of the capacity that serving tasks use by themselves.

    Their tails stay under the target without best-effort tasks.
    """
    return 0.4 + 0.2 * math.sin(2 * math.pi * now_ms / 20_000 + phase)


async def play(seed: int, noise: float) -> float:
    """Plays serving and best-effort tasks; returns the longest strain in ms."""
    site = SimulatedSite(2, WORKERS, seed)
    rng = random.Random(seed)
    tails = []
    for worker in site.workers.values():
        phase = rng.uniform(0, 2 * math.pi)
        model = TailModel(
            worker,
            lambda now_ms, phase=phase: load_at(now_ms, phase),
            PRESSURE,
            noise,
            rng,
        )
        tails.append(model)
    await site.start()
    players = [asyncio.ensure_future(model.play()) for model in tails]
    await asyncio.sleep(3)
    await site.submit(JobSpec(f"{999:016x}", QUEUE, "payload", (SERVING,)))
    for number in range(DURATION_S // 3):
        await asyncio.sleep(3)
        spec = JobSpec(f"{number:016x}", QUEUE, "payload", (BEST_EFFORT,))
        await site.submit(spec)
    for player in players:
        player.cancel()
    await asyncio.gather(*players, return_exceptions=True)
    await site.stop()
    return max(model.longest_strain_ms for model in tails)


class ServingStrainTest(unittest.TestCase):
    """HARM: best-effort tasks keep a serving task over its target for long."""

    def test_strain(self):
        """Measurements are inexact, and so are the times of reports."""
        for seed, noise in ((4, 0.0), (3, 0.05), (13, 0.05), (3, 0.1)):
            with self.subTest(seed=seed, noise=noise):
                strain_ms = run_in_virtual_time(play(seed, noise))
                self.assertGreater(strain_ms, 0)
                self.assertLess(strain_ms, STRAIN_LIMIT_MS)

    def test_rare_polls(self):
        """Workers without best-effort tasks are polled each second."""
        with mock.patch.object(_polling, "CALM_POLLS_PER_S", 1):
            strain_ms = run_in_virtual_time(play(9, 0.0))
        self.assertLess(strain_ms, STRAIN_LIMIT_MS)

    def test_without_guards(self):
        """The count notices a clock that is late, or set back by a report."""
        for name, value, seed, noise in (
            ("MEASUREMENT_AGE_MS", -1250, 2, 0.05),
            ("CLEAR_SHARE", math.inf, 3, 0.1),
        ):
            with (
                self.subTest(name=name),
                mock.patch.object(_strain, name, value),
            ):
                strain_ms = run_in_virtual_time(play(seed, noise))
                self.assertGreater(strain_ms, STRAIN_LIMIT_MS)


if __name__ == "__main__":
    unittest.main()
