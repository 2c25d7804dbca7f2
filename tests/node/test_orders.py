"""Tests of start orders whose replies are lost."""

import unittest

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    Engine,
    EngineParams,
    PollReply,
    RunState,
    Start,
    StartResult,
    WorkerEntry,
    WorkerOutcomeUnknownError,
)
from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec
from limpetyard.node._order_dispatch import OrderDispatcher


class _ScriptedWorkerClient:
    """Worker client that replies to starts from a list; None means no reply."""

    def __init__(self, replies: list[StartResult | None]):
        self.replies = replies

    async def start(self, entry, order) -> StartResult:
        reply = self.replies.pop(0)
        if reply is None:
            raise WorkerOutcomeUnknownError(entry.id)
        return reply


class StartTest(unittest.IsolatedAsyncioTestCase):
    """State of a run after its start order."""

    async def start(self, *replies: StartResult | None):
        """Executes one start; returns the run in the engine, or None."""
        clock = ManualClock(1000.0)
        engine = Engine(1, EngineParams(4000, 5000))
        entry = WorkerEntry(
            "w", "pool", "", "z", "r", (), Resources(4000, 4000), 1
        )
        worker = engine.set_entry(entry, 0.0)
        engine.on_poll_reply(worker, 0.0, PollReply(1, 0.0, [], []), 1000.0)
        engine.set_recorded_workers({"w": (1, False)})
        spec = JobSpec("0" * 16, QueueParams("q", "pool"), "", (StepSpec(1),))
        engine.add_job(spec, 0.0, loaded=False)
        (effect,) = engine.plan(1000.0, 0.0)
        self.assertIsInstance(effect, Start)
        dispatcher = OrderDispatcher(
            engine,
            _ScriptedWorkerClient(list(replies)),
            None,
            clock,
            4000,
            lambda: True,
            self.fail,
            lambda: None,
        )
        await dispatcher.execute(effect)
        return worker.runs.get((effect.task, effect.run))

    async def test_answered(self):
        """A started run is running; a rejected one does not exist."""
        run = await self.start(StartResult.STARTED)
        self.assertIs(run.state, RunState.RUNNING)
        self.assertIsNone(await self.start(StartResult.NO_ROOM))

    async def test_started_by_second_attempt(self):
        """A start that is retried after a lost reply leads to one run."""
        run = await self.start(None, StartResult.STARTED)
        self.assertIs(run.state, RunState.RUNNING)

    async def test_refused_after_unanswered_attempt(self):
        """A rejected retry does not prove that there is no run.

        The unanswered first attempt may have started a run, which may have
        ended already. The engine must keep the run and mark it as stopping.
        """
        for result in StartResult:
            if result is StartResult.STARTED:
                continue
            with self.subTest(result=result):
                run = await self.start(None, result)
                self.assertIsNotNone(run)
                self.assertIs(run.state, RunState.STOPPING)


if __name__ == "__main__":
    unittest.main()
