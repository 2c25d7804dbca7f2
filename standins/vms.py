"""Process that stands in for the VM list.

`PUT /vms` sets the list, `POST /state/{id}/{state}` changes one VM. Switches:
`down` and `stale` (the list that is shown does not follow).
"""

import msgspec
from aiohttp import web

from limpetyard.fleet import Vm, VmState
from standins.process import serve


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the VM list."""

    down: bool = False
    stale: bool = False


class VmsProcess:
    """Serves a VM list over HTTP."""

    def __init__(self):
        self._vms: dict[str, Vm] = {}
        self._shown: list[Vm] = []
        self._switches = FaultSwitches()
        self._version = 0

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.get("/vms", self._get),
                web.put("/vms", self._put),
                web.post("/state/{id}/{state}", self._state),
                web.post("/switch", self._switch),
            ]
        )
        return app

    async def _get(self, request: web.Request) -> web.Response:
        if self._switches.down:
            raise web.HTTPServiceUnavailable
        etag = f'"{self._version}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        body = msgspec.json.encode({"vms": self._shown})
        return web.Response(body=body, headers={"ETag": etag})

    async def _put(self, request: web.Request) -> web.Response:
        vms = msgspec.json.decode(await request.read(), type=list[Vm])
        self._vms = {vm.id: vm for vm in vms}
        return self._show()

    async def _state(self, request: web.Request) -> web.Response:
        vm = self._vms[request.match_info["id"]]
        state = VmState(request.match_info["state"])
        self._vms[vm.id] = msgspec.structs.replace(vm, state=state)
        return self._show()

    async def _switch(self, request: web.Request) -> web.Response:
        self._switches = msgspec.json.decode(
            await request.read(), type=FaultSwitches
        )
        return self._show()

    def _show(self) -> web.Response:
        if not self._switches.stale:
            self._shown = list(self._vms.values())
            self._version += 1
        return web.Response()


if __name__ == "__main__":
    serve(lambda: VmsProcess().app())
