"""Tests of the settings of the daemon."""

import dataclasses
import unittest

from limpetyard._settings import Settings
from limpetyard.errors import SettingError

GOOD = {
    "node": "entry-0",
    "availability_zone": "zone-0",
    "listen": "127.0.0.1:8080",
    "admin_listen": "127.0.0.1:8081",
    "peer_listen": "[::1]:8082",
    "log_url": "http://127.0.0.1:1",
    "vms_url": "https://10.0.0.1",
    "admin_token": "secret",
    "policy": "learned",
    "slot_policy": "dealt",
    "lease_ms": 3000,
    "task_lease_ms": 10_000,
    "outage_ms": 45_000,
    "commit_ms": 100,
    "sync_ms": 500,
    "platform_timeout_ms": 1000,
    "snapshot_ms": 600_000,
    "drain_ms": 1000,
    "record_dir": "",
    "log_level": "INFO",
}
BAD = {
    "node": ["", "two words"],
    "availability_zone": [""],
    "listen": ["localhost:80", "127.0.0.1", "127.0.0.1:65536", ":80"],
    "log_url": ["", "ftp://x", "127.0.0.1:80"],
    "policy": ["best"],
    "slot_policy": [""],
    "lease_ms": [0, 999, 60_001],
    "commit_ms": [-1],
    "record_dir": ["/no/such/folder"],
    "log_level": ["info"],
}


class SettingsTest(unittest.TestCase):
    """Checks of the settings when the daemon starts."""

    def test_good_settings_pass(self):
        """Valid settings raise no error."""
        Settings(**GOOD).check()

    def test_bad_setting_is_named(self):
        """The error names the setting, its value and the valid values."""
        for name, values in BAD.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    bad = dataclasses.replace(Settings(**GOOD), **{name: value})
                    with self.assertRaises(SettingError) as caught:
                        bad.check()
                    text = str(caught.exception)
                    self.assertIn(f"{name}={value!r}", text)
                    self.assertIn("must be", text)


if __name__ == "__main__":
    unittest.main()
