"""HTTP servers that expose the models in the platform's wire format."""

import base64
import json
import struct
from collections.abc import Callable

from aiohttp import web

from limpetyard.engine import (
    PaceOrder,
    PollRequest,
    StaleTokenError,
    StartOrder,
    StartResult,
)
from limpetyard.jobs import TaskKey
from limpetyard.store import (
    FencedError,
    KeyedRecord,
    Producer,
    SequenceError,
    StoreOffsetTrimmedError,
    StoreRefusedError,
)
from standins.platform._link import LinkTimeoutError
from standins.platform._store import StoreModel
from standins.platform._worker import WorkerModel

REASONS = {
    StartResult.STALE_RUN: "old",
    StartResult.EXPIRED: "late",
    StartResult.NO_ROOM: "room",
    StartResult.BAD_TICKET: "ticket",
}


def _topic(name: str) -> str:
    """Returns the store model's name of a topic from its name on the wire."""
    name = name.removeprefix("keyed.")
    return {"op": "operators", "servers": "workers"}.get(name, name)


def _decode_records(body: bytes) -> list[KeyedRecord]:
    records = []
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        content = body[at + 4 : at + 4 + size]
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :] or None
        records.append(KeyedRecord(key, value))
        at += 4 + size
    return records


def _encode_records(records: list) -> bytes:
    parts = []
    for record in records:
        key = record.key.encode()
        content = bytes([len(key)]) + key + (record.value or b"")
        parts.append(struct.pack(">I", len(content)) + content)
    return b"".join(parts)


