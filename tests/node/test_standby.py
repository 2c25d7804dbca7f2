"""Tests of nodes that stand by because others have larger VMs."""

import asyncio
import random
import unittest
from unittest import mock

from limpetyard import _events
from limpetyard.node import _store_layout
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from tests.exploring import storms
from tests.node.test_whole_site import SiteTestCase

SMALL_LAST = (2.15, 2.15, 0.5, 0.3, 0.4, 0.3)
SMALL_FIRST = SMALL_LAST[::-1]
LARGE = 2.15

# Time after which the roles of all nodes have settled.
SETTLED_S = 6


def large_hosts(site: SimulatedSite) -> list:
    """Returns the VMs of the large nodes."""
    return [host for host in site.hosts if host.processor_cores == LARGE]


def standby_names(site: SimulatedSite) -> set[str]:
    """Returns the names of the nodes on standby."""
    return {
        host.name
        for host in site.hosts
        if host.node is not None and host.node.member.on_standby
    }


def group_names(site: SimulatedSite) -> set[str]:
    """Returns the names of the nodes that the store counts as members."""
    members = site.store._groups["cells"].members
    return {name.partition("|")[0] for name in members}


class StandbyTest(SiteTestCase):
    """Nodes whose VMs differ in size."""

    def run_scenario(self, scenario, cores=SMALL_FIRST) -> SimulatedSite:
        """Runs a scenario, checks the invariants and returns the site."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(len(cores), 6, processor_cores=cores)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            await scenario(site)
            await site.stop()
            return site

        self.changes: list[str] = []
        _events.add_listener(self.count_change)
        self.addCleanup(_events._listeners.remove, self.count_change)
        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])
        return site

    def count_change(self, name: str, fields: dict) -> None:
        """Collects the changes of roles."""
        if name.startswith("standby_"):
            self.changes.append(name)

    def check_large_owner(self, site: SimulatedSite) -> None:
        """Checks that the large nodes alone are members and one owns."""
        names = {host.name for host in large_hosts(site)}
        self.assertIn(site.owner(), large_hosts(site))
        self.assertEqual(group_names(site), names)
        small = {host.name for host in site.hosts} - names
        self.assertEqual(standby_names(site), small)

    def test_large_node_owns(self):
        """The cell is not left to a small node, whatever the order."""

        async def scenario(site: SimulatedSite) -> None:
            self.check_large_owner(site)
            owner = site.owner()
            changes = len(self.changes)
            await self.submit(site, range(3))
            await self.complete(site, range(3))
            await asyncio.sleep(20)
            self.assertIs(site.owner(), owner)
            self.assertEqual(len(self.changes), changes)
            self.check_large_owner(site)

        for cores in (SMALL_FIRST, SMALL_LAST):
            with self.subTest(cores):
                self.run_scenario(scenario, cores)
                self.assertNotIn("standby_left", self.changes)

    def test_large_nodes_lost_and_back(self):
        """Small nodes take over for the time without large ones, no longer."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=1500)
            for host in large_hosts(site):
                await site.kill_node(host)
            await self.submit(site, range(3, 6), run_ms=4000)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(standby_names(site), set())
            self.assertIsNotNone(site.owner())
            for host in large_hosts(site):
                await site.start_node(host)
            await asyncio.sleep(SETTLED_S)
            self.check_large_owner(site)
            await self.submit(site, range(6, 8))
            await self.complete(site, range(8))
            self.check_large_owner(site)

        site = self.run_scenario(scenario)
        self.assertEqual(len(site.history.of(RunStarted)), 8 * 8)

    def test_preferred_member_unreachable(self):
        """A node joins because only the member it stands by for is silent.

        Each join may move the cell.
        """

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner()
            preferred = min(large_hosts(site), key=lambda h: h.node.member.name)
            preferred.peer_link.cut = True
            await asyncio.sleep(SETTLED_S)
            self.assertNotIn("standby_left", self.changes)
            self.assertIs(site.owner(), owner)

        self.run_scenario(scenario)

    def test_unreachable_for_long(self):
        """A node cut off from all members joins and leaves again and again."""

        async def scenario(site: SimulatedSite) -> None:
            small = next(h for h in site.hosts if h not in large_hosts(site))
            small.peer_link.cut = True
            await asyncio.sleep(120)

        self.run_scenario(scenario)
        self.assertLessEqual(self.changes.count("standby_left"), 5)

    def test_large_node_joins_many_small_ones(self):
        """A large node gets a cell although there are more members than cells.

        A member without a cell is not among the assignments, so that the small
        ones would not know of it.
        """

        async def scenario(site: SimulatedSite) -> None:
            self.check_large_owner(site)

        # The store assigns cells in the order of names; node-9 is the last.
        self.run_scenario(scenario, (0.5,) * 9 + (LARGE,) + (0.5,) * 18)

    def test_many_equal_nodes(self):
        """Of many equal nodes some stand by; the loss of one calls none in."""

        async def scenario(site: SimulatedSite) -> None:
            members = group_names(site)
            self.assertEqual(len(members), 16)
            changes = len(self.changes)
            lost = next(h for h in site.hosts if h.name in members)
            await site.kill_node(lost)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(group_names(site), members - {lost.name})
            self.assertEqual(len(self.changes), changes)

        self.run_scenario(scenario, (LARGE,) * 20)

    def test_many_equal_nodes_start_together(self):
        """The owner stood by as others joined: one owner after the other.

        None of them had asked all workers, so the tasks waited (LOST).
        """
        lost: list[str] = []

        def collect(name: str, fields: dict) -> None:
            if name == "cell_lost":
                lost.append(fields["reason"])

        async def scenario(site: SimulatedSite) -> None:
            for host in site.hosts:
                await site.kill_node(host)
            lost.clear()
            # The first one claims, and all that follow are preferred to it.
            for host in sorted(site.hosts, key=lambda h: h.name)[::-1]:
                await site.start_node(host)
                await asyncio.sleep(0.05)
            await asyncio.sleep(2 * SETTLED_S)
            self.assertEqual(lost, [])
            self.assertLess(len(group_names(site)), len(site.hosts))

        _events.add_listener(collect)
        self.addCleanup(_events._listeners.remove, collect)
        self.run_scenario(scenario, (LARGE,) * 40)

    def test_one_large_node_left(self):
        """The small nodes stay on standby while one large node is left."""

        async def scenario(site: SimulatedSite) -> None:
            await site.owner().node.leave()
            await self.submit(site, range(2))
            await self.complete(site, range(2))
            self.assertIn(site.owner(), large_hosts(site))

        self.run_scenario(scenario)
        self.assertNotIn("standby_left", self.changes)

    def test_nodes_alike(self):
        """Nobody stands by without a VM of twice the size of another."""

        async def scenario(site: SimulatedSite) -> None:
            names = {host.name for host in site.hosts}
            self.assertEqual(group_names(site), names)
            await self.submit(site, range(2))
            await self.complete(site, range(2))

        for cores in ((0.5, 0.5, 0.5), (0.5, 0.9, 0.7), (0.0, 0.3, 0.3)):
            with self.subTest(cores):
                self.run_scenario(scenario, cores)
                self.assertEqual(self.changes, [])

    def test_unknown_capacity(self):
        """A node that does not know its capacity is a member."""

        async def scenario(site: SimulatedSite) -> None:
            self.assertEqual(group_names(site), {"node-0", "node-2"})

        self.run_scenario(scenario, (0.0, 0.3, 2.0))

    def test_serving_callers(self):
        """A node on standby stays ready and serves callers.

        One unanswered read must not make the load balancer drop it.
        """

        async def scenario(site: SimulatedSite) -> None:
            host = site.hosts[0]
            self.assertTrue(host.node.member.on_standby)
            member = host.node.member
            await self.submit(site, range(2), run_ms=3000)
            for _ in range(5):
                read_ms = member.confirmed_ms
                while member.confirmed_ms == read_ms:
                    self.assertTrue(host.node.ready)
                    await asyncio.sleep(0.005)
                # The next read, and no other, is sent within the cut.
                await asyncio.sleep(0.7)
                host.store_link.cut = True
                await asyncio.sleep(0.1)
                host.store_link.cut = False
                for _ in range(100):
                    self.assertTrue(host.node.ready)
                    await asyncio.sleep(0.005)
            await self.complete(site, range(2))
            state = await host.job_service.state(f"{0:016x}", "queue", 3000)
            self.assertEqual(state, "completed")
            self.assertEqual(await host.job_service.pending("queue"), 0)

        self.run_scenario(scenario)

    def test_ready_at_start(self):
        """A node that starts on standby is ready without another read."""

        async def scenario(site: SimulatedSite) -> None:
            host = site.hosts[0]
            await site.kill_node(host)
            await site.start_node(host)
            await asyncio.sleep(0.1)
            self.assertTrue(host.node.member.on_standby)
            self.assertTrue(host.node.ready)

        self.run_scenario(scenario)

    def test_store_down(self):
        """A node on standby waits for the store and does not join."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=1500)
            before = standby_names(site)
            hosts = [host for host in site.hosts if host.name in before]
            for flag in ("cut", "refusing"):
                for host in hosts:
                    setattr(host.store_link, flag, True)
                await asyncio.sleep(5)
                self.assertEqual(standby_names(site), before)
                self.assertFalse(any(host.node.ready for host in hosts))
                for host in hosts:
                    setattr(host.store_link, flag, False)
                await asyncio.sleep(2)
                self.check_large_owner(site)
                self.assertTrue(all(host.node.ready for host in hosts))
            await self.complete(site, range(3))

        self.run_scenario(scenario)

    def test_store_down_for_all(self):
        """The roles are the same after the store has failed for everyone."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=1500)
            for host in site.hosts:
                host.store_link.cut = True
            await asyncio.sleep(4)
            for host in site.hosts:
                host.store_link.cut = False
            await asyncio.sleep(SETTLED_S)
            self.check_large_owner(site)
            await self.complete(site, range(3))

        self.run_scenario(scenario)

    def test_leaving(self):
        """A node on standby that shuts down does not join the group."""

        async def scenario(site: SimulatedSite) -> None:
            await site.hosts[0].node.leave()
            self.check_large_owner(site)

        self.run_scenario(scenario)

    def test_assigned_late(self):
        """A node on standby that the table names for the cell stays out.

        A join that the store executes late makes it a member for a moment.
        """

        async def scenario(site: SimulatedSite) -> None:
            member = site.hosts[0].node.member
            for host in large_hosts(site):
                host.store_link.cut = True
            await site.store.join("cells", member.name, 500, 0)
            for _ in range(3):
                site.store.reassign_partitions()
                owners = await site.store.partition_owners("cells")
                if owners[0] == member.name:
                    break
            self.assertEqual(owners[0], member.name)
            await asyncio.sleep(0.2)
            assigned = await member.assigned_member(0, refresh=True)
            self.assertEqual(assigned, member.name)
            self.assertTrue(member.on_standby)
            for host in large_hosts(site):
                host.store_link.cut = False
            await asyncio.sleep(SETTLED_S)
            self.check_large_owner(site)

        self.run_scenario(scenario)


