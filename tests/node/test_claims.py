"""The latest claim of a cell: who follows it, who may claim, who succeeds."""

import asyncio
import contextlib
import unittest
from unittest import mock

from limpetyard import _events
from limpetyard.node._candidacy import Candidacy
from limpetyard.node._claims import Claim, ClaimsFollower, latest_claim
from limpetyard.node._order_permit import OrderPermit
from limpetyard.node._predecessor import Predecessor
from limpetyard.node._succession import rank_candidates
from limpetyard.node._term import SupersededError, Term
from limpetyard.store import (
    KeyedRecord,
    LatestPage,
    RefusalKind,
    StoredRecord,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._store import StoreModel
from standins.platform._virtual_time import VirtualClock
from tests.clocks import SetClock
from tests.node.test_long_running import SETTLED_S, long_running_job
from tests.node.test_witness import OUTAGE_S

CURRENT = "n|1.2.3.4:5|pws0a1b"
OTHER = "m|1.2.3.5:5|pws0a1c"
EARLIER_RELEASE = "o|1.2.3.6:5|pw0a1d"

# Longest time for which nobody owns the cell at a planned change.
UNOWNED_MS = 50


def claim_record(offset: int, member: str) -> StoredRecord:
    """Returns the stored claim of a member."""
    return StoredRecord(offset, "owner", member.encode())


class FollowerTest(unittest.TestCase):
    """What a node knows of the latest claim."""

    def follow(self, scenario) -> list[Claim]:
        """Runs a scenario beside a follower; returns what it was told."""
        seen: list[Claim] = []

        async def main() -> None:
            clock = VirtualClock()
            store = mock.Mock(wraps=StoreModel(clock))
            claims = ClaimsFollower(
                0, store, clock, lambda cell, claim: seen.append(claim)
            )
            following = asyncio.ensure_future(claims.follow())
            await scenario(store, claims)
            following.cancel()

        run_in_virtual_time(main())
        return seen

    def test_claims_in_turn(self):
        """Each claim is seen without a delay, and only once."""

        async def scenario(store, claims) -> None:
            await asyncio.sleep(0.1)
            self.assertEqual(claims.latest, Claim())
            for member in ("a", "b"):
                record = KeyedRecord("owner", member.encode())
                await store.append("owners", 0, [record], None)
                await asyncio.sleep(0.001)
                await claims.read()

        told = [Claim(), Claim(1, "a"), Claim(2, "b")]
        self.assertEqual(self.follow(scenario), told)

    def test_cost(self):
        """A follower waits at the store: one read a second."""

        async def scenario(store, claims) -> None:
            await asyncio.sleep(20)
            self.assertLessEqual(store.read.call_count, 21)
            self.assertEqual(store.read_latest.call_count, 1)
            for _ in range(10):
                await claims.refresh()
            self.assertEqual(store.read_latest.call_count, 2)

        self.follow(scenario)

    def test_waiting(self):
        """The wait for a later claim ends with it, or with the time-out."""

        async def scenario(store, claims) -> None:
            self.assertFalse(await claims.wait_for_later(0, 100))
            record = KeyedRecord("owner", b"a")
            await store.append("owners", 0, [record], None)
            self.assertTrue(await claims.wait_for_later(0, 100))
            self.assertFalse(await claims.wait_for_later(1, 100))

        self.follow(scenario)

    def test_replies_that_overtake_each_other(self):
        """An older reply does not undo a newer one."""

        async def scenario(store, claims) -> None:
            pages = [claim_record(4, "b"), claim_record(3, "a")]
            for record in pages:
                page = LatestPage(5, [record], False)
                store.read_latest = mock.AsyncMock(return_value=page)
                await claims.read()
            self.assertEqual(claims.latest, Claim(5, "b"))

        self.follow(scenario)

    def test_foreign_records(self):
        """Records under other keys are no claims."""
        records = [claim_record(3, "a"), StoredRecord(7, "x", b"b")]
        self.assertEqual(latest_claim(records), Claim(4, "a"))
        self.assertEqual(latest_claim(records[1:]), Claim())


class CandidacyTest(unittest.TestCase):
    """Who may claim the cell."""

    def may_claim(
        self,
        claim: Claim | None,
        members: list[str] | None,
        holds: bool = True,
        age_ms: float | None = None,
        partitions: int = 4,
    ) -> int | None:
        """Returns the epoch after which a node may claim, if it is asked.

        Args:
            claim: Latest claim.
            members: Members in the table; None if it cannot be read.
            holds: Whether the node holds the partition of the cell.
            age_ms: When the claimant was confirmed, if it replies.
            partitions: Number of partitions of the group.
        """
        table = None
        if members is not None:
            table = {n: members[n % len(members)] for n in range(partitions)}
        member = mock.Mock(
            assigned_cells=frozenset({0} if holds else ()),
            assigned_generation=1,
            read_assignments=mock.AsyncMock(return_value=table),
        )
        member.name = CURRENT
        peers = mock.Mock(ownership_age_ms=mock.AsyncMock(return_value=age_ms))
        claims = mock.Mock(latest=claim)
        candidacy = Candidacy(0, member, claims, peers, SetClock())
        if not candidacy.is_due:
            return None
        after_epoch = asyncio.run(candidacy.may_claim_after())
        # Until something changes, one read of the table is enough.
        if members is not None and claim.member != CURRENT:
            self.assertFalse(candidacy.is_due)
        return after_epoch

    def test_claims_that_are_not_read(self):
        """Who has claimed must be known."""
        self.assertIsNone(self.may_claim(None, [CURRENT]))

    def test_first_claim(self):
        """The member that holds the partition claims, and no other."""
        self.assertEqual(self.may_claim(Claim(), [CURRENT]), 0)
        self.assertIsNone(self.may_claim(Claim(), [CURRENT], holds=False))

    def test_claimant_in_the_group(self):
        """The deal of the group takes no cell from its claimant."""
        claim = Claim(3, OTHER)
        self.assertIsNone(self.may_claim(claim, [CURRENT, OTHER]))

    def test_claimant_that_is_gone(self):
        """The member that holds the partition claims next."""
        claim = Claim(3, OTHER)
        self.assertEqual(self.may_claim(claim, [CURRENT]), 3)
        self.assertIsNone(self.may_claim(claim, [CURRENT], holds=False))

    def test_table_that_cannot_be_read(self):
        """Without the table, the claimant may be in the group."""
        self.assertIsNone(self.may_claim(Claim(3, OTHER), None))

    def test_own_claim(self):
        """A node whose ownership has ended claims again, whoever holds."""
        claim = Claim(3, CURRENT)
        self.assertEqual(self.may_claim(claim, [OTHER], holds=False), 3)

    def test_claimant_of_an_earlier_release(self):
        """It has ended its ownership when it lost the partition."""
        claim = Claim(3, EARLIER_RELEASE)
        members = [CURRENT, EARLIER_RELEASE]
        self.assertEqual(self.may_claim(claim, members), 3)

    def test_claimant_without_partitions(self):
        """It is not in the table, which need not be full, but replies."""
        full = [CURRENT, "a", "b", "c"]
        claim = Claim(3, OTHER)
        for members in (full, full[:3], full[:1]):
            with self.subTest(members):
                self.assertIsNone(self.may_claim(claim, members, age_ms=500.0))
                self.assertEqual(self.may_claim(claim, members, age_ms=None), 3)
                self.assertEqual(
                    self.may_claim(claim, members, age_ms=5000.0), 3
                )

    def test_claimant_that_does_not_reply(self):
        """The question takes 100 ms at most."""

        async def main() -> None:
            member = mock.Mock(
                assigned_cells=frozenset({0}),
                assigned_generation=1,
                read_assignments=mock.AsyncMock(return_value={0: CURRENT}),
            )
            member.name = CURRENT

            async def hang(*args) -> None:
                await asyncio.sleep(10)

            peers = mock.Mock(ownership_age_ms=hang)
            claims = mock.Mock(latest=Claim(3, OTHER))
            clock = VirtualClock()
            candidacy = Candidacy(0, member, claims, peers, clock)
            start_ms = clock.now_ms()
            self.assertEqual(await candidacy.may_claim_after(), 3)
            self.assertLessEqual(clock.now_ms() - start_ms, 100)

        run_in_virtual_time(main())

    def test_membership_that_may_have_expired(self):
        """Its owner does not keep the cell by its word."""

        async def main() -> None:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            host = site.owner()
            name = host.node.member.name
            self.assertIsNotNone(host.node.ownership_status(0).age_ms)
            for other in site.hosts:
                other.store_link.cut = True
            await asyncio.sleep(1.01)
            self.assertFalse(host.node._owners[0].ended)
            status = host.node.ownership_status(0)
            self.assertEqual((status.member, status.age_ms), (name, None))
            await site.stop()

        run_in_virtual_time(main())


class TermTest(unittest.TestCase):
    """A claim and what confirms it."""

    def setUp(self):
        """Creates a term after the claim of epoch 3."""
        self.clock = SetClock()
        self.clock.at_ms = 1000.0
        self.store = mock.Mock(append=mock.AsyncMock(return_value=7))
        self.claims = mock.Mock(read=mock.AsyncMock())
        params = mock.Mock(unwitnessed_ms=2000, self_fence_ms=6000)
        self.permit = OrderPermit(0, mock.Mock(), self.clock, params)
        self.term = Term(
            0,
            CURRENT,
            3,
            self.store,
            self.claims,
            self.permit,
            self.clock,
            333.0,
        )

    def claim(self, latest_epoch: int = 3) -> None:
        """Claims once."""
        asyncio.run(self.term.claim(latest_epoch))

    def test_claim(self):
        """The claim itself shows that there was no later one when it was sent.

        Orders may be issued without a further call.
        """

        async def append(*args) -> int:
            self.clock.at_ms += 400.0
            return 7

        self.store.append = append
        self.claim()
        self.assertEqual(self.term.epoch, 8)
        self.assertEqual(self.permit.confirmed_ms, 1000.0)
        self.assertEqual(self.term.claimed_ms, 1400.0)

    def test_claim_of_another(self):
        """A node does not claim over a claim that it has not considered."""
        with self.assertRaises(SupersededError):
            self.claim(4)
        self.store.append.assert_not_called()

    def claim_again(self, latest: Claim) -> None:
        """Claims after a claim without a reply."""
        self.store.append.side_effect = StoreOutcomeUnknownError("lost")
        with self.assertRaises(StoreOutcomeUnknownError):
            self.claim()
        self.store.append.side_effect = None
        self.claims.read.return_value = latest
        self.claim()

    def test_claim_without_a_reply(self):
        """It is repeated whether or not it was executed."""
        for latest in (Claim(3, OTHER), Claim(5, CURRENT)):
            with self.subTest(latest):
                self.setUp()
                self.claim_again(latest)
                self.assertEqual(self.term.epoch, 8)

    def test_other_claim_before_a_retry(self):
        """A retry took the cell from a node that had claimed meanwhile."""
        with self.assertRaises(SupersededError):
            self.claim_again(Claim(5, OTHER))

    def confirm(self, latest: Claim) -> list[str]:
        """Confirms a claim until it ends; the second read finds `latest`."""
        self.claim()
        reasons: list[str] = []

        async def read() -> Claim:
            self.clock.at_ms += 100.0
            reads.append(self.clock.at_ms)
            return latest if len(reads) > 1 else Claim(8, CURRENT)

        reads: list[float] = []
        self.claims.read = read

        async def main() -> None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2):
                    await self.term.confirm_repeatedly(reasons.append)

        run_in_virtual_time(main())
        return reasons

    def test_later_claim(self):
        """It ends the ownership, and confirms nothing."""
        self.assertEqual(len(self.confirm(Claim(9, OTHER))), 1)
        # The first read was sent at once.
        self.assertEqual(self.permit.confirmed_ms, 1000.0)

    def test_own_claim(self):
        """Each read confirms the ownership as of its send time."""
        self.assertEqual(self.confirm(Claim(8, CURRENT)), [])
        self.assertGreater(self.permit.confirmed_ms, 1000.0)
        self.assertEqual(self.permit.age_ms, 100.0)


