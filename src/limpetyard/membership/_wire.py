"""Datagrams between daemons, encoded by Cap'n Proto."""

import dataclasses
import enum
import importlib.resources

import capnp

from limpetyard.membership._view import MemberState

_SCHEMA = capnp.load(
    str(importlib.resources.files("limpetyard.membership") / "packet.capnp")
)


class PacketKind(enum.IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQ = 2


@dataclasses.dataclass(slots=True, frozen=True)
class News:
    """What a daemon tells of a member.

    Attributes:
        member: Id of the member.
        incarnation: Counted up by the member itself to refute a suspicion.
        state: State of the member.
        free_slots: Free request slots that the member last told of.
    """

    member: str
    incarnation: int
    state: MemberState
    free_slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Packet:
    """One datagram.

    Attributes:
        kind: What it asks or answers.
        sequence: Ties an answer to its question.
        sender: Id of the daemon that sent it.
        subject: Member that a `PING_REQ` asks about, or "".
        news: Piggybacked news of a few members.
    """

    kind: PacketKind
    sequence: int
    sender: str
    subject: str
    news: list[News]


def encode(packet: Packet) -> bytes:
    """Returns the datagram's bytes."""
    message = _SCHEMA.Packet.new_message(
        kind=int(packet.kind),
        sequence=packet.sequence,
        sender=packet.sender,
        subject=packet.subject,
    )
    items = message.init("news", len(packet.news))
    for item, news in zip(items, packet.news, strict=True):
        item.member = news.member
        item.incarnation = news.incarnation
        item.state = int(news.state)
        item.freeSlots = news.free_slots
    return message.to_bytes_packed()


def decode(data: bytes) -> Packet:
    """Returns the packet that `data` holds.

    Raises:
        ValueError: If the bytes are no packet.
    """
    try:
        message = _SCHEMA.Packet.from_bytes_packed(data)
        return _to_packet(message)
    except capnp.KjException as exc:
        raise ValueError(f"no packet in {len(data)} bytes") from exc


def _to_packet(message) -> Packet:
    return Packet(
        PacketKind(message.kind),
        message.sequence,
        message.sender,
        message.subject,
        [
            News(
                item.member,
                item.incarnation,
                MemberState(item.state),
                item.freeSlots,
            )
            for item in message.news
        ],
    )
