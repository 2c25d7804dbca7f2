"""Model of the platform's store: keyed topics, producers, groups."""

import asyncio
import collections
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.store import (
    FencedError,
    GroupAssignment,
    KeyedRecord,
    LatestPage,
    Producer,
    RefusalKind,
    SequenceError,
    StoredRecord,
    StoreLimits,
    StoreOffsetTrimmedError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TailPage,
)
from standins.platform._link import Link, LinkRefusedError, LinkTimeoutError

PARTITION_COUNT = 24
PAGE_SIZE = 500
DEDUP_WINDOW = 5
CALL_TIMEOUT_MS = 1500

# Bytes of the length of a key, and of the length of a record.
KEY_PREFIX_BYTES = 1
RECORD_PREFIX_BYTES = 4


class _ProducerState:
    def __init__(self, epoch: int):
        self.epoch = epoch
        self.next_sequence: int | None = None
        self.recent_appends: collections.deque = collections.deque(
            maxlen=DEDUP_WINDOW
        )


class _Partition:
    def __init__(self):
        self.first = 0
        self.records: list[KeyedRecord] = []
        self.latest: dict[str, StoredRecord] = {}
        self.producers: dict[str, _ProducerState] = {}
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, records: list[KeyedRecord]) -> int:
        offset = self.end
        for number, record in enumerate(records, offset):
            # A record has a value if any bytes follow its key.
            value = record.value or None
            self.records.append(KeyedRecord(record.key, value))
            if value is None:
                self.latest.pop(record.key, None)
            else:
                self.latest[record.key] = StoredRecord(
                    number, record.key, value
                )
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def check_producer(self, producer: Producer, records: list) -> int | None:
        """Checks an append and returns the offset of an earlier duplicate.

        Returns:
            The offset of the duplicate, the end offset if there are no records
            (the append only fences older epochs), or None for a new append.

        Raises:
            FencedError: If the producer's epoch is stale.
            SequenceError: If the sequence number is not the next one.
        """
        known = self.producers.get(producer.id)
        if known is not None and producer.epoch < known.epoch:
            raise FencedError(f"epoch {producer.epoch} is below {known.epoch}")
        if known is None or producer.epoch > known.epoch:
            known = self.producers[producer.id] = _ProducerState(producer.epoch)
        if not records:
            return self.end
        for sequence, offset in known.recent_appends:
            if sequence == producer.sequence:
                return offset
        if (
            known.next_sequence is not None
            and producer.sequence != known.next_sequence
        ):
            raise SequenceError(producer.sequence, known.next_sequence)
        return None

    def record_append(self, producer: Producer, offset: int) -> None:
        known = self.producers[producer.id]
        known.next_sequence = producer.sequence + 1
        known.recent_appends.append((producer.sequence, offset))


class _Group:
    """A group of members that share the partitions.

    Attributes:
        generation: Number of rebalances so far.
        members: Time at which each membership expires, by member.
        joined_in_generation: Generation in which each member joined.
        ranks: Place of members in the order of a deal, if it is not 0.
        acked_generations: Newest generation that each member acknowledged.
        partition_owners: Member that owns each partition now.
        assigned: Member that is to own each partition.
        moved_in_generation: Generation that took each partition from its owner.
    """

    def __init__(self):
        self.generation = 0
        self.members: dict[str, float] = {}
        self.joined_in_generation: dict[str, int] = {}
        self.ranks: dict[str, int] = {}
        self.acked_generations: dict[str, int] = {}
        self.partition_owners: dict[int, str] = {}
        self.assigned: dict[int, str] = {}
        self.moved_in_generation: dict[int, int] = {}

    def rebalance(self, deal: "Deal") -> None:
        """Assigns the partitions evenly to the members.

        A partition moves once its owner has acknowledged the generation that
        has taken it away, or left.
        """
        self.generation += 1
        names = deal(self)
        for partition_id in range(PARTITION_COUNT):
            assigned = names[partition_id % len(names)] if names else ""
            before = self.assigned.get(partition_id)
            if before != assigned:
                self.assigned[partition_id] = assigned
                # Its owner may have acknowledged an earlier loss already.
                if before == self.partition_owners.get(partition_id):
                    self.moved_in_generation[partition_id] = self.generation
        self.complete_moves()

    def rank_last(self, member: str) -> None:
        """Puts a member after all others in the order of a deal."""
        self.ranks[member] = max([0, *self.ranks.values()]) + 1

    def rank_first(self, member: str) -> None:
        """Puts a member before all others in the order of a deal."""
        self.ranks[member] = min([0, *self.ranks.values()]) - 1

    def complete_moves(self) -> None:
        for partition_id, assigned in self.assigned.items():
            owner = self.partition_owners.get(partition_id, "")
            gone = owner not in self.members
            if gone or self.acked_generations.get(
                owner, 0
            ) >= self.moved_in_generation.get(partition_id, 0):
                self.partition_owners[partition_id] = assigned


