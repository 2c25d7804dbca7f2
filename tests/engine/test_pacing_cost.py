"""Tests of the cost of idle rounds of planning, counted in calls."""

import contextlib
import unittest
from unittest import mock

import msgspec

from limpetyard.engine import (
    Pace,
    PollReply,
    RunEndKind,
    RunReport,
    Start,
    Stop,
    _candidate,
    _load,
)
from limpetyard.engine._interference import InterferenceModel, _Baseline
from limpetyard.engine._pacing import (
    PACERS,
    RESTORE_DOWN_TO,
    SLOW_BELOW,
    SLOW_TO,
)
from limpetyard.engine._planner import Planner
from limpetyard.engine._speeds import MAX_PAUSE_MS, MIN_SPEED_PERCENT
from limpetyard.engine._worker import RunState, Worker
from limpetyard.jobs import Resources, StepSpec
from tests.engine import test_engine, test_planning_cost
from tests.engine.test_engine import ONE_CORE, job

WORKERS = 40
SERVING_RUNS = 4


@contextlib.contextmanager
def count_calls(owner: object, name: str):
    """Counts calls of a function.

    Args:
        owner: Class or module of the function.
        name: Name of the function.

    Yields:
        A mock that was called as often as the function.
    """
    with mock.patch.object(
        owner, name, autospec=True, side_effect=getattr(owner, name)
    ) as calls:
        yield calls


class Workers(dict):
    """Workers by id; counts those that were looked at."""

    seen = 0

    def values(self):
        """Returns all workers."""
        self.seen += len(self)
        return super().values()

    def get(self, worker_id, default=None):
        """Returns one worker."""
        self.seen += 1
        return super().get(worker_id, default)


class IdleRoundTest(test_engine.EngineTestCase):
    """Calls in a round in which nothing has changed."""

    workers = WORKERS
    pacer = "predicted"

    def start_mix(self) -> None:
        """Starts best-effort tasks of two images beside serving tasks."""
        serving = StepSpec(
            SERVING_RUNS * WORKERS,
            Resources(500, 1000, 0),
            long_running=True,
            image="s",
            target_ms=10.0,
        )
        self.submit(job(1, serving))
        self.start_all()
        for number in (2, 3):
            step = StepSpec(
                2 * WORKERS, ONE_CORE, image=f"f{number}", fills=True
            )
            self.submit(job(number, step))
        self.assertEqual(len(self.start_all()), 3 * WORKERS)
        self.report(5.0)

    def report(self, tail_ms: float) -> None:
        """Has all workers report a tail latency."""
        self.now_ms += 1200
        for worker in self.engine.workers.values():
            reports = [
                RunReport(
                    run.task,
                    run.run,
                    "",
                    100,
                    tail_ms if run.step.target_ms else 1000.0,
                )
                for run in worker.runs.values()
            ]
            reply = PollReply(1, self.now_ms, reports, [])
            self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)

    def test_loss_of_headroom(self):
        """Each serving run computes the same loss of headroom."""
        self.start_mix()
        self.plan()
        with count_calls(InterferenceModel, "weight") as weight:
            self.assertEqual(self.plan(), [])
        self.assertLessEqual(weight.call_count, WORKERS)

    def test_predictions(self):
        """Each serving run predicts the baseline of its job."""
        self.start_mix()
        self.plan()
        self.now_ms += 10
        with count_calls(_Baseline, "advance") as advance:
            self.plan()
        self.assertEqual(advance.call_count, 1)

    def test_prediction_follows_measurements(self):
        """A prediction outlives a measurement in the same millisecond."""
        model = InterferenceModel()
        model.update("j", "s", 3.0, 10.0, {}, 1000.0)
        before = model.predicted_baseline("j", 1000.0)
        model.update("j", "s", 1.0, 10.0, {}, 1000.0)
        after = model.predicted_baseline("j", 1000.0)
        self.assertLess(after, before - 1.0)
        self.assertNotEqual(after, model.predicted_baseline("j", 2000.0))

    def test_unchanged_workers(self):
        """Runs of unchanged workers are summed up in each round."""
        self.start_mix()
        self.submit(job(4, StepSpec(1, Resources(9000, 1000, 0))))
        self.plan()
        with (
            count_calls(_load, "used_cores") as summed,
            count_calls(_candidate, "used_cores") as reserved,
            count_calls(Worker, "free_resources") as free_resources,
        ):
            self.assertEqual(self.plan(), [])
        self.assertEqual(summed.call_count, 0)
        self.assertEqual(reserved.call_count, 0)
        self.assertEqual(free_resources.call_count, 0)

    def test_changed_workers(self):
        """A round plans with runs, speeds or a size that have changed."""
        self.submit(job(1, StepSpec(4 * WORKERS, ONE_CORE)))
        starts = self.start_all()
        self.submit(job(2, StepSpec(3, ONE_CORE)))
        self.assertEqual(self.plan(), [])
        self.end(starts[0])
        self.assertEqual(
            [s.worker for s in self.plan(Start)], [starts[0].worker]
        )
        larger = msgspec.structs.replace(
            self.engine.workers["w-7"].entry, capacity=Resources(5000, 9000, 0)
        )
        self.engine.set_entry(larger, self.now_ms)
        self.assertEqual([s.worker for s in self.plan(Start)], ["w-7"])


