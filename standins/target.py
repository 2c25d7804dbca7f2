"""Process that stands in for one target of a latency-critical service.

A request takes `X-Work-Ms` milliseconds in one of the slots; what is over the
slots waits. Switches (POST /_switch): `refuse` (new connections are closed),
`slow_ms`, `silent` (connections that are open now never answer again),
`drop_after_effect` (that many requests run and get no answer), `cut_answers`
(that many answers end half way).
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
    """Faults of a target."""

    refuse: bool = False
    slow_ms: int = 0
    silent: bool = False
    drop_after_effect: int = 0
    cut_answers: int = 0


class TargetRecord(msgspec.Struct):
    """What a target truly did.

    Attributes:
        runs: Runs by request id.
        arrived_ms: Clock of the machine at each request's arrival.
        most_in_slots: Largest number of requests worked on at a time.
        most_present: Largest number of requests present at a time.
        over_slots: Requests that found all slots taken.
        most_connections: Largest number of connections open at a time.
    """

    runs: dict[str, int]
    arrived_ms: list[float]
    most_in_slots: int = 0
    most_present: int = 0
    over_slots: int = 0
    most_connections: int = 0


class TargetServer:
    """Serves one target."""

    def __init__(self, slots: int):
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._clock = BootClock()
        self._runs: collections.Counter[str] = collections.Counter()
        self.record = TargetRecord({}, [])
        self._present = 0
        self._in_slots = 0
        self._switches = FaultSwitches()
        self._open: set = set()
        self._silent: set = set()

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.post("/_switch", self._switch),
                web.get("/_record", self._tell),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        return app

    def set_switches(self, switches: FaultSwitches) -> None:
        """Sets the faults."""
        self._switches = switches
        if switches.silent:
            self._silent |= self._open

    def runs(self, request_id: str) -> int:
        """Returns how often a request ran."""
        return self._runs[request_id]

    def arrivals(self) -> int:
        """Returns how many requests have arrived."""
        return len(self.record.arrived_ms)

    @staticmethod
    def _abort(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    def abort_all(self) -> None:
        """Breaks all connections."""
        for transport in self._open:
            transport.abort()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._meet(request)
        body = await request.read()
        if request.transport in self._silent:
            await asyncio.sleep(3600)
        if self._switches.refuse:
            self._abort(request)
            return web.Response()
        self._present += 1
        self.record.arrived_ms.append(self._clock.now_ms())
        self.record.over_slots += self._present > self._slot_count
        self.record.most_present = max(self.record.most_present, self._present)
        try:
            async with self._slots:
                await self._work(request)
        finally:
            self._present -= 1
        return await self._reply(request, body)

    async def _work(self, request: web.Request) -> None:
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

    def _meet(self, request: web.Request) -> None:
        self._open = {t for t in self._open if not t.is_closing()}
        self._open.add(request.transport)
        self.record.most_connections = max(
            self.record.most_connections, len(self._open)
        )

    async def _switch(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.set_switches(msgspec.json.decode(body, type=FaultSwitches))
        return web.Response()

    async def _tell(self, request: web.Request) -> web.Response:
        del request
        self.record.runs = dict(self._runs)
        return web.Response(body=msgspec.json.encode(self.record))


if __name__ == "__main__":
    serve(lambda slots: TargetServer(int(slots)).app(), "slots")
