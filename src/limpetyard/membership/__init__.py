"""Membership between daemons. A wrong view costs speed and nothing else."""

from limpetyard.membership._rendezvous import rendezvous_order, rendezvous_rank
from limpetyard.membership._service import MembershipService
from limpetyard.membership._view import MembershipView, MemberState
from limpetyard.membership._wire import News, Packet, decode, encode

__all__ = [
    "MemberState",
    "MembershipService",
    "MembershipView",
    "News",
    "Packet",
    "decode",
    "encode",
    "rendezvous_rank",
    "rendezvous_order",
]
