"""One daemon's view of the other daemons.

The probing follows the published SWIM scheme: each period one random member
is probed, then through two others, then suspected, then taken for dead unless
it refutes. News travels on the probes, so the cost of a node is constant.
"""

import dataclasses
import enum
from collections.abc import Iterable

SUSPECT_MS = 1500.0
FORGET_MS = 60_000.0
NEWS_PER_PACKET = 6
NEWS_REPEATS = 6


class MemberState(enum.IntEnum):
    """What a daemon holds of a member; a larger one wins over a smaller."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(slots=True)
class Member:
    """One member in a view.

    Attributes:
        id: Id of the VM.
        address: Host and port of its datagrams.
        incarnation: Newest incarnation heard of.
        state: State in that incarnation.
        since_ms: When the state was entered.
        free_slots: Free request slots that it last told of.
        repeats: How often the news is still to be passed on.
    """

    id: str
    address: tuple[str, int]
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    since_ms: float = 0.0
    free_slots: int = 0
    repeats: int = 0


class MembershipView:
    """Members and their states; does no I/O and reads no clock.

    Attributes:
        own_id: Id of this VM.
        incarnation: Own incarnation.
        members: The others by id.
        free_slots: Own free request slots, told to the others.
    """

    __slots__ = ("free_slots", "incarnation", "own_id", "members")

    def __init__(self, own_id: str, incarnation: int):
        self.own_id = own_id
        self.incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.free_slots = 0

    def update_members(
        self, listed: dict[str, tuple[str, int]], now_ms: float
    ) -> None:
        """Takes the entry VMs of the VM list; the list lags.

        Args:
            listed: Addresses of the entry VMs that are not gone, by id.
            now_ms: Present reading of the clock.
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
        """Returns the ids of all that are not taken for dead, and own."""
        dead = (MemberState.DEAD, MemberState.LEFT)
        others = [m.id for m in self.members.values() if m.state not in dead]
        return [self.own_id, *others]

    def candidates(self) -> list[Member]:
        """Returns the members worth a probe; the dead may have come back."""
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
        """Takes in news of a member."""
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
        member.repeats = NEWS_REPEATS

    def suspect(self, member_id: str, now_ms: float) -> None:
        """Takes in that a member answered no probe."""
        member = self.members.get(member_id)
        if member is not None and member.state is MemberState.ALIVE:
            self._turn(member, MemberState.SUSPECT, now_ms)

    def expire(self, now_ms: float) -> None:
        """Takes members for dead that were suspected for long enough."""
        for member in self.members.values():
            waited_ms = now_ms - member.since_ms
            if member.state is MemberState.SUSPECT and waited_ms >= SUSPECT_MS:
                self._turn(member, MemberState.DEAD, now_ms)

    def take_pending_updates(self) -> Iterable[Member]:
        """Returns members with news to pass on and counts them as told."""
        told = sorted(
            (m for m in self.members.values() if m.repeats > 0),
            key=lambda m: -m.repeats,
        )[:NEWS_PER_PACKET]
        for member in told:
            member.repeats -= 1
        return told

    def _refute(self, incarnation: int, state: MemberState) -> None:
        accused = state in (MemberState.SUSPECT, MemberState.DEAD)
        if accused and incarnation >= self.incarnation:
            self.incarnation = incarnation + 1

    def _turn(self, member: Member, state: MemberState, now_ms: float) -> None:
        member.state = state
        member.since_ms = now_ms
        member.repeats = NEWS_REPEATS
