"""Appends batches of records in order, each exactly once."""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.store._errors import (
    SequenceError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from limpetyard.store._interface import KeyedRecord, Producer, Store

# Pause before an unanswered append is repeated.
REPEAT_MS = 50


class Writer:
    """A producer of one partition with at most one append under way.

    An append without an answer is repeated under its sequence number, so that
    it stands once however often it is sent.

    Attributes:
        waiting_since_ms: Sending time of the oldest append without an answer,
            or None.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_id",
        "_lock",
        "_next",
        "_part",
        "_store",
        "_topic",
        "waiting_since_ms",
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
        self._part = partition
        self._id = producer_id
        self._epoch = epoch
        self._next = 0
        self._lock = asyncio.Lock()
        self.waiting_since_ms: float | None = None

    async def fence(self) -> None:
        """Shuts out all lower epochs.

        Raises:
            FencedError: If there is a higher epoch.
            StoreError: If the call failed; it may be repeated.
        """
        producer = Producer(self._id, self._epoch, 0)
        await self._store.append(self._topic, self._part, [], producer)

    async def append(self, records: list[KeyedRecord]) -> None:
        """Appends records, repeating the append until its outcome is known.

        Raises:
            FencedError: If there is a higher epoch; nothing was appended by
                this call unless an earlier sending of it was.
            StoreRefusedError: If nothing was done.
        """
        async with self._lock:
            self.waiting_since_ms = self._clock.now_ms()
            try:
                await self._append(records)
            finally:
                self.waiting_since_ms = None

    async def _append(self, records: list[KeyedRecord]) -> None:
        sent_before = False
        while True:
            producer = Producer(self._id, self._epoch, self._next)
            try:
                await self._store.append(
                    self._topic, self._part, records, producer
                )
            except StoreOutcomeUnknownError as exc:
                sent_before = True
                event("append_unanswered", topic=self._topic, reason=exc)
            except StoreRefusedError:
                if not sent_before:
                    raise
            except SequenceError as exc:
                if not sent_before or exc.expected != self._next + 1:
                    raise
                break
            else:
                break
            await asyncio.sleep(REPEAT_MS / MS_PER_SECOND)
        self._next += 1
