"""Workers that get no lease, as stored for later owners."""

import asyncio
import math
import unittest
from unittest import mock

import msgspec

from limpetyard.engine import Engine, EngineParams
from limpetyard.node._predecessor import Predecessor
from limpetyard.node._unleased_workers import (
    FIRST_RECORD_MS,
    LOOK_INTERVAL_MS,
    REFRESH_MS,
    UnleasedRecord,
    UnleasedWorkers,
    decode_unleased,
)
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from tests.clocks import SetClock
from tests.node import test_long_running
from tests.node.test_long_running import SETTLED_S, long_running_job
from tests.node.test_whole_site import LEASE_MS

LEFT_MS = 3000.0


class LeaseTest(unittest.TestCase):
    """When a worker may be granted a lease."""

    def setUp(self):
        """Creates an ownership with two workers that have replied."""
        self.clock = SetClock()
        engine = Engine(2, EngineParams(LEASE_MS, LEASE_MS))
        self.workers = {
            name: mock.Mock(
                id=name,
                token_confirmed=True,
                is_drained=False,
                runs_until_ms=LEFT_MS,
            )
            for name in ("a", "b")
        }
        engine.workers = self.workers
        self.unleased = UnleasedWorkers(engine, {"a", "b"}, self.clock)

    def record(self) -> UnleasedRecord:
        """Makes a record and returns it as it is decoded."""
        return decode_unleased(self.unleased.make_record().value)

    def pass_time(self, time_ms: float) -> None:
        """Advances the clock."""
        self.clock.at_ms += time_ms

    def test_first_record(self):
        """It is stored soon, also if a worker has not replied."""
        self.workers["b"].token_confirmed = False
        self.assertFalse(self.unleased.is_due())
        self.pass_time(FIRST_RECORD_MS)
        self.assertTrue(self.unleased.is_due())
        record = self.record()
        self.assertEqual(record.epoch, 2)
        self.assertEqual(record.left_ms, {"b": LEFT_MS - FIRST_RECORD_MS})
        self.assertTrue(self.unleased.may_lease("a"))
        self.assertFalse(self.unleased.may_lease("b"))
        self.unleased.on_stored()
        self.assertTrue(self.unleased.may_lease("a"))
        self.assertFalse(self.unleased.may_lease("b"))

    def test_worker_that_replies_again(self):
        """It got a lease while a stored record still named it."""
        self.workers["b"].token_confirmed = False
        self.record()
        self.unleased.on_stored()
        self.workers["b"].token_confirmed = True
        self.pass_time(LOOK_INTERVAL_MS)
        self.assertTrue(self.unleased.is_due())
        self.assertEqual(self.record().left_ms, {})
        self.assertFalse(self.unleased.may_lease("b"))
        self.unleased.on_stored()
        self.assertTrue(self.unleased.may_lease("b"))

    def test_worker_that_becomes_silent(self):
        """It got a lease while a record with it was on its way."""
        self.record()
        self.unleased.on_stored()
        self.workers["b"].is_responsive.return_value = False
        self.record()
        self.assertFalse(self.unleased.may_lease("b"))
        self.unleased.on_stored()
        self.assertFalse(self.unleased.may_lease("b"))

    def test_drained_worker(self):
        """It gets no lease, though it replies, until it is ready again."""
        drained = self.workers["b"]
        drained.is_drained, drained.runs_until_ms = True, 0.0
        self.assertTrue(self.unleased.may_lease("b"))
        self.assertEqual(self.record().left_ms, {"b": 0.0})
        self.assertFalse(self.unleased.may_lease("b"))
        self.unleased.on_stored()
        drained.is_drained = False
        self.pass_time(LOOK_INTERVAL_MS)
        self.assertTrue(self.unleased.is_due())
        self.assertEqual(self.record().left_ms, {})
        self.assertFalse(self.unleased.may_lease("b"))
        self.unleased.on_stored()
        self.assertTrue(self.unleased.may_lease("b"))

    def test_refresh(self):
        """Remaining times are stored again until none is left."""
        self.workers["b"].token_confirmed = False
        self.record()
        self.unleased.on_stored()
        self.pass_time(REFRESH_MS)
        self.assertTrue(self.unleased.is_due())
        self.pass_time(LEFT_MS)
        self.assertEqual(self.record().left_ms, {"b": 0.0})
        self.unleased.on_stored()
        self.pass_time(REFRESH_MS)
        self.assertFalse(self.unleased.is_due())

    def test_unusable_records(self):
        """A record that cannot be used shortens no wait."""
        for value in (
            None,
            b"",
            b"\xc1",
            msgspec.msgpack.encode(UnleasedRecord(1, {"a": math.nan})),
            msgspec.msgpack.encode(UnleasedRecord(1, {"a": -1.0})),
        ):
            with self.subTest(value):
                record = decode_unleased(value)
                self.assertEqual((record.epoch, record.left_ms), (0, {}))


class NextOwnerTest(unittest.TestCase):
    """What the next owner makes of the record."""

    def test_owners_lost_in_turn_without_the_record(self):
        """Without it, a worker that is long gone delays each new owner."""
        with (
            mock.patch.object(Predecessor, "_known_ends_ms", {}),
            self.assertRaisesRegex(AssertionError, "LOST"),
        ):
            test_long_running.OwnerLostTest("test_owners_lost_in_turn").debug()

    def test_worker_that_only_the_lost_owner_reached(self):
        """TWICE: a worker that got leases again counted as silent."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(3, 3)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            owner = site.owner()
            busy = next(w for w in site.workers.values() if w.running())
            for host in site.hosts:
                if host is not owner:
                    host.worker_links[busy.entry.id].cut = True
            owner.worker_links[busy.entry.id].cut = True
            await asyncio.sleep(3)
            owner.worker_links[busy.entry.id].cut = False
            await asyncio.sleep(1)
            site.freeze(owner)
            await asyncio.sleep(12)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])


if __name__ == "__main__":
    unittest.main()
