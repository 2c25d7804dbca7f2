"""What limpetyard asks of a linearizable store of partitioned logs."""

from typing import Protocol

import msgspec


class Producer(msgspec.Struct, frozen=True):
    """Identity under which an append is fenced and deduplicated.

    Attributes:
        id: Name of the writer; epochs of one name exclude each other.
        epoch: Term of the writer; a partition refuses lower ones.
        sequence: Number of the append in this epoch, from 0.
    """

    id: str
    epoch: int
    sequence: int


class KeyedRecord(msgspec.Struct, frozen=True):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; None removes the key.
    """

    key: str
    value: bytes | None


class StoredRecord(msgspec.Struct, frozen=True):
    """A keyed record and where it stands in its partition."""

    offset: int
    key: str
    value: bytes | None


class TailPage(msgspec.Struct, frozen=True):
    """Consecutive records of a partition.

    Attributes:
        end: Offset of the next append when the read was served.
        next_offset: Offset to read from next.
        records: Readable records from the offset asked for.
        unreadable: Number of records that no keyed record could be read from.
    """

    end: int
    next_offset: int
    records: list[StoredRecord]
    unreadable: int = 0


class NewestPage(msgspec.Struct, frozen=True):
    """Some of the newest records by key.

    Attributes:
        end: Offset of the next append when the page was served.
        records: One record a key, in the order of keys.
        more: Whether there are keys after the last one.
    """

    end: int
    records: list[StoredRecord]
    more: bool


class GroupAssignment(msgspec.Struct, frozen=True):
    """What a member of a group learns when it joins.

    Attributes:
        generation: Number of the assignment; rises with each change.
        partitions: Partitions that this member holds.
    """

    generation: int
    partitions: frozenset[int]


class Store(Protocol):
    """Partitioned logs, the newest record of each key, and groups.

    Every call raises `StoreRefusedError` if nothing was done and
    `StoreOutcomeUnknownError` if the outcome is unknown.
    """

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[KeyedRecord],
        producer: Producer | None = None,
    ) -> int:
        """Appends all records or none.

        An empty list sets the producer's epoch.

        Returns:
            Offset of the first record.

        Raises:
            FencedError: If the partition knows a higher epoch.
            SequenceError: If another sequence number is expected.
        """

    async def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> TailPage:
        """Reads from `offset`, waiting up to `wait_ms` for a record.

        Raises:
            OffsetOutOfRangeError: If `offset` is no longer kept.
        """

    async def newest(
        self, topic: str, partition: int, after: str
    ) -> NewestPage:
        """Returns a page of the newest record of each key after `after`."""

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """Joins a group, or stays in it, for `ttl_ms`."""

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group and gives up its partitions."""

    async def holders(self, group: str) -> dict[int, str]:
        """Returns the member that holds each partition."""
