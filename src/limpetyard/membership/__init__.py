"""Membership of the daemons.

A wrong view affects performance only, never correctness.
"""

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
