"""Process that stands in for the platform's log.

Switches (POST /switch): `down` (bool), `slow_ms`, `lose_answers` (that many
appends take effect and get no answer), `hold_ms` (appends get no answer and
take effect that much later), `trim` (records kept of every stream).
"""

import asyncio
import contextlib

import msgspec
from aiohttp import web

from limpetyard._clock import MS_PER_SECOND
from limpetyard.errors import OffsetTrimmedError
from standins.log_model import LogModel
from standins.process import serve


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the log."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    hold_ms: int = 0
    trim: int | None = None


class LogProcess:
    """Serves a log over HTTP."""

    def __init__(self):
        self.model = LogModel()
        self.switches = FaultSwitches()
        self._grown: dict[str, asyncio.Event] = {}

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.post("/streams/{stream}/records", self._append),
                web.get("/streams/{stream}/records", self._read),
                web.post("/switch", self._switch),
                web.get("/record", self._record),
            ]
        )
        return app

    async def _append(self, request: web.Request) -> web.Response:
        stream = request.match_info["stream"]
        data = await request.text()
        await self._fault()
        if self.switches.hold_ms:
            delay_s = self.switches.hold_ms / MS_PER_SECOND
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._commit, stream, data)
            return await _never()
        offset = self._commit(stream, data)
        if self.switches.lose_answers:
            self.switches.lose_answers -= 1
            return await _never()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        await self._fault()
        stream = request.match_info["stream"]
        offset = int(request.query["from"])
        limit = int(request.query["limit"])
        wait_ms = int(request.query["wait_ms"])
        if limit and wait_ms and offset >= self.model.end(stream):
            grown = self._grown.setdefault(stream, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(grown.wait(), wait_ms / MS_PER_SECOND)
            await self._fault()
        try:
            page = self.model.read(stream, offset, limit)
        except OffsetTrimmedError as exc:
            return web.json_response({"first": exc.first_offset}, status=410)
        return web.Response(body=msgspec.json.encode(page))

    def _commit(self, stream: str, data: str) -> int:
        offset = self.model.append(stream, data)
        grown = self._grown.pop(stream, None)
        if grown is not None:
            grown.set()
        return offset

    async def _fault(self) -> None:
        if self.switches.slow_ms:
            await asyncio.sleep(self.switches.slow_ms / MS_PER_SECOND)
        if self.switches.down:
            raise web.HTTPServiceUnavailable

    async def _switch(self, request: web.Request) -> web.Response:
        self.switches = msgspec.json.decode(
            await request.read(), type=FaultSwitches
        )
        if self.switches.trim is not None:
            for stream in self.model.streams():
                self.model.trim(stream, self.switches.trim)
        return web.Response()

    async def _record(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "appends": self.model.appends,
                "bytes": self.model.bytes,
                "reads": self.model.reads,
            }
        )


async def _never() -> web.Response:
    await asyncio.sleep(60)
    raise web.HTTPGatewayTimeout


if __name__ == "__main__":
    serve(lambda: LogProcess().app())
