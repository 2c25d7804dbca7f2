"""The platform's store: keyed topics, producers, groups."""

import asyncio
import collections

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
    StoreOffsetTrimmedError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TailPage,
)
from standins.platform._link import Link, RefusedPathError, SilentPathError

PARTS = 24
PAGE = 500
REMEMBERED_APPENDS = 5
CALL_TIMEOUT_MS = 1500


class _Producer:
    def __init__(self, epoch: int):
        self.epoch = epoch
        self.next: int | None = None
        self.last: collections.deque = collections.deque(
            maxlen=REMEMBERED_APPENDS
        )


class _Partition:
    def __init__(self):
        self.first = 0
        self.records: list[KeyedRecord] = []
        self.read_latest: dict[str, StoredRecord] = {}
        self.producers: dict[str, _Producer] = {}
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, records: list[KeyedRecord]) -> int:
        offset = self.end
        for number, record in enumerate(records, offset):
            self.records.append(record)
            if record.value is None:
                self.read_latest.pop(record.key, None)
            else:
                self.read_latest[record.key] = StoredRecord(
                    number, record.key, record.value
                )
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def check(self, producer: Producer, records: list) -> int | None:
        """Returns the offset of a repeated append, or None for a new one."""
        known = self.producers.get(producer.id)
        if known is not None and producer.epoch < known.epoch:
            raise FencedError(f"{producer.epoch} is below {known.epoch}")
        if known is None or producer.epoch > known.epoch:
            known = self.producers[producer.id] = _Producer(producer.epoch)
        if not records:
            return self.end
        for sequence, offset in known.last:
            if sequence == producer.sequence:
                return offset
        if known.next is not None and producer.sequence != known.next:
            raise SequenceError(producer.sequence, known.next)
        return None

    def note(self, producer: Producer, offset: int) -> None:
        known = self.producers[producer.id]
        known.next = producer.sequence + 1
        known.last.append((producer.sequence, offset))


class _Group:
    def __init__(self):
        self.generation = 0
        self.members: dict[str, float] = {}
        self.seen: dict[str, int] = {}
        self.partition_owners: dict[int, str] = {}
        self.wanted: dict[int, str] = {}
        self.moved: dict[int, int] = {}

    def deal(self) -> None:
        """Deals the partitions out evenly; what is held moves when let go."""
        self.generation += 1
        names = sorted(self.members)
        for part in range(PARTS):
            wanted = names[part % len(names)] if names else ""
            if self.wanted.get(part) != wanted:
                self.wanted[part] = wanted
                self.moved[part] = self.generation
        self.settle()

    def settle(self) -> None:
        for part, wanted in self.wanted.items():
            holder = self.partition_owners.get(part, "")
            gone = holder not in self.members
            if gone or self.seen.get(holder, 0) >= self.moved.get(part, 0):
                self.partition_owners[part] = wanted


class StoreModel:
    """The store itself.

    Attributes:
        calls: Number of calls served.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._parts: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}
        self.calls = 0

    def partition(self, topic: str, part: int) -> _Partition:
        """Returns a partition, made on first use."""
        return self._parts.setdefault((topic, part), _Partition())

    def write(self, topic: str, key: str, value: bytes | None) -> None:
        """Writes a record as operators and workers do."""
        self.partition(topic, 0).append([KeyedRecord(key, value)])

    def drop_history(self, keyed: tuple[str, ...] = ()) -> None:
        """Drops all old records, and all keys of the topics named."""
        for (topic, _), part in self._parts.items():
            part.first = part.end
            part.records.clear()
            if topic in keyed:
                part.read_latest.clear()

    def reassign_partitions(self) -> None:
        """Moves all partitions of all groups at once, without any request."""
        for group in self._groups.values():
            names = sorted(group.members)
            for part, holder in group.partition_owners.items():
                if holder in names:
                    number = (names.index(holder) + 1) % len(names)
                    group.wanted[part] = names[number]
                    group.partition_owners[part] = names[number]
            group.generation += 1

    def expire_members(self) -> None:
        """Lets every member's time to live run out."""
        for group in self._groups.values():
            group.members = dict.fromkeys(group.members, 0.0)

    async def append(
        self, topic: str, part: int, records: list, producer: Producer | None
    ) -> int:
        """See `limpetyard.store.Store.append`."""
        self.calls += 1
        partition = self.partition(topic, part)
        if producer is None:
            return partition.append(records)
        repeated = partition.check(producer, records)
        if repeated is not None:
            return repeated
        offset = partition.append(records)
        partition.note(producer, offset)
        return offset

    async def read(
        self, topic: str, part: int, offset: int, wait_ms: int
    ) -> TailPage:
        """See `limpetyard.store.Store.read`."""
        self.calls += 1
        partition = self.partition(topic, part)
        if offset >= partition.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await partition.grown.wait()
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
        self, topic: str, part: int, after: str
    ) -> LatestPage:
        """See `limpetyard.store.Store.newest`."""
        self.calls += 1
        partition = self.partition(topic, part)
        keys = sorted(key for key in partition.read_latest if key > after)
        records = [partition.read_latest[key] for key in keys[:PAGE]]
        return LatestPage(partition.end, records, len(keys) > PAGE)

    async def join(
        self, group: str, member: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """See `limpetyard.store.Store.join`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        self._expire(state)
        fresh = member not in state.members
        state.members[member] = self._clock.now_ms() + ttl_ms
        if fresh:
            state.deal()
        state.seen[member] = generation
        state.settle()
        held = frozenset(
            part
            for part, holder in state.partition_owners.items()
            if holder == member and state.wanted[part] == member
        )
        return GroupAssignment(state.generation, held)

    async def leave(self, group: str, member: str) -> None:
        """See `limpetyard.store.Store.leave`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        if state.members.pop(member, None) is not None:
            state.deal()

    async def partition_owners(self, group: str) -> dict[int, str]:
        """See `limpetyard.store.Store.holders`."""
        self.calls += 1
        state = self._groups.setdefault(group, _Group())
        self._expire(state)
        return dict(state.partition_owners)

    def _expire(self, state: _Group) -> None:
        now_ms = self._clock.now_ms()
        gone = [name for name, end in state.members.items() if end < now_ms]
        for name in gone:
            del state.members[name]
        if gone:
            state.deal()


class LinkedStoreClient:
    """The store as one node reaches it."""

    def __init__(self, model: StoreModel, link: Link):
        self._model = model
        self.link = link

    async def _call(self, act, wait_ms: float = 0.0):
        try:
            return await self.link.carry(act, CALL_TIMEOUT_MS + wait_ms)
        except SilentPathError:
            raise StoreOutcomeUnknownError("no answer") from None
        except RefusedPathError:
            raise StoreRefusedError(RefusalKind.BUSY, "turned away") from None

    async def append(
        self,
        topic: str,
        part: int,
        records: list[KeyedRecord],
        producer: Producer | None = None,
    ) -> int:
        """See `limpetyard.store.Store.append`."""
        return await self._call(
            lambda: self._model.append(topic, part, records, producer)
        )

    async def read(
        self, topic: str, part: int, offset: int, wait_ms: int
    ) -> TailPage:
        """See `limpetyard.store.Store.read`."""
        return await self._call(
            lambda: self._model.read(topic, part, offset, wait_ms), wait_ms
        )

    async def read_latest(
        self, topic: str, part: int, after: str
    ) -> LatestPage:
        """See `limpetyard.store.Store.newest`."""
        return await self._call(
            lambda: self._model.read_latest(topic, part, after)
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
        """See `limpetyard.store.Store.holders`."""
        return await self._call(lambda: self._model.partition_owners(group))
