"""Orders while the store does not answer, and witnesses that extend them."""

import asyncio
import unittest
from unittest import mock

from limpetyard.engine import EngineParams
from limpetyard.node._order_permit import (
    EXTEND_AFTER_MS,
    OrderPermit,
    decode_witnesses,
)
from limpetyard.node._witness import (
    EXTENSION_MS,
    MIN_STORE_SILENCE_MS,
    Witness,
)
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from tests.clocks import SetClock
from tests.node.test_long_running import SETTLED_S, long_running_job
from tests.node.test_stale_bounds import cut_all_but
from tests.node.test_whole_site import LEASE_MS

# Longest outage of the store that running work outlasts.
OUTAGE_S = 9.0

UNWITNESSED_MS = 2000


class WitnessTest(unittest.TestCase):
    """When a witness extends the orders of an owner."""

    def setUp(self):
        """Creates a witness that has long not heard from the store."""
        self.clock = SetClock()
        self.heard_ms: float | None = 0.0
        self.witness = Witness("a:1", self.clock, lambda: self.heard_ms)
        self.witness.record_claim(0, 3)
        self.clock.at_ms = 10_000.0

    def test_extension(self):
        """The remaining time of an extension is told to a new owner."""
        self.assertTrue(self.witness.extend(0, 3))
        left_ms = self.witness.withhold(0, 4)
        self.assertGreaterEqual(left_ms, EXTENSION_MS)
        self.clock.at_ms += left_ms
        self.assertEqual(self.witness.withhold(0, 4), 0.0)

    def test_store_that_answers(self):
        """A witness that hears from the store may see another owner."""
        self.heard_ms = self.clock.at_ms - MIN_STORE_SILENCE_MS + 1
        self.assertFalse(self.witness.extend(0, 3))
        self.heard_ms = None
        self.assertFalse(self.witness.extend(0, 3))

    def test_later_epoch(self):
        """An earlier owner was extended after the reply to a later one."""
        self.witness.withhold(0, 4)
        self.assertFalse(self.witness.extend(0, 3))
        self.assertEqual(self.witness.withhold(0, 4), 0.0)

    def test_claims_that_are_not_read(self):
        """A restarted witness knew nothing of the owner that it had told."""
        witness = Witness("a:1", self.clock, lambda: self.heard_ms)
        witness.withhold(0, 3)
        self.clock.at_ms += 10_000.0
        self.assertFalse(witness.extend(0, 3))

    def test_reply_from_before_the_claim(self):
        """A read that was answered before a claim undid the promise to it."""
        witness = Witness("a:1", self.clock, lambda: self.heard_ms)
        witness.withhold(0, 4)
        witness.record_claim(0, 3)
        self.assertFalse(witness.extend(0, 3))

    def test_restarted_witness(self):
        """A restarted witness forgot an extension that still lasted."""
        witness = Witness("a:1", self.clock, lambda: self.heard_ms)
        self.assertGreaterEqual(witness.withhold(0, 3), EXTENSION_MS)


class OrderPermitTest(unittest.TestCase):
    """For how long orders may be issued after a confirmation at 0 ms."""

    def valid_times(
        self, *extending: str, stored: bool = True, changed: bool = False
    ) -> list[int]:
        """Returns the seconds at which orders may be issued.

        Args:
            *extending: Witnesses that extend them.
            stored: Whether the set of "a:1" and "b:1" is stored.
            changed: Whether a set of "a:1" and "c:1" has been sent after it.
        """
        clock = SetClock()
        params = EngineParams(LEASE_MS, LEASE_MS, unwitnessed_ms=UNWITNESSED_MS)
        peers = mock.Mock(
            extend=mock.AsyncMock(
                side_effect=lambda address, cell, epoch: address in extending
            )
        )
        permit = OrderPermit(0, peers, clock, params)
        if stored:
            permit.make_record(1, ["a:1", "b:1", "c:1"])
            permit.on_stored()
        if changed:
            permit.make_record(1, ["a:1", "c:1"])
        self.assertFalse(permit.is_valid)
        permit.confirm(0.0)
        valid = []
        for second in range(8):
            clock.at_ms = 1000.0 * second
            asyncio.run(permit.extend(1))
            if permit.is_valid:
                valid.append(second)
        return valid

    def test_extended_by_all(self):
        """Orders end with the self-fencing time at the latest."""
        self.assertLess(EXTEND_AFTER_MS, UNWITNESSED_MS)
        self.assertEqual(self.valid_times("a:1", "b:1"), [0, 1, 2, 3, 4])

    def test_extended_by_one(self):
        """The other witness may have replied to a new owner."""
        self.assertEqual(self.valid_times("a:1"), [0, 1])

    def test_set_that_is_not_stored(self):
        """Later owners do not know whom to ask."""
        self.assertEqual(self.valid_times("a:1", "b:1", stored=False), [0, 1])

    def test_set_that_may_be_stored(self):
        """A new owner may know either set while the second one is sent."""
        for extending in (("a:1", "b:1"), ("a:1", "c:1")):
            self.assertEqual(self.valid_times(*extending, changed=True), [0, 1])
        self.assertEqual(
            self.valid_times("a:1", "b:1", "c:1", changed=True), [0, 1, 2, 3, 4]
        )

    def test_witness_that_has_left(self):
        """Another set is stored when a witness has left the group."""
        params = EngineParams(LEASE_MS, LEASE_MS)
        permit = OrderPermit(0, mock.Mock(), SetClock(), params)
        self.assertTrue(permit.needs_record([]))
        permit.make_record(1, ["a:1", "b:1", "c:1"])
        permit.on_stored()
        self.assertFalse(permit.needs_record(["c:1", "b:1", "a:1"]))
        self.assertTrue(permit.needs_record(["c:1", "a:1"]))
        record = permit.make_record(1, ["c:1", "a:1"])
        self.assertEqual(decode_witnesses(record.value), ["c:1", "a:1"])


