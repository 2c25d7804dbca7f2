"""Test case with request services and targets in the test's process."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from limpetyard._clock import BootClock
from limpetyard._metrics import Metrics
from limpetyard.config import ConfigState, Publish
from limpetyard.fleet import Vm, VmRole, VmState
from limpetyard.requests import SLOT_POLICIES, RequestService
from standins.site import free_port
from standins.target import FaultSwitches, TargetServer

TEMPLATE = """
[service.tally]
idempotent = false
deadline_ms = 2000
max_body_bytes = 1000
queue_length = 100

[service.lookup]
idempotent = true
deadline_ms = 2000
"""
PARAMETERS = "[partner.north]\n"
HEADERS = {"X-Limpetyard-Partner": "north"}


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    """Test case that starts request services and targets.

    Attributes:
        frontend_count: Number of request services to start.
        target_count: Number of targets to start.
        cfg: The configuration of all request services.
        frontends: The request services.
        urls: Base URL of each request service.
        targets: The targets.
        vms: Content of the VM list.
        http: HTTP session of the callers.
    """

    frontend_count = 1
    target_count = 2

    async def asyncSetUp(self):  # noqa: N802
        """Starts the targets and the request services."""
        self.cfg = ConfigState()
        self.cfg.apply(0, Publish("id", 0, "test", TEMPLATE, PARAMETERS))
        self.targets: list[TargetServer] = []
        self.vms: list[Vm] = []
        self.frontends: list[RequestService] = []
        self.urls: list[str] = []
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.addAsyncCleanup(self.http.close)
        for number in range(self.target_count):
            await self._add_target(number)
        for number in range(self.frontend_count):
            await self._add_frontend(number)
        await self.refresh()

    async def refresh(self) -> None:
        """Updates all request services with the configuration and the VMs."""
        members = [f"entry-{n}" for n in range(self.frontend_count)]
        for frontend in self.frontends:
            await frontend.update(self.cfg, self.vms, members)

    def set_vm_state(self, number: int, state: VmState) -> None:
        """Sets the state of a target in the VM list.

        The request services see it after the next `refresh`.
        """
        vm_id = f"target-{number}"
        self.vms = [
            Vm(vm.id, vm.role, "zone-0", vm.address, state, "", vm.service)
            if vm.id == vm_id
            else vm
            for vm in self.vms
        ]

    def set_faults(self, number: int, **switches: object) -> None:
        """Sets the fault switches of a target; all others are reset."""
        self.targets[number].set_switches(FaultSwitches(**switches))

    def runs(self, request_id: str) -> int:
        """Returns how many times the targets executed a request."""
        return sum(t.runs(request_id) for t in self.targets)

    async def send_request(
        self,
        request_id: str,
        service: str = "tally",
        method: str = "POST",
        frontend: int = 0,
        **headers: str,
    ) -> tuple[int, str, str]:
        """Sends one request; its body is the reversed request id.

        Returns:
            The status, the body, and the X-Limpetyard-Ran header or "".
        """
        all_headers = {**HEADERS, "X-Request-Id": request_id, **headers}
        async with self.http.request(
            method,
            f"{self.urls[frontend]}/v1/{service}/x",
            data=request_id[::-1].encode(),
            headers=all_headers,
        ) as resp:
            text = await resp.text()
            return resp.status, text, resp.headers.get("X-Limpetyard-Ran", "")

    async def _add_target(self, number: int) -> None:
        target = TargetServer(8)
        port = free_port()
        runner = web.AppRunner(
            target.app(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.addAsyncCleanup(_close, runner, target)
        self.targets.append(target)
        for service in ("tally", "lookup"):
            self.vms.append(
                Vm(
                    f"target-{number}",
                    VmRole.TARGET,
                    "zone-0",
                    f"http://127.0.0.1:{port}",
                    service=service,
                )
            )

    async def _add_frontend(self, number: int) -> None:
        port = free_port()
        frontend = RequestService(
            f"entry-{number}",
            "127.0.0.1",
            port,
            SLOT_POLICIES.get("dealt"),
            BootClock(),
            Metrics(),
            lambda: True,
        )
        await frontend.start()
        self.addAsyncCleanup(frontend.stop)
        self.frontends.append(frontend)
        self.urls.append(f"http://127.0.0.1:{port}")


async def _close(runner: web.AppRunner, target: TargetServer) -> None:
    target.abort_all()
    await asyncio.wait_for(runner.cleanup(), 5)
