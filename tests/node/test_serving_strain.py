"""Strain of serving tasks on a simulated site, as their workers see it."""

import math
import unittest
from unittest import mock

from limpetyard.engine import EngineParams, _strain
from limpetyard.node import _polling
from standins.platform import run_in_virtual_time
from standins.strained_site import longest_strain_ms

STRAIN_LIMIT_MS = EngineParams(1.0, 1.0).strain_limit_ms


class ServingStrainTest(unittest.TestCase):
    """HARM: best-effort tasks keep a serving task over its target for long."""

    def test_strain(self):
        """Measurements are inexact, and so are the times of reports."""
        for seed, noise in ((4, 0.0), (3, 0.05), (13, 0.05), (3, 0.1)):
            with self.subTest(seed=seed, noise=noise):
                strain_ms = run_in_virtual_time(longest_strain_ms(seed, noise))
                self.assertGreater(strain_ms, 0)
                self.assertLess(strain_ms, STRAIN_LIMIT_MS)

    def test_rare_polls(self):
        """Workers without best-effort tasks are polled each second."""
        with mock.patch.object(_polling, "CALM_POLLS_PER_S", 1):
            strain_ms = run_in_virtual_time(longest_strain_ms(9, 0.0))
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
                strain_ms = run_in_virtual_time(longest_strain_ms(seed, noise))
                self.assertGreater(strain_ms, STRAIN_LIMIT_MS)


if __name__ == "__main__":
    unittest.main()