# Returns the members of a group in the order in which they get partitions, each
# one in turn.
Deal = Callable[[_Group], list[str]]


def deal_in_order(group: _Group) -> list[str]:
    """Deals in the order of ranks and names."""
    return sorted(group.members, key=lambda n: (group.ranks.get(n, 0), n))


def deal_first_away(group: _Group) -> list[str]:
    """Deals partition 0 to another member at each change of the members.

    The one that has joined last gets it, unless it holds it.
    """
    names = sorted(group.members)
    names.sort(key=group.joined_in_generation.get, reverse=True)
    if names and names[0] == group.partition_owners.get(0):
        names.append(names.pop(0))
    return names


class StoreModel:
    """The store, without the links to it.

    Attributes:
        calls: Number of calls executed so far.
        keeps_assignments: Whether the partitions of a group stay assigned to
            its last members after all of them have expired or left.
        deal: How the partitions of a group are dealt to its members.
        limits: Largest sizes of an append; larger ones are refused.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}
        self.calls = 0
        self.keeps_assignments = False
        self.deal: Deal = deal_in_order
        self.limits = StoreLimits()

    def partition(self, topic: str, partition_id: int) -> _Partition:
        """Returns a partition and creates it on first use."""
        return self._partitions.setdefault((topic, partition_id), _Partition())

    def write(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends a record to partition 0 of a topic, bypassing all links."""
        self.partition(topic, 0).append([KeyedRecord(key, value)])

    def drop_history(self, keyed_topics: tuple[str, ...] = ()) -> None:
        """Drops all records from the partitions.

        Args:
            keyed_topics: Topics that lose the newest record of each key, too.
        """
        for (topic, _), partition in self._partitions.items():
            partition.first = partition.end
            partition.records.clear()
            if topic in keyed_topics:
                partition.latest.clear()

    def reassign_partitions(self) -> None:
        """Moves all partitions of all groups to other members at once."""
        for group in self._groups.values():
            names = sorted(group.members)
            for partition_id, owner in group.partition_owners.items():
                if owner in names:
                    number = (names.index(owner) + 1) % len(names)
                    group.assigned[partition_id] = names[number]
                    group.partition_owners[partition_id] = names[number]
            group.generation += 1

    def expire_members(self) -> None:
        """Lets the membership of every member expire now."""
        for group in self._groups.values():
            group.members = dict.fromkeys(group.members, 0.0)

    def expire_member(self, member: str, heir: str = "") -> None:
        """Lets the membership of one process expire now.

        It is not told, joins again with its next join, and is dealt partitions
        as the last one then.

        Args:
            member: Name of the member.
            heir: Member that gets partition 0; by default the next one.
        """
        for group in self._groups.values():
            if group.members.pop(member, None) is None:
                continue
            group.rank_last(member)
            if heir in group.members:
                group.rank_first(heir)
            self._rebalance(group)

    async def append(
        self,
        topic: str,
        partition_id: int,
        records: list,
        producer: Producer | None,
    ) -> int:
        """See `limpetyard.store.Store.append`."""
        self.calls += 1
        self._check_sizes(records)
        partition = self.partition(topic, partition_id)
        if producer is None:
            return partition.append(records)
        known_offset = partition.check_producer(producer, records)
        if known_offset is not None:
            return known_offset
        offset = partition.append(records)
        partition.record_append(producer, offset)
        return offset

    def _check_sizes(self, records: list[KeyedRecord]) -> None:
        """Refuses an append that is too large, as the store does.

        Raises:
            StoreRefusedError: If a record or the append is too large.
        """
        total = 0
        for record in records:
            key, value = record.key.encode(), record.value or b""
            size = KEY_PREFIX_BYTES + len(key) + len(value)
            total += RECORD_PREFIX_BYTES + size
            if size > self.limits.record_bytes:
                raise StoreRefusedError(
                    RefusalKind.INVALID, f"{record.key} has {size} bytes"
                )
        if total > self.limits.call_bytes:
            raise StoreRefusedError(
                RefusalKind.INVALID, f"append has {total} bytes"
            )

    async def read(
        self, topic: str, partition_id: int, offset: int, wait_ms: int
    ) -> TailPage:
        """See `limpetyard.store.Store.read`."""
        self.calls += 1
        partition = self.partition(topic, partition_id)
        if offset >= partition.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await partition.appended.wait()
            except TimeoutError:
                return TailPage(partition.end, offset, [])
        if offset < partition.first:
            raise StoreOffsetTrimmedError(topic, offset)
        records = [
            StoredRecord(number, record.key, record.value)
            for number, record in enumerate(
                partition.records[offset - partition.first :], offset
            )
        ]
        return TailPage(partition.end, offset + len(records), records)

    async def read_latest(
        self, topic: str, partition_id: int, after: str
    ) -> LatestPage:
        """See `limpetyard.store.Store.read_latest`."""
        self.calls += 1
        partition = self.partition(topic, partition_id)
        keys = sorted(key for key in partition.latest if key > after)
        records = [partition.latest[key] for key in keys[:PAGE_SIZE]]
        return LatestPage(partition.end, records, len(keys) > PAGE_SIZE)

    async def join(
        self, group: str, member: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """See `limpetyard.store.Store.join`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        self._drop_expired_members(state)
        is_new = member not in state.members
        state.members[member] = self._clock.now_ms() + ttl_ms
        if is_new:
            state.joined_in_generation[member] = state.generation + 1
            self._rebalance(state)
        state.acked_generations[member] = generation
        state.complete_moves()
        partitions = frozenset(
            partition_id
            for partition_id, owner in state.partition_owners.items()
            if owner == member and state.assigned[partition_id] == member
        )
        return GroupAssignment(state.generation, partitions)

    async def leave(self, group: str, member: str) -> None:
        """See `limpetyard.store.Store.leave`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        if state.members.pop(member, None) is not None:
            self._rebalance(state)

    async def partition_owners(self, group: str) -> dict[int, str]:
        """See `limpetyard.store.Store.partition_owners`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        self._drop_expired_members(state)
        return dict(state.partition_owners)

    def _drop_expired_members(self, state: _Group) -> None:
        now_ms = self._clock.now_ms()
        gone = [
            name for name, end_ms in state.members.items() if end_ms < now_ms
        ]
        for name in gone:
            del state.members[name]
        if gone:
            self._rebalance(state)

    def _rebalance(self, state: _Group) -> None:
        if state.members or not self.keeps_assignments:
            state.rebalance(self.deal)


class LinkedStoreClient:
    """Client of the store over the link of one node."""

    def __init__(self, model: StoreModel, link: Link):
        self._model = model
        self.link = link

    @property
    def limits(self) -> StoreLimits:
        """Largest sizes of an append."""
        return self._model.limits

    async def _call(self, operation, wait_ms: float = 0.0):
        try:
            return await self.link.call(operation, CALL_TIMEOUT_MS + wait_ms)
        except LinkTimeoutError:
            raise StoreOutcomeUnknownError(
                "no reply within the time-out"
            ) from None
        except LinkRefusedError:
            raise StoreRefusedError(
                RefusalKind.BUSY, "rejected by the link"
            ) from None

    async def append(
        self,
        topic: str,
        partition_id: int,
        records: list[KeyedRecord],
        producer: Producer | None = None,
    ) -> int:
        """See `limpetyard.store.Store.append`."""
        return await self._call(
            lambda: self._model.append(topic, partition_id, records, producer)
        )

    async def read(
        self, topic: str, partition_id: int, offset: int, wait_ms: int
    ) -> TailPage:
        """See `limpetyard.store.Store.read`."""
        return await self._call(
            lambda: self._model.read(topic, partition_id, offset, wait_ms),
            wait_ms,
        )

    async def read_latest(
        self, topic: str, partition_id: int, after: str
    ) -> LatestPage:
        """See `limpetyard.store.Store.read_latest`."""
        return await self._call(
            lambda: self._model.read_latest(topic, partition_id, after)
        )

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """See `limpetyard.store.Store.join`."""
        return await self._call(
            lambda: self._model.join(group, member, ttl_ms, generation)
        )

    async def leave(self, group: str, member: str) -> None:
        """See `limpetyard.store.Store.leave`."""
        await self._call(lambda: self._model.leave(group, member))

    async def partition_owners(self, group: str) -> dict[int, str]:
        """See `limpetyard.store.Store.partition_owners`."""
        return await self._call(lambda: self._model.partition_owners(group))
