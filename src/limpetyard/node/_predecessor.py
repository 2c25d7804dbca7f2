"""Fencing of the previous owners of a cell and takeover of their leases.

Two bounds hold for the orders of earlier owners. If the latest one that may
have ordered answers, it knows its leases and how long an owner before it may
order. For all others, whatever has become of them, the bound follows from when
the new owner held the cell and from the replies of their witnesses.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    MAX_ORDER_DELAY_MS,
    MIN_CLOCK_RATE,
    EngineParams,
    StaleLeases,
    lease_bound_ms,
)
from limpetyard.jobs import StartDoubt, TaskHistory, TaskKey
from limpetyard.node._handover import (
    FenceResult,
    RemainingLeases,
    shift_histories,
)
from limpetyard.node._peers import PeerClient
from limpetyard.node._store_layout import (
    CLAIM_KEY,
    OWNERS_TOPIC,
    member_address,
    member_confirms_by_claims,
    member_keeps_answers,
    member_needs_witnesses,
    member_stores_places,
)
from limpetyard.node._witness import Witness
from limpetyard.store import Store, StoredRecord, StoreError

# Delay before a previous owner that did not answer is fenced again.
FENCE_RETRY_MS = 100

# Maximum number of earlier owners whose witnesses are asked. If there are more,
# the bound without witnesses holds.
MAX_UNSETTLED = 32

# Parameter that limits the leases of a confirmed incarnation.
_LEASES = {
    StaleLeases.EXPIRED: "lease_ms",
    StaleLeases.BOUNDED: "longest_lease_ms",
}


class Predecessor:
    """Previous owners of a cell, the latest that may have ordered above all.

    The owners are known by their claims. Those that say that they have lost the
    cell before they loaded it are passed over. The latest other one is assumed
    to issue orders until it has been fenced.

    Attributes:
        claims: Member names in claims before that of the new owner, by epoch,
            as far as known.
        fence_ended: Set once `fence` has ended.
        unleased_epoch: Epoch of the owner that has stored `unleased_ends_ms`.
        unleased_ends_ms: Latest time at which runs of that owner, or of earlier
            ones, may exist on workers to which it grants no lease, by id.
        witnesses: Addresses of the witnesses of earlier owners, by epoch.
        held_ms: Time after which no earlier owner was confirmed; None while it
            is not known.
        settled_epoch: Epoch of an owner that knew that no owner before it
            issues orders, 0 if there was none; None before it has been read.
    """

    __slots__ = (
        "_cell",
        "_clock",
        "_epoch",
        "_fence_result",
        "_fenced_ms",
        "_new_epoch",
        "_params",
        "_peers",
        "_read_ms",
        "_reports",
        "_store",
        "_untold",
        "_witness",
        "_witness_ends_ms",
        "claims",
        "fence_ended",
        "held_ms",
        "settled_epoch",
        "unleased_ends_ms",
        "unleased_epoch",
        "witnesses",
    )

    def __init__(
        self,
        cell: int,
        store: Store,
        peers: PeerClient,
        clock: Clock,
        params: EngineParams,
        witness: Witness | None = None,
    ):
        """Initializes the previous owners.

        Args:
            cell: Number of the cell.
            store: Store of the claims.
            peers: Client of other nodes.
            clock: Clock for all times.
            params: Time limits of all owners.
            witness: Witness of the process of the new owner, which is asked
                without a call; None if it is none.
        """
        self.claims: dict[int, str] = {}
        self.fence_ended = asyncio.Event()
        self.unleased_epoch = 0
        self.unleased_ends_ms: dict[str, float] = {}
        self.witnesses: dict[int, list[str]] = {}
        self.held_ms: float | None = None
        self.settled_epoch: int | None = None
        self._cell = cell
        self._store = store
        self._peers = peers
        self._clock = clock
        self._params = params
        self._new_epoch = 0
        # Epoch of the owner that the result of fencing is about.
        self._epoch = 0
        self._fence_result = FenceResult(False)
        self._fenced_ms: float | None = None
        # Replies that tell which tasks have no run, and when they arrived.
        self._reports: list[tuple[RemainingLeases, float]] = []
        # Tasks of which the owners that replied were not told.
        self._untold: frozenset[TaskKey] = frozenset()
        self._read_ms: float | None = None
        self._witness = witness
        # Latest time of an order that a witness, or an owner that has ended,
        # may have extended or issued, by address.
        self._witness_ends_ms: dict[str, float] = {}

    @property
    def fence_confirmed(self) -> bool:
        """Whether the latest owner that may have ordered has ended.

        Owners before it may still issue orders; see `orders_end_ms`.
        """
        return self._fence_result.confirmed

    @property
    def unstarted_tasks(self) -> tuple[TaskKey, ...]:
        """Tasks of which earlier owners reported that they have no run."""
        return tuple(
            key for leases, _ in self._reports for key in leases.unstarted
        )

    @property
    def task_histories(self) -> tuple[TaskHistory, ...]:
        """What these owners knew of the earlier runs of these tasks."""
        return tuple(
            history
            for leases, replied_ms in self._reports
            for history in shift_histories(leases.histories, replied_ms)
        )

    @property
    def start_doubts(self) -> Iterator[tuple[TaskKey, StartDoubt, float]]:
        """Doubts of these owners, and the times after which they are over.

        The clocks of nodes may differ, so that a start counts as sent later.
        """
        for leases, replied_ms in self._reports:
            for handed in leases.doubts:
                sent_ms = replied_ms - handed.age_ms * MIN_CLOCK_RATE
                until_ms = replied_ms + handed.left_ms / MIN_CLOCK_RATE
                doubt = StartDoubt(handed.worker, handed.born, sent_ms)
                yield handed.task, doubt, until_ms

    @property
    def pending_starts(self) -> Iterator[tuple[str, TaskKey, float]]:
        """Starts without a reply: worker, task and when each was sent at last.

        The clocks of nodes may differ, so that they count as sent later.
        """
        for leases, replied_ms in self._reports:
            for start in leases.pending_starts:
                sent_ms = replied_ms - start.age_ms * MIN_CLOCK_RATE
                yield start.worker, start.task, sent_ms

    @property
    def orders_end_ms(self) -> float:
        """Latest time at which any earlier owner may issue an order."""
        end_ms = self._witnessed_end_ms()
        leases = self._fence_result.leases
        if leases is None:
            return end_ms
        left_ms = leases.orders_left_ms
        return min(end_ms, self._fenced_ms + left_ms / MIN_CLOCK_RATE)

    def _witnessed_end_ms(self) -> float:
        """Returns the latest time of an order, without what owners replied.

        No earlier owner was confirmed after `held_ms`. It stops some time
        later unless all its witnesses extend that; each of them knows by how
        much it did.
        """
        if self._fenced_ms is not None and not self._epoch:
            return self._fenced_ms
        if self.held_ms is None or not self._new_epoch:
            return float("inf")
        params = self._params
        longest_ms = self.held_ms + params.self_fence_ms / MIN_CLOCK_RATE
        end_ms = self.held_ms + params.unwitnessed_ms / MIN_CLOCK_RATE
        unsettled = self._unsettled_epochs()
        if unsettled is None:
            return longest_ms
        for owner_epoch in unsettled:
            member = self.claims.get(owner_epoch)
            if member is None or not member_needs_witnesses(member):
                return longest_ms
            ends_ms = [
                self._witness_ends_ms[address]
                for address in self._addresses_to_ask(owner_epoch)
                if address in self._witness_ends_ms
            ]
            # Without stored witnesses, its orders were never extended.
            if owner_epoch in self.witnesses:
                end_ms = max(end_ms, min(ends_ms, default=longest_ms))
        return min(end_ms, longest_ms)

    async def find_held(
        self,
        epoch: int,
        claimed_ms: float,
        read_holder: Callable[[], Awaitable[str]],
    ) -> None:
        """Determines `held_ms`, if that is possible now.

        No read that is sent after the reply to the new claim shows an earlier
        one as the latest. Only an owner of an earlier release is confirmed by
        joins, without a read of the claims, as long as it holds the partition
        of the cell.

        Args:
            epoch: Epoch of the new ownership.
            claimed_ms: When the reply to its claim arrived.
            read_holder: Reads which member holds the partition of the cell;
                returns "" if that is not known.
        """
        epochs = self._unsettled_epochs()
        if epochs is not None:
            members = [await self._member_of(e, epoch) or "" for e in epochs]
            if all(map(member_confirms_by_claims, members)):
                self.held_ms = claimed_ms
                return
        if member_confirms_by_claims(await read_holder()):
            self.held_ms = self._clock.now_ms()

    def _unsettled_epochs(self) -> range | None:
        """Returns the epochs of earlier owners that may still issue orders.

        Returns None if they are unknown or too many.
        """
        if self.settled_epoch is None:
            return None
        epochs = range(max(self.settled_epoch, 1), self._new_epoch)
        return epochs if len(epochs) <= MAX_UNSETTLED else None

    def _addresses_to_ask(self, owner_epoch: int) -> list[str]:
        """Returns the addresses at which a reply shows when an owner stops.

        These are its own, as a process that replies there has ended the
        ownership or succeeded it, and those of its witnesses. There are none
        if it has no witnesses.
        """
        if owner_epoch not in self.witnesses:
            return []
        own = member_address(self.claims.get(owner_epoch, ""))
        return [a for a in (own, *self.witnesses[owner_epoch]) if a]

    async def read(self) -> int:
        """Reads the latest claim and returns its epoch, 0 without any.

        Must be called before the new owner appends its claim. What has been
        read is kept: after an unanswered append the latest claim may be that of
        the new owner itself.

        Raises:
            StoreError: If the claims cannot be read.
        """
        if self._read_ms is None:
            page = await self._store.read_latest(OWNERS_TOPIC, self._cell, "")
            self._add_claims(page.records)
            self._read_ms = self._clock.now_ms()
        return max(self.claims, default=0)

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

    async def answers_kept_since(self, lowest: int, epoch: int) -> int:
        """Returns the first epoch after which all owners keep to answers.

        See `ANSWERS_MARK`. What the owner of that epoch has stored counts, too.

        Args:
            lowest: Lowest epoch that matters.
            epoch: Epoch of the new ownership.
        """
        for owner_epoch in range(epoch - 1, lowest, -1):
            member = await self._member_of(owner_epoch, epoch)
            if member is None or not member_keeps_answers(member):
                return owner_epoch
        return lowest

    async def fence(self, epoch: int) -> None:
        """Fences the previous owners and requests the remaining leases.

        Passes over owners that have never loaded the cell.

        Args:
            epoch: Epoch of the new ownership.
        """
        self._new_epoch = epoch
        try:
            await self._fence_once(epoch)
        finally:
            self.fence_ended.set()
        self._log_fencing(epoch)

    def log_bounds(self, epoch: int) -> None:
        """Logs until when earlier owners may issue orders."""
        left_ms = self.orders_end_ms - self._clock.now_ms()
        event(
            "orders_bounded",
            cell=self._cell,
            epoch=epoch,
            orders_left_ms=max(0.0, left_ms),
            settled_epoch=self.settled_epoch,
            unleased=len(self._known_ends_ms),
        )

    @property
    def is_certain(self) -> bool:
        """Whether earlier owners issue no more orders."""
        return self._clock.now_ms() >= self.orders_end_ms

    async def fence_again(self, epoch: int) -> None:
        """Fences the previous owner again, and asks witnesses.

        Args:
            epoch: Epoch of the new ownership.
        """
        await asyncio.sleep(FENCE_RETRY_MS / MS_PER_SECOND)
        await asyncio.gather(
            self._ask_witnesses(epoch),
            asyncio.sleep(0) if self.fence_confirmed else self._retry(epoch),
        )

    async def _retry(self, epoch: int) -> None:
        await self._fence_once(epoch)
        if self.fence_confirmed:
            self._log_fencing(epoch)

    @property
    def is_told(self) -> bool:
        """Whether earlier owners have told which tasks have no run."""
        return self.fence_confirmed and not self._untold

    async def ask_untold(self, epoch: int) -> None:
        """Asks earlier owners about tasks of which the fenced one was not told.

        What one of them reports holds if no later one has started the task.

        Args:
            epoch: Epoch of the new ownership.
        """
        if not self._untold:
            return
        owner_epoch, untold = self._epoch, self._untold
        reports = self._reports[:1]
        while untold:
            owner_epoch, result, replied_ms = await self._fence_below(
                owner_epoch, epoch
            )
            leases = result.leases
            if leases is None:
                break
            reports.append((leases.unstarted_among(untold), replied_ms))
            untold = untold.intersection(leases.untold)
        else:
            self._untold = frozenset()
        self._reports = reports

    async def _ask_witnesses(self, epoch: int) -> None:
        """Asks the witnesses of earlier owners that have not replied yet."""
        addresses: set[str] = set()
        # From the first one on, as the claims are read from there in one call.
        for owner_epoch in self._unsettled_epochs() or ():
            if await self._member_of(owner_epoch, epoch) is None:
                return
            addresses.update(self._addresses_to_ask(owner_epoch))
        addresses.difference_update(self._witness_ends_ms)
        await asyncio.gather(*(self._ask(a, epoch) for a in sorted(addresses)))

    async def _ask(self, address: str, epoch: int) -> None:
        if self._witness is not None and address == self._witness.address:
            left_ms = self._witness.withhold(self._cell, epoch)
        else:
            left_ms = await self._peers.fence_witness(
                address, self._cell, epoch
            )
        if left_ms is not None:
            end_ms = self._clock.now_ms() + left_ms / MIN_CLOCK_RATE
            self._witness_ends_ms[address] = end_ms

    async def _fence_once(self, epoch: int) -> None:
        """Fences owners, from the latest to one that may have ordered."""
        owner_epoch, result, fenced_ms = await self._fence_below(epoch, epoch)
        self._epoch = owner_epoch
        self._fence_result = result
        self._fenced_ms = fenced_ms
        if result.leases is not None:
            self._reports = [(result.leases, fenced_ms)]
            self._untold = frozenset(result.leases.untold)

    async def _fence_below(
        self, limit: int, epoch: int
    ) -> tuple[int, FenceResult, float]:
        """Fences owners, from some epoch down to one that may have ordered.

        Args:
            limit: Epoch below which to begin.
            epoch: Epoch of the new ownership.

        Returns:
            Epoch of the last of them, the result, and when it was there.
        """
        result = FenceResult(True)
        fenced_ms = self._clock.now_ms()
        owner_epoch = 0
        for owner_epoch in range(limit - 1, 0, -1):
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
        return owner_epoch, result, fenced_ms

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
    def _known_ends_ms(self) -> dict[str, float]:
        """`unleased_ends_ms`, unless a later owner may have granted leases."""
        is_latest = self._epoch == self.unleased_epoch
        if self._fenced_ms is None or not is_latest:
            return {}
        return self.unleased_ends_ms

    def may_have_ordered(self, worker: str) -> bool:
        """Returns whether earlier owners may have sent orders to a worker."""
        if self._fenced_ms is not None and not self._epoch:
            return False
        leases = self._fence_result.leases
        if leases is None or leases.orders_left_ms:
            # The leases of such orders may last though no more are sent.
            return True
        return worker in leases.left_ms

    def stale_lease_end_ms(self, worker: str) -> float:
        """Returns the latest end of stale leases of a recorded incarnation.

        See `limpetyard.engine.Worker.stale_lease_end_ms`. Infinite if the
        previous owner did not report it.
        """
        leases = self._fence_result.leases
        if leases is None or leases.stale_left_ms is None:
            return float("inf")
        left_ms = leases.stale_left_ms.get(worker, 0.0)
        if left_ms is None:
            return float("inf")
        return self._fenced_ms + left_ms / MIN_CLOCK_RATE

    def _reported_stale(self, worker: str) -> bool:
        """Returns whether the previous owner reported stale leases.

        It may know an incarnation that is later than the recorded one: a poll
        shows it before its directory entry does.
        """
        leases = self._fence_result.leases
        if leases is None or leases.stale_left_ms is None:
            return False
        return worker in leases.stale_left_ms

    def latest_stale_run_end_ms(
        self, orders_end_ms: float | None = None
    ) -> float:
        """Returns the latest time of earlier runs on a restarted worker.

        What earlier owners knew of its leases says nothing of the current
        incarnation, which may accept orders to the earlier one until they can
        no longer be carried out late.

        Args:
            orders_end_ms: The attribute, if the caller has just read it.
        """
        if orders_end_ms is None:
            orders_end_ms = self.orders_end_ms
        longest_ms = lease_bound_ms(self._params.longest_lease_ms)
        return orders_end_ms + MAX_ORDER_DELAY_MS + longest_ms

    def latest_run_end_ms(
        self,
        worker: str,
        stale_leases: StaleLeases = StaleLeases.EXPIRED,
        orders_end_ms: float | None = None,
    ) -> float:
        """Returns the latest time at which earlier runs may exist on a worker.

        If the previous owner reported no lease for the worker, this is a full
        lease from the latest time at which an earlier owner may order.

        Args:
            worker: Id of a worker whose incarnation is recorded.
            stale_leases: Stale leases of that incarnation.
            orders_end_ms: The attribute, if the caller has just read it for
                all workers.
        """
        if orders_end_ms is None:
            orders_end_ms = self.orders_end_ms
        if stale_leases is StaleLeases.EXPIRED and self._reported_stale(worker):
            stale_leases = StaleLeases.POSSIBLE
        end_ms = self.latest_stale_run_end_ms(orders_end_ms)
        if stale_leases is not StaleLeases.POSSIBLE:
            lease_ms = getattr(self._params, _LEASES[stale_leases])
            end_ms = orders_end_ms + lease_bound_ms(lease_ms)
        leases = self._fence_result.leases
        if leases is None or worker not in leases.left_ms:
            return min(end_ms, self._known_ends_ms.get(worker, end_ms))
        may_be_stale = stale_leases is not StaleLeases.EXPIRED
        if may_be_stale and leases.stale_left_ms is None:
            # An owner of an earlier release counts no stale leases.
            return end_ms
        # Later than what it stored, perhaps of an earlier incarnation.
        left_ms = leases.left_ms[worker]
        return min(end_ms, self._fenced_ms + left_ms / MIN_CLOCK_RATE)
