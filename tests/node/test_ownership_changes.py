"""How often the cell changes its owner, and what a planned change costs."""

import asyncio
import itertools
import random
import unittest
from collections.abc import Callable, Coroutine
from unittest import mock

from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._store import deal_first_away, deal_in_order
from tests.node.test_whole_site import NODE_RECOVERY_MS, job

SETTLED_S = 4.0
DEALS = (deal_in_order, deal_first_away)
NODE_COUNTS = (7, 8)

# Time from the SIGTERM of a node to the start of its next process.
DOWN_S = (2.0, 3.0)

# Time for which a member may be in no row of the table: until all others have
# joined again.
UNLISTED_S = 0.35

# Most changes of owner in a roll over all nodes.
ROLL_CHANGES = 2
ROLL_SEEDS = range(3)

# Longest time without an owner, and without starts, at a planned change.
UNOWNED_MS = 50
START_PAUSE_MS = 300

# Latency of calls between nodes, so that a claim is seen before a call.
PEER_DELAY_MS = 30.0

# Tasks that keep two workers busy, so that starts follow each other closely.
LOAD_JOBS = 40
LOAD_TASKS = 32
LOAD_RUN_MS = 100
LOAD_END_MS = 60_000

Scenario = Callable[["OwnershipWatch"], Coroutine]


