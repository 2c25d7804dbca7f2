"""Whole nodes against the stand-in of the platform, on virtual time."""

import asyncio
import unittest
from unittest import mock

from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec, Resources, StepSpec
from limpetyard.node import CellOwner
from standins.platform import (
    LinkedWorkerClient,
    SimulatedSite,
    run_in_virtual_time,
    violations,
)
from standins.platform._history import RunStarted
from standins.platform._site import PEER_TIMEOUT_MS, QUEUE

SMALL = Resources(1000, 1000, 0)

# After the loss of one node work goes on within this, and after the loss of
# all within the second time of their return.
ONE_LOST_MS = 1500
ALL_LOST_MS = 3000

# A worker that is lost costs its lease.
LEASE_MS = 5000


def job(number: int, count: int = 4, run_ms: int = 500) -> JobSpec:
    """Returns a job of two steps."""
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        (
            StepSpec(count, SMALL, run_ms),
            StepSpec(count, SMALL, run_ms, after=(0,)),
        ),
    )


class WholeSiteCase(unittest.TestCase):
    """Plays stories on a site."""

    def play(self, story, nodes: int = 4, workers: int = 6) -> SimulatedSite:
        """Plays a story and returns the world; nothing may be broken."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(nodes, workers)
            await site.start()
            await asyncio.sleep(3)
            await story(site)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])
        return site

    async def submit(self, site: SimulatedSite, numbers: range, **more) -> None:
        """Hands jobs in; all are accepted."""
        for number in numbers:
            self.assertTrue(await site.submit(job(number, **more)))

    async def complete(self, site: SimulatedSite, numbers: range) -> None:
        """Waits until jobs are completed."""
        for number in numbers:
            state = await site.wait_for(
                f"{number:016x}", ("completed",), 30_000
            )
            self.assertEqual(state, "completed")

    async def first_start_after(
        self, site: SimulatedSite, at_ms: float
    ) -> float:
        """Waits for a start after `at_ms` and returns how long it took."""
        for _ in range(1000):
            later = [
                entry.at_ms - at_ms
                for entry in site.history.of(RunStarted)
                if entry.at_ms > at_ms
            ]
            if later:
                return later[0]
            await asyncio.sleep(0.01)
        raise AssertionError("nothing was started any more")


class CalmTest(WholeSiteCase):
    """A day without troubles."""

    def test_jobs_are_completed(self):
        """Jobs are completed."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(5))
            await self.complete(site, range(5))

        self.play(story)

    def test_repeated_hand_in(self):
        """A job that is handed in at two nodes is one job."""

        async def story(site: SimulatedSite) -> None:
            await site.submit(job(1), site.hosts[0])
            await site.submit(job(1), site.hosts[1])
            await self.complete(site, range(1, 2))
            await site.submit(job(1), site.hosts[2])
            await asyncio.sleep(3)

        site = self.play(story)
        self.assertEqual(len(site.history.of(RunStarted)), 8)

    def test_unknown_job(self):
        """A job that nobody handed in is gone."""

        async def story(site: SimulatedSite) -> None:
            self.assertEqual(await site.query_state("f" * 16), "")

        self.play(story)

    def test_cancel(self):
        """A cancelled job is shown so and stops."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(1), run_ms=20_000)
            await asyncio.sleep(1)
            self.assertTrue(await site.cancel(f"{0:016x}"))
            await asyncio.sleep(2)
            self.assertEqual(await site.query_state(f"{0:016x}"), "cancelled")
            running = [w.running() for w in site.workers.values()]
            self.assertFalse(any(running))

        self.play(story)

    def test_pending(self):
        """Jobs that have not begun are counted at every node."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(2), count=48, run_ms=3000)
            await asyncio.sleep(1.5)
            for host in site.hosts:
                self.assertEqual(await host.job_service.pending("queue"), 1)
            await self.complete(site, range(2))

        self.play(story)