class OutageTest(unittest.TestCase):
    """The store answers nobody for a while."""

    def starts(self) -> int:
        """Returns the number of starts of a job with one task."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            for host in site.hosts:
                host.store_link.cut = True
            await asyncio.sleep(OUTAGE_S)
            for host in site.hosts:
                host.store_link.cut = False
            await asyncio.sleep(SETTLED_S)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])
        return len(site.history.of(RunStarted))

    def test_running_work(self):
        """Leases expired during an outage of the store."""
        self.assertEqual(self.starts(), 1)

    def test_witnesses_that_extend_nothing(self):
        """Without extensions, leases expire and the task starts again."""
        with mock.patch.object(Witness, "extend", return_value=False):
            self.assertEqual(self.starts(), 2)


class BackAndForthTest(unittest.TestCase):
    """The cell passes to another node, and the group assigns it back."""

    def test_owner_that_missed_a_later_claim(self):
        """An owner went on under its epoch when it had the cell again."""

        async def main() -> None:
            # The second owner is no witness of the first one, and no worker
            # sees its fencing token.
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            first = site.owner()
            second = [host for host in site.hosts if host is not first][-1]
            name = first.node.member.name
            for link in second.worker_links.values():
                link.cut = True
            owner = first.node._owners[0]
            store = first.node._adapters.store
            join = store.join
            released = asyncio.Event()

            async def held_join(*args):
                await released.wait()
                return await join(*args)

            with mock.patch.object(store, "join", held_join):
                await asyncio.sleep(0.01)
                site.pass_cell_on(second)
                first.peer_link.cut = True
                while not second.node.owns_cell():
                    await asyncio.sleep(0.01)
                await site.store.join("cells", name, 1000, 0)
                site.expire_claimant(heir=name)
                names = await site.store.partition_owners("cells")
                self.assertEqual(names[0], name)
                released.set()
                await asyncio.sleep(0.2)
                self.assertTrue(owner.ended)
            await site.stop()

        run_in_virtual_time(main())


class OnlyNodeTest(unittest.TestCase):
    """An owner without other nodes, which can have no witnesses."""

    def test_orders_of_an_owner_that_was_alone(self):
        """TWICE: its empty set of witnesses was no record for its successor.

        It goes on for 6 s without the store. The other node starts just when it
        is cut off, with the only worker that it reaches.
        """

        async def main() -> list[str]:
            site = SimulatedSite(2, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            alone = site.owner()
            other = next(host for host in site.hosts if host is not alone)
            await site.kill_node(other)
            self.assertTrue(await site.submit(long_running_job(1), alone))
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(alone.node._owners[0]._permit.witnesses, set())
            busy = next(w for w in site.workers.values() if w.running())
            await site.start_node(other)
            cut_all_but(site, alone, busy.entry.id)
            alone.store_link.cut = alone.peer_link.cut = True
            await asyncio.sleep(15)
            self.assertTrue(other.node.owns_cell())
            await site.stop()
            return violations(site.history)

        found = [v for v in run_in_virtual_time(main()) if "TWICE" in v]
        self.assertEqual(found, [])

    def test_record_without_witnesses(self):
        """The store drops a key whose record has no value."""
        params = EngineParams(LEASE_MS, LEASE_MS)
        permit = OrderPermit(0, mock.Mock(), SetClock(), params)
        record = permit.make_record(3, [])
        self.assertTrue(record.value)
        self.assertEqual(decode_witnesses(record.value), [])


if __name__ == "__main__":
    unittest.main()
