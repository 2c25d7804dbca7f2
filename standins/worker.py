"""Process that stands in for one or several workers.

Worker `w` answers below /w/{w}. Switches (POST /w/{w}/switch): `frozen` (no
answers), `hold_start_ms` (start orders wait that long before they count),
`fail_everything`, `run_factor`, `restart`.
"""

import asyncio

import msgspec
from aiohttp import web

from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard.cell import ResourceVector
from limpetyard.fleet import (
    StartOrder,
    StopOrder,
    SyncOrder,
    ThrottleOrder,
)
from standins.process import serve
from standins.worker_model import (
    Faults,
    WorkerModel,
    noisy_interference,
)

TICK_MS = 20


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one worker."""

    frozen: bool = False
    hold_start_ms: int = 0
    fail_everything: bool = False
    run_factor: float = 1.0
    restart: bool = False


class Described(msgspec.Struct):
    """What a worker is made of."""

    id: str
    zone: str
    size: ResourceVector


class WorkerProcess:
    """Serves workers over HTTP."""

    def __init__(self, workers: list[Described]):
        clock = BootClock()
        self.models = {
            w.id: WorkerModel(w.id, w.zone, w.size, clock, noisy_interference)
            for w in workers
        }
        self.switches = {w.id: FaultSwitches() for w in workers}

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.post("/w/{id}/sync", self._sync),
                web.post("/w/{id}/start", self._start),
                web.post("/w/{id}/stop", self._stop),
                web.post("/w/{id}/throttle", self._throttle),
                web.post("/w/{id}/switch", self._switch),
                web.get("/record", self._record),
            ]
        )
        app.cleanup_ctx.append(self._ticking)
        return app

    async def _ticking(self, app: web.Application):
        del app
        task = asyncio.ensure_future(self._tick())
        yield
        task.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            for model in self.models.values():
                model.tick()

    async def _sync(self, request: web.Request) -> web.Response:
        model = await self._model(request)
        order = msgspec.json.decode(await request.read(), type=SyncOrder)
        return _json(model.sync(order))

    async def _start(self, request: web.Request) -> web.Response:
        model = await self._model(request)
        body = await request.read()
        orders = msgspec.json.decode(body, type=list[StartOrder])
        hold_ms = self.switches[model.id].hold_start_ms
        if hold_ms:
            # The order is on its way for this long; the caller hears nothing.
            loop = asyncio.get_running_loop()
            loop.call_later(hold_ms / MS_PER_SECOND, model.start, orders)
            await asyncio.sleep(3600)
        return _json(model.start(orders))

    async def _stop(self, request: web.Request) -> web.Response:
        model = await self._model(request)
        body = await request.read()
        model.stop(msgspec.json.decode(body, type=list[StopOrder]))
        return web.Response()

    async def _throttle(self, request: web.Request) -> web.Response:
        model = await self._model(request)
        body = await request.read()
        model.throttle(msgspec.json.decode(body, type=list[ThrottleOrder]))
        return web.Response()

    async def _model(self, request: web.Request) -> WorkerModel:
        worker_id = request.match_info["id"]
        if self.switches[worker_id].frozen:
            await asyncio.sleep(3600)
        return self.models[worker_id]

    async def _switch(self, request: web.Request) -> web.Response:
        worker_id = request.match_info["id"]
        switches = msgspec.json.decode(await request.read(), type=FaultSwitches)
        self.switches[worker_id] = switches
        model = self.models[worker_id]
        model.faults = Faults(switches.fail_everything, switches.run_factor)
        if switches.restart:
            model.restart()
        return web.Response()

    async def _record(self, request: web.Request) -> web.Response:
        del request
        worker_events = [h for m in self.models.values() for h in m.record]
        return _json(worker_events)


def _json(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value))


def _make(workers: str) -> web.Application:
    described = msgspec.json.decode(workers, type=list[Described])
    return WorkerProcess(described).app()


if __name__ == "__main__":
    serve(_make, "workers")
