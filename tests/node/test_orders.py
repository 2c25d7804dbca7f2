"""Tests of start orders with lost answers."""

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


class _Workers:
    """Worker client that answers starts from a list; None is no answer."""

    def __init__(self, answers: list[StartResult | None]):
        self.answers = answers

    async def start(self, entry, order) -> StartResult:
        answer = self.answers.pop(0)
        if answer is None:
            raise WorkerOutcomeUnknownError(entry.id)
        return answer


class StartTest(unittest.IsolatedAsyncioTestCase):
    """State of a run after its start order."""

    async def start(self, *answers: StartResult | None):
        """Executes one start; returns the run in the engine, or None."""
        clock = ManualClock(1000.0)
        engine = Engine(1, EngineParams(4000, 5000))
        entry = WorkerEntry(
            "w", "pool", "", "z", "r", (), Resources(4000, 4000), 1
        )
        worker = engine.set_entry(entry, 0.0)
        engine.on_poll(worker, 0.0, PollReply(1, 0.0, [], []), 1000.0)
        engine.set_recorded({"w": (1, False)})
        spec = JobSpec("0" * 16, QueueParams("q", "pool"), "", (StepSpec(1),))
        engine.add_job(spec, 0.0, loaded=False)
        (effect,) = engine.plan(1000.0, 0.0)
        self.assertIsInstance(effect, Start)
        orders = OrderDispatcher(
            engine,
            _Workers(list(answers)),
            None,
            clock,
            4000,
            lambda: True,
            self.fail,
            lambda: None,
        )
        await orders.execute(effect)
        return worker.runs.get((effect.task, effect.run))

    async def test_answered(self):
        """A started run is running; a refused one does not exist."""
        run = await self.start(StartResult.STARTED)
        self.assertIs(run.state, RunState.RUNNING)
        self.assertIsNone(await self.start(StartResult.NO_ROOM))

    async def test_started_by_second_attempt(self):
        """A start that is retried after a lost answer leads to one run."""
        run = await self.start(None, StartResult.STARTED)
        self.assertIs(run.state, RunState.RUNNING)

    async def test_refused_after_unanswered_attempt(self):
        """A refused retry does not prove that there is no run.

        The unanswered first attempt may have started a run, which may have
        ended already. The run must be stopped, not dropped.
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