class DrainingTest(test_engine.EngineTestCase):
    """Workers scored for runs that cannot move."""

    workers = WORKERS

    def test_full_cell(self):
        """Each run that cannot move scores all workers in each round."""
        steps = {
            "serving": StepSpec(4 * WORKERS, ONE_CORE, long_running=True),
            "best-effort": StepSpec(
                4 * WORKERS, ONE_CORE, 9000, fills=True, checkpoints=True
            ),
            "plain": StepSpec(4 * WORKERS, ONE_CORE, 9000, checkpoints=True),
        }
        for name, step in steps.items():
            with self.subTest(name):
                self.setUp()
                self.submit(job(1, step))
                self.assertEqual(len(self.start_all()), 4 * WORKERS)
                for number in range(10):
                    worker = self.engine.workers[f"w-{number}"]
                    draining = msgspec.structs.replace(
                        worker.entry, draining=True, remaining_ms=2000
                    )
                    self.engine.set_entry(draining, self.now_ms)
                with test_planning_cost.count_scores("allows") as calls:
                    self.assertEqual(self.plan(), [])
                self.assertLessEqual(len(calls), 2 * WORKERS)
                self.now_ms += 1600
                self.poll("w-0")
                self.plan()
                self.assertEqual(len(self.plan(Stop)), 4)


class DrainingZoneTest(test_engine.EngineTestCase):
    """Many workers that drain at the same time."""

    workers = 30

    def test_turns(self):
        """One round moves the runs of a whole zone; later ones do the rest."""
        step = StepSpec(150, ONE_CORE, long_running=True)
        self.submit(test_engine.job(1, step))
        self.start_all()
        held = {w.id for w in self.engine.workers.values() if w.runs}
        for number in range(30, 80):
            self.add(test_engine.entry(number))
        for number in range(30):
            entry = test_engine.entry(number, draining=True, remaining_ms=9000)
            if entry.id in held:
                self.engine.set_entry(entry, self.now_ms)
        self.plan()
        stops = self.plan(Stop)
        self.assertGreater(len(stops), 0)
        self.assertLess(len(stops), 60)
        for _ in range(5):
            self.now_ms += 10
            stops += self.plan(Stop)
        self.assertEqual(len(stops), 120)