class OwnerTroubleTest(WholeSiteCase):
    """The owner is lost, cut off or replaced."""

    def lose(self, trouble, bound_ms: float) -> None:
        """Has work in hand, brings a trouble about, and times the recovery."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(4), run_ms=800)
            await asyncio.sleep(0.5)
            at_ms = await trouble(site)
            await self.submit(site, range(4, 6))
            took_ms = await self.first_start_after(site, at_ms)
            self.assertLess(took_ms, bound_ms)
            await self.complete(site, range(6))

        self.play(story)

    def test_killed(self):
        """Another node goes on."""

        async def trouble(site: SimulatedSite) -> float:
            at_ms = site.clock.now_ms()
            await site.kill_node(site.owner())
            return at_ms

        self.lose(trouble, ONE_LOST_MS)

    def test_all_killed(self):
        """All nodes come back and go on."""

        async def trouble(site: SimulatedSite) -> float:
            for host in site.hosts:
                await site.kill_node(host)
            await asyncio.sleep(1)
            at_ms = site.clock.now_ms()
            for host in site.hosts:
                await site.start_node(host)
            return at_ms

        self.lose(trouble, ALL_LOST_MS)

    def test_frozen(self):
        """Another node goes on, and the frozen one does no harm."""

        async def trouble(site: SimulatedSite) -> float:
            host = site.owner()
            at_ms = site.clock.now_ms()
            site.freeze(host)
            await asyncio.sleep(4)
            site.thaw(host)
            return at_ms

        self.lose(trouble, ONE_LOST_MS + 4000)

    def test_silent_owner(self):
        """A new owner decides while the last one is asked to stop."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(2))
            old = site.owner()
            site.freeze(old)
            others = [host for host in site.hosts if host is not old]
            for host in others:
                host.store_link.delay_ms = 40.0
            loading_ms = 0.0
            for _ in range(1000):
                owners = [host.node._owners.get(0) for host in others]
                states = {
                    owner.state_machine.state for owner in owners if owner
                }
                if "deciding" in states:
                    break
                loading_ms += 5 if "loading" in states else 0
                await asyncio.sleep(0.005)
            self.assertEqual(states, {"deciding"})
            self.assertLess(loading_ms, PEER_TIMEOUT_MS)
            site.thaw(old)
            await self.complete(site, range(2))

        self.play(story)

    def test_cut_from_the_store(self):
        """Another node goes on."""

        async def trouble(site: SimulatedSite) -> float:
            host = site.owner()
            at_ms = site.clock.now_ms()
            host.store_link.cut = True
            await asyncio.sleep(3)
            host.store_link.cut = False
            return at_ms

        self.lose(trouble, ONE_LOST_MS + 3000)

    def test_dealt_anew(self):
        """Partitions that move without reason cost time only."""

        async def trouble(site: SimulatedSite) -> float:
            at_ms = site.clock.now_ms()
            site.store.reassign_partitions()
            return at_ms

        self.lose(trouble, ONE_LOST_MS)

    def lose_while(self, state: str) -> bool:
        """Ends ownerships in a state of a takeover; returns who crashed."""

        async def story(site: SimulatedSite) -> None:
            for host in site.hosts:
                host.store_link.delay_ms = 60.0
            for _ in range(3):
                site.store.reassign_partitions()
                for _ in range(200):
                    await asyncio.sleep(0.005)
                    for host in site.hosts:
                        owner = host.node._owners.get(0)
                        if owner and owner.state_machine.state == state:
                            owner.lose("test")
            await asyncio.sleep(3)
            crashed.extend(h for h in site.hosts if h.node.crashed)

        crashed: list = []
        self.play(story)
        return bool(crashed)

    def test_lost_in_a_takeover(self):
        """An ownership that ends before it decides costs no process."""
        for state in ("claiming", "loading"):
            with self.subTest(state):
                self.assertFalse(self.lose_while(state))

    def test_lost_in_a_takeover_without_guard(self):
        """Without the guard of its tasks it does."""

        async def bare(self, work) -> None:
            await work

        with mock.patch.object(CellOwner, "_guard", bare):
            self.assertTrue(self.lose_while("claiming"))

    def test_leaving_in_time(self):
        """A request without an end does not keep a node from leaving."""

        async def story(site: SimulatedSite) -> None:
            node = site.owner().node
            node._in_flight = 1
            begun_ms = site.clock.now_ms()
            async with asyncio.timeout(20):
                await node.leave()
            took_ms = site.clock.now_ms() - begun_ms
            self.assertLess(took_ms, node._cfg.leave_ms)

        self.play(story)

    def test_unforeseen_error(self):
        """An owner that fails inside begins anew; its node stays."""

        async def trouble(site: SimulatedSite) -> float:
            owner = site.owner().node._owners[0]
            with mock.patch.object(
                type(owner.engine), "plan", side_effect=KeyError("x")
            ):
                await asyncio.sleep(0.2)
            self.assertTrue(owner.ended)
            self.assertFalse(any(h.node.crashed for h in site.hosts))
            return site.clock.now_ms()

        self.lose(trouble, ONE_LOST_MS)

    def test_leaving(self):
        """A node that is told to leave hands over first."""

        async def trouble(site: SimulatedSite) -> float:
            at_ms = site.clock.now_ms()
            await site.owner().node.leave()
            return at_ms

        self.lose(trouble, ONE_LOST_MS + 3000)


