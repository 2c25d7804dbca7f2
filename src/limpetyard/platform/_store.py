"""The client of the platform's store."""

import base64
import struct

import msgspec

from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
)
from limpetyard.platform._decode_errors import unreadable_is
from limpetyard.store import (
    FencedError,
    GroupAssignment,
    KeyedRecord,
    NewestPage,
    OffsetOutOfRangeError,
    Producer,
    RefusalKind,
    SequenceError,
    StoredRecord,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TailPage,
)

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")

# The store keeps the newest record of each key in topics of this name.
_KEYED = "keyed."

# Topics that others write.
_OTHERS = {"operators": "op", "workers": "servers"}

# A call without an answer for this long counts as silent: the store refuses
# appends that would wait longer than two seconds, and usually takes 4 ms.
CALL_TIMEOUT_MS = 1500

# Long polls that wait at the same time, beside one append and one join.
CONNECTIONS = 8

_REFUSALS = {
    429: RefusalKind.RATE,
    503: RefusalKind.BUSY,
    507: RefusalKind.FULL,
}


class _Failure(msgspec.Struct, rename="camel"):
    reason: str = ""
    seq: int = -1
    expected: int = -1
    expected_seq: int = -1


class _Appended(msgspec.Struct, rename="camel"):
    offset: int = 0


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    end_offset: int


class _Join(msgspec.Struct, rename="camel"):
    group: str
    member_id: str
    topics: list[str]
    ttl_ms: int
    generation: int


class _Joined(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


class _Leave(msgspec.Struct, rename="camel"):
    group: str
    member_id: str


class _Group(msgspec.Struct):
    group: str


class PlatformStore:
    """The store, spoken to over HTTP."""

    __slots__ = ("_http_client", "_url")

    def __init__(self, address: str):
        """Makes a client.

        Args:
            address: IP:port of the store.
        """
        self._url = f"http://{address}"
        self._http_client = HttpClient(CONNECTIONS, "store")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @unreadable_is(StoreOutcomeUnknownError)
    async def append(
        self,
        topic: str,
        partition: int,
        records: list[KeyedRecord],
        producer: Producer | None = None,
    ) -> int:
        """See `limpetyard.store.Store.append`."""
        path = f"/log-append?topic={_wire_topic(topic)}&part={partition}"
        if producer is not None:
            path += f"&producerId={producer.id}&epoch={producer.epoch}"
            if records:
                path += f"&seq={producer.sequence}"
        body = b"".join(map(_encode_record, records))
        reply = await self._call("POST", path, body)
        if reply.status == 409:
            _raise_conflict(reply, producer)
        _check(reply)
        return msgspec.json.decode(reply.body, type=_Appended).offset

    @unreadable_is(StoreOutcomeUnknownError)
    async def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> TailPage:
        """See `limpetyard.store.Store.read`."""
        path = (
            f"/log-read?topic={_wire_topic(topic)}&part={partition}"
            f"&from={offset}&waitMs={wait_ms}"
        )
        reply = await self._call("GET", path, None, wait_ms)
        if reply.status == 410:
            raise OffsetOutOfRangeError(topic, offset)
        _check(reply)
        return _decode_tail(reply.body, offset)

    @unreadable_is(StoreOutcomeUnknownError)
    async def newest(
        self, topic: str, partition: int, after: str
    ) -> NewestPage:
        """See `limpetyard.store.Store.newest`."""
        path = f"/log-newest?topic={_wire_topic(topic)}&part={partition}"
        if after:
            path += f"&after={after}"
        reply = await self._call("GET", path, None)
        _check(reply)
        page = msgspec.json.decode(reply.body, type=_Newest)
        records = [
            StoredRecord(item.offset, item.key, base64.b64decode(item.value))
            for item in page.items
        ]
        return NewestPage(page.end_offset, records, page.has_more)

    @unreadable_is(StoreOutcomeUnknownError)
    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """See `limpetyard.store.Store.join`."""
        order = _Join(group, member, [_wire_topic(topic)], ttl_ms, generation)
        reply = await self._post("/log-join", order)
        joined = msgspec.json.decode(reply.body, type=_Joined)
        parts = frozenset(partition for _, partition, _ in joined.parts)
        return GroupAssignment(joined.generation, parts)

    async def leave(self, group: str, member: str) -> None:
        """See `limpetyard.store.Store.leave`."""
        await self._post("/log-leave", _Leave(group, member))

    @unreadable_is(StoreOutcomeUnknownError)
    async def holders(self, group: str) -> dict[int, str]:
        """See `limpetyard.store.Store.holders`."""
        reply = await self._call("GET", f"/log-owners?group={group}", None)
        _check(reply)
        return {
            partition: member
            for _, partition, member in _owner_rows(reply.body)
        }

    async def _post(self, path: str, order: msgspec.Struct) -> HttpResponse:
        reply = await self._call("POST", path, msgspec.json.encode(order))
        _check(reply)
        return reply

    async def _call(
        self, method: str, path: str, body: bytes | None, wait_ms: float = 0
    ) -> HttpResponse:
        try:
            return await self._http_client.call(
                method, self._url + path, body, wait_ms + CALL_TIMEOUT_MS
            )
        except NotSentError as exc:
            raise StoreRefusedError(RefusalKind.UNREACHABLE, str(exc)) from exc
        except OutcomeUnknownError as exc:
            raise StoreOutcomeUnknownError(str(exc)) from exc


def _wire_topic(topic: str) -> str:
    return _KEYED + _OTHERS.get(topic, topic)


def _owner_rows(body: bytes) -> list[tuple[str, int, str]]:
    """Reads the table of a group's owners, whatever its rows are called."""
    data = msgspec.json.decode(body)
    rows = data
    if isinstance(data, dict):
        rows = next((v for v in data.values() if isinstance(v, list)), [])
    return [
        (row[0], row[1], row[2])
        for row in rows
        if isinstance(row, list) and len(row) >= 3
    ]


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_tail(body: bytes, offset: int) -> TailPage:
    end, first = _BOUNDS.unpack_from(body)
    at = _BOUNDS.size
    number = max(offset, first)
    records = []
    unreadable = 0
    while at + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + size > len(body):
            break
        record = _decode_record(number, body[at : at + size])
        if record is None:
            unreadable += 1
        else:
            records.append(record)
        at += size
        number += 1
    return TailPage(end, number, records, unreadable)


def _decode_record(offset: int, content: bytes) -> StoredRecord | None:
    """Returns None for the bytes of a writer that knows no keys."""
    if not content or len(content) < 1 + content[0]:
        return None
    split = 1 + content[0]
    try:
        key = content[1:split].decode()
    except UnicodeDecodeError:
        return None
    return StoredRecord(offset, key, content[split:] or None)


def _check(reply: HttpResponse) -> None:
    """Raises for an answer that is not a success.

    Raises:
        StoreRefusedError: Nothing was done.
    """
    if reply.status == 200:
        return
    kind = _REFUSALS.get(reply.status, RefusalKind.INVALID)
    detail = reply.body[:200].decode(errors="replace")
    raise StoreRefusedError(kind, f"status {reply.status} {detail}")


def _raise_conflict(reply: HttpResponse, producer: Producer | None) -> None:
    failure = msgspec.json.decode(reply.body, type=_Failure)
    if failure.reason == "seq" and producer is not None:
        known = (failure.expected, failure.expected_seq, failure.seq)
        expected = next((n for n in known if n >= 0), -1)
        raise SequenceError(producer.sequence, expected)
    raise FencedError(f"{producer}")
