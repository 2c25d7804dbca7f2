"""Membership of the daemons.

A wrong view affects performance only, never correctness.
"""

from limpetyard.membership._rendezvous import rendezvous_order, rendezvous_rank
from limpetyard.membership._service import MembershipService
from limpetyard.membership._view import MembershipView, MemberState
from limpetyard.membership._wire import (
    MemberUpdate,
    Packet,
    decode_packet,
    encode_packet,
)

__all__ = [
    "MemberState",
    "MemberUpdate",
    "MembershipService",
    "MembershipView",
    "Packet",
    "decode_packet",
    "encode_packet",
    "rendezvous_order",
    "rendezvous_rank",
]