class MovedRunsTest(test_engine.EngineTestCase):
    """Runs that move off a draining worker together with others."""

    workers = 0

    def setUp(self):
        """Adds three workers with eight cores."""
        super().setUp()
        for number in range(3):
            self.add(test_engine.entry(number, 8))

    def drain(self, worker_id: str) -> None:
        """Has a worker drain."""
        draining = msgspec.structs.replace(
            self.engine.workers[worker_id].entry,
            draining=True,
            remaining_ms=2000,
        )
        self.engine.set_entry(draining, self.now_ms)

    def stops(self) -> int:
        """Returns the number of runs that a round and the next one stop."""
        self.plan()
        return len(self.plan(Stop))

    def test_load_of_destination(self):
        """A worker counts a best-effort run that has yet to move there."""
        step = StepSpec(1, ONE_CORE, 9000, fills=True, checkpoints=True)
        self.submit(job(1, step))
        (start,) = self.start_all()
        self.plan()
        self.drain(start.worker)
        self.assertEqual(self.stops(), 1)
        for worker in self.engine.workers.values():
            self.assertEqual(
                _candidate.worker_load(worker).best_effort_cores,
                _load.best_effort_cores(worker.runs.values()),
            )

    def test_members_of_gang(self):
        """Members of a gang stay since another gang does not fit."""
        self.submit(job(1, StepSpec(2, Resources(7000, 1000, 0))))
        self.start_all()
        gang = StepSpec(3, ONE_CORE, gang=True, long_running=True)
        self.submit(job(2, gang))
        (worker_id,) = {start.worker for start in self.start_all()}
        self.submit(job(3, gang))
        self.drain(worker_id)
        self.assertEqual(self.stops(), 2)

    def test_task_with_failure(self):
        """A run stays since another must avoid the worker of its failure."""
        serving = StepSpec(
            1, ONE_CORE, long_running=True, image="s", target_ms=10.0
        )
        self.submit(job(1, serving))
        (served,) = self.start_all()
        self.now_ms += 1200
        for worker in self.engine.workers.values():
            reports = [
                RunReport(run.task, run.run, "", 100, 9.0)
                for run in worker.runs.values()
            ]
            reply = PollReply(1, self.now_ms, reports, [])
            self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        step = StepSpec(
            2, ONE_CORE, 9000, image="f", fills=True, checkpoints=True
        )
        self.submit(job(2, step, max_attempts=9))
        failed, other = self.start_all()
        self.end(failed, RunEndKind.FAILED)
        self.now_ms += 1000
        (again,) = self.start_all()
        self.assertEqual(again.worker, other.worker)
        self.submit(job(3, StepSpec(1, Resources(5000, 1000, 0))))
        (plain,) = self.start_all()
        self.assertEqual(plain.worker, failed.worker)
        self.submit(job(4, msgspec.structs.replace(step, count=1)))
        (last,) = self.start_all()
        self.assertEqual(last.worker, other.worker)
        self.assertNotIn(served.worker, (failed.worker, other.worker))
        for worker_id in self.engine.workers:
            self.poll(worker_id)
        self.drain(other.worker)
        self.plan()
        stopped = {stop.task for stop in self.plan(Stop)}
        self.assertEqual(stopped, {other.task, last.task})


class EndedJobTest(test_engine.EngineTestCase):
    """Workers looked at for a job that has ended."""

    workers = WORKERS

    def test_end_of_job(self):
        """The end of a job looks at workers without runs of it."""
        self.submit(job(1, StepSpec(3 * WORKERS, ONE_CORE)))
        ended = self.submit(job(2, StepSpec(3, ONE_CORE)))
        self.start_all()
        adopted = self.submit(job(3, StepSpec(1, ONE_CORE)))
        report = RunReport(adopted.task(0, 0, 0).key, 1, "", 100, 0.0)
        self.poll("w-9", extra=(report,))
        workers = self.engine.workers = Workers(self.engine.workers)
        self.engine.cancel_job(ended.spec.id, self.now_ms)
        self.engine.cancel_job(adopted.spec.id, self.now_ms)
        self.assertLessEqual(workers.seen, 4)
        stops = [stop.task.job for stop in self.plan(Stop)]
        self.assertEqual(sorted(stops), [ended.spec.id] * 3 + [adopted.spec.id])


