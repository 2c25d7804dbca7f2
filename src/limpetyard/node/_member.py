"""Stays in the group that deals the cells out to nodes."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.node._store_layout import CELLS_GROUP, JOBS_TOPIC
from limpetyard.store import Store, StoreError

# Joins within one time to live, so that one may be lost without notice.
JOINS_PER_TTL = 3

# Pause after a join that failed.
RETRY_MS = 100

# Shortest time between two readings of who holds which cell.
HOLDERS_MS = 200


class GroupMember(Service):
    """One node's membership.

    Attributes:
        name: Name of this member.
        held: Cells that this node holds.
        confirmed_ms: Sending time of the newest join that was answered.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: Clock,
        ttl_ms: int,
        changed: Callable[[frozenset[int]], Awaitable[None]],
    ):
        """Makes a member.

        Args:
            name: Name of this member.
            store: Where the group is.
            clock: Times the joins.
            ttl_ms: How long the group keeps a silent member.
            changed: Told which cells this node holds after each join; lost
                ones are given up in the group only after it returns.
        """
        super().__init__()
        self.name = name
        self.held: frozenset[int] = frozenset()
        self.confirmed_ms: float | None = None
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._changed = changed
        self._generation = 0
        self._holders: dict[int, str] = {}
        self._holders_ms = float("-inf")
        self._reading = asyncio.Lock()
        self._dealt = asyncio.Event()

    @Service.task
    async def _stay(self) -> None:
        failed = False
        while not self.should_stop:
            try:
                again = await self._join()
            except StoreError as exc:
                if not failed:
                    event("store_lost", call="join", reason=exc)
                failed = True
                await asyncio.sleep(RETRY_MS / MS_PER_SECOND)
                continue
            if failed:
                event("store_regained", call="join")
            failed = False
            if not again:
                await self._pause()

    async def _pause(self) -> None:
        """Waits until the next join is due, or is known to bring a cell."""
        pause_ms = self._ttl_ms / JOINS_PER_TTL
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / MS_PER_SECOND):
                await self._dealt.wait()
        self._dealt.clear()

    async def _join(self) -> bool:
        """Joins once; returns whether to join again at once."""
        sent_ms = self._clock.now_ms()
        view = await self._store.join(
            CELLS_GROUP, self.name, JOBS_TOPIC, self._ttl_ms, self._generation
        )
        self.confirmed_ms = sent_ms
        moved = view.generation != self._generation
        if moved or view.partitions != self.held:
            event(
                "cells_dealt",
                generation=view.generation,
                cells=len(view.partitions),
            )
        self.held = view.partitions
        await self._changed(view.partitions)
        self._generation = view.generation
        return moved

    async def leave(self) -> None:
        """Leaves the group; failures only cost the time to live."""
        try:
            await self._store.leave(CELLS_GROUP, self.name)
        except StoreError as exc:
            event("leave_failed", reason=exc)

    async def holder(self, cell: int, refresh: bool = False) -> str:
        """Returns the member that holds a cell, or "" if it is not known.

        Args:
            cell: Number of the cell.
            refresh: Whether the last reading was found to be wrong.
        """
        async with self._reading:
            now_ms = self._clock.now_ms()
            old = now_ms - self._holders_ms >= HOLDERS_MS
            if (refresh or cell not in self._holders) and old:
                await self._read_holders(now_ms)
        return self._holders.get(cell, "")

    async def _read_holders(self, now_ms: float) -> None:
        self._holders_ms = now_ms
        try:
            self._holders = await self._store.holders(CELLS_GROUP)
        except StoreError as exc:
            event("holders_unread", reason=exc)
            return
        mine = {c for c, name in self._holders.items() if name == self.name}
        if mine - self.held:
            self._dealt.set()
