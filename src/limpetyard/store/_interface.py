"""Protocol of a linearizable store of partitioned logs and groups."""

from typing import Protocol

import msgspec


class Producer(msgspec.Struct, frozen=True):
    """Identity by which the store fences and deduplicates an append.

    Attributes:
        id: Id of the producer; epochs of one id exclude each other.
        epoch: Epoch of the producer; a partition refuses lower epochs than
            the highest that it has seen.
        sequence: Sequence number of the append within the epoch, from 0.
    """

    id: str
    epoch: int
    sequence: int


class KeyedRecord(msgspec.Struct, frozen=True):
    """One record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: New value of the key; None deletes the key.
    """

    key: str
    value: bytes | None


class StoredRecord(msgspec.Struct, frozen=True):
    """A keyed record and its offset in its partition."""

    offset: int
    key: str
    value: bytes | None


class TailPage(msgspec.Struct, frozen=True):
    """Consecutive records of a partition.

    Attributes:
        end: Offset of the next append when the read was served.
        next_offset: Offset to read from next.
        records: Valid records from the requested offset on.
        unreadable: Number of records that could not be decoded.
    """

    end: int
    next_offset: int
    records: list[StoredRecord]
    unreadable: int = 0


class LatestPage(msgspec.Struct, frozen=True):
    """One page of the latest record of each key.

    Attributes:
        end: Offset of the next append when the page was served.
        records: One record per key, in the order of keys.
        more: Whether there are keys after the last one of this page.
    """

    end: int
    records: list[StoredRecord]
    more: bool


class GroupAssignment(msgspec.Struct, frozen=True):
    """Assignment of partitions to one member of a consumer group.

    Attributes:
        generation: Number of the assignment; rises with each rebalance.
        partitions: Partitions that are assigned to this member.
    """

    generation: int
    partitions: frozenset[int]


class StoreLimits(msgspec.Struct, frozen=True):
    """Largest sizes of an append; the store refuses larger ones for ever.

    Attributes:
        record_bytes: Largest size of one record; see `size_bytes`.
        call_bytes: Largest size of all records of one append.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    @property
    def largest_bytes(self) -> int:
        """Largest size of a record that an append takes."""
        return min(self.record_bytes, self.call_bytes)


class Store(Protocol):
    """Partitioned logs, the latest record of each key, and consumer groups.

    Every call raises `StoreRefusedError` if the store changed nothing and
    `StoreOutcomeUnknownError` if the outcome is unknown.

    Attributes:
        limits: Largest sizes of an append.
    """

    limits: StoreLimits

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[KeyedRecord],
        producer: Producer | None = None,
    ) -> int:
        """Appends all records or none.

        An empty list appends nothing, but fences lower epochs of the producer.

        Returns:
            Offset of the first record.

        Raises:
            FencedError: If the partition has seen a higher epoch.
            SequenceError: If the partition expects another sequence number.
        """

    async def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> TailPage:
        """Reads from `offset` on; waits up to `wait_ms` for a record.

        Raises:
            StoreOffsetTrimmedError: If the store no longer retains `offset`.
        """

    async def read_latest(
        self, topic: str, partition: int, after: str
    ) -> LatestPage:
        """Returns the latest records of the keys that sort after `after`."""

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """Joins a group or renews a membership for `ttl_ms`.

        Args:
            group: Name of the group.
            member: Name of the member.
            topic: Topic whose partitions the group assigns.
            ttl_ms: Time until the membership expires without a renewal.
            generation: Last assignment that the member has applied; the group
                reassigns the partitions that the member lost only after that.
        """

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group and releases the member's partitions."""

    async def partition_owners(self, group: str) -> dict[int, str]:
        """Returns the member that owns each partition, or "", by partition."""
