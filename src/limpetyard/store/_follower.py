"""Reader that follows the latest record of each key of a partition."""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.store._errors import StoreError, StoreOffsetTrimmedError
from limpetyard.store._interface import Store, StoredRecord

# Maximum time that a read waits for records. It bounds the time between two
# confirmations that the reader has reached the end of the partition.
READ_WAIT_MS = 1000

# Records passed to the callback in one iteration of the event loop. A long
# backlog must not delay heartbeats.
APPLIED_PER_ITERATION = 32

# Initial and maximum backoff after a failed read. The maximum is a quarter of
# the two seconds within which a changed configuration must be in force.
RETRY_INITIAL_MS = 50
RETRY_MAX_MS = 500


class KeyFollower:
    """Passes the records of one partition of a keyed topic to a callback.

    Attributes:
        confirmed_ms: Send time of the last read that reached the end of the
            partition, or None before the first one.
        loaded: Whether the latest record of every key has been read.
    """

    __slots__ = (
        "_apply",
        "_clock",
        "_offset",
        "_partition",
        "_pause_ms",
        "_reload_lock",
        "_reset",
        "_store",
        "_topic",
        "confirmed_ms",
        "loaded",
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        topic: str,
        partition: int,
        apply: Callable[[list[StoredRecord]], None],
        reset: Callable[[set[str]], None] | None = None,
        pause_ms: int = 0,
        reload_lock: asyncio.Lock | None = None,
    ):
        """Initializes a follower.

        Args:
            store: Store to read from.
            clock: Clock for `confirmed_ms`.
            topic: Name of a keyed topic.
            partition: Number of the partition.
            apply: Called with records in the order of their offsets; may get
                the same record twice.
            reset: Called after a complete load with all existing keys.
            pause_ms: Minimum time between two reads.
            reload_lock: Held while all keys are loaded again. Whoever deletes
                keys with it held finds none of them applied after that.
        """
        self._store = store
        self._clock = clock
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self._reset = reset
        self._pause_ms = pause_ms
        self._reload_lock = reload_lock or asyncio.Lock()
        self._offset = 0
        self.confirmed_ms: float | None = None
        self.loaded = False

    async def load(self) -> None:
        """Reads the latest record of each key.

        The pages are served at different times, so the reads that follow start
        from the end offset of the first page.

        Raises:
            StoreError: If a call failed.
        """
        sent_ms = self._clock.now_ms()
        first_end: int | None = None
        after = ""
        keys: set[str] = set()
        while True:
            page = await self._store.read_latest(
                self._topic, self._partition, after
            )
            if first_end is None:
                first_end = page.end
            await self._apply_in_pieces(page.records)
            keys.update(record.key for record in page.records)
            if not page.more or not page.records:
                break
            after = page.records[-1].key
        self._offset = first_end
        if self._reset is not None:
            self._reset(keys)
        self.confirmed_ms = sent_ms
        self.loaded = True

    async def read(self, wait_ms: int = READ_WAIT_MS) -> None:
        """Reads records from the current offset once.

        Loads all keys again if the store no longer retains that offset.

        Args:
            wait_ms: Maximum time to wait for a record.

        Raises:
            StoreError: If a call failed.
        """
        sent_ms = self._clock.now_ms()
        try:
            page = await self._store.read(
                self._topic, self._partition, self._offset, wait_ms
            )
        except StoreOffsetTrimmedError:
            event("history_lost", topic=self._topic, offset=self._offset)
            async with self._reload_lock:
                await self.load()
            return
        if page.unreadable:
            event(
                "records_unreadable",
                "WARNING",
                topic=self._topic,
                number=page.unreadable,
            )
        await self._apply_in_pieces(page.records)
        self._offset = page.next_offset
        if page.next_offset >= page.end:
            self.confirmed_ms = sent_ms

    async def _apply_in_pieces(self, records: list[StoredRecord]) -> None:
        for start in range(0, len(records), APPLIED_PER_ITERATION):
            if start:
                await asyncio.sleep(0)
            self._apply(records[start : start + APPLIED_PER_ITERATION])

    async def follow(self) -> None:
        """Loads all keys, then reads until cancelled; retries with backoff."""
        backoff_ms = RETRY_INITIAL_MS
        while True:
            try:
                await (self.read() if self.loaded else self.load())
                backoff_ms = RETRY_INITIAL_MS
                if self._pause_ms:
                    await asyncio.sleep(self._pause_ms / MS_PER_SECOND)
            except StoreError as exc:
                event("follow_failed", topic=self._topic, reason=exc)
                await asyncio.sleep(backoff_ms / MS_PER_SECOND)
                backoff_ms = min(2 * backoff_ms, RETRY_MAX_MS)
