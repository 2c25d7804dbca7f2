"""Replies that cannot be decoded."""

import unittest

from aiohttp import web

from limpetyard.engine import (
    PaceOrder,
    PollRequest,
    StartOrder,
    WorkerOutcomeUnknownError,
)
from limpetyard.jobs import TaskKey
from limpetyard.platform._store import PlatformStore
from limpetyard.platform._worker_client import (
    PlatformAdviceClient,
    PlatformWorkerClient,
)
from limpetyard.store import KeyedRecord, StoreOutcomeUnknownError
from tests.platform.test_worker_client import entry

TASK = TaskKey("0" * 16, 0, 0, 0)

# Not JSON, JSON of another type, and rows of too few columns.
BODIES = (b"", b"\xff\xfe", b"[]", b'{"running": [["x"]], "clockMs": 1}')


class UndecodableReplyTest(unittest.IsolatedAsyncioTestCase):
    """Calls raise the error for an unknown outcome, whatever the reply is."""

    async def asyncSetUp(self) -> None:
        """Starts a server that replies to each request with `self.body`."""
        self.body = b""

        async def handle(req: web.BaseRequest) -> web.Response:
            return web.Response(body=self.body)

        self.runner = web.ServerRunner(web.Server(handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.addAsyncCleanup(self.runner.cleanup)

    async def test_workers(self):
        """After an undecodable reply the state of the worker is unknown."""
        workers = PlatformWorkerClient()
        self.addAsyncCleanup(workers.close)
        for self.body in BODIES:
            with (
                self.subTest(self.body),
                self.assertRaises(WorkerOutcomeUnknownError),
            ):
                order = PollRequest(1, 0, None, 0)
                await workers.poll(entry(self.address), order, 500)

    async def test_orders(self):
        """A reply of status 200 reports success, whatever its body is."""
        workers = PlatformWorkerClient()
        self.addAsyncCleanup(workers.close)
        start = StartOrder(TASK, 1, "payload", 60_000, 1)
        await workers.start(entry(self.address), start)
        await workers.pace(entry(self.address), PaceOrder(TASK, 1, 40, 1))

    async def test_advice(self):
        """An undecodable reply gives no advice."""
        advice = PlatformAdviceClient(self.address, 500)
        self.addAsyncCleanup(advice.close)
        for self.body in (b"", b"[]", b'{"good": [1]}'):
            with (
                self.subTest(self.body),
                self.assertRaises(WorkerOutcomeUnknownError),
            ):
                await advice.advise("0" * 16, 0, 0, ["w-0"])

    async def test_store(self):
        """After an undecodable reply the outcome of the call is unknown."""
        store = PlatformStore(self.address)
        self.addAsyncCleanup(store.close)
        calls = (
            lambda: store.append("jobs", 0, [KeyedRecord("a", b"1")]),
            lambda: store.read("jobs", 0, 0, 0),
            lambda: store.read_latest("jobs", 0, ""),
            lambda: store.join("g", "m", "jobs", 1000, 0),
            lambda: store.partition_owners("g"),
        )
        for call in calls:
            with self.assertRaises(StoreOutcomeUnknownError):
                await call()


if __name__ == "__main__":
    unittest.main()