class StoreServer:
    """Serves a store model; each method handles the path of its name.

    Attributes:
        status: HTTP status of all responses; 0 serves calls normally.
        raw_records: Bytes that reads return in place of records, if not empty.
    """

    def __init__(self, model: StoreModel):
        self._model = model
        self.status = 0
        self.raw_records = b""

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Handles one request."""
        if self.status:
            return web.Response(status=self.status)
        handler = getattr(self, req.path.strip("/").replace("-", "_"))
        return await handler(req)

    async def log_append(self, req: web.BaseRequest) -> web.Response:
        """Appends records."""
        query = req.query
        producer = None
        if "producerId" in query:
            producer = Producer(
                query["producerId"],
                int(query["epoch"]),
                int(query.get("seq", 0)),
            )
        records = _decode_records(await req.read())
        partition_id = int(query["part"])
        try:
            offset = await self._model.append(
                _topic(query["topic"]), partition_id, records, producer
            )
        except FencedError:
            return _json({"reason": "fenced"}, 409)
        except SequenceError as exc:
            return _json({"reason": "seq", "seq": exc.expected}, 409)
        except StoreRefusedError as exc:
            return _json({"detail": str(exc)}, 400)
        return _json({"offset": offset, "endOffset": offset + len(records)})

    async def log_read(self, req: web.BaseRequest) -> web.Response:
        """Reads records."""
        query = req.query
        topic, partition_id = _topic(query["topic"]), int(query["part"])
        try:
            page = await self._model.read(
                topic,
                partition_id,
                int(query["from"]),
                int(query.get("waitMs", 0)),
            )
        except StoreOffsetTrimmedError:
            return _json({"startOffset": 0}, 410)
        first = self._model.partition(topic, partition_id).first
        body = struct.pack(">QQ", page.end, first)
        return web.Response(
            body=body + (self.raw_records or _encode_records(page.records))
        )

    async def log_newest(self, req: web.BaseRequest) -> web.Response:
        """Returns a page with the newest record of each key."""
        query = req.query
        page = await self._model.read_latest(
            _topic(query["topic"]), int(query["part"]), query.get("after", "")
        )
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page.records
        ]
        return _json(
            {"items": items, "hasMore": page.more, "endOffset": page.end}
        )

    async def log_join(self, req: web.BaseRequest) -> web.Response:
        """Joins a group."""
        body = json.loads(await req.read())
        view = await self._model.join(
            body["group"], body["memberId"], body["ttlMs"], body["generation"]
        )
        rows = [
            [body["topics"][0], partition_id, 0]
            for partition_id in view.partitions
        ]
        return _json({"generation": view.generation, "parts": rows})

    async def log_leave(self, req: web.BaseRequest) -> web.Response:
        """Leaves a group."""
        body = json.loads(await req.read())
        await self._model.leave(body["group"], body["memberId"])
        return _json({})

    async def log_owners(self, req: web.BaseRequest) -> web.Response:
        """Returns the owner of each partition of a group."""
        partition_owners = await self._model.partition_owners(
            req.query["group"]
        )
        rows = [
            ["keyed.jobs", partition_id, name, 0]
            for partition_id, name in partition_owners.items()
        ]
        return _json({"owners": rows})


class WorkerServer:
    """Serves a worker model; each method handles the path of its name.

    Attributes:
        id: Id that requests must carry in `Expected-Instance`.
        last_body: Body of the newest request.
    """

    def __init__(
        self, model: WorkerModel, sender: Callable[[int], str] | None = None
    ):
        """Initializes a server.

        Args:
            model: The worker.
            sender: Returns the name of the node that sends orders with a
                fencing token, "" if it is not known; none is by default.
        """
        self._model = model
        self._sender = sender
        self.id = model.entry.id
        self.last_body: dict = {}

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Handles one request."""
        if req.headers["Expected-Instance"] != self.id:
            return web.Response(status=421)
        self.last_body = body = json.loads(await req.read())
        handler = getattr(self, req.path.strip("/").replace("-", "_"))
        try:
            return await handler(body)
        except StaleTokenError:
            return self._reply({"reason": "fence"}, 409)
        except LinkTimeoutError:
            return web.Response(status=503)

    async def handle_late(self, req: web.BaseRequest) -> web.Response:
        """Handles a request whose sender has given up.

        The run that it starts, if any, is recorded as such.
        """
        # Nothing is awaited until an order to start a run has been executed.
        self._model.delivering_late = "run-start" in req.path
        try:
            return await self.handle(req)
        finally:
            self._model.delivering_late = False

    async def hold(self, body: dict) -> web.Response:
        """Renews the lease and returns current and ended runs (long poll)."""
        reply = await self._model.poll(
            PollRequest(
                body["fencingToken"],
                body.get("lastSeen", 0),
                body.get("expiresMs"),
                body.get("waitMs", 0),
            )
        )
        rows = [
            [
                _task_name(row.task),
                row.run,
                row.checkpoint,
                row.percent,
                row.measurement,
            ]
            for row in reply.runs
        ]
        ends = [
            [end.number, _task_name(end.task), end.run, end.kind.value, "saved"]
            for end in reply.ends
        ]
        lists = {"born": reply.born, "running": rows, "endedRuns": ends}
        return self._reply(lists)

    async def run_start(self, body: dict) -> web.Response:
        """Starts a run."""
        order = StartOrder(
            _task_key(body["task"]),
            body["runId"],
            body["spec"],
            body["expiresMs"],
            body["fencingToken"],
            body.get("checkpoint", ""),
        )
        if self._sender is not None:
            self._model.order_sender = self._sender(order.token)
        result = await self._model.start(order)
        self._model.order_sender = ""
        if result is StartResult.STARTED:
            return self._reply({})
        return self._reply({"reason": REASONS[result]}, 409)

    async def run_stop(self, body: dict) -> web.Response:
        """Stops a run."""
        task = _task_key(body["task"])
        await self._model.stop(task, body["runId"], body["fencingToken"])
        return self._reply({})

    async def pace(self, body: dict) -> web.Response:
        """Throttles a run."""
        order = PaceOrder(
            _task_key(body["task"]),
            body["runId"],
            body["percent"],
            body["fencingToken"],
        )
        await self._model.pace(order)
        return self._reply({})

    def _reply(self, data: dict, status: int = 200) -> web.Response:
        return _json({"clockMs": int(self._model.clock_ms()), **data}, status)


def _task_name(task: TaskKey) -> str:
    return ".".join(map(str, task))


def _task_key(name: str) -> TaskKey:
    job, *numbers = name.split(".")
    return TaskKey(job, *map(int, numbers))


def _json(data: dict, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(data).encode(),
        content_type="application/json",
    )
