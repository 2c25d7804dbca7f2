"""Fencing of the previous owner of a cell and takeover of its leases."""

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import MIN_CLOCK_RATE, EngineParams, lease_bound_ms
from limpetyard.node._handover import FenceResult
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import CLAIM_KEY, OWNERS_TOPIC
from limpetyard.store import Store, StoredRecord


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
        "_params",
        "_peers",
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

    @property
    def fence_confirmed(self) -> bool:
        """Whether it is certain that the owner issues no more orders."""
        return self._fence_result.confirmed

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
        member, last_epoch = "", 0
        if self._claim is not None:
            member = (self._claim.value or b"").decode(errors="replace")
            last_epoch = self._claim.offset + 1
        result = FenceResult(True)
        if member:
            result = await self._peers.fence_owner(member, self._cell, epoch)
        leases = result.leases
        if last_epoch != epoch - 1:
            result = FenceResult(False)
        elif leases is not None and leases.epoch != last_epoch:
            result = FenceResult(result.confirmed)
        self._fence_result = result
        self._fenced_ms = self._clock.now_ms()
        event(
            "owner_silenced",
            owner=member,
            last_epoch=last_epoch,
            epoch=epoch,
            silenced=result.confirmed,
            leases_known=result.leases is not None,
        )

    def latest_run_end_ms(self, worker: str) -> float:
        """Returns the latest time at which its runs may exist on a worker.

        If it reported no lease for the worker, this is a full lease from now
        on, plus the self-fencing time if it may still issue orders.
        """
        leases = self._fence_result.leases
        if leases is not None and worker in leases.left_ms:
            left_ms = leases.left_ms[worker]
            return self._fenced_ms + left_ms / MIN_CLOCK_RATE
        until_ms = self._clock.now_ms() + lease_bound_ms(self._params.lease_ms)
        if not self.fence_confirmed:
            until_ms += self._params.self_fence_ms
        return until_ms
