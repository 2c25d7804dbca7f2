"""Fencing of the previous owner of a cell and takeover of its leases."""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import MIN_CLOCK_RATE, EngineParams, lease_bound_ms
from limpetyard.node._handover import FenceResult
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import CLAIM_KEY, OWNERS_TOPIC
from limpetyard.store import Store, StoredRecord

# Delay before a previous owner that did not answer is fenced again.
FENCE_RETRY_MS = 100


class Predecessor:
    """Previous owner of a cell, as named by its claim.

    It is assumed to issue orders until it has been fenced.
    """

    __slots__ = (
        "_cell",
        "_claim",
        "_clock",
        "_fence_result",
        "_fenced_ms",
        "_is_latest",
        "_params",
        "_peers",
        "_read_ms",
        "_store",
    )

    def __init__(
        self,
        cell: int,
        store: Store,
        peers: PeerClient,
        clock: Clock,
        params: EngineParams,
    ):
        self._cell = cell
        self._store = store
        self._peers = peers
        self._clock = clock
        self._params = params
        self._claim: StoredRecord | None = None
        self._fence_result = FenceResult(False)
        self._fenced_ms = 0.0
        self._read_ms = 0.0
        # Whether no other claim lies between its claim and the new one.
        self._is_latest = False

    @property
    def fence_confirmed(self) -> bool:
        """Whether it is certain that the owner issues no more orders."""
        return self._fence_result.confirmed

    @property
    def epoch(self) -> int:
        """Epoch of the owner, or 0 if there was none."""
        return self._claim.offset + 1 if self._claim is not None else 0

    async def read(self) -> None:
        """Reads the claim of the previous owner.

        Must be called before the new owner appends its claim. A claim that has
        been read is kept: after an unanswered append the latest claim may be
        that of the new owner itself.

        Raises:
            StoreError: If the claims cannot be read.
        """
        if self._claim is not None:
            return
        self._read_ms = self._clock.now_ms()
        page = await self._store.read_latest(OWNERS_TOPIC, self._cell, "")
        for record in page.records:
            if record.key == CLAIM_KEY:
                self._claim = record

    async def fence(self, epoch: int) -> None:
        """Fences the previous owner and requests its remaining leases.

        If there is another claim between its claim and the new one, its owner
        has not been fenced, so the result counts as unconfirmed. Leases of any
        other epoch than that of the previous owner are discarded.

        Args:
            epoch: Epoch of the new ownership.
        """
        last_epoch = self.epoch
        self._is_latest = last_epoch == epoch - 1
        await self._fence_once(epoch, last_epoch)
        self._log_fencing(epoch, last_epoch)

    async def fence_until_certain(self, epoch: int) -> None:
        """Fences the previous owner again until it certainly issues no orders.

        That is so once it answers, and at the latest when it has not been
        confirmed as a member for its self-fencing time.

        Args:
            epoch: Epoch of the new ownership.
        """
        until_ms = self._read_ms + self._params.self_fence_ms
        while (
            self._is_latest
            and not self.fence_confirmed
            and self._clock.now_ms() < until_ms
        ):
            await asyncio.sleep(FENCE_RETRY_MS / MS_PER_SECOND)
            await self._fence_once(epoch, epoch - 1)
        if self.fence_confirmed:
            self._log_fencing(epoch, epoch - 1)

    async def _fence_once(self, epoch: int, last_epoch: int) -> None:
        result = FenceResult(True)
        if self._member:
            result = await self._peers.fence_owner(
                self._member, self._cell, epoch
            )
        leases = result.leases
        if not self._is_latest:
            result = FenceResult(False)
        elif leases is not None and leases.epoch != last_epoch:
            result = FenceResult(result.confirmed)
        self._fence_result = result
        self._fenced_ms = self._clock.now_ms()

    def _log_fencing(self, epoch: int, last_epoch: int) -> None:
        event(
            "owner_silenced",
            owner=self._member,
            last_epoch=last_epoch,
            epoch=epoch,
            silenced=self._fence_result.confirmed,
            leases_known=self._fence_result.leases is not None,
        )

    @property
    def _member(self) -> str:
        """Member name in the claim, or "" if there is none."""
        if self._claim is None:
            return ""
        return (self._claim.value or b"").decode(errors="replace")

    def latest_run_end_ms(self, worker: str) -> float:
        """Returns the latest time at which its runs may exist on a worker.

        If it reported no lease for the worker, this is a full lease from the
        time at which it certainly issued no more orders. The group assigned
        the cell to this node before the claims were read, so the previous owner
        was confirmed for the last time before that, unless another one has
        claimed the cell since.
        """
        leases = self._fence_result.leases
        if leases is not None and worker in leases.left_ms:
            left_ms = leases.left_ms[worker]
            return self._fenced_ms + left_ms / MIN_CLOCK_RATE
        lease_ms = lease_bound_ms(self._params.lease_ms)
        if self.fence_confirmed:
            return self._fenced_ms + lease_ms
        base_ms = self._read_ms if self._is_latest else self._clock.now_ms()
        return base_ms + self._params.self_fence_ms + lease_ms