class OwnershipWatch:
    """Counts the claims of a site and measures the times without an owner.

    Attributes:
        site: The site.
        claims: Number of claims since `start`.
        unowned_ms: Longest time from the end of an ownership to the next claim.
    """

    def __init__(self, site: SimulatedSite):
        self.site = site
        self.claims = 0
        self.unowned_ms = 0.0
        self._epochs: set[int] = set()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to watch, or forgets what was seen."""
        self.claims, self.unowned_ms = 0, 0.0
        self._epochs = {self._claimed_epoch()}
        if self._task is None:
            self._task = asyncio.ensure_future(self._watch())

    def stop(self) -> None:
        """Ends the watch."""
        self._task.cancel()

    def _claimed_epoch(self) -> int:
        claim = self.site.latest_claim()
        return 0 if claim is None else claim.offset + 1

    def _owns(self, epoch: int) -> bool:
        owners = [
            host.node._owners.get(0)
            for host in self.site.hosts
            if host.node is not None
        ]
        return any(
            owner is not None
            and not owner.ended
            and owner.engine is not None
            and owner.engine.epoch == epoch
            for owner in owners
        )

    async def _watch(self) -> None:
        owned_ms = self.site.clock.now_ms()
        owned_epoch = 0
        while True:
            now_ms, epoch = self.site.clock.now_ms(), self._claimed_epoch()
            self.claims += epoch not in self._epochs
            self._epochs.add(epoch)
            if self._owns(epoch):
                owned_epoch = epoch
            # A claim counts before its answer has come.
            if self._owns(epoch) or epoch != owned_epoch:
                owned_ms = now_ms
            self.unowned_ms = max(self.unowned_ms, now_ms - owned_ms)
            await asyncio.sleep(0.001)


def watch(
    scenario: Scenario, deal, nodes: int, seed: int = 0, workers: int = 2
) -> OwnershipWatch:
    """Runs a scenario on a site and returns what was seen of its owners."""

    async def main() -> OwnershipWatch:
        site = SimulatedSite(nodes, workers, seed)
        site.store.deal = deal
        await site.start()
        await asyncio.sleep(SETTLED_S)
        seen = OwnershipWatch(site)
        seen.start()
        await scenario(seen)
        seen.stop()
        await site.stop()
        return seen

    return run_in_virtual_time(main())


async def restart(site: SimulatedSite, host, rng: random.Random) -> None:
    """Sends SIGTERM to a node and starts a new process later."""
    back = asyncio.ensure_future(asyncio.sleep(rng.uniform(*DOWN_S)))
    await host.node.leave()
    await site.kill_node(host)
    await back
    await site.start_node(host)


def roll(gap_s: float, place: float, seed: int) -> Scenario:
    """Returns a scenario that restarts all nodes, one after the other.

    Args:
        gap_s: Time from one SIGTERM to the next.
        place: Place of the owner in the order, from 0 for the first to 1 for
            the last; the order of the others is random.
        seed: Seed of the order and of the times.
    """

    async def scenario(seen: OwnershipWatch) -> None:
        site, rng = seen.site, random.Random(seed)
        owner = site.owner()
        hosts = [host for host in site.hosts if host is not owner]
        rng.shuffle(hosts)
        hosts.insert(round(place * len(hosts)), owner)
        restarts = []
        for host in hosts:
            restarts.append(asyncio.ensure_future(restart(site, host, rng)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*restarts)
        await asyncio.sleep(SETTLED_S)

    return scenario


async def add_nodes(seen: OwnershipWatch) -> None:
    """Starts two nodes while others are members, one first and one last."""
    added = (seen.site.hosts[0], seen.site.hosts[-1])
    for host in added:
        await seen.site.kill_node(host)
    await asyncio.sleep(SETTLED_S)
    seen.start()
    for host in added:
        await seen.site.start_node(host)
        await asyncio.sleep(1)
    await asyncio.sleep(SETTLED_S)


async def deal_anew(seen: OwnershipWatch) -> None:
    """Reassigns all partitions at once."""
    seen.site.store.reassign_partitions()
    await asyncio.sleep(SETTLED_S)


async def lose_another(seen: OwnershipWatch) -> None:
    """Kills a node that is not the owner."""
    owner = seen.site.owner()
    await seen.site.kill_node(
        next(h for h in seen.site.hosts if h is not owner)
    )
    await asyncio.sleep(SETTLED_S)


async def hide_claimant(seen: OwnershipWatch) -> None:
    """Another member lapses; meanwhile no partition is the claimant's.

    A member that has acknowledged the loss of all its partitions is in no row
    of the table until those that it is to get have been acknowledged, too.
    """
    site = seen.site
    claimant = site.latest_claim().value.decode()
    partition_owners = type(site.store).partition_owners

    async def without_claimant(store, group):
        owners = await partition_owners(store, group)
        other = next(name for name in owners.values() if name != claimant)
        return {p: {claimant: other}.get(n, n) for p, n in owners.items()}

    with mock.patch.object(
        type(site.store), "partition_owners", without_claimant
    ):
        names = {host.node.member.name for host in site.hosts} - {claimant}
        site.store.expire_member(max(names))
        await asyncio.sleep(UNLISTED_S)
    await asyncio.sleep(SETTLED_S)


async def owner_leaves(seen: OwnershipWatch) -> None:
    """Sends SIGTERM to the owner."""
    await restart(seen.site, seen.site.owner(), random.Random(1))
    await asyncio.sleep(SETTLED_S)


def under_load(scenario: Scenario, pauses_ms: list[float]) -> Scenario:
    """Returns a scenario during which tasks start all the time.

    Args:
        scenario: The scenario.
        pauses_ms: Gets the times between the starts, and to the end.
    """

    async def loaded(seen: OwnershipWatch) -> None:
        site = seen.site
        for number in range(LOAD_JOBS):
            spec = job(number, count=LOAD_TASKS, run_ms=LOAD_RUN_MS)
            assert await site.submit(spec)
        await asyncio.sleep(1)
        start_ms = site.clock.now_ms()
        await scenario(seen)
        end_ms = site.clock.now_ms()
        starts = [e.at_ms for e in site.history.of(RunStarted)]
        times = [start_ms, *(t for t in starts if start_ms < t < end_ms)]
        times.append(end_ms)
        pauses_ms.extend(b - a for a, b in itertools.pairwise(times))
        for spec in list(site.history.submitted.values()):
            await site.wait_for(spec.id, ("completed",), LOAD_END_MS)

    return loaded


class OwnershipChangesTest(unittest.TestCase):
    """Claims by nodes other than the owner, after the first claim."""

    def assert_changes(self, most: int, cases: dict[tuple, Scenario]) -> None:
        """Checks the number of claims with both sizes and both deals."""
        found = {}
        for (name, scenario), deal, nodes in itertools.product(
            cases.items(), DEALS, NODE_COUNTS
        ):
            claims = watch(scenario, deal, nodes).claims
            if claims > most:
                found[*name, deal.__name__, nodes] = claims
        self.assertEqual(found, {})

    def assert_roll(self, gap_s: float, place: float) -> None:
        """Checks the number of claims in rolls over all nodes."""
        self.assert_changes(
            ROLL_CHANGES,
            {(seed,): roll(gap_s, place, seed) for seed in ROLL_SEEDS},
        )

    def test_roll_every_second_owner_first(self):
        """The owner is restarted before the others."""
        self.assert_roll(1.0, 0.0)

    def test_roll_every_second_owner_in_the_middle(self):
        """The owner is restarted after half of the others."""
        self.assert_roll(1.0, 0.5)

    def test_roll_every_second_owner_last(self):
        """The owner is restarted after the others."""
        self.assert_roll(1.0, 1.0)

    def test_roll_every_two_seconds_owner_first(self):
        """The owner is restarted before the others."""
        self.assert_roll(2.0, 0.0)

    def test_roll_every_two_seconds_owner_in_the_middle(self):
        """The owner is restarted after half of the others."""
        self.assert_roll(2.0, 0.5)

    def test_roll_every_two_seconds_owner_last(self):
        """The owner is restarted after the others."""
        self.assert_roll(2.0, 1.0)

    def test_nodes_added(self):
        """Nodes that join do not take the cell."""
        self.assert_changes(0, {("added",): add_nodes})

    def test_deal_anew(self):
        """A deal that reassigns everything changes the owner once at most."""
        self.assert_changes(1, {("dealt",): deal_anew})

    def test_claimant_without_partitions(self):
        """A member claimed the cell of an owner that had just lost all."""
        self.assert_changes(0, {("unlisted",): hide_claimant})

    def test_another_node_lost(self):
        """The loss of a node that is not the owner changes nothing."""
        self.assert_changes(0, {("lost",): lose_another})


class PlannedChangeTest(unittest.TestCase):
    """The owner gets SIGTERM."""

    def test_unowned_time(self):
        """The next claim follows the end of the ownership closely."""
        found = {}
        for deal, nodes in itertools.product(DEALS, NODE_COUNTS):
            seen = watch(owner_leaves, deal, nodes)
            self.assertGreater(seen.claims, 0)
            found[deal.__name__, nodes] = seen.unowned_ms
        self.assertLessEqual(max(found.values()), UNOWNED_MS, found)

    def test_pause_of_starts(self):
        """Waiting tasks start again soon."""
        found = {}
        for deal, nodes in itertools.product(DEALS, NODE_COUNTS):
            pauses_ms: list[float] = []
            seen = watch(under_load(owner_leaves, pauses_ms), deal, nodes)
            self.assertEqual(violations(seen.site.history), [])
            found[deal.__name__, nodes] = max(pauses_ms)
        self.assertLessEqual(max(found.values()), START_PAUSE_MS, found)


class LeavingOwnerTest(unittest.TestCase):
    """The process of an owner that leaves ends at once after that."""

    def test_next_owner_is_told(self):
        """It exited before the next owner had asked for its leases.

        So that one waited for tasks that had no run, and acknowledged ends that
        had been held back.
        """

        async def main() -> bool:
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            for host in site.hosts:
                host.peer_link.delay_ms = PEER_DELAY_MS
            former = site.owner()
            await former.node.leave()
            await site.kill_node(former)
            await asyncio.sleep(1)
            owner = site.owner().node._owners[0]
            told = owner._predecessor.fence_confirmed
            await site.stop()
            return told

        self.assertTrue(run_in_virtual_time(main()))


class UnplannedLossTest(unittest.TestCase):
    """The owner dies."""

    def test_pause_of_starts(self):
        """Waiting tasks start again as soon as the bound on a loss says."""
        found = {}
        for deal, nodes in itertools.product(DEALS, NODE_COUNTS):
            pauses_ms: list[float] = []

            async def lose_owner(seen: OwnershipWatch) -> None:
                await seen.site.kill_node(seen.site.owner())
                await asyncio.sleep(SETTLED_S)

            seen = watch(under_load(lose_owner, pauses_ms), deal, nodes)
            self.assertEqual(violations(seen.site.history), [])
            found[deal.__name__, nodes] = max(pauses_ms)
        self.assertLessEqual(max(found.values()), NODE_RECOVERY_MS, found)


if __name__ == "__main__":
    unittest.main()
