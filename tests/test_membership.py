"""Tests of the membership view, rendezvous hashing, packets and probes."""

import asyncio
import unittest

from limpetyard._clock import BootClock
from limpetyard.membership import (
    MembershipService,
    MembershipView,
    MemberState,
    MemberUpdate,
    Packet,
    decode_packet,
    encode_packet,
    rendezvous_order,
    rendezvous_rank,
)
from limpetyard.membership._view import (
    MAX_UPDATES_PER_PACKET,
    SUSPICION_TIMEOUT_MS,
)
from limpetyard.membership._wire import PacketKind
from standins.site import free_port


class ViewTest(unittest.TestCase):
    """The view of one daemon."""

    def setUp(self):
        """Creates a view of two other members."""
        self.view = MembershipView("a", 1)
        listed = dict.fromkeys("abc", ("127.0.0.1", 1))
        self.view.update_members(listed, 0.0)

    def test_unresponsive_member_is_dead_after_suspicion(self):
        """A suspected member counts as alive until the time-out."""
        self.view.suspect("b", 0.0)
        self.assertIn("b", self.view.alive_ids())
        self.view.expire_suspicions(SUSPICION_TIMEOUT_MS)
        self.assertNotIn("b", self.view.alive_ids())

    def test_member_refutes_with_a_newer_incarnation(self):
        """Only a newer incarnation revives a dead member."""
        self.view.suspect("b", 0.0)
        self.view.expire_suspicions(SUSPICION_TIMEOUT_MS)
        self.view.apply_update(
            "b", 0, MemberState.ALIVE, 0, SUSPICION_TIMEOUT_MS
        )
        self.assertNotIn("b", self.view.alive_ids())
        self.view.apply_update(
            "b", 1, MemberState.ALIVE, 0, SUSPICION_TIMEOUT_MS
        )
        self.assertIn("b", self.view.alive_ids())

    def test_suspected_daemon_increments_incarnation(self):
        """A daemon refutes an update that declares it dead."""
        self.view.apply_update("a", 1, MemberState.DEAD, 0, 0.0)
        self.assertEqual(self.view.incarnation, 2)

    def test_updates_per_packet_are_bounded(self):
        """A packet carries a bounded number of pending updates."""
        listed = {f"m{n}": ("127.0.0.1", n) for n in range(100)}
        self.view.update_members(listed, 0.0)
        for name in listed:
            self.view.suspect(name, 0.0)
        self.assertEqual(
            len(list(self.view.next_updates())), MAX_UPDATES_PER_PACKET
        )


class RendezvousTest(unittest.TestCase):
    """Rendezvous hashing."""

    def test_loss_moves_only_what_was_lost(self):
        """The loss of a member keeps the order of the others."""
        members = [f"m{n}" for n in range(8)]
        for key in map(str, range(50)):
            before = rendezvous_order(key, members)
            after = rendezvous_order(key, members[1:])
            self.assertEqual([m for m in before if m != "m0"], after)
            self.assertEqual(rendezvous_rank(key, before[0], members), 0)


class WireTest(unittest.TestCase):
    """Encoding of packets."""

    def test_round_trip(self):
        """Decoding restores the encoded packet."""
        updates = [MemberUpdate("b", 7, MemberState.SUSPECT, 3)]
        packet = Packet(PacketKind.PING_REQ, 9, "a", "b", updates)
        self.assertEqual(decode_packet(encode_packet(packet)), packet)

    def test_invalid_packet_raises(self):
        """Bytes that are not a packet raise a ValueError."""
        for data in (b"", b"\x00", b"hello" * 20, b"\xff" * 64):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_packet(data)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that probe each other over UDP."""

    async def test_dead_member_is_detected(self):
        """The others detect a member that stops responding."""
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
