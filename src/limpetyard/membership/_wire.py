"""Membership datagrams, encoded with packed Cap'n Proto."""

import dataclasses
import enum
import importlib.resources

import capnp

from limpetyard.membership._view import MemberState

_SCHEMA = capnp.load(
    str(importlib.resources.files("limpetyard.membership") / "packet.capnp")
)


class PacketKind(enum.IntEnum):
    """Type of a datagram.

    `PING_REQ` requests that the receiver probe the subject for the sender.
    """

    PING = 0
    ACK = 1
    PING_REQ = 2


@dataclasses.dataclass(slots=True, frozen=True)
class MemberUpdate:
    """An update about one member; the type News in packet.capnp.

    Attributes:
        member: Id of the member.
        incarnation: Incremented only by the member itself, to refute a
            suspicion.
        state: State of the member.
        free_slots: Free request slots that the member last reported.
    """

    member: str
    incarnation: int
    state: MemberState
    free_slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Packet:
    """One datagram.

    Attributes:
        kind: Type of the datagram.
        sequence: Number that matches an `ACK` to its request.
        sender: Id of the daemon that sent it.
        subject: Id of the member to probe for a `PING_REQ`, or "".
        updates: Piggybacked updates about a few members; the field `news` of
            the schema.
    """

    kind: PacketKind
    sequence: int
    sender: str
    subject: str
    updates: list[MemberUpdate]


def encode_packet(packet: Packet) -> bytes:
    """Encodes a packet."""
    message = _SCHEMA.Packet.new_message(
        kind=int(packet.kind),
        sequence=packet.sequence,
        sender=packet.sender,
        subject=packet.subject,
    )
    items = message.init("news", len(packet.updates))
    for item, update in zip(items, packet.updates, strict=True):
        item.member = update.member
        item.incarnation = update.incarnation
        item.state = int(update.state)
        item.freeSlots = update.free_slots
    return message.to_bytes_packed()


def decode_packet(data: bytes) -> Packet:
    """Decodes a packet.

    Raises:
        ValueError: If `data` is not a valid packet.
    """
    try:
        message = _SCHEMA.Packet.from_bytes_packed(data)
        return _to_packet(message)
    except capnp.KjException as exc:
        raise ValueError(f"invalid packet of {len(data)} bytes") from exc


def _to_packet(message) -> Packet:
    return Packet(
        PacketKind(message.kind),
        message.sequence,
        message.sender,
        message.subject,
        [
            MemberUpdate(
                item.member,
                item.incarnation,
                MemberState(item.state),
                item.freeSlots,
            )
            for item in message.news
        ],
    )