class StoreTroubleTest(WholeSiteCase):
    """The store is away, slow, or loses answers."""

    def test_silent(self):
        """Accepted jobs go on while the store is silent."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=1500)
            for host in site.hosts:
                host.store_link.cut = True
            at_ms = site.clock.now_ms()
            await asyncio.sleep(3)
            started = [
                entry
                for entry in site.history.of(RunStarted)
                if entry.at_ms > at_ms + 1000
            ]
            self.assertTrue(started)
            for host in site.hosts:
                host.store_link.cut = False
            await self.complete(site, range(3))

        self.play(story)

    def test_refusing(self):
        """A refused hand-in is refused truly, with a time to come back."""

        async def story(site: SimulatedSite) -> None:
            for host in site.hosts:
                host.store_link.refusing = True
            with self.assertRaises(RequestError) as caught:
                await site.hosts[0].job_service.submit(job(1), 3000)
            self.assertEqual(caught.exception.retry_after_s, 1)
            site.history.submitted[job(1).id] = job(1)
            site.history.refused.add(job(1).id)
            for host in site.hosts:
                host.store_link.refusing = False
            await asyncio.sleep(5)

        site = self.play(story)
        self.assertEqual(site.history.of(RunStarted), [])

    def test_unanswered(self):
        """A hand-in without an answer is said to be unknown."""

        async def story(site: SimulatedSite) -> None:
            site.hosts[0].store_link.cut = True
            with self.assertRaises(RequestError) as caught:
                await site.hosts[0].job_service.submit(job(1), 2000)
            self.assertEqual(caught.exception.kind.value, "store_silent")
            site.hosts[0].store_link.cut = False
            site.history.submitted[job(1).id] = job(1)
            await asyncio.sleep(5)

        self.play(story)

    def test_answers_lost_and_done_late(self):
        """Every append stands once."""

        async def story(site: SimulatedSite) -> None:
            for host in site.hosts:
                host.store_link.reply_loss_rate = host.store_link.late_rate = (
                    0.3
                )
            await self.submit(site, range(8))
            for host in site.hosts:
                host.store_link.reply_loss_rate = host.store_link.late_rate = (
                    0.0
                )
            await self.complete(site, range(8))

        self.play(story)

    def test_forgotten_history(self):
        """Jobs outlive the history, workers their entries."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(3))
            site.store.drop_history(("workers",))
            await self.submit(site, range(3, 6))
            await self.complete(site, range(6))

        self.play(story)


