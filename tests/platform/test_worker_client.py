"""Client of workers against a stand-in worker over HTTP."""

import asyncio
import random
import unittest

import msgspec
from aiohttp import web

from limpetyard._clock import BootClock, ManualClock
from limpetyard.engine import (
    Engine,
    EngineParams,
    OrderWithheldError,
    PaceOrder,
    PollReply,
    PollRequest,
    StaleTokenError,
    StartOrder,
    StartResult,
    Ticket,
    WorkerDisconnectedError,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.jobs import (
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    TaskKey,
)
from limpetyard.node._order_dispatch import OrderDispatcher
from limpetyard.platform._worker_client import (
    MAX_CONNECTIONS,
    PlatformAdviceClient,
    PlatformWorkerClient,
    format_task_key,
    parse_task_key,
)
from standins.platform._gangs import Gangs
from standins.platform._history import History
from standins.platform._http import WorkerServer
from standins.platform._worker import WorkerModel

TASK = TaskKey("0123456789abcdef", 0, 1, 2)


def entry(address: str, worker_id: str = "w-1") -> WorkerEntry:
    """Returns a directory entry of a worker at `address`."""
    return WorkerEntry(
        worker_id, "pool", address, "z", "r", (), Resources(8000, 8000), 7
    )


class PlatformWorkerClientTest(unittest.IsolatedAsyncioTestCase):
    """Orders to a worker and its replies."""

    async def asyncSetUp(self) -> None:
        """Starts a worker and connects a client."""
        self.model = WorkerModel(
            entry(""),
            BootClock(),
            History(),
            lambda job: None,
            random.Random(0),
            Gangs(),
        )
        self.model.runs_never_end = True
        self.server = WorkerServer(self.model)
        self.runner = web.ServerRunner(web.Server(self.server.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.entry = entry(f"127.0.0.1:{port}")
        self.workers = PlatformWorkerClient()

    async def asyncTearDown(self) -> None:
        """Closes the client and stops the worker."""
        await self.workers.close()
        await self.runner.cleanup()

    def order(self, run: int = 1, token: int = 1) -> StartOrder:
        """Returns a start order."""
        return StartOrder(TASK, run, "payload", 60_000, token, "saved")

    async def test_start_and_poll(self):
        """A poll reports a started run and the worker's incarnation."""
        result = await self.workers.start(self.entry, self.order())
        poll = PollRequest(1, 0, 60_000, 0)
        reply = await self.workers.poll(self.entry, poll, 500)
        self.assertIs(result.result, StartResult.STARTED)
        self.assertAlmostEqual(result.clock_ms, reply.clock_ms, delta=1000)
        self.assertEqual(reply.born, 7)
        self.assertEqual([(r.task, r.run) for r in reply.runs], [(TASK, 1)])

    async def test_stop_before_start(self):
        """A stopped run cannot start any more; a later run can."""
        await self.workers.stop(self.entry, TASK, 3, 1)
        stopped = await self.workers.start(self.entry, self.order(run=3))
        later = await self.workers.start(self.entry, self.order(run=4))
        self.assertIs(stopped.result, StartResult.STALE_RUN)
        self.assertIs(later.result, StartResult.STARTED)

    async def test_fenced(self):
        """Every order with a lower fencing token is rejected."""
        await self.workers.start(self.entry, self.order(token=9))
        with self.assertRaises(StaleTokenError):
            await self.workers.start(self.entry, self.order(token=8))
        with self.assertRaises(StaleTokenError):
            await self.workers.stop(self.entry, TASK, 1, 8)
        with self.assertRaises(StaleTokenError):
            await self.workers.poll(self.entry, PollRequest(8, 0, None, 0), 500)

    async def test_expired(self):
        """A start order has no effect after its lease has expired."""
        order = msgspec.structs.replace(self.order(), lease_until_ms=-1)
        result = await self.workers.start(self.entry, order)
        self.assertIs(result.result, StartResult.EXPIRED)

    async def test_pace(self):
        """A poll reports the speed limit of a run."""
        await self.workers.start(self.entry, self.order())
        await self.workers.pace(self.entry, PaceOrder(TASK, 1, 40, 1))
        reply = await self.workers.poll(
            self.entry, PollRequest(1, 0, None, 0), 500
        )
        self.assertEqual(reply.runs[0].percent, 40)

    async def test_wrong_worker(self):
        """Another worker at the address raises its own error."""
        other = entry(self.entry.address, "w-2")
        with self.assertRaises(WrongWorkerError):
            await self.workers.start(other, self.order())

    async def test_unhealthy(self):
        """An unhealthy worker rejects a start order."""
        self.model.up = False
        result = await self.workers.start(self.entry, self.order())
        self.assertIs(result.result, StartResult.UNHEALTHY)

    async def test_closed_connection(self):
        """A crash that closes the connection is taken for a time-out."""
        poll = self.workers.poll(self.entry, PollRequest(1, 0, None, 300), 5000)
        polling = asyncio.ensure_future(poll)
        while not self.server.last_body:
            await asyncio.sleep(0.01)
        for connection in self.runner.server.connections:
            connection.transport.abort()
        with self.assertRaises(WorkerDisconnectedError):
            await polling

    async def test_time_out(self):
        """A time-out is taken for a crash that closed the connection."""
        order = PollRequest(1, 0, None, 300)
        with self.assertRaises(WorkerOutcomeUnknownError) as caught:
            await self.workers.poll(self.entry, order, 100)
        self.assertNotIsInstance(caught.exception, WorkerDisconnectedError)

    async def test_connection_refused(self):
        """A refused connection is distinguished from a time-out."""
        with self.assertRaises(WorkerDownError):
            await self.workers.start(entry("127.0.0.1:1"), self.order())


class RejectedOrderTest(unittest.IsolatedAsyncioTestCase):
    """Orders that a worker answers without having obeyed them."""

    async def asyncSetUp(self) -> None:
        """Starts a server that replies with `status` and `body`."""
        self.status, self.body = 200, b"{}"
        self.paths: list[str] = []
        self.runner = web.ServerRunner(web.Server(self.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.entry = entry(f"127.0.0.1:{port}")
        self.workers = PlatformWorkerClient()

    async def asyncTearDown(self) -> None:
        """Closes the client and stops the server."""
        await self.workers.close()
        await self.runner.cleanup()

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Replies to any request."""
        self.paths.append(req.path)
        return web.Response(status=self.status, body=self.body)

    async def test_only_success_is_an_acknowledgement(self):
        """A rejected stop or change of speed counts as obeyed."""
        self.body = b'{"reason": "old"}'
        for self.status in (202, 400, 404, 409, 410, 429, 500, 503):
            with self.subTest(status=self.status):
                with self.assertRaises(WorkerOutcomeUnknownError):
                    await self.workers.stop(self.entry, TASK, 1, 1)
                with self.assertRaises(WorkerOutcomeUnknownError):
                    order = PaceOrder(TASK, 1, 40, 1)
                    await self.workers.pace(self.entry, order)

    async def test_rejected_stop_is_repeated(self):
        """A run whose stop was rejected is never asked to stop again."""
        engine = Engine(1, EngineParams(4000, 5000))
        worker = engine.set_entry(self.entry, 0.0)
        engine.on_poll_reply(worker, 0.0, PollReply(7, 0.0, [], []), 0.0)
        engine.set_recorded_workers({worker.id: (7, False)})
        spec = JobSpec("0" * 16, QueueParams("q", "pool"), "", (StepSpec(1),))
        engine.add_job(spec, 0.0, loaded=False)
        clock = ManualClock(0.0)
        dispatcher = OrderDispatcher(
            engine,
            self.workers,
            None,
            clock,
            4000,
            lambda: True,
            self.fail,
            lambda: None,
            asyncio.Event(),
        )
        (start,) = engine.plan(0.0, 0.0)
        await dispatcher.execute(start)
        engine.cancel_job(spec.id, 0.0)
        for self.status in (429, 503, 200, 200):
            for effect in engine.plan(clock.now_ms(), 0.0):
                await dispatcher.execute(effect)
            clock.advance(1000.0)
        self.assertEqual(self.paths.count("/run-stop"), 3)


class AdviceTurnTest(unittest.IsolatedAsyncioTestCase):
    """Calls to an advice service that takes long."""

    async def asyncSetUp(self) -> None:
        """Starts a service that takes 300 ms for each call, one at a time."""
        turn = asyncio.Lock()

        async def handle(req: web.BaseRequest) -> web.Response:
            async with turn:
                await asyncio.sleep(0.3)
            return web.json_response({"good": [["w", "t"]], "validityMs": 9})

        self.runner = web.ServerRunner(web.Server(handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.advice = PlatformAdviceClient(f"127.0.0.1:{port}")

    async def asyncTearDown(self) -> None:
        """Closes the client and stops the service."""
        await self.advice.close()
        await self.runner.cleanup()

    async def test_wait_for_others(self):
        """The time that calls waited for others counted as theirs."""
        calls = [
            self.advice.advise(f"{job:016x}", 0, 0, ["w"], 550)
            for job in range(4)
        ]
        self.assertEqual(
            await asyncio.gather(*calls), [[Ticket("w", "t", 9.0)]] * 4
        )


class WithheldOrderTest(unittest.IsolatedAsyncioTestCase):
    """Orders that wait for a connection while they become outdated."""

    async def asyncSetUp(self) -> None:
        """Occupies all connections to a worker with polls."""
        self.paths: list[str] = []
        self.held = asyncio.Event()
        self.runner = web.ServerRunner(web.Server(self.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.entry = entry(f"127.0.0.1:{port}")
        self.may_order = True
        self.token = 1
        self.client = PlatformWorkerClient()
        self.workers = self.client.guarded(
            lambda worker_id, token: (
                self.may_order and (worker_id, token) == ("w-1", self.token)
            )
        )
        self.polls = [
            asyncio.create_task(
                self.workers.poll(self.entry, PollRequest(1, 0, None, 0), 5000)
            )
            for _ in range(MAX_CONNECTIONS)
        ]
        while len(self.paths) < MAX_CONNECTIONS:
            await asyncio.sleep(0.01)

    async def asyncTearDown(self) -> None:
        """Closes the client and stops the server."""
        await asyncio.gather(*self.polls)
        await self.client.close()
        await self.runner.cleanup()

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Replies once the test allows it."""
        self.paths.append(req.path)
        await self.held.wait()
        return web.json_response({"clockMs": 1.0, "born": 7})

    async def release(self, order, may_order: bool) -> asyncio.Task:
        """Frees the connections while an order waits for one."""
        waiting = asyncio.create_task(order)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.paths), MAX_CONNECTIONS)
        self.may_order = may_order
        self.held.set()
        await asyncio.wait([waiting])
        return waiting

    async def check_withheld(self, order) -> None:
        """Checks that an order is not sent once the ownership has ended."""
        waiting = await self.release(order, may_order=False)
        self.assertEqual(self.paths, ["/hold"] * MAX_CONNECTIONS)
        self.assertIsInstance(waiting.exception(), OrderWithheldError)

    async def test_stop(self):
        """A stop left 500 ms after its sender had been fenced."""
        await self.check_withheld(self.workers.stop(self.entry, TASK, 1, 1))

    async def test_pace(self):
        """A pace left 500 ms after its sender had been fenced."""
        order = PaceOrder(TASK, 1, 40, 1)
        await self.check_withheld(self.workers.pace(self.entry, order))

    async def test_start(self):
        """A start left 500 ms after its sender had been fenced."""
        order = StartOrder(TASK, 1, "payload", 60_000, 1)
        await self.check_withheld(self.workers.start(self.entry, order))

    async def test_poll(self):
        """A poll renewed a lease after its sender had been fenced."""
        order = PollRequest(1, 0, 60_000, 0)
        await self.check_withheld(self.workers.poll(self.entry, order, 500))

    async def test_restarted_worker(self):
        """TWICE: a start left after the restart of its worker was known.

        The new incarnation executed it, with a time of the earlier clock.
        """
        order = StartOrder(TASK, 1, "payload", 60_000, 1)
        waiting = asyncio.create_task(self.workers.start(self.entry, order))
        await asyncio.sleep(0.05)
        self.token = 2
        self.held.set()
        await asyncio.wait([waiting])
        self.assertEqual(self.paths, ["/hold"] * MAX_CONNECTIONS)
        self.assertIsInstance(waiting.exception(), OrderWithheldError)

    async def test_still_permitted(self):
        """An order that waited for a connection is sent."""
        order = self.workers.stop(self.entry, TASK, 1, 1)
        waiting = await self.release(order, may_order=True)
        self.assertIsNone(waiting.exception())
        self.assertEqual(self.paths[-1], "/run-stop")

    async def test_later_calls(self):
        """A withheld order occupies a connection for good."""
        await self.test_stop()
        for _ in range(MAX_CONNECTIONS + 1):
            await self.client.stop(self.entry, TASK, 1, 1)


class WireFormatTest(unittest.TestCase):
    """Task names on the wire."""

    def test_task_name(self):
        """A formatted task key is parsed back."""
        self.assertEqual(parse_task_key(format_task_key(TASK)), TASK)

    def test_bad_name(self):
        """A task name of another form raises an error."""
        with self.assertRaises(ValueError):
            parse_task_key("abc.1")

    def test_other_spellings(self):
        """A name that `int` reads as that of another task names no task."""
        for name in ("a.+0.1.2", "a. 0.1.2", "a.0.0_1.2", "a.0.1.\uff12"):
            with self.subTest(name), self.assertRaises(ValueError):
                parse_task_key(name)


if __name__ == "__main__":
    unittest.main()