class HeldTest(unittest.TestCase):
    """Until when an earlier owner may have been confirmed."""

    def held_ms(self, holder: str, *members: str) -> float | None:
        """Returns the bound after claims of some members, at 500 ms."""
        clock = SetClock()
        predecessor = Predecessor(0, mock.Mock(), mock.Mock(), clock, None)
        predecessor.settled_epoch = 1
        predecessor.claims = dict(enumerate(members, 1))
        predecessor._new_epoch = len(members) + 1
        clock.at_ms = 500.0
        read_holder = mock.AsyncMock(return_value=holder)
        asyncio.run(predecessor.find_held(len(members) + 1, 100.0, read_holder))
        return predecessor.held_ms

    def test_confirmed_by_claims(self):
        """The reply to a claim ends all confirmations of earlier owners."""
        self.assertEqual(self.held_ms(EARLIER_RELEASE, OTHER, CURRENT), 100.0)

    def test_confirmed_by_joins(self):
        """An owner of an earlier release is confirmed while it is dealt it."""
        members = (EARLIER_RELEASE, OTHER)
        self.assertIsNone(self.held_ms(EARLIER_RELEASE, *members))
        self.assertIsNone(self.held_ms("", *members))
        self.assertEqual(self.held_ms(CURRENT, *members), 500.0)


