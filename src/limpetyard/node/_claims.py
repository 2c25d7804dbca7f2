"""Latest claim of a cell, as a node knows it."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.node._store_layout import CLAIM_KEY, OWNERS_TOPIC
from limpetyard.store import KeyFollower, Store, StoredRecord, StoreError

# Minimum time between two reads on behalf of callers, and their time-out.
REFRESH_INTERVAL_MS = 200
REFRESH_TIMEOUT_MS = 500


class Claim(msgspec.Struct, frozen=True):
    """A claim of a cell.

    Attributes:
        epoch: Epoch of the ownership, 0 if the cell was never claimed.
        member: Member name of the claimant, "" if there is none.
    """

    epoch: int = 0
    member: str = ""


def latest_claim(records: list[StoredRecord]) -> Claim:
    """Returns the latest claim among records of the claims partition."""
    claims = [
        Claim(r.offset + 1, (r.value or b"").decode(errors="replace"))
        for r in records
        if r.key == CLAIM_KEY
    ]
    return max(claims, key=lambda claim: claim.epoch, default=Claim())


class ClaimsFollower:
    """Follows the claims of one cell by a long poll.

    Attributes:
        latest: Latest claim that has been read, or None before the first read.
    """

    __slots__ = (
        "_cell",
        "_changed",
        "_clock",
        "_follower",
        "_on_claim",
        "_refresh_lock",
        "_refreshed_ms",
        "_store",
        "latest",
    )

    def __init__(
        self,
        cell: int,
        store: Store,
        clock: Clock,
        on_claim: Callable[[int, Claim], None],
    ):
        """Initializes a follower.

        Args:
            cell: Number of the cell.
            store: Store of the claims.
            clock: Clock for the time between reads.
            on_claim: Called with the cell and its latest claim when that is
                another one than before, and after the first read.
        """
        self.latest: Claim | None = None
        self._cell = cell
        self._store = store
        self._clock = clock
        self._on_claim = on_claim
        self._changed = asyncio.Event()
        self._refresh_lock = asyncio.Lock()
        self._refreshed_ms = float("-inf")
        self._follower = KeyFollower(
            store,
            clock,
            OWNERS_TOPIC,
            cell,
            lambda records: self._note(latest_claim(records)),
            lambda keys: self._note(Claim()),
        )

    async def follow(self) -> None:
        """Follows the claims until cancelled."""
        await self._follower.follow()

    async def read(self) -> Claim:
        """Reads the latest claim and returns it.

        Raises:
            StoreError: If the call failed.
        """
        page = await self._store.read_latest(OWNERS_TOPIC, self._cell, "")
        claim = latest_claim(page.records)
        self._note(claim)
        return claim

    async def refresh(self) -> None:
        """Reads the latest claim unless that was done lately.

        Callers that wait for a read at the same time share it.
        """
        async with self._refresh_lock:
            now_ms = self._clock.now_ms()
            if now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS:
                return
            with contextlib.suppress(StoreError, TimeoutError):
                async with asyncio.timeout(REFRESH_TIMEOUT_MS / MS_PER_SECOND):
                    await self.read()
            self._refreshed_ms = self._clock.now_ms()

    async def wait_for_later(self, epoch: int, timeout_ms: float) -> bool:
        """Waits for a claim with a later epoch; returns whether there is one.

        Args:
            epoch: Epoch of an earlier claim.
            timeout_ms: Maximum time to wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                while not self._has_later(epoch):
                    await self._changed.wait()
        return self._has_later(epoch)

    def _has_later(self, epoch: int) -> bool:
        return self.latest is not None and self.latest.epoch > epoch

    def _note(self, claim: Claim) -> None:
        """Notes a claim that was read; replies may overtake each other."""
        if self.latest is not None and claim.epoch <= self.latest.epoch:
            return
        self.latest = claim
        self._changed.set()
        self._changed = asyncio.Event()
        self._on_claim(self._cell, claim)
