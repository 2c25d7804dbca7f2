"""How long best-effort work may wait beside serving work, and what it may harm.

Played without a network, in steps of time. Serving tasks take an eighth of the
cores; each reports a tail latency that depends on whether best-effort tasks
work beside it.
"""

import math
import unittest

from loguru import logger

from limpetyard.engine import (
    Engine,
    EngineParams,
    Pace,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunReport,
    Start,
    StartResult,
    Stop,
)
from limpetyard.jobs import Resources, StepSpec
from tests.engine.test_engine import LEASE_MS, EngineTestCase, entry, job

CORES = 32
TARGET_MS = 20.0
STEP_MS = 100

# A tail is taken over this time, and shows a disturbance for as long.
WINDOW_MS = 500

# A job must have begun this long after the end of the traffic, and may have
# nothing running for this long on end after that.
FINISH_MS = 14_000
LOST_MS = 3000

# The same where half of the cores or more are reserved.
CROWDED_WAIT_MS = 25_000


def serving(count: int, cores: int = 4) -> StepSpec:
    """Returns a step of serving tasks, one on each worker."""
    return StepSpec(
        count,
        Resources(cores * 1000, 1000, 0),
        long_running=True,
        per_worker=1,
        image="shop",
        target_ms=TARGET_MS,
    )


def filling(count: int, cores_milli: int = 3500, **more) -> StepSpec:
    """Returns a best-effort step."""
    need = Resources(cores_milli, 6400, 0)
    values = {"run_ms": 500, "image": "loom", "fills": True} | more
    return StepSpec(count, need, **values)


