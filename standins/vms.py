"""HTTP server that simulates the platform's VM list.

`PUT /vms` sets the list, `POST /state/{id}/{state}` changes the state of one
VM. Fault switches (POST /switch): `down` (status 503) and `stale` (changes are
not published until it is reset).
"""

import msgspec
from aiohttp import web

from limpetyard.fleet import Vm, VmState
from standins.process import serve


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of the VM list."""

    down: bool = False
    stale: bool = False


class VmListServer:
    """Serves a VM list over HTTP, with entity tags."""

    def __init__(self):
        self._vms: dict[str, Vm] = {}
        self._published: list[Vm] = []
        self._switches = FaultSwitches()
        self._version = 0

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=16_777_216)
        app.add_routes(
            [
                web.get("/vms", self._get_vms),
                web.put("/vms", self._put_vms),
                web.post("/state/{id}/{state}", self._set_state),
                web.post("/switch", self._set_switches),
            ]
        )
        return app

    async def _get_vms(self, request: web.Request) -> web.Response:
        if self._switches.down:
            raise web.HTTPServiceUnavailable
        etag = f'"{self._version}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        body = msgspec.json.encode({"vms": self._published})
        return web.Response(body=body, headers={"ETag": etag})

    async def _put_vms(self, request: web.Request) -> web.Response:
        vms = msgspec.json.decode(await request.read(), type=list[Vm])
        self._vms = {vm.id: vm for vm in vms}
        return self._publish()

    async def _set_state(self, request: web.Request) -> web.Response:
        vm = self._vms[request.match_info["id"]]
        state = VmState(request.match_info["state"])
        self._vms[vm.id] = msgspec.structs.replace(vm, state=state)
        return self._publish()

    async def _set_switches(self, request: web.Request) -> web.Response:
        self._switches = msgspec.json.decode(
            await request.read(), type=FaultSwitches
        )
        return self._publish()

    def _publish(self) -> web.Response:
        if not self._switches.stale:
            self._published = list(self._vms.values())
            self._version += 1
        return web.Response()


if __name__ == "__main__":
    serve(lambda: VmListServer().app())
