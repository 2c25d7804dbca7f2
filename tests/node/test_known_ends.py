"""What an owner knows of ends that are not stored, on whole sites."""

import asyncio
import unittest

import msgspec

from limpetyard.engine import RunEndKind
from limpetyard.jobs import TaskHistory, TaskKey
from limpetyard.node import RemainingLeases
from limpetyard.node._handover import shift_histories
from standins.platform import SimulatedSite, violations
from tests.node.test_long_running import (
    SETTLED_S,
    long_running_job,
)
from tests.node.test_unstarted_doubts import DoubtTestCase, until


class CheckpointTest(DoubtTestCase):
    """A worker with the end of a run answers the next owner a little late."""

    def test_stopped_run(self):
        """A task starts from an older checkpoint than the stopped run saved.

        The end is not stored when the cell passes on. Its worker answers the
        next owner after 0.1 s.
        """
        checkpoints: list[tuple[int, str]] = []

        async def hook(site, dispatcher, worker, effect) -> None:
            checkpoints.append((effect.run, effect.checkpoint))
            if effect.run == 2:
                await asyncio.Event().wait()
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            busy = next(w for w in site.workers.values() if w.running())
            previous = site.owner()
            (task,) = busy.running()
            engine = previous.node._owners[0].engine
            previous.store_link.cut = True
            busy.end_run(task, RunEndKind.STOPPED)
            await until(lambda: engine.find_task(task).checkpoint)
            for host in site.hosts:
                if host is not previous:
                    host.worker_links[busy.entry.id].delay_ms = 50.0
            site.pass_cell_on()
            await asyncio.sleep(8)

        site = self.run_site(scenario, hook)
        self.assertEqual(violations(site.history), [])
        _, checkpoint = next(c for c in checkpoints if c[0] > 2)
        self.assertEqual(checkpoint, "saved")


class EarlierLeases(msgspec.Struct, frozen=True):
    """`RemainingLeases` of the release before histories."""

    epoch: int
    left_ms: dict[str, float]
    orders_left_ms: float = 0.0
    member: str = ""
    claims: dict[int, str] = {}
    extended_left_ms: float | None = None
    unstarted: tuple[TaskKey, ...] = ()


class ReplyTest(unittest.TestCase):
    """Histories in the reply, as other releases send and read it."""

    key = TaskKey("1" * 16, 0, 0, 7)

    def test_round_trip(self):
        """Histories are lost, or of another type, on the wire."""
        history = TaskHistory(self.key, 9, (8,), "saved", 3, "w", 250.0)
        leases = RemainingLeases(
            3, {}, unstarted=(self.key,), histories=(history,)
        )
        data = msgspec.json.encode(leases)
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded, leases)

    def test_earlier_release(self):
        """A reply with histories is not read, or one without them."""
        history = TaskHistory(self.key, 9)
        leases = RemainingLeases(
            3, {"w": 1.0}, unstarted=(self.key,), histories=(history,)
        )
        data = msgspec.json.encode(leases)
        earlier = msgspec.json.decode(data, type=EarlierLeases | None)
        self.assertEqual(earlier.unstarted, (self.key,))
        self.assertEqual(earlier.left_ms, {"w": 1.0})
        data = msgspec.json.encode(earlier)
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded.histories, ())

    def test_times(self):
        """A backoff is longer or shorter on the clock of the next owner."""
        histories = [TaskHistory(self.key, 9, retry_ms=t) for t in (0, 1250)]
        left = shift_histories(histories, -1000)
        self.assertEqual([h.retry_ms for h in left], [0, 250])
        applied = shift_histories(left, 70_000)
        self.assertEqual([h.retry_ms for h in applied], [70_000, 70_250])


if __name__ == "__main__":
    unittest.main()
