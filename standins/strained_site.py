"""Serving and best-effort tasks on a simulated site in virtual time."""

import asyncio
import math
import random

from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import SimulatedSite, TailModel
from standins.platform._site import QUEUE

WORKERS = 3
DURATION_S = 60

SERVING = StepSpec(
    WORKERS,
    Resources(4000, 1000, 0),
    long_running=True,
    image="serving",
    per_worker=1,
    target_ms=30.0,
)
# They last for longer than a serving task may be over its target.
BEST_EFFORT = StepSpec(
    2 * WORKERS, Resources(2000, 1000, 0), 9000, image="best", fills=True
)

# Share of the capacity that a core of best-effort work uses.
PRESSURE = 0.06


def _load(now_ms: float, phase: float) -> float:
    """Returns the share of the capacity that serving tasks use by themselves.

    Their tails stay under the target without best-effort tasks.
    """
    return 0.4 + 0.2 * math.sin(2 * math.pi * now_ms / 20_000 + phase)


async def longest_strain_ms(seed: int, noise: float) -> float:
    """Plays serving and best-effort tasks; returns the longest strain.

    Args:
        seed: Seed of the phases of the load and of the errors.
        noise: Standard deviation of a measurement, relative to it.
    """
    site = SimulatedSite(2, WORKERS, seed)
    rng = random.Random(seed)
    tails = []
    for worker in site.workers.values():
        phase = rng.uniform(0, 2 * math.pi)
        model = TailModel(
            worker,
            lambda now_ms, phase=phase: _load(now_ms, phase),
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
