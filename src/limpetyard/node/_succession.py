"""Planned change of owner: a leaving owner names its successor."""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.node._claims import ClaimsFollower
from limpetyard.node._member import GroupMember
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import (
    member_confirms_by_claims,
    member_cores,
)

# Time-out of a call to a candidate, and maximum time spent on all calls.
OFFER_TIMEOUT_MS = 200
OFFERS_TIMEOUT_MS = 500

# Maximum time to wait for the claim of a candidate that has accepted.
CLAIM_TIMEOUT_MS = 300

# A successor has at least this share of the cores of the largest member.
MIN_CORES_SHARE = 0.5


def rank_candidates(members: list[str]) -> list[str]:
    """Returns the members that may succeed, in the order of the arguments."""
    least = MIN_CORES_SHARE * max(map(member_cores, members), default=0.0)
    return [
        member
        for member in members
        if member_cores(member) >= least and member_confirms_by_claims(member)
    ]


async def hand_over(
    cell: int,
    epoch: int,
    member: GroupMember,
    claims: ClaimsFollower,
    peers: PeerClient,
    clock: Clock,
) -> None:
    """Has another node claim a cell, if one accepts in time.

    Members that joined last are asked first: in a roll over all nodes, they
    have had their turn.

    Args:
        cell: Number of the cell.
        epoch: Epoch of the ownership of this node, which has ended.
        member: Membership of this node.
        claims: Claims of the cell.
        peers: Client of other nodes.
        clock: Clock for the time-outs.
    """
    start_ms = clock.now_ms()
    successor = ""
    for candidate in rank_candidates(member.newest_members()):
        left_ms = start_ms + OFFERS_TIMEOUT_MS - clock.now_ms()
        if left_ms <= 0 or successor:
            break
        timeout_ms = min(left_ms, OFFER_TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                if await peers.succeed(candidate, cell, epoch):
                    successor = candidate
        except TimeoutError:
            continue
    claimed = bool(successor) and await claims.wait_for_later(
        epoch, CLAIM_TIMEOUT_MS
    )
    event(
        "cell_handed_over",
        cell=cell,
        epoch=epoch,
        successor=successor,
        claimed=claimed,
        took_ms=clock.now_ms() - start_ms,
    )
