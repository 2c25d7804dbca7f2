"""SWIM failure detection among the daemons, over UDP."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.membership._view import Member, MembershipView, MemberState
from limpetyard.membership._wire import (
    MemberUpdate,
    Packet,
    PacketKind,
    decode_packet,
    encode_packet,
)

PROBE_INTERVAL_MS = 400
ACK_TIMEOUT_MS = 150
INDIRECT_PROBES = 2


@dataclasses.dataclass(slots=True)
class _Relay:
    """An indirect probe in progress on behalf of `requester`."""

    requester: tuple[str, int]
    sequence: int


class MembershipService(Service):
    """Maintains a view of the other daemons at constant cost per daemon.

    Attributes:
        view: The current view.
        packets_sent: Number of datagrams sent.
        bytes_sent: Total size of the datagrams sent.
    """

    def __init__(self, own_id: str, host: str, port: int, clock: Clock):
        super().__init__()
        # A restarted daemon starts with a higher incarnation, which overrides
        # the updates about its predecessor.
        self.view = MembershipView(own_id, time.time_ns())
        self.packets_sent = 0
        self.bytes_sent = 0
        self._bind = (host, port)
        self._clock = clock
        self._sequence = 0
        self._pending_acks: dict[int, asyncio.Future] = {}
        self._relays: dict[int, _Relay] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._state = MemberState.ALIVE
        self._rng = random.Random(own_id)
        self._probe_order: list[str] = []
        self._handlers = {
            PacketKind.PING: self._handle_ping,
            PacketKind.ACK: self._handle_ack,
            PacketKind.PING_REQ: self._handle_ping_req,
        }

    async def on_start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive), local_addr=self._bind
        )

    async def on_stop(self) -> None:
        """Announces the departure to the members and closes the socket."""
        if self._transport is None:
            return
        self._state = MemberState.LEFT
        for member in self.view.probe_candidates():
            self._send(PacketKind.PING, 0, member.address)
        self._transport.close()

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            await self.sleep(PROBE_INTERVAL_MS / MS_PER_SECOND)
            self.view.expire_suspicions(self._clock.now_ms())
            member = self._next_member()
            if member is not None:
                await self._probe_one(member)

    def _next_member(self) -> Member | None:
        """Returns the next member to probe: a shuffled round-robin."""
        candidates = {m.id: m for m in self.view.probe_candidates()}
        self._probe_order = [i for i in self._probe_order if i in candidates]
        if not self._probe_order:
            self._probe_order = list(candidates)
            self._rng.shuffle(self._probe_order)
        return (
            candidates[self._probe_order.pop()] if self._probe_order else None
        )

    async def _probe_one(self, member: Member) -> None:
        """Probes a member, first directly, then through other members.

        Without an ack, the member becomes suspected.
        """
        if await self._await_ack(PacketKind.PING, [member.address], ""):
            return
        others = [m for m in self.view.probe_candidates() if m.id != member.id]
        proxies = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        addresses = [proxy.address for proxy in proxies]
        if await self._await_ack(PacketKind.PING_REQ, addresses, member.id):
            return
        if member.state is MemberState.ALIVE:
            event("member_suspected", member=member.id)
        self.view.suspect(member.id, self._clock.now_ms())

    async def _await_ack(
        self, kind: PacketKind, addresses: list[tuple[str, int]], subject: str
    ) -> bool:
        """Sends a probe; returns whether an ack arrived in time."""
        self._sequence += 1
        sequence = self._sequence
        fut = asyncio.get_running_loop().create_future()
        self._pending_acks[sequence] = fut
        for address in addresses:
            self._send(kind, sequence, address, subject)
        try:
            await asyncio.wait_for(fut, ACK_TIMEOUT_MS / MS_PER_SECOND)
        except TimeoutError:
            return False
        finally:
            del self._pending_acks[sequence]
        return True

    def _send(
        self,
        kind: PacketKind,
        sequence: int,
        address: tuple[str, int],
        subject: str = "",
    ) -> None:
        if self._transport.is_closing():
            return
        view = self.view
        updates = [
            MemberUpdate(
                view.own_id, view.incarnation, self._state, view.free_slots
            ),
            *(
                MemberUpdate(m.id, m.incarnation, m.state, m.free_slots)
                for m in view.next_updates()
            ),
        ]
        data = encode_packet(
            Packet(kind, sequence, view.own_id, subject, updates)
        )
        self.packets_sent += 1
        self.bytes_sent += len(data)
        self._transport.sendto(data, address)

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            packet = decode_packet(data)
        except ValueError as exc:
            event("bad_packet", "WARNING", peer=address, reason=exc)
            return
        now_ms = self._clock.now_ms()
        for update in packet.updates:
            self.view.apply_update(
                update.member,
                update.incarnation,
                update.state,
                update.free_slots,
                now_ms,
            )
        self._handlers[packet.kind](packet, address)

    def _handle_ping(self, packet: Packet, address: tuple[str, int]) -> None:
        if self._state is MemberState.ALIVE:
            self._send(PacketKind.ACK, packet.sequence, address)

    def _handle_ack(self, packet: Packet, address: tuple[str, int]) -> None:
        del address
        relay = self._relays.pop(packet.sequence, None)
        if relay is not None:
            self._send(PacketKind.ACK, relay.sequence, relay.requester)
            return
        fut = self._pending_acks.get(packet.sequence)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _handle_ping_req(
        self, packet: Packet, address: tuple[str, int]
    ) -> None:
        subject = self.view.members.get(packet.subject)
        if subject is None:
            return
        self._sequence += 1
        # A relay whose ack is lost is never completed; drop the oldest one.
        if len(self._relays) >= len(self.view.members):
            self._relays.pop(next(iter(self._relays)))
        self._relays[self._sequence] = _Relay(address, packet.sequence)
        self._send(PacketKind.PING, self._sequence, subject.address)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)
