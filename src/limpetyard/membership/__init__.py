"""Membership between daemons. A wrong view costs speed and nothing else."""

from limpetyard.membership._rank import rank_of, ranked
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
    "rank_of",
    "ranked",
]