def slowed_speed(run, weight, shortfall):
    """Returns a lower speed of a run, and the headroom regained."""
    old = run.speed_percent
    loss = weight * (run.step.need.cores_milli / 1000 * old / 100)
    if shortfall <= 0 or loss <= 0:
        return old, 0.0
    new = int(old * max(0.0, 1 - shortfall / loss))
    new = new if new >= MIN_SPEED_PERCENT else 0
    return new, loss * (1 - new / old)


def restored_speed(run, weight, spare):
    """Returns a higher speed of a run, and the headroom lost."""
    old = run.speed_percent
    loss = weight * run.step.need.cores_milli / 1000
    increase = 100 - old
    if increase and loss > 0:
        increase = min(increase, int(100 * spare / loss))
    is_small = increase < MIN_SPEED_PERCENT and old + increase < 100
    if spare <= 0 or is_small:
        return old, 0.0
    return old + increase, loss * increase / 100


def reference_pace(worker, model, strain_limit_ms, now_ms):
    """Paces by prediction, with a loss of headroom for each serving run."""
    runs = [
        run
        for run in worker.runs.values()
        if run.step.fills and run.state is RunState.RUNNING
    ]
    lowest, limiting = float("inf"), None
    all_runs = worker.runs.values()
    for serving in _load.serving_runs(all_runs) if runs else ():
        headroom = model.predicted_baseline(serving.task.job, now_ms) - sum(
            model.weight(serving.step.image, image) * used
            for image, used in _load.best_effort_cores(all_runs).items()
        )
        if headroom < lowest:
            lowest, limiting = headroom, serving.step.image
    is_low = lowest < SLOW_BELOW
    left = SLOW_TO - lowest if is_low else lowest - RESTORE_DOWN_TO
    weights = [
        model.weight(limiting, run.step.image) if limiting else 0.0
        for run in runs
    ]
    effects = []
    order = sorted(
        range(len(runs)), key=lambda n: -weights[n] if is_low else weights[n]
    )
    for number in order:
        run = runs[number]
        change = slowed_speed if is_low else restored_speed
        speed, used = change(run, weights[number], left)
        left -= used
        if speed != run.speed_percent:
            run.speed_percent = speed
            effects.append(Pace(worker.id, run.task, run.run, speed))
    for run in runs:
        if run.speed_percent > 0:
            run.paused_since_ms = None
        elif run.paused_since_ms is None:
            run.paused_since_ms = now_ms
        elif now_ms - run.paused_since_ms > MAX_PAUSE_MS:
            run.state = RunState.STOPPING
    return effects


class BusyCell(test_planning_cost.RandomCell):
    """A random cell whose tail latencies come close to their targets."""

    def __init__(self, seed: int, pace):
        super().__init__(seed, Planner)
        self.engine._pace = pace

    def poll(self, worker) -> None:
        """Has a worker report its runs, few of which have ended."""
        rng = self.rng
        reports = []
        for run in worker.runs.values():
            tail_ms = run.step.target_ms * rng.choice((0.3, 0.6, 0.8, 1.0))
            cores = run.step.need.cores_milli * run.speed_percent / 100
            reports.append(
                RunReport(
                    run.task,
                    run.run,
                    "",
                    100,
                    tail_ms if run.step.target_ms else cores,
                )
            )
        if rng.random() < 0.1:
            super().poll(worker)
            return
        reply = PollReply(1, self.now_ms, reports, [])
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, test_engine.LEASE_MS)


class EqualPaceTest(unittest.TestCase):
    """Speeds do not depend on how they are computed."""

    def test_random_cells(self):
        """Speeds differ from those with a loss for each serving run."""
        paced = 0
        for seed in range(32):
            with self.subTest(seed=seed):
                played = BusyCell(seed, PACERS.get("predicted")).play()
                expected = BusyCell(seed, reference_pace).play()
                self.assertEqual(played, expected)
                paced += sum(isinstance(e, Pace) for r in played for e in r)
        self.assertGreater(paced, 0)


if __name__ == "__main__":
    unittest.main()