class WorkerTroubleTest(WholeSiteCase):
    """Workers crash, are cut off, or carry orders out late."""

    def test_reborn_with_a_late_order(self):
        """A new life is looked at before its lost work starts elsewhere."""

        async def story(site: SimulatedSite) -> None:
            LinkedWorkerClient.deliver_after_restart = True
            self.addCleanup(
                setattr, LinkedWorkerClient, "deliver_after_restart", False
            )
            for host in site.hosts:
                for link in host.worker_links.values():
                    link.late_rate, link.late_ms = 0.3, (2000.0, 3000.0)
            await self.submit(site, range(6), run_ms=1500)
            for worker in list(site.workers.values())[:3]:
                worker.crash()
                worker.restart()
            await asyncio.sleep(3)
            for host in site.hosts:
                for link in host.worker_links.values():
                    link.late_rate = 0.0
            await self.complete(site, range(6))

        self.play(story)

    def test_cut_off(self):
        """Work on a worker that is cut off starts elsewhere after its lease."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=3000)
            await asyncio.sleep(0.5)
            for host in site.hosts:
                host.worker_links["w-0"].cut = True
            await self.complete(site, range(3))

        self.play(story)

    def test_lost_with_a_takeover(self):
        """An owner and a worker lost together cost the lease."""

        async def story(site: SimulatedSite) -> None:
            await self.submit(site, range(3), run_ms=2000)
            await asyncio.sleep(0.5)
            site.workers["w-1"].crash()
            await site.kill_node(site.owner())
            await self.complete(site, range(3))

        self.play(story)

    def test_left_before_several_takeovers(self):
        """The lease of a worker that left is waited for once."""

        async def story(site: SimulatedSite) -> None:
            spec = JobSpec(
                f"{7:016x}",
                QUEUE,
                "payload",
                (StepSpec(6, SMALL, long_running=True, per_worker=2),),
            )
            await site.submit(spec)
            await asyncio.sleep(2)
            victim = next(w for w in site.workers.values() if w.running())
            reply_loss_rate = set(victim.running())
            victim.crash()
            at_ms = site.clock.now_ms()
            for _ in range(3):
                await asyncio.sleep(1.5)
                site.store.reassign_partitions()
            await asyncio.sleep(3)
            again = {
                entry.task: entry.at_ms - at_ms
                for entry in site.history.of(RunStarted)
                if entry.at_ms > at_ms and entry.task in reply_loss_rate
            }
            self.assertEqual(set(again), reply_loss_rate)
            self.assertLess(max(again.values()), LEASE_MS + ONE_LOST_MS)

        self.play(story)


class ZoneTest(WholeSiteCase):
    """Zones that are taken out."""

    def test_nothing_starts_there(self):
        """Nothing starts in a zone that was taken out, over a takeover."""

        async def story(site: SimulatedSite) -> None:
            site.set_zone("zone-0", True)
            await site.kill_node(site.owner())
            await asyncio.sleep(1)
            await self.submit(site, range(4))
            await self.complete(site, range(4))

        site = self.play(story)
        zones = {
            site.workers[entry.worker].entry.availability_zone
            for entry in site.history.of(RunStarted)
        }
        self.assertNotIn("zone-0", zones)


class ReasonedTest(WholeSiteCase):
    """A node that stops being the owner gives no more orders."""

    def test_orders_are_held_back(self):
        """An owner that cannot reach the group stops in time."""

        async def story(site: SimulatedSite) -> None:
            host = site.owner()
            owner: CellOwner = host.node._owners[0]
            self.assertTrue(owner._may_order())
            for other in site.hosts:
                other.store_link.cut = True
            await asyncio.sleep(7)
            self.assertFalse(owner._may_order())
            for other in site.hosts:
                other.store_link.cut = False
            await asyncio.sleep(3)

        self.play(story)


if __name__ == "__main__":
    unittest.main()
