"""Tests of the monitor of the event loop."""

import unittest
from unittest import mock

from limpetyard._clock import ManualClock
from limpetyard.node._loop_monitor import LOGGED_LAG_MS, LoopMonitor


class LoopMonitorTest(unittest.TestCase):
    """Measurements of the lag."""

    def test_longest_lag_until_read(self):
        """The longest lag is kept until it is read."""
        monitor = LoopMonitor(ManualClock())
        for lag_ms in (1.0, 30.0, 2.0):
            monitor.record_lag(lag_ms)
        self.assertEqual(monitor.pop_max_lag_ms(), 30.0)
        self.assertEqual(monitor.pop_max_lag_ms(), 0.0)

    def test_long_lag_is_logged(self):
        """Only a lag that delays heartbeats is logged."""
        monitor = LoopMonitor(ManualClock())
        with mock.patch("limpetyard.node._loop_monitor.event") as log:
            monitor.record_lag(LOGGED_LAG_MS - 1)
            log.assert_not_called()
            monitor.record_lag(LOGGED_LAG_MS)
            log.assert_called_once_with("loop_blocked", lag_ms=LOGGED_LAG_MS)


if __name__ == "__main__":
    unittest.main()