class StormTest(unittest.TestCase):
    """Random faults on sites with VMs of different sizes."""

    def test_two_sizes(self):
        """Changes of roles violate no rule and come to an end.

        In seed 12 a node on standby once waited for no time without end.
        """

        def make_site(nodes: int, workers: int, seed: int) -> SimulatedSite:
            sizes = random.Random(seed + 7)
            cores = [sizes.choice((0.3, 0.5, LARGE)) for _ in range(nodes)]
            return SimulatedSite(nodes, workers, seed, cores)

        with mock.patch.object(storms, "SimulatedSite", make_site):
            for seed in (3, 7, 8, 10, 12):
                with self.subTest(seed):
                    self.assertEqual(storms.run_schedule(seed), [])


class MemberNameTest(unittest.TestCase):
    """The capacity in the name of a member."""

    def test_new_name(self):
        """The capacity is read back; the address stays where it was."""
        for cores in (0.3, 2.15, 0.00001, 128.0):
            name = _store_layout.member_name("n", "1.2.3.4:5", "0a1b", cores)
            self.assertEqual(_store_layout.member_cores(name), cores)
            self.assertEqual(_store_layout.member_address(name), "1.2.3.4:5")

    def test_unknown(self):
        """A name without a readable capacity has none."""
        names = (
            "",
            "n",
            "n|1.2.3.4:5|0123456789ab",
            "n|1.2.3.4:5|-0123456789ab",
            "n|1.2.3.4:5|x-0123456789ab",
            "n|1.2.3.4:5|-2-0123456789ab",
            "n|1.2.3.4:5|nan-0123456789ab",
            "n|1.2.3.4:5|inf-0123456789ab",
            "n|1.2.3.4:5|2-01|23",
        )
        for name in names:
            with self.subTest(name):
                self.assertEqual(_store_layout.member_cores(name), 0.0)


if __name__ == "__main__":
    unittest.main()
