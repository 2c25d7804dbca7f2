"""Client of the platform's store."""

import base64
import struct
from typing import Annotated
from urllib.parse import quote

import msgspec

from limpetyard._events import event
from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
)
from limpetyard.platform._bounds import MAX_NUMBER, Count
from limpetyard.platform._decode_errors import translate_decode_errors
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

# Size in bytes of the record that follows: 4 bytes, big-endian.
_LENGTH_PREFIX = struct.Struct(">I")

# Offset of the next append and offset of the first retained record, 8 bytes
# each, big-endian.
_TAIL_HEADER = struct.Struct(">QQ")

# Prefix of compacted topics, in which the store retains the latest record of
# each key. Every topic of this client is compacted.
_KEYED_PREFIX = "keyed."

# Topics that other components write, with the platform's names for them.
_EXTERNAL_TOPICS = {"operators": "op", "workers": "servers"}

# Time-out of a call; a long poll adds its wait time. The outcome of a call that
# timed out is unknown. The store usually replies within 4 ms and rejects
# appends that would wait longer than two seconds.
CALL_TIMEOUT_MS = 1500

# Limit of connections to the store: concurrent long polls, plus one append and
# one join.
MAX_CONNECTIONS = 8

# Kinds of refusals by HTTP status; any other error status means INVALID.
_REFUSAL_KINDS = {
    429: RefusalKind.RATE,
    503: RefusalKind.BUSY,
    507: RefusalKind.FULL,
}


# Expected sequence number, or -1 if there is none.
_Expected = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]


class _Conflict(msgspec.Struct, rename="camel"):
    reason: str = ""
    seq: _Expected = -1
    expected: _Expected = -1
    expected_seq: _Expected = -1


class _AppendReply(msgspec.Struct, rename="camel"):
    offset: Count = 0


class _LatestItem(msgspec.Struct):
    key: str
    value: str
    offset: Count


class _LatestReply(msgspec.Struct, rename="camel"):
    items: list[_LatestItem]
    has_more: bool
    end_offset: Count


class _JoinRequest(msgspec.Struct, rename="camel"):
    group: str
    member_id: str
    topics: list[str]
    ttl_ms: int
    generation: int


class _JoinReply(msgspec.Struct):
    generation: Count
    parts: list[tuple[str, Count, int]]


class _LeaveRequest(msgspec.Struct, rename="camel"):
    group: str
    member_id: str


class _GroupRequest(msgspec.Struct):
    group: str


class _OwnerRow(msgspec.Struct, array_like=True):
    topic: str
    partition: Count
    member: str


class PlatformStore:
    """Client of the store over HTTP; implements `limpetyard.store.Store`."""

    __slots__ = ("_http_client", "_url", "limits")

    def __init__(self, address: str, limits: StoreLimits | None = None):
        """Creates a client.

        Args:
            address: IP:port of the store.
            limits: Largest sizes of an append, or None for the defaults.
        """
        self.limits = limits or StoreLimits()
        self._url = f"http://{address}"
        self._http_client = HttpClient(MAX_CONNECTIONS, "store")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @translate_decode_errors(StoreOutcomeUnknownError)
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
        _check_reply(reply)
        return msgspec.json.decode(reply.body, type=_AppendReply).offset

    @translate_decode_errors(StoreOutcomeUnknownError)
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
            raise StoreOffsetTrimmedError(topic, offset)
        _check_reply(reply)
        return _decode_tail(reply.body, offset)

    @translate_decode_errors(StoreOutcomeUnknownError)
    async def read_latest(
        self, topic: str, partition: int, after: str
    ) -> LatestPage:
        """See `limpetyard.store.Store.read_latest`."""
        path = f"/log-newest?topic={_wire_topic(topic)}&part={partition}"
        if after:
            path += f"&after={quote(after, safe='')}"
        reply = await self._call("GET", path, None)
        _check_reply(reply)
        page = msgspec.json.decode(reply.body, type=_LatestReply)
        records = [
            StoredRecord(item.offset, item.key, base64.b64decode(item.value))
            for item in page.items
        ]
        return LatestPage(page.end_offset, records, page.has_more)

    @translate_decode_errors(StoreOutcomeUnknownError)
    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupAssignment:
        """See `limpetyard.store.Store.join`."""
        request = _JoinRequest(
            group, member, [_wire_topic(topic)], ttl_ms, generation
        )
        reply = await self._post("/log-join", request)
        joined = msgspec.json.decode(reply.body, type=_JoinReply)
        partitions = frozenset(partition for _, partition, _ in joined.parts)
        return GroupAssignment(joined.generation, partitions)

    async def leave(self, group: str, member: str) -> None:
        """See `limpetyard.store.Store.leave`."""
        await self._post("/log-leave", _LeaveRequest(group, member))

    @translate_decode_errors(StoreOutcomeUnknownError)
    async def partition_owners(self, group: str) -> dict[int, str]:
        """See `limpetyard.store.Store.partition_owners`."""
        reply = await self._call("GET", f"/log-owners?group={group}", None)
        _check_reply(reply)
        return {row.partition: row.member for row in _owner_rows(reply.body)}

    async def _post(self, path: str, request: msgspec.Struct) -> HttpResponse:
        reply = await self._call("POST", path, msgspec.json.encode(request))
        _check_reply(reply)
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
    return _KEYED_PREFIX + _EXTERNAL_TOPICS.get(topic, topic)


