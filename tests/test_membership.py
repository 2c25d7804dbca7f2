"""Membership between daemons."""

import asyncio
import unittest

from limpetyard._clock import BootClock
from limpetyard.membership import (
    MembershipService,
    MembershipView,
    MemberState,
    News,
    Packet,
    decode,
    encode,
    rendezvous_order,
    rendezvous_rank,
)
from limpetyard.membership._view import NEWS_PER_PACKET, SUSPECT_MS
from limpetyard.membership._wire import PacketKind
from standins.site import free_port


class ViewTest(unittest.TestCase):
    """One daemon's view."""

    def setUp(self):
        """Makes a view of two others."""
        self.view = MembershipView("a", 1)
        listed = dict.fromkeys("abc", ("127.0.0.1", 1))
        self.view.update_members(listed, 0.0)

    def test_silent_member_is_dead_after_suspicion(self):
        """A member is suspected first and dead only later."""
        self.view.suspect("b", 0.0)
        self.assertIn("b", self.view.alive_ids())
        self.view.expire(SUSPECT_MS)
        self.assertNotIn("b", self.view.alive_ids())

    def test_member_refutes_with_a_newer_incarnation(self):
        """Newer news of the member itself win."""
        self.view.suspect("b", 0.0)
        self.view.expire(SUSPECT_MS)
        self.view.apply_update("b", 0, MemberState.ALIVE, 0, SUSPECT_MS)
        self.assertNotIn("b", self.view.alive_ids())
        self.view.apply_update("b", 1, MemberState.ALIVE, 0, SUSPECT_MS)
        self.assertIn("b", self.view.alive_ids())

    def test_accused_daemon_counts_up(self):
        """A daemon that hears of its own death says otherwise."""
        self.view.apply_update("a", 1, MemberState.DEAD, 0, 0.0)
        self.assertEqual(self.view.incarnation, 2)

    def test_news_are_bounded(self):
        """A datagram carries a few news however many there are."""
        listed = {f"m{n}": ("127.0.0.1", n) for n in range(100)}
        self.view.update_members(listed, 0.0)
        for name in listed:
            self.view.suspect(name, 0.0)
        self.assertEqual(
            len(list(self.view.take_pending_updates())), NEWS_PER_PACKET
        )


class RankTest(unittest.TestCase):
    """Rendezvous hashing."""

    def test_loss_moves_only_what_was_lost(self):
        """The order of the others does not change."""
        members = [f"m{n}" for n in range(8)]
        for thing in map(str, range(50)):
            before = rendezvous_order(thing, members)
            after = rendezvous_order(thing, members[1:])
            self.assertEqual([m for m in before if m != "m0"], after)
            self.assertEqual(rendezvous_rank(thing, before[0], members), 0)


class WireTest(unittest.TestCase):
    """Datagrams."""

    def test_round_trip(self):
        """What is encoded is decoded again."""
        news = [News("b", 7, MemberState.SUSPECT, 3)]
        packet = Packet(PacketKind.PING_FOR, 9, "a", "b", news)
        self.assertEqual(decode(encode(packet)), packet)

    def test_garbage_is_refused(self):
        """Bytes that are no packet raise an error."""
        for data in (b"", b"\x00", b"hello" * 20, b"\xff" * 64):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode(data)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that probe each other over UDP."""

    async def test_dead_member_is_noticed(self):
        """The others learn of a member that no longer answers."""
        clock = BootClock()
        ports = [free_port() for _ in range(3)]
        listed = {f"m{n}": ("127.0.0.1", p) for n, p in enumerate(ports)}
        services = [
            MembershipService(f"m{n}", "127.0.0.1", port, clock)
            for n, port in enumerate(ports)
        ]
        for service in services:
            await service.start()
            service.view.update_members(listed, clock.now_ms())
        services[2]._transport.close()
        async with asyncio.timeout(20):
            for service in services[:2]:
                while "m2" in service.view.alive_ids():
                    await asyncio.sleep(0.05)
                self.assertEqual(len(service.view.alive_ids()), 2)
        for service in services:
            await service.stop()


if __name__ == "__main__":
    unittest.main()
