"""The membership view of one daemon.

Failure detection follows the published SWIM protocol. In each period, one
member, in random order, is probed directly and, without an ack, indirectly
through two others. If that also fails, it is suspected, and it is declared dead
unless it refutes the suspicion in time. Member updates are piggybacked on the
probes, so the cost per daemon is constant.
"""

import dataclasses
import enum
from collections.abc import Iterable

SUSPICION_TIMEOUT_MS = 1500.0
FORGET_MS = 60_000.0
MAX_UPDATES_PER_PACKET = 6
UPDATE_TRANSMISSIONS = 6


class MemberState(enum.IntEnum):
    """State of a member; in one incarnation, the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(slots=True)
class Member:
    """One member in a view.

    Attributes:
        id: Id of the VM.
        address: UDP host and port.
        incarnation: Latest known incarnation.
        state: State in that incarnation.
        since_ms: Clock reading when the state was entered.
        free_slots: Free request slots that it last reported.
        transmissions_left: Number of times that the latest update is still to
            be piggybacked.
    """

    id: str
    address: tuple[str, int]
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    since_ms: float = 0.0
    free_slots: int = 0
    transmissions_left: int = 0


class MembershipView:
    """Members and their states; does no I/O and reads no clock.

    Attributes:
        own_id: Id of this VM.
        incarnation: Incarnation of this daemon.
        members: The other members by id.
        free_slots: Free request slots of this VM, reported to the others.
    """

    __slots__ = ("free_slots", "incarnation", "members", "own_id")

    def __init__(self, own_id: str, incarnation: int):
        self.own_id = own_id
        self.incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.free_slots = 0

    def update_members(
        self, listed: dict[str, tuple[str, int]], now_ms: float
    ) -> None:
        """Adds and removes members to match the VM list, which may be stale.

        Args:
            listed: UDP addresses of the entry VMs that are not `GONE`, by id.
            now_ms: Current clock reading.
        """
        for member_id, address in listed.items():
            if member_id == self.own_id:
                continue
            known = self.members.get(member_id)
            if known is None:
                self.members[member_id] = Member(
                    member_id, address, since_ms=now_ms
                )
            else:
                known.address = address
        for member_id in set(self.members) - set(listed):
            del self.members[member_id]

    def alive_ids(self) -> list[str]:
        """Returns this VM's id and those of members not `DEAD` or `LEFT`."""
        excluded = (MemberState.DEAD, MemberState.LEFT)
        others = [
            m.id for m in self.members.values() if m.state not in excluded
        ]
        return [self.own_id, *others]

    def probe_candidates(self) -> list[Member]:
        """Returns the members to probe; dead ones may be reachable again."""
        return [
            m for m in self.members.values() if m.state is not MemberState.LEFT
        ]

    def apply_update(
        self,
        member_id: str,
        incarnation: int,
        state: MemberState,
        free_slots: int,
        now_ms: float,
    ) -> None:
        """Applies an update about a member, unless it is outdated."""
        if member_id == self.own_id:
            self._refute(incarnation, state)
            return
        member = self.members.get(member_id)
        if member is None:
            return
        if incarnation == member.incarnation and state == member.state:
            member.free_slots = free_slots
            return
        if (incarnation, state) < (member.incarnation, member.state):
            return
        member.incarnation = incarnation
        member.state = state
        member.since_ms = now_ms
        member.free_slots = free_slots
        member.transmissions_left = UPDATE_TRANSMISSIONS

    def suspect(self, member_id: str, now_ms: float) -> None:
        """Marks a live member as suspected after its probes failed."""
        member = self.members.get(member_id)
        if member is not None and member.state is MemberState.ALIVE:
            self._change_state(member, MemberState.SUSPECT, now_ms)

    def expire_suspicions(self, now_ms: float) -> None:
        """Declares members dead whose suspicion time-out has passed."""
        for member in self.members.values():
            waited_ms = now_ms - member.since_ms
            if (
                member.state is MemberState.SUSPECT
                and waited_ms >= SUSPICION_TIMEOUT_MS
            ):
                self._change_state(member, MemberState.DEAD, now_ms)

    def next_updates(self) -> Iterable[Member]:
        """Returns the members whose updates go into the next packet.

        At most `MAX_UPDATES_PER_PACKET`, the least transmitted first; counts
        one transmission of each.
        """
        updates = sorted(
            (m for m in self.members.values() if m.transmissions_left > 0),
            key=lambda m: -m.transmissions_left,
        )[:MAX_UPDATES_PER_PACKET]
        for member in updates:
            member.transmissions_left -= 1
        return updates

    def _refute(self, incarnation: int, state: MemberState) -> None:
        """Raises the own incarnation above that of a report of a failure.

        Later packets carry it and override the report.
        """
        suspected = state in (MemberState.SUSPECT, MemberState.DEAD)
        if suspected and incarnation >= self.incarnation:
            self.incarnation = incarnation + 1

    def _change_state(
        self, member: Member, state: MemberState, now_ms: float
    ) -> None:
        member.state = state
        member.since_ms = now_ms
        member.transmissions_left = UPDATE_TRANSMISSIONS
