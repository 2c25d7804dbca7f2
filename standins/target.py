"""HTTP server that simulates one target of a latency-critical service.

A request occupies one of the slots for `X-Work-Ms` milliseconds; further
requests wait for a slot. Fault switches (POST /_switch): `refuse` (connections
of new requests are closed), `slow_ms` (added to the work of each request),
`silent` (connections that are open now never respond again),
`drop_after_effect` (that many requests are executed without a response),
`cut_answers` (that many responses are truncated).
"""

import asyncio
import collections
import contextlib

import msgspec
from aiohttp import web

from limpetyard._clock import MS_PER_SECOND, BootClock
from standins.process import serve

ID_HEADER = "X-Request-Id"
WORK_HEADER = "X-Work-Ms"


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of a target."""

    refuse: bool = False
    slow_ms: int = 0
    silent: bool = False
    drop_after_effect: int = 0
    cut_answers: int = 0


class TargetRecord(msgspec.Struct):
    """What a target actually did.

    Attributes:
        runs: Number of executions, by request id.
        arrived_ms: Arrival of each request, on the machine's boot clock.
        most_in_slots: Largest number of requests in execution at a time.
        most_present: Largest number of requests in execution or waiting.
        over_slots: Number of requests that found all slots occupied.
        most_connections: Largest number of open connections at a time.
    """

    runs: dict[str, int]
    arrived_ms: list[float]
    most_in_slots: int = 0
    most_present: int = 0
    over_slots: int = 0
    most_connections: int = 0


class TargetServer:
    """Serves one target with a limited number of slots."""

    def __init__(self, slots: int):
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._clock = BootClock()
        self._runs: collections.Counter[str] = collections.Counter()
        self.record = TargetRecord({}, [])
        self._in_flight = 0
        self._in_slots = 0
        self._switches = FaultSwitches()
        self._connections: set = set()
        self._unresponsive: set = set()

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.post("/_switch", self._post_switches),
                web.get("/_record", self._get_record),
                web.route("*", "/{path:.*}", self._handle),
            ]
        )
        return app

    def set_switches(self, switches: FaultSwitches) -> None:
        """Sets the fault switches."""
        self._switches = switches
        if switches.silent:
            self._unresponsive |= self._connections

    def runs(self, request_id: str) -> int:
        """Returns how often a request was executed."""
        return self._runs[request_id]

    def arrivals(self) -> int:
        """Returns the number of requests that have arrived."""
        return len(self.record.arrived_ms)

    @staticmethod
    def _abort(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    def abort_all(self) -> None:
        """Aborts all open connections."""
        for transport in self._connections:
            transport.abort()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._track_connection(request)
        body = await request.read()
        if request.transport in self._unresponsive:
            await asyncio.sleep(3600)
        if self._switches.refuse:
            self._abort(request)
            return web.Response()
        self._in_flight += 1
        self.record.arrived_ms.append(self._clock.now_ms())
        self.record.over_slots += self._in_flight > self._slot_count
        self.record.most_present = max(
            self.record.most_present, self._in_flight
        )
        try:
            async with self._slots:
                await self._execute(request)
        finally:
            self._in_flight -= 1
        return await self._reply(request, body)

    async def _execute(self, request: web.Request) -> None:
        self._in_slots += 1
        self.record.most_in_slots = max(
            self.record.most_in_slots, self._in_slots
        )
        work_ms = float(request.headers.get(WORK_HEADER, "0"))
        work_ms += self._switches.slow_ms
        try:
            if work_ms:
                await asyncio.sleep(work_ms / MS_PER_SECOND)
            self._runs[request.headers.get(ID_HEADER, "")] += 1
        finally:
            self._in_slots -= 1

    async def _reply(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        text = request.headers.get(ID_HEADER, "").encode() + b":" + body
        if self._switches.drop_after_effect:
            self._switches.drop_after_effect -= 1
            self._abort(request)
            return web.Response()
        if self._switches.cut_answers:
            self._switches.cut_answers -= 1
            resp = web.StreamResponse()
            resp.content_length = len(text) + 10
            with contextlib.suppress(ConnectionError):
                await resp.prepare(request)
                await resp.write(text)
            self._abort(request)
            return resp
        return web.Response(body=text)

    def _track_connection(self, request: web.Request) -> None:
        self._connections = {t for t in self._connections if not t.is_closing()}
        self._connections.add(request.transport)
        self.record.most_connections = max(
            self.record.most_connections, len(self._connections)
        )

    async def _post_switches(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.set_switches(msgspec.json.decode(body, type=FaultSwitches))
        return web.Response()

    async def _get_record(self, request: web.Request) -> web.Response:
        del request
        self.record.runs = dict(self._runs)
        return web.Response(body=msgspec.json.encode(self.record))


if __name__ == "__main__":
    serve(lambda slots: TargetServer(int(slots)).app(), "slots")
