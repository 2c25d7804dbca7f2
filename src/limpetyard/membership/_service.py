"""Probes the other daemons over UDP."""

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
    News,
    Packet,
    PacketKind,
    decode,
    encode,
)

PROBE_INTERVAL_MS = 400
ACK_MS = 150
HELPERS = 2


@dataclasses.dataclass(slots=True)
class _Relay:
    asker: tuple[str, int]
    sequence: int


class MembershipService(Service):
    """Keeps a view of the other daemons at constant cost.

    Attributes:
        view: The view.
        packets_sent: Count of datagrams sent.
        bytes_sent: Their size.
    """

    def __init__(self, own_id: str, host: str, port: int, clock: Clock):
        super().__init__()
        self.view = MembershipView(own_id, time.time_ns())
        self.packets_sent = 0
        self.bytes_sent = 0
        self._bind = (host, port)
        self._clock = clock
        self._sequence = 0
        self._acks: dict[int, asyncio.Future] = {}
        self._relays: dict[int, _Relay] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._state = MemberState.ALIVE
        self._rng = random.Random(own_id)
        self._order: list[str] = []
        self._answer = {
            PacketKind.PING: self._answer_ping,
            PacketKind.ACK: self._answer_ack,
            PacketKind.PING_FOR: self._answer_ping_for,
        }

    async def on_start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive), local_addr=self._bind
        )

    async def on_stop(self) -> None:
        """Tells a few members that this one leaves and closes the socket."""
        if self._transport is None:
            return
        self._state = MemberState.LEFT
        for member in self.view.candidates():
            self._send(PacketKind.PING, 0, member.address)
        self._transport.close()

    @Service.task
    async def _probe(self) -> None:
        while not self.should_stop:
            await self.sleep(PROBE_INTERVAL_MS / MS_PER_SECOND)
            self.view.expire(self._clock.now_ms())
            member = self._next()
            if member is not None:
                await self._probe_one(member)

    def _next(self) -> Member | None:
        """Returns members in rounds of random order."""
        candidates = {m.id: m for m in self.view.candidates()}
        self._order = [i for i in self._order if i in candidates]
        if not self._order:
            self._order = list(candidates)
            self._rng.shuffle(self._order)
        return candidates[self._order.pop()] if self._order else None

    async def _probe_one(self, member: Member) -> None:
        if await self._ask(PacketKind.PING, [member.address], ""):
            return
        others = [m for m in self.view.candidates() if m.id != member.id]
        helpers = self._rng.sample(others, min(HELPERS, len(others)))
        addresses = [helper.address for helper in helpers]
        if await self._ask(PacketKind.PING_FOR, addresses, member.id):
            return
        if member.state is MemberState.ALIVE:
            event("member_suspected", member=member.id)
        self.view.suspect(member.id, self._clock.now_ms())

    async def _ask(
        self, kind: PacketKind, addresses: list[tuple[str, int]], subject: str
    ) -> bool:
        self._sequence += 1
        sequence = self._sequence
        fut = asyncio.get_running_loop().create_future()
        self._acks[sequence] = fut
        for address in addresses:
            self._send(kind, sequence, address, subject)
        try:
            await asyncio.wait_for(fut, ACK_MS / MS_PER_SECOND)
        except TimeoutError:
            return False
        finally:
            del self._acks[sequence]
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
        news = [
            News(view.own_id, view.incarnation, self._state, view.free_slots),
            *(
                News(m.id, m.incarnation, m.state, m.free_slots)
                for m in view.take_pending_updates()
            ),
        ]
        data = encode(Packet(kind, sequence, view.own_id, subject, news))
        self.packets_sent += 1
        self.bytes_sent += len(data)
        self._transport.sendto(data, address)

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            packet = decode(data)
        except ValueError as exc:
            event("bad_packet", "WARNING", peer=address, reason=exc)
            return
        now_ms = self._clock.now_ms()
        for news in packet.news:
            self.view.apply_update(
                news.member,
                news.incarnation,
                news.state,
                news.free_slots,
                now_ms,
            )
        self._answer[packet.kind](packet, address)

    def _answer_ping(self, packet: Packet, address: tuple[str, int]) -> None:
        if self._state is MemberState.ALIVE:
            self._send(PacketKind.ACK, packet.sequence, address)

    def _answer_ack(self, packet: Packet, address: tuple[str, int]) -> None:
        del address
        relay = self._relays.pop(packet.sequence, None)
        if relay is not None:
            self._send(PacketKind.ACK, relay.sequence, relay.asker)
            return
        fut = self._acks.get(packet.sequence)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _answer_ping_for(
        self, packet: Packet, address: tuple[str, int]
    ) -> None:
        subject = self.view.members.get(packet.subject)
        if subject is None:
            return
        self._sequence += 1
        if len(self._relays) >= len(self.view.members):
            self._relays.pop(next(iter(self._relays)))
        self._relays[self._sequence] = _Relay(address, packet.sequence)
        self._send(PacketKind.PING, self._sequence, subject.address)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)
