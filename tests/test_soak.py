"""A short soak of real node processes with a fixed seed."""

import unittest

from loguru import logger

from tests.soak import run_soak


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Signals, cuts and malformed entries, overlapping, violate no rule."""

    async def test_short_soak(self):
        """Whole processes survive what the storms do to simulated ones."""
        logger.remove()
        self.assertEqual(await run_soak(1, faults_s=8.0, jobs=10), [])


if __name__ == "__main__":
    unittest.main()
