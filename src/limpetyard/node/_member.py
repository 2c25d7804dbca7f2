"""Membership in the consumer group that assigns cells to nodes."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.node._store_layout import CELLS_GROUP, JOBS_TOPIC
from limpetyard.store import Store, StoreError

# Joins per TTL, so that the membership survives the loss of one join.
JOINS_PER_TTL = 3

# Delay after a failed join.
RETRY_MS = 100

# Minimum time between two reads of the assignments of all cells.
ASSIGNMENTS_MAX_AGE_MS = 200


class GroupMember(Service):
    """Membership of one node in the group.

    Attributes:
        name: Name of this member.
        assigned_cells: Cells that the group has assigned to this node.
        confirmed_ms: Send time of the last successful join, or None.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: Clock,
        ttl_ms: int,
        on_assignment: Callable[[frozenset[int]], Awaitable[None]],
    ):
        """Initializes a member.

        Args:
            name: Name of this member.
            store: Store that manages the group.
            clock: Clock for the send times of joins.
            ttl_ms: Time after which the group removes a member that has not
                joined again.
            on_assignment: Called with the assigned cells after each join. The
                group reassigns lost cells only after it has returned.
        """
        super().__init__()
        self.name = name
        self.assigned_cells: frozenset[int] = frozenset()
        self.confirmed_ms: float | None = None
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._on_assignment = on_assignment
        self._generation = 0
        self._assigned_members: dict[int, str] = {}
        self._assignments_read_ms = float("-inf")
        self._assignments_lock = asyncio.Lock()
        self._assignment_changed = asyncio.Event()

    @Service.task
    async def _keep_membership(self) -> None:
        """Joins repeatedly, so that the membership does not expire."""
        failed = False
        while not self.should_stop:
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
                await self._pause()

    async def _pause(self) -> None:
        """Waits until a join is due or a new cell is assigned to this node."""
        pause_ms = self._ttl_ms / JOINS_PER_TTL
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
        await self._on_assignment(assignment.partitions)
        self._generation = assignment.generation
        return reassigned

    async def leave(self) -> None:
        """Leaves the group; after a failure the membership expires by TTL."""
        try:
            await self._store.leave(CELLS_GROUP, self.name)
        except StoreError as exc:
            event("leave_failed", reason=exc)

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

    async def _read_assignments(self, now_ms: float) -> None:
        """Reads the assignments; joins at once if this node has a new cell."""
        self._assignments_read_ms = now_ms
        try:
            self._assigned_members = await self._store.partition_owners(
                CELLS_GROUP
            )
        except StoreError as exc:
            event("holders_unread", reason=exc)
            return
        own_cells = {
            cell
            for cell, name in self._assigned_members.items()
            if name == self.name
        }
        if own_cells - self.assigned_cells:
            self._assignment_changed.set()
