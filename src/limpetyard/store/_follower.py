"""Follows the newest record of each key of one partition."""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.store._errors import OffsetOutOfRangeError, StoreError
from limpetyard.store._interface import Store, StoredRecord

# Longest wait of one read; bounds the age of what is known of the end.
READ_WAIT_MS = 1000

# First and longest pause after a failed read; the longest is a quarter of the
# two seconds within which a changed configuration must be in force.
RETRY_FIRST_MS = 50
RETRY_LONGEST_MS = 500


class KeyFollower:
    """Keeps a reader of one partition up to date.

    Attributes:
        confirmed_ms: Sending time of the newest read that reached the end, or
            None before the first.
        loaded: Whether all keys have been read once.
    """

    __slots__ = (
        "_apply",
        "_clock",
        "_offset",
        "_part",
        "_pause_ms",
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
    ):
        """Makes a follower.

        Args:
            store: Where to read.
            clock: Times the reads.
            topic: A keyed topic.
            partition: Its partition.
            apply: Takes records in, in order; may see one twice.
            reset: Told all keys that exist after a complete reading.
            pause_ms: Shortest time between two reads.
        """
        self._store = store
        self._clock = clock
        self._topic = topic
        self._part = partition
        self._apply = apply
        self._reset = reset
        self._pause_ms = pause_ms
        self._offset = 0
        self.confirmed_ms: float | None = None
        self.loaded = False

    async def load(self) -> None:
        """Reads the newest record of each key, then what came meanwhile.

        Pages are of different moments, so the tail is read again from where
        the first page was served.

        Raises:
            StoreError: If a call failed.
        """
        sent_ms = self._clock.now_ms()
        first_end: int | None = None
        after = ""
        keys: set[str] = set()
        while True:
            page = await self._store.newest(self._topic, self._part, after)
            if first_end is None:
                first_end = page.end
            self._apply(page.records)
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
        """Reads the tail once.

        Raises:
            StoreError: If a call failed.
        """
        sent_ms = self._clock.now_ms()
        try:
            page = await self._store.read(
                self._topic, self._part, self._offset, wait_ms
            )
        except OffsetOutOfRangeError:
            event("history_lost", topic=self._topic, offset=self._offset)
            await self.load()
            return
        if page.unreadable:
            event(
                "records_unreadable",
                "WARNING",
                topic=self._topic,
                number=page.unreadable,
            )
        self._offset = page.next_offset
        self._apply(page.records)
        if page.next_offset >= page.end:
            self.confirmed_ms = sent_ms

    async def follow(self) -> None:
        """Loads and reads until cancelled; failures are retried."""
        pause_ms = RETRY_FIRST_MS
        while True:
            try:
                await (self.read() if self.loaded else self.load())
                pause_ms = RETRY_FIRST_MS
                if self._pause_ms:
                    await asyncio.sleep(self._pause_ms / MS_PER_SECOND)
            except StoreError as exc:
                event("follow_failed", topic=self._topic, reason=exc)
                await asyncio.sleep(pause_ms / MS_PER_SECOND)
                pause_ms = min(2 * pause_ms, RETRY_LONGEST_MS)
