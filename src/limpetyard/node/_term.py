"""One claim of a cell, and what confirms it.

The offset of the claim is the epoch. An owner is confirmed, as of the send time
of a call, by a reply that shows its claim as the latest one. So none is
confirmed after the reply to a later claim.
"""

import asyncio
import contextlib
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.node._claims import ClaimsFollower
from limpetyard.node._order_permit import OrderPermit
from limpetyard.node._store_layout import CLAIM_KEY, OWNERS_TOPIC
from limpetyard.store import KeyedRecord, Store, StoreError

# Minimum time between two reads of the claims that are asked for.
MIN_INTERVAL_MS = 50


class SupersededError(Exception):
    """Another node has claimed the cell first."""


class Term:
    """Claim of a cell by this process, and its confirmation.

    Attributes:
        epoch: Epoch of the claim, 0 before the reply to it.
        claimed_ms: When the reply to the claim arrived, None before that.
    """

    __slots__ = (
        "_after_epoch",
        "_cell",
        "_claims",
        "_clock",
        "_confirmation_due",
        "_interval_ms",
        "_is_retry",
        "_is_superseded",
        "_member",
        "_permit",
        "_read_sent_ms",
        "_store",
        "claimed_ms",
        "epoch",
    )

    def __init__(
        self,
        cell: int,
        member: str,
        after_epoch: int,
        store: Store,
        claims: ClaimsFollower,
        permit: OrderPermit,
        clock: Clock,
        interval_ms: float,
    ):
        """Initializes a term.

        Args:
            cell: Number of the cell.
            member: Member name of this process.
            after_epoch: Epoch of the claim that this one follows.
            store: Store of the claims.
            claims: Claims of the cell.
            permit: Permission to order that confirmations renew.
            clock: Clock for all times.
            interval_ms: Time between two reads of the claims.
        """
        self.epoch = 0
        self.claimed_ms: float | None = None
        self._cell = cell
        self._member = member
        self._after_epoch = after_epoch
        self._store = store
        self._claims = claims
        self._permit = permit
        self._clock = clock
        self._interval_ms = interval_ms
        self._is_retry = False
        self._is_superseded = False
        self._confirmation_due = asyncio.Event()
        self._read_sent_ms = float("-inf")

    async def claim(self, latest_epoch: int) -> None:
        """Appends the claim; may be called again after a StoreError.

        Args:
            latest_epoch: Epoch of the latest claim, as read before this.

        Raises:
            SupersededError: If there is a later claim than the one that this
                one is to follow.
            StoreError: If the claim got no usable reply.
        """
        if self._is_retry:
            latest = await self._claims.read()
            # An attempt without a reply may have been executed.
            is_own = latest.member == self._member
            latest_epoch = self._after_epoch if is_own else latest.epoch
        if latest_epoch != self._after_epoch:
            raise SupersededError(f"epoch {latest_epoch} has claimed the cell")
        self._is_retry = True
        record = KeyedRecord(CLAIM_KEY, self._member.encode())
        sent_ms = self._clock.now_ms()
        offset = await self._store.append(OWNERS_TOPIC, self._cell, [record])
        self.epoch = offset + 1
        self.claimed_ms = self._clock.now_ms()
        self._permit.confirm(sent_ms)

    async def confirm_repeatedly(
        self,
        end: Callable[[str], None],
        on_confirmed: Callable[[], None] = lambda: None,
    ) -> None:
        """Reads the claims at the interval until there is a later one.

        Also reads them when `confirm_after` asks for it. Slow replies do not
        lengthen the interval: reads overlap, as many as their time-out allows.

        Args:
            end: Called with the reason when there is a later claim.
            on_confirmed: Called after a read that was asked for.
        """
        async with asyncio.TaskGroup() as reads:
            while not self._is_superseded:
                read = reads.create_task(self._confirm(end))
                if self._confirmation_due.is_set():
                    self._confirmation_due.clear()
                    read.add_done_callback(lambda _: on_confirmed())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        self._interval_ms / MS_PER_SECOND
                    ):
                        await self._confirmation_due.wait()

    def confirm_after(self, at_ms: float) -> None:
        """Reads the claims now, unless they were read lately or after a time.

        Args:
            at_ms: A time that has passed, and for which it matters whether
                there was a later claim by then.
        """
        lately_ms = self._clock.now_ms() - MIN_INTERVAL_MS
        if self._read_sent_ms <= min(at_ms, lately_ms):
            self._confirmation_due.set()

    async def _confirm(self, end: Callable[[str], None]) -> None:
        sent_ms = self._read_sent_ms = self._clock.now_ms()
        try:
            latest = await self._claims.read()
        except StoreError as exc:
            event("claims_unread", epoch=self.epoch, reason=exc)
            return
        if latest.epoch <= self.epoch:
            self._permit.confirm(sent_ms)
        elif not self._is_superseded:
            self._is_superseded = True
            end(f"epoch {latest.epoch} has claimed the cell")
