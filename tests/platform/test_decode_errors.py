"""Replies that cannot be decoded."""

import unittest

from aiohttp import web

from limpetyard.engine import (
    PaceOrder,
    PollRequest,
    StartOrder,
    Ticket,
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

RUN = b'{"clockMs":1,"born":7,"running":[["%b.0.1.2",%b,"",100,%b]]}'
END = b'{"clockMs":1,"born":7,"endedRuns":[[%b,"%b.0.1.2",%b,"done",""]]}'
JOB = b"0" * 16
LARGE = b"%d" % 2**64

# Not JSON, JSON of another type, rows of too few columns, values of another
# type, deep nesting, and numbers that cannot be stored.
BODIES = (
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"running": [["x"]], "clockMs": 1}',
    b'{"clockMs":1,"later":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"clockMs":1e300,"born":7}',
    b'{"clockMs":1,"born":%b}' % LARGE,
    RUN % (JOB, LARGE, b"1"),
    RUN % (JOB, b"-1", b"1"),
    RUN % (JOB, b"1", b'"1"'),
    RUN % (b"9" * 5000, b"1", b"[1]"),
    END % (LARGE, JOB, b"1"),
    END % (b"1", JOB, LARGE),
    END % (b"1", b"x.y", b"1"),
)


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
        """After an undecodable reply the state of the worker is unknown.

        A number that could not be stored ended each ownership.
        """
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
        advice = PlatformAdviceClient(self.address)
        self.addAsyncCleanup(advice.close)
        for self.body in (b"", b"[]", b'{"good": [1]}'):
            with (
                self.subTest(self.body),
                self.assertRaises(WorkerOutcomeUnknownError),
            ):
                await advice.advise("0" * 16, 0, 0, ["w-0"], 500)

    async def test_odd_rows_of_advice(self):
        """A row of other types hid the tickets beside it, or became one.

        A worker that is a list cannot be the key of a table.
        """
        advice = PlatformAdviceClient(self.address)
        self.addAsyncCleanup(advice.close)
        odd = b'[], [[], "t"], ["w-1", 5], [null, "t"], ["w-2"]'
        self.body = b'{"good": [%b, ["w-3", "t", 9]], "validityMs": 5}' % odd
        tickets = await advice.advise(
            "0" * 16, 0, 0, ["w-1", "w-2", "w-3"], 500
        )
        self.assertEqual(tickets, [Ticket("w-3", "t", 5)])

    async def test_large_numbers_of_the_store(self):
        """An offset of more than 64 bits is no epoch that could be stored."""
        store = PlatformStore(self.address)
        self.addAsyncCleanup(store.close)
        item = b'{"key":"a","value":"","offset":%b}' % LARGE
        replies = (
            (store.append, ("jobs", 0, []), b'{"offset":%b}' % LARGE),
            (store.read, ("jobs", 0, 0, 0), b"\xff" * 16),
            (
                store.read_latest,
                ("jobs", 0, ""),
                b'{"items":[%b],"hasMore":false,"endOffset":0}' % item,
            ),
            (
                store.join,
                ("g", "m", "jobs", 1000, 0),
                b'{"generation":%b,"parts":[]}' % LARGE,
            ),
            (
                store.join,
                ("g", "m", "jobs", 1000, 0),
                b'{"generation":1,"parts":[["t",-1,0]]}',
            ),
        )
        for call, args, self.body in replies:
            with (
                self.subTest(self.body),
                self.assertRaises(StoreOutcomeUnknownError),
            ):
                await call(*args)

    async def test_odd_rows_of_owners(self):
        """A row of other types hid the owners beside it, or became one.

        A member that is a list raised an error in the service that reads it.
        """
        store = PlatformStore(self.address)
        self.addAsyncCleanup(store.close)
        odd = b'["t",[],"m"],["t",true,"m"],["t",2,[]],["t",3,7],["t","4","m"]'
        self.body = b'{"n":1,"rows":[%b,["t",1,"n|a|2",5],["t"]]}' % odd
        owners = await store.partition_owners("g")
        self.assertEqual(owners, {1: "n|a|2"})
        self.body = b'"text"'
        with self.assertRaises(StoreOutcomeUnknownError):
            await store.partition_owners("g")

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