class BusySite(EngineTestCase):
    """Workers with one serving task each.

    Attributes:
        alone_ms: Tail latency of a serving task beside which nothing works.
        beside_ms: Tail latency beside best-effort tasks that work.
        work: Speed and work left, in ms, of each best-effort run, by worker,
            task and run.
        starts: Time and order of each start of a best-effort task.
        ended: Time and task of each end of one.
        stops: Time and worker of each stop of one.
        longest_over_ms: Longest time on end for which best-effort tasks worked
            beside a serving task over its target.
    """

    workers = 0
    worker_count = 8

    def setUp(self):
        """Starts the serving tasks and lets them settle."""
        super().setUp()
        logger.remove()
        self.engine = Engine(3, EngineParams(LEASE_MS, 5000))
        self.alone_ms = self.beside_ms = 0.0
        self.work: dict[tuple, list] = {}
        self.starts: list[tuple[float, Start]] = []
        self.ended: list[tuple[float, tuple]] = []
        self.stops: list[tuple[float, str]] = []
        self.longest_over_ms = 0.0
        self._over_since_ms: dict[str, float] = {}
        self._disturbed_ms: dict[str, float] = {}
        self._ends: dict[str, list[RunEndReport]] = {}
        for number in range(self.worker_count):
            self.add(entry(number, CORES))

    def play(self, duration_ms: float, alone_ms: float, beside_ms: float = 0.0):
        """Plays some time with these tail latencies.

        Args:
            duration_ms: The time.
            alone_ms: See the attribute.
            beside_ms: See the attribute; 0 if it is the same.
        """
        self.alone_ms = alone_ms
        self.beside_ms = beside_ms or alone_ms
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for effect in self.engine.plan(self.now_ms, 0.0, 48):
                self._execute(effect)
            self.now_ms += STEP_MS
            for number, worker in enumerate(self.engine.workers.values()):
                self._advance(worker.id)
                if (self.now_ms // STEP_MS + number) % 5 == 0:
                    self._report(worker)

    def start_serving(self, alone_ms: float) -> None:
        """Starts a serving task on each worker, with a tail latency."""
        self.submit(job(999, serving(self.worker_count)))
        self.play(4000, alone_ms)
        for worker in self.engine.workers.values():
            self.assertTrue(worker.runs)

    def waited_ms(self, number: int) -> float:
        """Plays until a best-effort job starts; returns the time from now."""
        since_ms = self.now_ms
        while self.now_ms - since_ms < 3 * FINISH_MS:
            self.play(STEP_MS, self.alone_ms, self.beside_ms)
            if any(s.task.job == f"{number:016x}" for _, s in self.starts):
                break
        return self.now_ms - since_ms

    def _execute(self, effect) -> None:
        key = (effect.worker, effect.task, effect.run)
        if isinstance(effect, Start):
            step = self.engine.find_task(effect.task).step
            if step.fills:
                self.work[key] = [100, float(step.run_ms)]
                self.starts.append((self.now_ms, effect))
            result = StartResult.STARTED
            self.engine.on_start_reply(effect, result, self.now_ms)
        elif isinstance(effect, Stop):
            self.engine.on_stop_reply(effect, self.now_ms)
            if self.work.pop(key, None):
                self.stops.append((self.now_ms, effect.worker))
                self._end(key, RunEndKind.STOPPED)
        elif isinstance(effect, Pace) and key in self.work:
            self.work[key][0] = effect.percent

    def _end(self, key: tuple, kind: RunEndKind) -> None:
        worker, task, run = key
        self.ends[worker] = self.ends.get(worker, 0) + 1
        report = RunEndReport(self.ends[worker], task, run, kind, "")
        self._ends.setdefault(worker, []).append(report)

    def _tail_ms(self, worker_id: str) -> float:
        if any(
            key[0] == worker_id and speed > 0
            for key, (speed, _) in self.work.items()
        ):
            self._disturbed_ms[worker_id] = self.now_ms
        quiet_ms = self.now_ms - self._disturbed_ms.get(worker_id, -math.inf)
        return self.beside_ms if quiet_ms < WINDOW_MS else self.alone_ms

    def _advance(self, worker_id: str) -> None:
        """Lets the best-effort runs of a worker work for one step of time."""
        harmed = self.alone_ms <= TARGET_MS < self._tail_ms(worker_id)
        if harmed:
            since_ms = self._over_since_ms.setdefault(
                worker_id, self.now_ms - STEP_MS
            )
            self.longest_over_ms = max(
                self.longest_over_ms, self.now_ms - since_ms
            )
        else:
            self._over_since_ms.pop(worker_id, None)
        for key in [key for key in self.work if key[0] == worker_id]:
            speed, _ = self.work[key]
            self.work[key][1] -= STEP_MS * speed / 100
            if self.work[key][1] <= 0:
                del self.work[key]
                self.ended.append((self.now_ms, key[1]))
                self._end(key, RunEndKind.DONE)

    def _report(self, worker) -> None:
        reports = []
        for run in worker.runs.values():
            key = (worker.id, run.task, run.run)
            if run.step.target_ms:
                tail_ms = self._tail_ms(worker.id)
                reports.append(RunReport(run.task, run.run, "", 100, tail_ms))
            elif key in self.work:
                speed = self.work[key][0]
                used = run.step.need.cores_milli * speed / 100
                reports.append(RunReport(run.task, run.run, "", speed, used))
        ends = self._ends.pop(worker.id, [])
        reply = PollReply(1, self.now_ms, reports, ends)
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)


class BoundedWaitTest(BusySite):
    """A best-effort job starts in bounded time, whatever the tails are."""

    def test_busy_serving_tasks(self):
        """LOST: never started beside tails at 85 % of their targets."""
        self.start_serving(17.0)
        self.submit(job(1, filling(2)))
        self.assertLess(self.waited_ms(1), FINISH_MS)
        self.play(FINISH_MS, 17.0)
        self.assertEqual(self.engine.jobs[f"{1:016x}"].state, "completed")

    def test_wider_than_the_idle_cores(self):
        """LOST: a task of 31 cores never started beside tasks of 4 of 32."""
        self.start_serving(0.0)
        self.submit(job(1, filling(1, 31_000)))
        self.assertLess(self.waited_ms(1), FINISH_MS)
        self.play(FINISH_MS, 0.0)
        self.assertEqual(self.engine.jobs[f"{1:016x}"].state, "completed")

    def test_crowded(self):
        """LOST: never started where serving tasks reserve most cores.

        Nor as soon as elsewhere: long jobs would take the headroom of others.
        """
        self.submit(job(998, serving(self.worker_count, 16)))
        self.start_serving(17.0)
        self.submit(job(1, filling(2)))
        waited_ms = self.waited_ms(1)
        self.assertGreater(waited_ms, FINISH_MS)
        self.assertLess(waited_ms, CROWDED_WAIT_MS)

    def test_serving_tasks_over_their_targets(self):
        """LOST: never started beside tails over their targets by own load."""
        self.start_serving(25.0)
        self.submit(job(1, filling(2)))
        self.assertLess(self.waited_ms(1), FINISH_MS)
        self.play(FINISH_MS, 25.0)
        self.assertEqual(self.engine.jobs[f"{1:016x}"].state, "completed")

    def test_later_step(self):
        """LOST: each later step of an old job waits anew."""
        self.start_serving(17.0)
        self.submit(job(1, filling(1), filling(1, after=(0,))))
        self.waited_ms(1)
        self.play(FINISH_MS, 17.0)
        (_, first), (started_ms, second) = self.starts
        self.assertEqual((first.task.step, second.task.step), (0, 1))
        self.assertLess(started_ms - self.ended[0][0], LOST_MS)

    def test_each_job_has_its_turn(self):
        """LOST: short jobs pass a long one again and again."""
        self.start_serving(17.0)
        for number in range(100, 150):
            self.submit(job(number, filling(8)))
        self.play(9000, 17.0)
        self.submit(job(1, filling(40, run_ms=4000)))
        for number in range(150, 200):
            self.submit(job(number, filling(8)))
            self.play(1000, 17.0)
        self.assertIn(f"{1:016x}", [s.task.job for _, s in self.starts])


