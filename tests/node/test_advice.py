"""Calls for advice: their order, time-outs and repetitions."""

import asyncio
import unittest

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    Engine,
    EngineParams,
    PollReply,
    RequestAdvice,
    Start,
    StartResult,
    Ticket,
    WorkerEntry,
    WorkerOutcomeUnknownError,
)
from limpetyard.jobs import (
    AdviceParams,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
)
from limpetyard.node._order_dispatch import OrderDispatcher
from tests.node.test_orders import HeldWorkerClient

# A reply for one worker takes 7 s.
SLOW = QueueParams("slow", "pool", advice=AdviceParams(6000, 1000, 60_000))
FAST = QueueParams("fast", "pool", advice=AdviceParams(5, 1, 60_000))


class _HeldAdviceClient:
    """Client whose calls wait until the test answers them.

    Attributes:
        calls: Job, time-out and future reply of each call.
    """

    def __init__(self):
        self.calls: list[tuple[str, float, asyncio.Future]] = []

    async def advise(self, job, occurrence, step, workers, timeout_ms):
        fut = asyncio.get_running_loop().create_future()
        self.calls.append((job, timeout_ms, fut))
        return await fut


class AdviceTest(unittest.IsolatedAsyncioTestCase):
    """Requests for advice on one worker."""

    def setUp(self):
        """Creates an engine with one worker, and a dispatcher."""
        self.clock = ManualClock(1000.0)
        self.engine = Engine(1, EngineParams(4000, 5000))
        self.client = _HeldAdviceClient()
        self.workers = HeldWorkerClient()
        self.dispatcher = OrderDispatcher(
            self.engine,
            self.workers,
            self.client,
            self.clock,
            4000,
            lambda: True,
            self.fail,
            lambda: None,
            asyncio.Event(),
        )
        entry = WorkerEntry(
            "w", "pool", "", "z", "r", (), Resources(8000, 8000), 1
        )
        self.worker = self.engine.set_entry(entry, 0.0)

    def submit(self, number: int, queue: QueueParams) -> str:
        """Submits a job of one task and returns its id."""
        step = StepSpec(1, Resources(1000, 1000))
        spec = JobSpec(f"{number:016x}", queue, "", (step,))
        self.engine.add_job(spec, self.clock.now_ms(), loaded=False)
        return spec.id

    async def plan(self) -> list[Start]:
        """Plans, makes the requests for advice and returns the starts."""
        now_ms = self.clock.now_ms()
        reply = PollReply(1, now_ms, [], [])
        self.engine.on_poll_reply(self.worker, now_ms, reply, now_ms)
        self.engine.set_recorded_workers({"w": (1, False)})
        effects = self.engine.plan(now_ms, 0.0)
        for effect in effects:
            if isinstance(effect, RequestAdvice):
                call = asyncio.create_task(self.dispatcher.accept(effect))
                self.addCleanup(call.cancel)
        await self.settle()
        return [effect for effect in effects if isinstance(effect, Start)]

    async def settle(self) -> None:
        """Lets all tasks run until they wait."""
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_slow_service(self):
        """A reply that legitimately takes 7 s was given up after 2 s."""
        self.submit(1, SLOW)
        for _ in range(8):
            await self.plan()
            self.clock.advance(1000.0)
        ((_, timeout_ms, reply),) = self.client.calls
        self.assertGreater(timeout_ms, 7000)
        reply.set_result([Ticket("w", "t", 60_000)])
        await self.settle()
        (start,) = await self.plan()
        self.assertEqual(start.ticket, "t")

    async def test_other_queues(self):
        """The calls of a queue with slow advice held up those of others."""
        slow = [self.submit(number, SLOW) for number in range(5)]
        fast = self.submit(9, FAST)
        await self.plan()
        called = [job for job, _, _ in self.client.calls]
        self.assertEqual(len(called), 2)
        self.assertEqual(set(called) - set(slow), {fast})

    async def test_repeated_with_more_time(self):
        """Figures that are too low made each call fail."""
        self.submit(1, FAST)
        for _ in range(4):
            await self.plan()
            _, _, reply = self.client.calls[-1]
            reply.set_exception(WorkerOutcomeUnknownError("advice"))
            await self.settle()
            calls = len(self.client.calls)
            await self.plan()
            self.assertEqual(len(self.client.calls), calls)
            self.clock.advance(1500.0)
        timeouts = [timeout_ms for _, timeout_ms, _ in self.client.calls]
        first = timeouts[0]
        self.assertEqual(timeouts, [first, 2 * first, 4 * first, 4 * first])

    async def test_ticket_that_expires_in_the_queue(self):
        """A start that waited was sent with a ticket that had expired."""
        first, second = self.submit(1, SLOW), self.submit(2, SLOW)
        await self.plan()
        for left in (60_000, 1500):
            self.client.calls[-1][2].set_result([Ticket("w", "t", left)])
            await self.settle()
        starts = await self.plan()
        self.assertEqual({s.task.job for s in starts}, {first, second})
        starts.sort(key=lambda start: start.task.job)
        for start in starts:
            order = asyncio.create_task(self.dispatcher.accept(start))
            self.addCleanup(order.cancel)
        await self.settle()
        self.clock.advance(1400.0)
        self.workers.starts[0][2].set_result(StartResult.STARTED)
        await self.settle()
        self.assertEqual(len(self.workers.starts), 1)
        self.assertEqual(len(self.engine.jobs[second].waiting_tasks(0, 0)), 1)
        await self.plan()
        self.assertEqual(self.client.calls[-1][0], second)

    async def test_job_that_has_ended(self):
        """Advice is requested for a job that was cancelled meanwhile."""
        first, second = self.submit(1, SLOW), self.submit(2, SLOW)
        await self.plan()
        self.engine.cancel_job(second, 0.0)
        self.engine.cancel_job(first, 0.0)
        self.client.calls[0][2].set_result([])
        await self.settle()
        self.assertEqual(len(self.client.calls), 1)


if __name__ == "__main__":
    unittest.main()
