"""Membership in the consumer group that assigns cells to nodes.

The group does not know the sizes of the VMs. A node is on standby, outside the
group, while the assignments show a member with a much larger VM, or enough
members that are preferred to it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.node._store_layout import (
    CELLS_GROUP,
    JOBS_TOPIC,
    member_address,
    member_cores,
    member_nonce,
)
from limpetyard.store import Store, StoreError

# Joins per TTL, so that the membership survives the loss of one join.
JOINS_PER_TTL = 3

# Delay after a failed join.
RETRY_MS = 100

# Minimum time between two reads of the assignments of all cells.
ASSIGNMENTS_MAX_AGE_MS = 200

# Time-out of a read of the assignments. Some answers take 400 ms.
ASSIGNMENTS_TIMEOUT_MS = 500

# A node is on standby while a member has at least this many times its processor
# capacity.
STANDBY_RATIO = 2.0

# A member without a cell is not among the assignments. A node therefore stands
# by once this many members per cell of the group are preferred to it, so that
# each new member gets a cell, and returns once fewer than the lower share are.
STANDBY_SHARE = 2 / 3
RETURN_SHARE = 1 / 3

# Time between two reads of the assignments on standby. After a read without an
# answer, the next one is in time for the readiness of the node.
STANDBY_CHECK_MS = 750

# On standby, the member for which the node stands by is called this often.
LIVENESS_CHECK_MS = 1500

# A node on standby joins again if that member has not answered for this long
# and no other member answers: the group may have none left to assign its cells
# to. The time doubles, up to a maximum, until the member answers, since the
# members may only be unreachable, and each join moves cells.
INITIAL_UNANSWERED_MS = 2500
MAX_UNANSWERED_MS = 40_000

# Time between two reads of the assignments by a member, unless the group has
# changed.
CANDIDATE_CHECK_MS = 2000

# A member that was not among the assignments for less than this time has not
# joined anew: it may have had no cell for a moment.
MAX_ABSENCE_MS = 10_000


class GroupMember(Service):
    """Membership of one node in the group.

    Attributes:
        name: Name of this member.
        assigned_cells: Cells that the group has assigned to this node.
        assigned_generation: Generation of the group in which it did so.
        confirmed_ms: Send time of the last successful join or, on standby, read
            of the assignments; None before the first one.
        on_standby: Whether this node stays out of the group, as a member is
            much larger or enough others are preferred. It owns no cell then.
        standing_by: Whether it is on standby or about to leave the group for
            that.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: Clock,
        ttl_ms: int,
        on_assignment: Callable[[frozenset[int]], Awaitable[None]],
        answers: Callable[[str], Awaitable[bool]],
        owns_cell: Callable[[], bool] = lambda: False,
    ):
        """Initializes a member.

        Args:
            name: Name of this member, with the capacity of its VM. A node of
                unknown capacity is never on standby.
            store: Store that manages the group.
            clock: Clock for the send times of joins.
            ttl_ms: Time after which the group removes a member that has not
                joined again.
            on_assignment: Called with the assigned cells after each join, and
                with none before this node leaves the group to stand by.
            answers: Calls a member; returns whether it answered.
            owns_cell: Returns whether this node owns a cell. It then stands by
                for a much larger member only.
        """
        super().__init__()
        self.name = name
        self.assigned_cells: frozenset[int] = frozenset()
        self.assigned_generation = 0
        self.confirmed_ms: float | None = None
        self.on_standby = False
        self.standing_by = False
        self._cores = member_cores(name)
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._on_assignment = on_assignment
        self._answers = answers
        self._owns_cell = owns_cell
        self._unanswered_limit_ms = INITIAL_UNANSWERED_MS
        self._generation = 0
        # Generation of the group at the last read of the assignments.
        self._checked_generation = 0
        self._assigned_members: dict[int, str] = {}
        # Number of the read that first showed each member, by name, and send
        # time of the read that last did.
        self._first_reads: dict[str, int] = {}
        self._seen_ms: dict[str, float] = {}
        self._reads = 0
        # Send times of the last read and of the last successful one.
        self._assignments_read_ms = float("-inf")
        self._assignments_confirmed_ms = float("-inf")
        self._assignments_lock = asyncio.Lock()
        self._assignment_changed = asyncio.Event()

    @Service.task
    async def _keep_membership(self) -> None:
        """Joins repeatedly, so that the membership does not expire."""
        failed = False
        if self._cores:
            await self._check_assignments()
        while not self.should_stop:
            if self._preferred_member():
                await self._stand_by()
                continue
            try:
                rejoin = await self._join()
            except StoreError as exc:
                if not failed:
                    event("store_lost", call="join", reason=exc)
                failed = True
                await asyncio.sleep(RETRY_MS / MS_PER_SECOND)
                continue
            if failed:
                event("store_regained", call="join")
            failed = False
            if not rejoin:
                self._start_check_if_due()
                await self._pause()

    async def _pause(self) -> None:
        """Waits until a join is due or the assignments concern this node.

        Slow answers and a busy event loop do not lengthen the interval.
        """
        due_ms = self.confirmed_ms + self._ttl_ms / JOINS_PER_TTL
        pause_ms = max(0.0, due_ms - self._clock.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / MS_PER_SECOND):
                await self._assignment_changed.wait()
        self._assignment_changed.clear()

    async def _join(self) -> bool:
        """Joins once; returns whether to join again without delay.

        The next join acknowledges a changed assignment.
        """
        sent_ms = self._clock.now_ms()
        assignment = await self._store.join(
            CELLS_GROUP, self.name, JOBS_TOPIC, self._ttl_ms, self._generation
        )
        self.confirmed_ms = sent_ms
        reassigned = assignment.generation != self._generation
        if reassigned or assignment.partitions != self.assigned_cells:
            event(
                "cells_dealt",
                generation=assignment.generation,
                cells=len(assignment.partitions),
            )
        self.assigned_cells = assignment.partitions
        self.assigned_generation = assignment.generation
        await self._on_assignment(assignment.partitions)
        self._generation = assignment.generation
        return reassigned

    def _preferred_member(self) -> str:
        """Returns the member for which this node stands by, or "".

        That is the largest one, if it is much larger or if enough others are
        preferred to this node. A node on standby waits until far fewer are.
        """
        if not self._cores:
            return ""
        members = set(self._assigned_members.values()) - {"", self.name}
        largest = min(members, key=_rank, default="")
        if member_cores(largest) >= STANDBY_RATIO * self._cores:
            return largest
        if self._owns_cell():
            # A hand-over costs more than one member too many.
            return ""
        preferred = sum(_rank(member) < _rank(self.name) for member in members)
        share = RETURN_SHARE if self.on_standby else STANDBY_SHARE
        enough = share * len(self._assigned_members)
        return largest if members and preferred >= enough else ""

    async def _stand_by(self) -> None:
        """Leaves the group until its members are no longer larger."""
        larger = self._preferred_member()
        self.standing_by = True
        self.assigned_cells = frozenset()
        await self._on_assignment(frozenset())
        await self.leave()
        self._generation = self._checked_generation = 0
        self.confirmed_ms = max(
            self.confirmed_ms or 0.0, self._assignments_confirmed_ms
        )
        self.on_standby = True
        event(
            "standby_entered",
            cores=self._cores,
            larger=larger,
            age_ms=self._assignments_age_ms(),
        )
        liveness = asyncio.ensure_future(self._watch_preferred_member())
        try:
            while not self.should_stop and self._preferred_member():
                larger = self._preferred_member()
                await asyncio.sleep(self._check_due_in_ms() / MS_PER_SECOND)
                await self._check_assignments()
                if liveness.done():
                    liveness.result()
                    # The assignments may be those of members that are gone.
                    self._assigned_members = {}
        finally:
            liveness.cancel()
        if self.should_stop:
            return
        self.on_standby = self.standing_by = False
        self._assignment_changed.clear()
        event(
            "standby_left",
            cores=self._cores,
            larger=larger,
            age_ms=self._assignments_age_ms(),
        )

    async def _watch_preferred_member(self) -> None:
        """Returns once the group seems to have no member left.

        That is when the preferred member has not answered for too long, and no
        other member of the assignments answers either. Another member may
        become the preferred one meanwhile.
        """
        member, answered_ms = "", 0.0
        while preferred := self._preferred_member():
            if preferred != member:
                member, answered_ms = preferred, self._clock.now_ms()
            if await self._answers(member):
                answered_ms = self._clock.now_ms()
                self._unanswered_limit_ms = INITIAL_UNANSWERED_MS
            unanswered_ms = self._clock.now_ms() - answered_ms
            if unanswered_ms >= self._unanswered_limit_ms:
                if not await self._any_member_answers():
                    break
                answered_ms = self._clock.now_ms()
            await asyncio.sleep(LIVENESS_CHECK_MS / MS_PER_SECOND)
        else:
            return
        event("member_silent", member=member, age_ms=unanswered_ms)
        self._unanswered_limit_ms = min(
            2 * self._unanswered_limit_ms, MAX_UNANSWERED_MS
        )

    async def _any_member_answers(self) -> bool:
        """Calls all members of the assignments; returns whether one answers."""
        members = set(self._assigned_members.values()) - {"", self.name}
        answers = await asyncio.gather(*map(self._answers, members))
        return any(answers)

    def _check_due_in_ms(self) -> float:
        """Returns the time until the next read on standby."""
        due_ms = self._assignments_read_ms + ASSIGNMENTS_MAX_AGE_MS
        if self._assignments_confirmed_ms == self._assignments_read_ms:
            due_ms = self._assignments_read_ms + STANDBY_CHECK_MS
        return max(0.0, due_ms - self._clock.now_ms())

    def _assignments_age_ms(self) -> float:
        return self._clock.now_ms() - self._assignments_confirmed_ms

    def _start_check_if_due(self) -> None:
        """Reads the assignments in the background, as joins must not wait.

        The witnesses and the successor of an owner, which may have no cell
        assigned, are chosen from them.
        """
        if self._assignments_lock.locked():
            return
        age_ms = self._clock.now_ms() - self._assignments_read_ms
        changed = self._generation != self._checked_generation
        if age_ms >= (
            ASSIGNMENTS_MAX_AGE_MS if changed else CANDIDATE_CHECK_MS
        ):
            self._checked_generation = self._generation
            self.add_future(self._check_assignments())

    async def _check_assignments(self) -> None:
        async with self._assignments_lock:
            await self._read_assignments(self._clock.now_ms())

    async def leave(self) -> None:
        """Leaves the group; after a failure the membership expires by TTL."""
        try:
            await self._store.leave(CELLS_GROUP, self.name)
        except StoreError as exc:
            event("leave_failed", reason=exc)

    @property
    def is_in_group(self) -> bool:
        """Whether the membership cannot have expired by its TTL.

        The TTL begins when a join arrives, so not before it is sent.
        """
        return self.has_joined_within(self._ttl_ms)

    def has_joined_within(self, age_ms: float) -> bool:
        """Returns whether a join has succeeded that was sent lately.

        Args:
            age_ms: Longest time since then.
        """
        return (
            not self.standing_by
            and self.confirmed_ms is not None
            and self._clock.now_ms() - self.confirmed_ms < age_ms
        )

    def newest_members(self) -> list[str]:
        """Returns the other members, those first that joined last.

        Of members that joined at the same time, as far as is known, the larger
        one comes first, then any: a roll may follow the names of the nodes.
        """
        return sorted(
            set(self._assigned_members.values()) - {"", self.name},
            key=lambda name: (
                -self._first_reads[name],
                -member_cores(name),
                member_nonce(name),
            ),
        )

    def other_addresses(self) -> list[str] | None:
        """Returns peer addresses of other members, the most preferred first.

        They are those of the last read of the assignments. Returns None before
        the first one.
        """
        if self._assignments_confirmed_ms == float("-inf"):
            return None
        own = member_address(self.name)
        members = sorted(set(self._assigned_members.values()), key=_rank)
        addresses = dict.fromkeys(map(member_address, members))
        return [a for a in addresses if a not in ("", own)]

    async def assigned_member(self, cell: int, refresh: bool = False) -> str:
        """Returns the member that a cell is assigned to, or "" if unknown.

        Args:
            cell: Number of the cell.
            refresh: Whether to read the assignments again because the last
                result was wrong.
        """
        async with self._assignments_lock:
            now_ms = self._clock.now_ms()
            stale = now_ms - self._assignments_read_ms >= ASSIGNMENTS_MAX_AGE_MS
            if (refresh or cell not in self._assigned_members) and stale:
                await self._read_assignments(now_ms)
        return self._assigned_members.get(cell, "")

    async def read_assignments(self) -> dict[int, str] | None:
        """Reads the assignments now; returns None if that failed."""
        async with self._assignments_lock:
            now_ms = self._clock.now_ms()
            await self._read_assignments(now_ms)
            if self._assignments_confirmed_ms != now_ms:
                return None
            return self._assigned_members

    async def _read_assignments(self, now_ms: float) -> None:
        """Reads the assignments.

        Joins at once if this node has a new cell, or stands by at once.
        """
        self._assignments_read_ms = now_ms
        try:
            async with asyncio.timeout(ASSIGNMENTS_TIMEOUT_MS / MS_PER_SECOND):
                members = await self._store.partition_owners(CELLS_GROUP)
        except (StoreError, TimeoutError) as exc:
            event("holders_unread", reason=str(exc) or "no reply in time")
            return
        self._assigned_members = members
        self._assignments_confirmed_ms = now_ms
        self._reads += 1
        self._seen_ms |= dict.fromkeys(members.values(), now_ms)
        self._seen_ms = {
            name: seen_ms
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < MAX_ABSENCE_MS
        }
        self._first_reads = {
            name: self._first_reads.get(name, self._reads)
            for name in self._seen_ms
        }
        if self.on_standby:
            self.confirmed_ms = now_ms
            return
        own_cells = {
            cell for cell, name in members.items() if name == self.name
        }
        if own_cells - self.assigned_cells or self._preferred_member():
            self._assignment_changed.set()


def _rank(member: str) -> tuple[float, str]:
    """Returns the sort key of a member; the most preferred one comes first."""
    return (-member_cores(member), member)