class CandidatesTest(unittest.TestCase):
    """Whom a leaving owner asks to claim."""

    def test_small_and_earlier_members(self):
        """They are not asked."""
        large, half = "a|1.2.3.4:5|2-pws0", "b|1.2.3.5:5|1-pws1"
        small, earlier = "c|1.2.3.6:5|0.9-pws2", "d|1.2.3.7:5|2-pw3"
        members = [small, half, earlier, large]
        self.assertEqual(rank_candidates(members), [half, large])
        self.assertEqual(rank_candidates([]), [])


class _Changes:
    """Counts changes of owner, and the time without one.

    Attributes:
        claims: Number of claims.
        unowned_ms: Time from the loss of the cell to the next claim, for each.
    """

    def __init__(self, site: SimulatedSite):
        self._site = site
        self._lost_ms: float | None = None
        self.claims = 0
        self.unowned_ms: list[float] = []

    def on_event(self, name: str, fields: dict) -> None:
        now_ms = self._site.clock.now_ms()
        if name == "cell_lost":
            self._lost_ms = now_ms
        elif name == "cell_claimed":
            self.claims += 1
            if self._lost_ms is not None:
                self.unowned_ms.append(now_ms - self._lost_ms)
            self._lost_ms = None


class SiteChangesTest(unittest.TestCase):
    """Changes of owner on a simulated site."""

    def run_site(self, scenario, nodes: int = 5, cores=()) -> _Changes:
        """Runs a scenario on a settled site."""

        async def main() -> _Changes:
            site = SimulatedSite(nodes, 4, processor_cores=cores)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            changes = _Changes(site)
            _events.add_listener(changes.on_event)
            try:
                await scenario(site)
            finally:
                _events._listeners.remove(changes.on_event)
            await site.stop()
            self.assertEqual(violations(site.history), [])
            return changes

        return run_in_virtual_time(main())

    def test_owner_that_leaves(self):
        """The next node claims at once, and nobody else does."""

        async def scenario(site: SimulatedSite) -> None:
            leaving = site.owner()
            await leaving.node.leave()
            await asyncio.sleep(0.1)
            self.assertIsNot(site.owner(), leaving)
            self.assertIsNotNone(site.owner())

        changes = self.run_site(scenario)
        self.assertEqual(changes.claims, 1)
        self.assertLessEqual(max(changes.unowned_ms), UNOWNED_MS)

    def test_successors_that_do_not_answer(self):
        """A node that is cut off from its peers is passed over."""

        async def scenario(site: SimulatedSite) -> None:
            leaving = site.owner()
            newest = leaving.node.member.newest_members()
            site.host_of(newest[0]).peer_link.cut = True
            successor = site.host_of(newest[1])
            await leaving.node.leave()
            await asyncio.sleep(0.1)
            self.assertIs(site.owner(), successor)

        changes = self.run_site(scenario)
        self.assertEqual(changes.claims, 1)
        self.assertLessEqual(max(changes.unowned_ms), 200 + UNOWNED_MS)

    def test_nobody_answers(self):
        """The owner leaves the group, which names the next claimant."""

        async def scenario(site: SimulatedSite) -> None:
            leaving = site.owner()
            leaving.peer_link.cut = True
            await leaving.node.leave()
            async with asyncio.timeout(1):
                while site.owner() in (None, leaving):
                    await asyncio.sleep(0.01)

        changes = self.run_site(scenario)
        self.assertEqual(changes.claims, 1)
        self.assertLess(max(changes.unowned_ms), 1000)

    def test_owner_that_stands_by(self):
        """It hands the cell to the larger node that has joined."""

        async def scenario(site: SimulatedSite) -> None:
            small = site.owner()
            large = next(h for h in site.hosts if h.node is None)
            await site.start_node(large)
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(small.node.member.on_standby)
            self.assertIs(site.owner(), large)

        async def without_large(site: SimulatedSite) -> None:
            await site.kill_node(site.hosts[2])
            await asyncio.sleep(SETTLED_S)
            self.assertIsNotNone(site.owner())
            changes.append(len(site.store.partition("owners", 0).records))
            await scenario(site)
            changes.append(len(site.store.partition("owners", 0).records))

        changes: list[int] = []
        self.run_site(without_large, cores=(0.5, 0.5, 2.15))
        self.assertEqual(changes[1] - changes[0], 1)

    def test_nodes_that_join(self):
        """Neither nodes that join nor a new deal move the cell."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            others = [host for host in site.hosts if host is not owner]
            for host in others:
                await site.kill_node(host)
                await site.start_node(host)
                await asyncio.sleep(0.7)
            for _ in range(5):
                site.store.reassign_partitions()
                await asyncio.sleep(0.7)
            self.assertIs(site.owner(), owner)

        self.assertEqual(self.run_site(scenario).claims, 0)

    def test_more_members_than_partitions(self):
        """An owner without a partition keeps the cell; a dead one does not."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            for _ in range(5):
                site.store.reassign_partitions()
                await asyncio.sleep(1)
            self.assertIs(site.owner(), owner)
            claims.append(changes_of(site))
            await site.kill_node(owner)
            await asyncio.sleep(SETTLED_S)
            self.assertIsNotNone(site.owner())
            claims.append(changes_of(site))

        def changes_of(site: SimulatedSite) -> int:
            return len(site.store.partition("owners", 0).records)

        claims: list[int] = []
        self.run_site(scenario, nodes=30)
        self.assertEqual(claims[1] - claims[0], 1)

    def test_witnesses_of_an_owner_without_partitions(self):
        """A witness that was lost stayed the witness of such an owner."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            member = owner.node.member
            site.store.deal = lambda group: sorted(
                group.members, key=lambda name: (name == member.name, name)
            )
            permit = owner.node._owners[0]._permit
            for _ in range(2):
                lost = next(
                    h for h in site.hosts if h.address in permit.witnesses
                )
                await site.kill_node(lost)
                await asyncio.sleep(SETTLED_S)
                self.assertEqual(member.assigned_cells, frozenset())
                self.assertIs(site.owner(), owner)
                self.assertNotIn(lost.address, permit.witnesses)

        self.assertEqual(self.run_site(scenario, nodes=30).claims, 0)

    def test_roll(self):
        """In a roll over all nodes, two changes of owner are enough."""
        for first in range(7):
            for pause_s in (1.0, 2.0):
                for sign in (1, -1):
                    with self.subTest(first=first, pause_s=pause_s, sign=sign):
                        self.roll(first, pause_s, sign)

    def roll(self, first: int, pause_s: float, sign: int) -> None:
        """Rolls over all nodes.

        Args:
            first: Number of the first node, counted from the owner.
            pause_s: Time between two nodes.
            sign: 1 in the order of the nodes, -1 against it.
        """

        async def restart(site: SimulatedSite, host) -> None:
            await host.node.leave()
            await site.kill_node(host)
            await site.start_node(host)

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner().number
            restarts = []
            for step in range(7):
                host = site.hosts[(owner + first + sign * step) % 7]
                restarts.append(asyncio.ensure_future(restart(site, host)))
                await asyncio.sleep(pause_s)
            await asyncio.gather(*restarts)

        changes = self.run_site(scenario, nodes=7)
        self.assertLessEqual(changes.claims, 2)
        self.assertLessEqual(max(changes.unowned_ms), UNOWNED_MS)

    def test_owner_that_fails(self):
        """It claims again, though it does not hold the partition."""

        async def scenario(site: SimulatedSite) -> None:
            host = site.owner()
            site.store.reassign_partitions()
            await asyncio.sleep(1)
            host.node._owners[0].end_ownership("failed")
            await asyncio.sleep(1)
            self.assertIs(site.owner(), host)

        self.assertEqual(self.run_site(scenario).claims, 1)


class SlowStoreTest(unittest.TestCase):
    """All answers of the store take long, and none fails."""

    def test_owner_stays_confirmed(self):
        """Reads that are slower than their interval confirmed nothing."""
        reply_ms = 700.0

        async def main() -> float:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            permit = site.owner().node._owners[0]._permit
            for host in site.hosts:
                host.store_link.delay_ms = reply_ms / 2
            oldest_ms = 0.0
            for _ in range(60):
                await asyncio.sleep(0.1)
                oldest_ms = max(oldest_ms, permit.age_ms)
            await site.stop()
            return oldest_ms

        interval_ms = 400.0
        oldest_ms = run_in_virtual_time(main())
        self.assertLess(oldest_ms, reply_ms + 2 * interval_ms)


class ClaimsOutageTest(unittest.TestCase):
    """The partition of the claims alone fails."""

    def starts(self, error: Exception | None) -> int:
        """Returns the number of starts of a job with one task.

        Args:
            error: Error of all calls for the claims; without one they get no
                reply.
        """

        async def main() -> SimulatedSite:
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            owner = site.owner().node._owners[0]
            with contextlib.ExitStack() as stack:
                for host in site.hosts:
                    store = host.node._adapters.store
                    for name in ("read", "read_latest", "append"):
                        failing = fail_claims(getattr(store, name), error)
                        stack.enter_context(
                            mock.patch.object(store, name, failing)
                        )
                await asyncio.sleep(OUTAGE_S)
            await asyncio.sleep(SETTLED_S)
            self.assertIs(site.owner().node._owners[0], owner)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])
        return len(site.history.of(RunStarted))

    def test_running_work(self):
        """Orders ended after 2 s, as witnesses heard from the store."""
        refused = StoreRefusedError(RefusalKind.BUSY, "busy")
        for error in (None, refused):
            with self.subTest(error):
                self.assertEqual(self.starts(error), 1)


def fail_claims(call, error: Exception | None):
    """Returns a call of the store that fails for the topic of the claims."""

    async def fail(topic: str, *args):
        if topic != "owners":
            return await call(topic, *args)
        if error is None:
            await asyncio.sleep(1.5)
            raise StoreOutcomeUnknownError("no reply within the time-out")
        raise error

    return fail


if __name__ == "__main__":
    unittest.main()
