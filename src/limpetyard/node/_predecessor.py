"""The owner before this one: made to stop, and asked what it left."""

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import MIN_CLOCK_RATE, EngineParams, lease_bound_ms
from limpetyard.node._handover import FenceResult
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import CLAIM_KEY, OWNERS_TOPIC
from limpetyard.store import Store, StoredRecord


class Predecessor:
    """The last owner of a cell, as far as its claim names it.

    Until it has answered it counts as still giving orders.
    """

    __slots__ = (
        "_cell",
        "_claim",
        "_clock",
        "_peers",
        "_silenced",
        "_silenced_ms",
        "_store",
        "_terms",
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
        self._terms = params
        self._claim: StoredRecord | None = None
        self._silenced = FenceResult(False)
        self._silenced_ms = 0.0

    @property
    def fence_confirmed(self) -> bool:
        """Whether it gives no more orders."""
        return self._silenced.confirmed

    async def read(self) -> None:
        """Reads who it is; must come before the new owner's claim.

        What was read once stays: after a claim without an answer the newest
        one may be that of the new owner itself.

        Raises:
            StoreError: If the claims cannot be read.
        """
        if self._claim is not None:
            return
        page = await self._store.newest(OWNERS_TOPIC, self._cell, "")
        for record in page.records:
            if record.key == CLAIM_KEY:
                self._claim = record

    async def fence_owner(self, epoch: int) -> None:
        """Has it stop, and asks for its leases.

        Another claim between its own and the new one is of an owner that
        nobody has silenced.

        Args:
            epoch: Epoch of the new ownership.
        """
        member, last_epoch = "", 0
        if self._claim is not None:
            member = (self._claim.value or b"").decode(errors="replace")
            last_epoch = self._claim.offset + 1
        silenced = FenceResult(True)
        if member:
            silenced = await self._peers.fence_owner(member, self._cell, epoch)
        leases = silenced.leases
        if last_epoch != epoch - 1:
            silenced = FenceResult(False)
        elif leases is not None and leases.epoch != last_epoch:
            silenced = FenceResult(silenced.confirmed)
        self._silenced = silenced
        self._silenced_ms = self._clock.now_ms()
        event(
            "owner_silenced",
            owner=member,
            last_epoch=last_epoch,
            epoch=epoch,
            silenced=silenced.confirmed,
            leases_known=silenced.leases is not None,
        )

    def runs_until(self, worker: str) -> float:
        """Returns until when a run that it ordered may exist on a worker."""
        leases = self._silenced.leases
        if leases is not None and worker in leases.left_ms:
            left_ms = leases.left_ms[worker]
            return self._silenced_ms + left_ms / MIN_CLOCK_RATE
        until_ms = self._clock.now_ms() + lease_bound_ms(self._terms.lease_ms)
        if not self.fence_confirmed:
            until_ms += self._terms.self_fence_ms
        return until_ms