def _owner_rows(body: bytes) -> list[_OwnerRow]:
    """Returns the rows of a group's owners.

    Accepts a body that is a list of rows, or an object whose first value that
    is a list holds the rows, whatever its key. Logs and skips a row that cannot
    be read.

    Raises:
        ValueError: If the body is something else.
    """
    rows = msgspec.json.decode(body)
    if isinstance(rows, dict):
        rows = next((v for v in rows.values() if isinstance(v, list)), [])
    if not isinstance(rows, list):
        raise ValueError("neither a list nor an object")
    owners = []
    for row in rows:
        try:
            owners.append(msgspec.convert(row, _OwnerRow))
        except msgspec.ValidationError as exc:
            event("row_unreadable", "WARNING", reply="owners", reason=exc)
    return owners


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH_PREFIX.pack(len(content)) + content


def _decode_tail(body: bytes, offset: int) -> TailPage:
    """Decodes a reply to a read from `offset`; ignores a truncated record."""
    end, first_offset = _TAIL_HEADER.unpack_from(body)
    if max(end, first_offset) > MAX_NUMBER:
        raise ValueError(f"offset above {MAX_NUMBER}")
    position = _TAIL_HEADER.size
    next_offset = max(offset, first_offset)
    records = []
    unreadable = 0
    while position + _LENGTH_PREFIX.size <= len(body):
        (size,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        if position + size > len(body):
            break
        record = _decode_record(next_offset, body[position : position + size])
        if record is None:
            unreadable += 1
        else:
            records.append(record)
        position += size
        next_offset += 1
    return TailPage(end, next_offset, records, unreadable)


def _decode_record(offset: int, content: bytes) -> StoredRecord | None:
    """Decodes a record; returns None if a writer stored it without a key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key_end = 1 + content[0]
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError:
        return None
    return StoredRecord(offset, key, content[key_end:] or None)


def _check_reply(reply: HttpResponse) -> None:
    """Raises an error unless the status is 200.

    Raises:
        StoreRefusedError: For every other status; it is treated as a refusal
            without effect.
    """
    if reply.status == 200:
        return
    kind = _REFUSAL_KINDS.get(reply.status, RefusalKind.INVALID)
    detail = reply.body[:200].decode(errors="replace")
    raise StoreRefusedError(kind, f"status {reply.status}: {detail}")


def _raise_conflict(reply: HttpResponse, producer: Producer | None) -> None:
    """Raises the error that a 409 reply to an append reports."""
    conflict = msgspec.json.decode(reply.body, type=_Conflict)
    if conflict.reason == "seq" and producer is not None:
        # The first of these fields that is not negative holds the expected
        # number; it is -1 if there is none.
        fields = (conflict.expected, conflict.expected_seq, conflict.seq)
        expected = next((n for n in fields if n >= 0), -1)
        raise SequenceError(producer.sequence, expected)
    raise FencedError(f"{producer}")
