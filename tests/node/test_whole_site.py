"""Whole nodes against the stand-in of the platform, on virtual time."""

import asyncio
import logging
import unittest

from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.yard import World, run_virtual, violations
from standins.yard._world import QUEUE

SMALL = Resources(1000, 1000, 0)


def job(number: int, count: int = 4, run_ms: int = 500) -> JobSpec:
    """Returns a job of two steps."""
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        (
            StepSpec(count, SMALL, run_ms),
            StepSpec(count, SMALL, run_ms, after=(0,)),
        ),
    )


class WholeSiteTest(unittest.TestCase):
    """What clients and workers see of a site."""

    def setUp(self):
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    def play(self, story, nodes: int = 4, workers: int = 6) -> World:
        """Plays a story and returns the world; nothing may be broken."""

        async def main() -> World:
            world = World(nodes, workers)
            await world.start()
            await asyncio.sleep(3)
            await story(world)
            await world.stop()
            return world

        world = run_virtual(main())
        self.assertEqual(violations(world.record), [])
        return world

    def test_calm(self):
        """Jobs are completed."""

        async def story(world: World) -> None:
            for number in range(5):
                self.assertTrue(await world.submit(job(number)))
            for number in range(5):
                state = await world.wait_for(
                    f"{number:016x}", ("completed",), 20_000
                )
                self.assertEqual(state, "completed")

        self.play(story)


if __name__ == "__main__":
    unittest.main()
