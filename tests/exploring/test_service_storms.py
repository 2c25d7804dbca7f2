"""Randomized repeats under another service, with fixed seeds."""

import unittest
from unittest import mock

from loguru import logger

from limpetyard.engine._unconfirmed import UnconfirmedWorkers
from tests.exploring import service_storms

SEEDS = range(1, 11)


class ServiceStormTest(unittest.TestCase):
    """Guards against TWICE: runs of another service of the queue."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_seeds(self):
        """Fixed seeds violate no rule."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(service_storms.run_schedule(seed), [])

    def test_workers_of_one_service(self):
        """The storms detect that an owner waits for one service only."""
        of_queue = UnconfirmedWorkers.of_queue

        def of_first_service(workers: UnconfirmedWorkers, queue: str):
            workers._queue_services = {queue: service_storms.SERVICES[:1]}
            return of_queue(workers, queue)

        with mock.patch.object(
            UnconfirmedWorkers, "of_queue", of_first_service
        ):
            found = [
                violation
                for seed in SEEDS
                for violation in service_storms.run_schedule(seed)
            ]
        self.assertTrue(any(v.startswith("TWICE") for v in found), found)


if __name__ == "__main__":
    unittest.main()
