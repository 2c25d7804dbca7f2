"""When a node may claim a cell.

A claim lasts as long as its member is in the group. The member that holds the
partition of the cell claims it when the claimant is in the group no more.
"""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.node._claims import ClaimsFollower
from limpetyard.node._member import GroupMember
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import member_confirms_by_claims

# Time between two checks while neither the group nor the claim has changed.
CHECK_INTERVAL_MS = 2000

# A claimant that is not in the table keeps the cell if it was confirmed in this
# time.
CLAIMANT_MAX_AGE_MS = 2000

# Time-out of the call to such a claimant. One that is lost does not answer.
CLAIMANT_TIMEOUT_MS = 100


class Candidacy:
    """Whether this node may claim one cell."""

    __slots__ = (
        "_cell",
        "_checked",
        "_checked_ms",
        "_claims",
        "_clock",
        "_member",
        "_peers",
    )

    def __init__(
        self,
        cell: int,
        member: GroupMember,
        claims: ClaimsFollower,
        peers: PeerClient,
        clock: Clock,
    ):
        self._cell = cell
        self._member = member
        self._claims = claims
        self._peers = peers
        self._clock = clock
        # Generation of the group and epoch at the last check.
        self._checked = (-1, -1)
        self._checked_ms = float("-inf")

    @property
    def is_due(self) -> bool:
        """Whether to call `may_claim_after`."""
        latest = self._claims.latest
        if latest is None:
            return False
        if latest.member == self._member.name:
            return True
        if self._cell not in self._member.assigned_cells:
            return False
        age_ms = self._clock.now_ms() - self._checked_ms
        return self._state() != self._checked or age_ms >= CHECK_INTERVAL_MS

    def _state(self) -> tuple[int, int]:
        return self._member.assigned_generation, self._claims.latest.epoch

    async def may_claim_after(self) -> int | None:
        """Returns the epoch after which this node may claim the cell.

        Returns None if it may not. The latest claim must still have that epoch
        when this node claims. Must be called only when due, and while this node
        does not own the cell.
        """
        latest = self._claims.latest
        if latest.member == self._member.name:
            return latest.epoch
        self._checked = self._state()
        self._checked_ms = self._clock.now_ms()
        # A claimant of an earlier release ends when it loses the partition.
        if member_confirms_by_claims(latest.member):
            # A member whose partitions were all dealt away is in no row until
            # those that it gets, if any, have been given up by others.
            members, is_confirmed = await asyncio.gather(
                self._member.read_assignments(),
                self._is_confirmed(latest.member),
            )
            if members is None:
                self._checked_ms = float("-inf")
                return None
            if is_confirmed or latest.member in members.values():
                return None
        is_assigned = self._cell in self._member.assigned_cells
        return latest.epoch if is_assigned else None

    async def _is_confirmed(self, claimant: str) -> bool:
        """Returns whether a claimant is a member and was confirmed lately."""
        try:
            async with asyncio.timeout(CLAIMANT_TIMEOUT_MS / MS_PER_SECOND):
                age_ms = await self._peers.ownership_age_ms(
                    claimant, self._cell
                )
        except TimeoutError:
            return False
        return age_ms is not None and age_ms < CLAIMANT_MAX_AGE_MS
