"""Fencing of the previous owners of a cell and takeover of their leases."""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import MIN_CLOCK_RATE, EngineParams, lease_bound_ms
from limpetyard.node._handover import FenceResult
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import (
    CLAIM_KEY,
    OWNERS_TOPIC,
    member_stores_places,
)
from limpetyard.store import Store, StoredRecord, StoreError

# Delay before a previous owner that did not answer is fenced again.
FENCE_RETRY_MS = 100


class Predecessor:
    """Latest previous owner of a cell that may have issued orders.

    The owners are known by their claims. Those that say that they have lost the
    cell before they loaded it are passed over. The latest other one is assumed
    to issue orders until it has been fenced.

    Attributes:
        claims: Member names in claims before that of the new owner, by epoch,
            as far as known.
        fence_ended: Set once `fence` has ended.
    """

    __slots__ = (
        "_cell",
        "_clock",
        "_epoch",
        "_fence_result",
        "_fenced_ms",
        "_params",
        "_peers",
        "_read_epoch",
        "_read_ms",
        "_store",
        "claims",
        "fence_ended",
    )

    def __init__(
        self,
        cell: int,
        store: Store,
        peers: PeerClient,
        clock: Clock,
        params: EngineParams,
    ):
        self.claims: dict[int, str] = {}
        self.fence_ended = asyncio.Event()
        self._cell = cell
        self._store = store
        self._peers = peers
        self._clock = clock
        self._params = params
        # Epoch of the owner that the result of fencing is about.
        self._epoch = 0
        self._fence_result = FenceResult(False)
        self._fenced_ms: float | None = None
        # Epoch of the latest claim before that of the new owner was appended,
        # and when it was read.
        self._read_epoch = 0
        self._read_ms: float | None = None

    @property
    def fence_confirmed(self) -> bool:
        """Whether it is certain that the owner issues no more orders."""
        return self._fence_result.confirmed

    @property
    def orders_end_ms(self) -> float:
        """Time until which an owner before it may issue orders.

        Valid if fencing is confirmed.
        """
        leases = self._fence_result.leases
        left_ms = leases.orders_left_ms if leases is not None else 0.0
        return self._fenced_ms + left_ms / MIN_CLOCK_RATE

    async def read(self) -> None:
        """Reads the latest claim.

        Must be called before the new owner appends its claim. What has been
        read is kept: after an unanswered append the latest claim may be that of
        the new owner itself.

        Raises:
            StoreError: If the claims cannot be read.
        """
        if self._read_ms is not None:
            return
        read_ms = self._clock.now_ms()
        page = await self._store.read_latest(OWNERS_TOPIC, self._cell, "")
        self._add_claims(page.records)
        self._read_epoch = max(self.claims, default=0)
        self._read_ms = read_ms

    def _add_claims(self, records: list[StoredRecord]) -> None:
        for record in records:
            if record.key == CLAIM_KEY:
                member = (record.value or b"").decode(errors="replace")
                self.claims[record.offset + 1] = member

    async def _member_of(self, owner_epoch: int, epoch: int) -> str | None:
        """Returns the member in the claim of an epoch, or None if unknown.

        Reads the claims from the latest known one before it on if it is not
        known. Earlier ones may have been trimmed.

        Args:
            owner_epoch: The epoch.
            epoch: Epoch of the new ownership.
        """
        if owner_epoch not in self.claims:
            earlier = [known for known in self.claims if known < owner_epoch]
            # The claim of an epoch is at the offset before it.
            offset = max(earlier, default=owner_epoch - 1)
            try:
                page = await self._store.read(
                    OWNERS_TOPIC, self._cell, offset, wait_ms=0
                )
            except StoreError as exc:
                event("claims_unread", epoch=epoch, reason=exc)
            else:
                self._add_claims(
                    [r for r in page.records if r.offset < epoch - 1]
                )
        return self.claims.get(owner_epoch)

    async def all_store_places(self, after_epoch: int, epoch: int) -> bool:
        """Returns whether all owners since another one store places.

        That is the place of each long-running task before it is started there.

        Args:
            after_epoch: Epoch of the other one.
            epoch: Epoch of the new ownership.
        """
        for owner_epoch in range(epoch - 1, after_epoch, -1):
            member = await self._member_of(owner_epoch, epoch)
            if member is None or not member_stores_places(member):
                return False
        return True

    async def fence(self, epoch: int) -> None:
        """Fences the previous owners and requests the remaining leases.

        Passes over owners that have never loaded the cell.

        Args:
            epoch: Epoch of the new ownership.
        """
        try:
            await self._fence_once(epoch)
        finally:
            self.fence_ended.set()
        self._log_fencing(epoch)

    async def fence_until_certain(self, epoch: int) -> None:
        """Fences the previous owner again until it certainly issues no orders.

        That is so once it answers, and at the latest when it has not been
        confirmed as a member for its self-fencing time.

        Args:
            epoch: Epoch of the new ownership.
        """
        until_ms = self._confirmed_until_ms + self._params.self_fence_ms
        while not self.fence_confirmed and self._clock.now_ms() < until_ms:
            await asyncio.sleep(FENCE_RETRY_MS / MS_PER_SECOND)
            await self._fence_once(epoch)
        if self.fence_confirmed:
            self._log_fencing(epoch)

    async def _fence_once(self, epoch: int) -> None:
        """Fences owners, from the latest to one that may have ordered."""
        result = FenceResult(True)
        fenced_ms = self._clock.now_ms()
        owner_epoch = 0
        for owner_epoch in range(epoch - 1, 0, -1):
            result = FenceResult(False)
            member = await self._member_of(owner_epoch, epoch)
            if member is None:
                break
            result = await self._peers.fence_owner(member, self._cell, epoch)
            fenced_ms = self._clock.now_ms()
            leases = result.leases
            if leases is None or leases.epoch == owner_epoch:
                break
            # Leases of another ownership say nothing of this owner's runs.
            result = FenceResult(result.confirmed)
            if leases.member != member or leases.epoch > owner_epoch:
                break
            # This owner has never loaded the cell.
            self.claims = leases.claims | self.claims
        self._epoch = owner_epoch
        self._fence_result = result
        self._fenced_ms = fenced_ms

    def _log_fencing(self, epoch: int) -> None:
        event(
            "owner_silenced",
            owner=self.claims.get(self._epoch, ""),
            last_epoch=self._epoch,
            epoch=epoch,
            silenced=self._fence_result.confirmed,
            leases_known=self._fence_result.leases is not None,
        )

    @property
    def _confirmed_until_ms(self) -> float:
        """Latest time at which the owner was confirmed as a member.

        The group assigned the cell to this node before the claims were read.
        Nothing is known of owners that have claimed it since. Until a fence has
        ended, any of them may be the previous one.
        """
        if self._fenced_ms is not None and self._epoch <= self._read_epoch:
            return self._read_ms
        return self._clock.now_ms()

    def latest_run_end_ms(self, worker: str) -> float:
        """Returns the latest time at which its runs may exist on a worker.

        If it reported no lease for the worker, this is a full lease from the
        time at which it certainly issued no more orders.
        """
        leases = self._fence_result.leases
        if leases is not None and worker in leases.left_ms:
            left_ms = leases.left_ms[worker]
            return self._fenced_ms + left_ms / MIN_CLOCK_RATE
        lease_ms = lease_bound_ms(self._params.lease_ms)
        if self.fence_confirmed:
            return self._fenced_ms + lease_ms
        return self._confirmed_until_ms + self._params.self_fence_ms + lease_ms