class RestraintTest(BusySite):
    """What best-effort tasks may do to serving tasks meanwhile."""

    worker_count = 2

    def test_no_early_start(self):
        """HARM: tasks start without headroom before their job has waited."""
        self.start_serving(17.0)
        self.submit(job(1, filling(2)))
        self.play(10_000, 17.0)
        self.assertEqual(self.starts, [])

    def test_one_at_a_time(self):
        """HARM: several tasks start without headroom on one worker."""
        self.start_serving(17.0)
        for number in range(1, 6):
            self.submit(job(number, filling(8, run_ms=5000)))
        self.play(18_000, 17.0)
        busy = [key[0] for key in self.work]
        self.assertEqual(sorted(busy), ["w-0", "w-1"])

    def test_slow(self):
        """HARM: a task that starts without headroom works at full speed."""
        self.start_serving(17.0)
        self.submit(job(1, filling(1, 31_000, run_ms=9000)))
        self.waited_ms(1)
        self.play(1000, 17.0)
        speeds = [speed for speed, _ in self.work.values()]
        self.assertEqual(speeds, [10])

    def test_harmed_serving_task(self):
        """HARM: what is harmed by any best-effort task is harmed for long."""
        self.start_serving(17.0)
        for number in range(1, 4):
            self.submit(job(number, filling(8, run_ms=60_000)))
        self.play(120_000, 17.0, 40.0)
        self.assertGreater(len(self.starts), 4)
        limit_ms = self.engine.params.strain_limit_ms
        self.assertLess(self.longest_over_ms, 0.8 * limit_ms)
        for worker in ("w-0", "w-1"):
            stops = [at for at, w in self.stops if w == worker]
            starts = [at for at, s in self.starts if s.worker == worker]
            gaps = [
                next(at for at in starts if at > stopped) - stopped
                for stopped in stops
                if stopped < starts[-1]
            ]
            self.assertGreaterEqual(min(gaps), 2000)
            # Disturbed for less and less of the time.
            self.assertGreaterEqual(gaps[-1], 16_000)

    def test_repeated_beside_strain(self):
        """HARM: short tasks take turns beside a serving task that they harm.

        Each ends before it would be paused.
        """
        self.start_serving(17.0)
        for number in range(1, 30):
            self.submit(job(number, filling(8, 1000, run_ms=1500)))
        self.play(60_000, 17.0, 25.0)
        self.assertGreater(len(self.ended), 10)
        limit_ms = self.engine.params.strain_limit_ms
        self.assertLess(self.longest_over_ms, 0.8 * limit_ms)

    def test_harmed_as_its_load_falls(self):
        """HARM: the time over the target by own load hides what follows."""
        self.start_serving(25.0)
        for number in range(1, 4):
            self.submit(job(number, filling(8, run_ms=60_000)))
        self.waited_ms(1)
        for _ in range(8):
            self.play(1500, 25.0)
            self.play(6000, 17.0, 25.0)
        limit_ms = self.engine.params.strain_limit_ms
        self.assertLess(self.longest_over_ms, 0.8 * limit_ms)


if __name__ == "__main__":
    unittest.main()
