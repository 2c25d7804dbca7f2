"""Answers of another form."""

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
from tests.platform.test_workers import entry

TASK = TaskKey("0" * 16, 0, 0, 0)

# No JSON, JSON of another form, rows that are no rows.
BODIES = (b"", b"\xff\xfe", b"[]", b'{"running": [["x"]], "clockMs": 1}')


class UnreadableTest(unittest.IsolatedAsyncioTestCase):
    """Every call ends with its typed error, whatever comes back."""

    async def asyncSetUp(self) -> None:
        """Starts a server that answers nonsense."""
        self.body = b""

        async def answer(req: web.BaseRequest) -> web.Response:
            return web.Response(body=self.body)

        self.runner = web.ServerRunner(web.Server(answer))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.addAsyncCleanup(self.runner.cleanup)

    async def test_workers(self):
        """An unreadable list says nothing of the worker."""
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
        """An answer that says success is one, whatever it adds."""
        workers = PlatformWorkerClient()
        self.addAsyncCleanup(workers.close)
        start = StartOrder(TASK, 1, "payload", 60_000, 1)
        await workers.start(entry(self.address), start)
        await workers.pace(entry(self.address), PaceOrder(TASK, 1, 40, 1))

    async def test_advice(self):
        """Unreadable advice is none."""
        advice = PlatformAdviceClient(self.address, 500)
        self.addAsyncCleanup(advice.close)
        for self.body in (b"", b"[]", b'{"good": [1]}'):
            with (
                self.subTest(self.body),
                self.assertRaises(WorkerOutcomeUnknownError),
            ):
                await advice.advise("0" * 16, 0, 0, ["w-0"])

    async def test_store(self):
        """Whether a record is stored is not known then."""
        store = PlatformStore(self.address)
        self.addAsyncCleanup(store.close)
        calls = (
            lambda: store.append("jobs", 0, [KeyedRecord("a", b"1")]),
            lambda: store.read("jobs", 0, 0, 0),
            lambda: store.newest("jobs", 0, ""),
            lambda: store.join("g", "m", "jobs", 1000, 0),
            lambda: store.holders("g"),
        )
        for call in calls:
            with self.assertRaises(StoreOutcomeUnknownError):
                await call()


if __name__ == "__main__":
    unittest.main()
