"""Idempotent producer for one partition."""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.store._errors import (
    FencedError,
    SequenceError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from limpetyard.store._interface import KeyedRecord, Producer, Store

# Delay before the retry of an unanswered append.
RETRY_DELAY_MS = 50


class Writer:
    """Producer for one partition with at most one append in flight.

    Retries of an unanswered append reuse its sequence number, so the store
    applies the append once however often it is sent.

    Attributes:
        unanswered_since_ms: Time of the first attempt of the append in
            flight, or None if there is none.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_lock",
        "_next_sequence",
        "_partition",
        "_producer_id",
        "_store",
        "_topic",
        "unanswered_since_ms",
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        topic: str,
        partition: int,
        producer_id: str,
        epoch: int,
    ):
        self._store = store
        self._clock = clock
        self._topic = topic
        self._partition = partition
        self._producer_id = producer_id
        self._epoch = epoch
        self._next_sequence = 0
        self._lock = asyncio.Lock()
        self.unanswered_since_ms: float | None = None

    async def fence(self) -> None:
        """Fences all producers with the same id and a lower epoch.

        Raises:
            FencedError: If the partition has seen a higher epoch.
            StoreError: If the call failed; it may be retried.
        """
        producer = Producer(self._producer_id, self._epoch, 0)
        await self._store.append(self._topic, self._partition, [], producer)

    async def append(
        self,
        records: list[KeyedRecord],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Appends records; retries until the outcome is known.

        Concurrent calls wait for each other.

        Args:
            records: Records to append.
            is_wanted: Returns whether an append without an answer is to be
                retried.

        Raises:
            FencedError: If the partition has seen a higher epoch. An earlier
                attempt of this call may have been applied.
            StoreRefusedError: If the store refused the append; nothing was
                appended.
            StoreOutcomeUnknownError: If the append was abandoned. It may have
                been applied, but is not applied after this.
        """
        async with self._lock:
            self.unanswered_since_ms = self._clock.now_ms()
            try:
                await self._append(records, is_wanted)
            finally:
                self.unanswered_since_ms = None

    async def _append(
        self, records: list[KeyedRecord], is_wanted: Callable[[], bool]
    ) -> None:
        """Sends one append until its outcome is known, or it is abandoned.

        A refused retry does not show whether an earlier attempt was applied.
        A retry that finds the next sequence number expected shows that one was.
        """
        is_retry = False
        while True:
            producer = Producer(
                self._producer_id, self._epoch, self._next_sequence
            )
            try:
                await self._store.append(
                    self._topic, self._partition, records, producer
                )
            except StoreOutcomeUnknownError as exc:
                is_retry = True
                event("append_unanswered", topic=self._topic, reason=exc)
            except StoreRefusedError:
                if not is_retry:
                    raise
            except SequenceError as exc:
                if not is_retry or exc.expected != self._next_sequence + 1:
                    raise
                break
            else:
                break
            if not is_wanted():
                await self._abandon()
                raise StoreOutcomeUnknownError("nobody waits for it any more")
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
        self._next_sequence += 1

    async def _abandon(self) -> None:
        """Starts the next epoch, so that no unanswered attempt is applied.

        Raises:
            FencedError: If the partition has seen a higher epoch.
        """
        self._epoch += 1
        self._next_sequence = 0
        while True:
            try:
                await self.fence()
            except FencedError:
                raise
            except StoreError as exc:
                event("fence_unanswered", topic=self._topic, reason=exc)
                await asyncio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            else:
                return
