"""Bounds on earlier owners: what replies, records and witnesses tell."""

import asyncio
import unittest
from unittest import mock

from limpetyard.engine import MIN_CLOCK_RATE
from limpetyard.node import FenceResult
from limpetyard.node._node import UNWITNESSED_MS
from limpetyard.node._store_layout import member_address
from limpetyard.node._witness import Witness
from limpetyard.store import (
    RefusalKind,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._virtual_time import VirtualClock
from tests.node.test_long_running import long_running_job, newest_owner
from tests.node.test_stale_bounds import cut_all_but
from tests.node.test_whole_site import job

SETTLED_S = 3.0


def run_site(scenario, nodes: int = 4, workers: int = 4):
    """Runs a scenario on a site and returns its result."""

    async def main():
        site = SimulatedSite(nodes, workers)
        await site.start()
        await asyncio.sleep(SETTLED_S)
        result = await scenario(site)
        await site.stop()
        return result

    return run_in_virtual_time(main())


class UnreadClaimsTest(unittest.TestCase):
    """A witness is fenced while its read of the claims is under way."""

    def test_reply_from_before_the_claim(self):
        """TWICE: the witness forgot what it had promised to the new owner.

        The store answered its read before the new owner appended its claim,
        but the answer came after the fence.
        """

        async def main() -> bool:
            clock = VirtualClock()
            witness = Witness("10.1.0.9:2", clock, lambda: 0.0)
            await asyncio.sleep(3)
            self.assertEqual(witness.withhold(0, 2), 0.0)
            witness.record_claim(0, 1)
            return witness.extend(0, 1)

        self.assertFalse(run_in_virtual_time(main()))

    def test_node_with_a_slow_read(self):
        """The same with a whole node, which promised epoch 2 at least."""

        async def scenario(site: SimulatedSite) -> bool:
            host = next(h for h in site.hosts if h is not site.owner())
            old_epoch = site.owner().node._owners[0].engine.epoch
            await site.kill_node(host)
            answered = asyncio.Event()
            read_latest = type(site.store).read_latest

            async def slow(store, topic, partition, after):
                page = await read_latest(store, topic, partition, after)
                if topic == "owners":
                    await answered.wait()
                return page

            with mock.patch.object(type(site.store), "read_latest", slow):
                await site.start_node(host)
                await asyncio.sleep(0.05)
            host.node.fence(0, old_epoch + 1)
            answered.set()
            await asyncio.sleep(0.5)
            host.store_link.cut = True
            await asyncio.sleep(1.5)
            extended = host.node.extend(0, old_epoch)
            host.store_link.cut = False
            return extended

        self.assertFalse(run_site(scenario))

    def test_site(self):
        """TWICE: a whole site with a witness whose read is under way.

        The new owner reaches neither the owner before it nor its other
        witness, and not the only worker that the owner before it reaches.
        """

        async def scenario(site: SimulatedSite) -> list[str]:
            cut_off = site.owner()
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(2)
            busy = next(w for w in site.workers.values() if w.running())
            witnesses = [
                h
                for h in site.hosts
                if h.address in cut_off.node._owners[0]._permit.witnesses
            ]
            fenced, other = witnesses
            # The witness starts again; its read is answered, but late.
            await site.kill_node(fenced)
            answered = asyncio.Event()
            read_latest = type(site.store).read_latest

            async def slow(store, topic, partition, after):
                page = await read_latest(store, topic, partition, after)
                if topic == "owners":
                    await answered.wait()
                return page

            with mock.patch.object(type(site.store), "read_latest", slow):
                await site.start_node(fenced)
                await asyncio.sleep(0.05)
            unreached = {cut_off.address, other.address}
            for host in site.hosts:
                if host in (cut_off, *witnesses):
                    continue
                peers = host.node._adapters.peers
                fence_owner, fence_witness = (
                    peers.fence_owner,
                    peers.fence_witness,
                )

                async def owner_call(member, cell, epoch, call=fence_owner):
                    if member_address(member) in unreached:
                        return FenceResult(False)
                    return await call(member, cell, epoch)

                async def witness_call(a, cell, epoch, call=fence_witness):
                    return (
                        None if a in unreached else await call(a, cell, epoch)
                    )

                peers.fence_owner, peers.fence_witness = (
                    owner_call,
                    witness_call,
                )
            cut_all_but(site, cut_off, busy.entry.id)
            # The witnesses own no cell: their store is cut off as well.
            await site.store.leave("cells", fenced.node.member.name)
            for host in (cut_off, *witnesses):
                host.store_link.cut = True
            while newest_owner(site) in (None, cut_off):
                await asyncio.sleep(0.01)
            owner = newest_owner(site).node._owners[0]
            while fenced.address not in owner._predecessor._witness_ends_ms:
                await asyncio.sleep(0.01)
            answered.set()
            fenced.node._witness.record_claim(0, owner.engine.epoch - 1)
            await asyncio.sleep(14)
            return violations(site.history)

        found = [v for v in run_site(scenario, nodes=6) if "TWICE" in v]
        self.assertEqual(found, [])


class MixedReleasesTest(unittest.TestCase):
    """An owner of the release before fences one of this release."""

    def test_member_in_a_reply(self):
        """TWICE: an owner that never loaded the cell was not passed over.

        The release before compares the member in a reply with the whole
        value of the claim. If they differ, it takes it that the owner has
        ended, and no owner before that one is fenced or waited for.
        """

        async def scenario(site: SimulatedSite) -> tuple[str, str]:
            host = site.owner()
            page = await site.store.read_latest("owners", 0, "")
            claim = page.records[0].value.decode()
            return claim, host.node.fence(0, 1).member

        claim, member = run_site(scenario)
        self.assertEqual(claim, member)


class InheritedBoundTest(unittest.TestCase):
    """The previous owner replies, but knows only a long bound itself."""

    def test_previous_owner_that_had_not_asked_yet(self):
        """LOST: no witness was asked once the previous owner had replied."""

        async def scenario(site: SimulatedSite) -> float:
            frozen = site.owner()
            site.freeze(frozen)
            while (previous := newest_owner(site)) in (None, frozen):
                await asyncio.sleep(0.01)
            site.pass_cell_on()
            while newest_owner(site) in (None, frozen, previous):
                await asyncio.sleep(0.01)
            host = newest_owner(site)
            await asyncio.sleep(1)
            owner = host.node._owners[0]
            self.assertIsNotNone(owner._predecessor._fence_result.leases)
            held_ms = owner._predecessor.held_ms
            return owner.engine.predecessor_until_ms - held_ms

        longest_ms = UNWITNESSED_MS / MIN_CLOCK_RATE
        self.assertLessEqual(run_site(scenario), longest_ms + 10)

    def test_silent_worker(self):
        """LOST: its tasks started elsewhere only after 11.5 s.

        It is lost with the owner; the next owner passes the cell on at once.
        Without the second owner, this takes 8.3 s.
        """

        async def scenario(site: SimulatedSite) -> float:
            await start_runs(site)
            frozen = site.owner()
            silent = next(w for w in site.workers.values() if w.running())
            tasks = set(silent.running())
            site.isolate_worker(silent, True)
            start_ms = site.clock.now_ms()
            site.freeze(frozen)
            while (previous := newest_owner(site)) in (None, frozen):
                await asyncio.sleep(0.01)
            site.pass_cell_on()
            while newest_owner(site) in (None, frozen, previous):
                await asyncio.sleep(0.01)
            others = [w for w in site.workers.values() if w is not silent]
            while not tasks <= {t for w in others for t in w.running()}:
                await asyncio.sleep(0.02)
            return site.clock.now_ms() - start_ms

        self.assertLess(run_site(scenario, nodes=6, workers=6), 9000)


class WitnessSetTest(unittest.TestCase):
    """The witnesses in a claim."""

    def test_witnesses_that_have_left(self):
        """LOST: an owner kept witnesses that had been gone for long."""

        async def scenario(site: SimulatedSite) -> bool:
            host = site.owner()
            permit = host.node._owners[0]._permit
            for other in site.hosts:
                if other.address in permit.witnesses:
                    await site.kill_node(other)
            await asyncio.sleep(20)
            self.assertIs(site.owner(), host)
            for other in site.hosts:
                other.store_link.cut = True
            await asyncio.sleep(3)
            valid = host.node._owners[0]._permit.is_valid
            for other in site.hosts:
                other.store_link.cut = False
            return valid

        self.assertTrue(run_site(scenario, nodes=5))

    def test_node_that_was_restarted(self):
        """An owner named its own address, that of its earlier process."""

        async def scenario(site: SimulatedSite) -> list[tuple]:
            partition_owners = type(site.store).partition_owners
            claiming = site.hosts[1]
            former = f"{claiming.name}|{claiming.address}|pformer"

            async def with_former(store, group):
                members = await partition_owners(store, group)
                return members | {1: former}

            with mock.patch.object(
                type(site.store), "partition_owners", with_former
            ):
                passing = site.pass_cell_on()
                await asyncio.sleep(2)
                self.assertTrue(await passing)
            self.assertIs(site.owner(), claiming)
            owner = claiming.node._owners[0]
            return [(claiming.address, owner._permit.witnesses)]

        claimed = run_site(scenario, nodes=2)
        self.assertTrue(claimed)
        for address, witnesses in claimed:
            self.assertNotIn(address, witnesses)


async def start_runs(site: SimulatedSite) -> int:
    """Submits three jobs of four long tasks; returns the number of runs."""
    for number in range(3):
        assert await site.submit(job(number, run_ms=60_000))
    await asyncio.sleep(2)
    return len(site.history.of(RunStarted))


async def store_outage(site: SimulatedSite, seconds: float) -> None:
    """Cuts all nodes off the store, in which the memberships last meanwhile."""
    for host in site.hosts:
        host.store_link.cut = True
    until_ms = site.clock.now_ms() + 1000 * seconds
    while site.clock.now_ms() < until_ms:
        await asyncio.sleep(0.05)
        for group in site.store._groups.values():
            end_ms = site.clock.now_ms() + 1000
            group.members = dict.fromkeys(group.members, end_ms)
    for host in site.hosts:
        host.store_link.cut = False


class LapsedRunsTest(unittest.TestCase):
    """Runs whose lease lapses, which the release before kept."""

    def test_outage_after_a_witness_has_left(self):
        """All runs lapsed in an outage of 5 s, as one node was gone."""

        async def scenario(site: SimulatedSite) -> int:
            runs = await start_runs(site)
            owner = site.owner().node._owners[0]
            gone = min(owner._permit.witnesses)
            await site.kill_node(
                next(h for h in site.hosts if h.address == gone)
            )
            await asyncio.sleep(20)
            self.assertIs(site.owner().node._owners[0], owner)
            await store_outage(site, 5)
            await asyncio.sleep(6)
            return len(site.history.of(RunStarted)) - runs

        self.assertEqual(run_site(scenario, nodes=5, workers=6), 0)

    def test_outage_after_a_short_silence(self):
        """A worker that replied again got no lease without the store."""

        async def scenario(site: SimulatedSite) -> int:
            runs = await start_runs(site)
            worker = next(w for w in site.workers.values() if w.running())
            link = site.owner().worker_links[worker.entry.id]
            link.cut = True
            await asyncio.sleep(2)
            link.cut = False
            await store_outage(site, 2)
            await asyncio.sleep(6)
            return len(site.history.of(RunStarted)) - runs

        self.assertEqual(run_site(scenario, workers=6), 0)

    def test_takeover_while_appends_are_refused(self):
        """A new owner granted no lease while the store refused appends."""

        async def scenario(site: SimulatedSite) -> int:
            runs = await start_runs(site)
            append = type(site.store).append
            until_ms = site.clock.now_ms() + 6000

            async def busy(store, topic, partition, records, producer):
                is_refused = topic == "jobs" and records
                if is_refused and site.clock.now_ms() < until_ms:
                    raise StoreRefusedError(RefusalKind.BUSY, "busy")
                return await append(store, topic, partition, records, producer)

            with mock.patch.object(type(site.store), "append", busy):
                passing = site.pass_cell_on()
                await asyncio.sleep(12)
                self.assertTrue(await passing)
            return len(site.history.of(RunStarted)) - runs

        self.assertEqual(run_site(scenario, workers=6), 0)


class SlowStoreTest(unittest.TestCase):
    """Single slow or lost answers of the store."""

    def test_claim_with_slow_assignments(self):
        """A claim waited for a read that it only needs for witnesses."""

        async def scenario(site: SimulatedSite) -> float:
            partition_owners = type(site.store).partition_owners

            async def slow(store, group):
                await asyncio.sleep(0.4)
                return await partition_owners(store, group)

            with mock.patch.object(type(site.store), "partition_owners", slow):
                host = site.owner()
                page = await site.store.read_latest("owners", 0, "")
                site.pass_cell_on()
                while host.node.owns_cell():
                    await asyncio.sleep(0.01)
                lost_ms = site.clock.now_ms()
                async with asyncio.timeout(SETTLED_S):
                    while (
                        await site.store.read_latest("owners", 0, "")
                    ).records[0].offset == page.records[0].offset:
                        await asyncio.sleep(0.01)
                return site.clock.now_ms() - lost_ms

        self.assertLess(run_site(scenario), 350)

    def test_lost_answer_to_the_check_of_the_claims(self):
        """An owner held back orders after one read without an answer."""

        async def scenario(site: SimulatedSite) -> float:
            host = site.owner()
            owner = host.node._owners[0]
            store = host.node._adapters.store
            read_latest = store.read_latest
            lost = []

            async def lose_first(topic, partition, after):
                if topic == "owners" and not lost:
                    lost.append(1)
                    await asyncio.sleep(1.5)
                    raise StoreOutcomeUnknownError("lost")
                return await read_latest(topic, partition, after)

            other = next(h for h in site.hosts if h is not host)
            held_back_ms = 0
            host.store_link.delay_ms = 25.0
            with mock.patch.object(store, "read_latest", lose_first):
                await site.kill_node(other)
                for _ in range(500):
                    await asyncio.sleep(0.01)
                    held_back_ms += 10 * (not owner._permit.is_valid)
            self.assertTrue(lost)
            self.assertIs(host.node._owners[0], owner)
            return held_back_ms

        self.assertEqual(run_site(scenario), 0)


if __name__ == "__main__":
    unittest.main()
