"""Limit of the time for which best-effort tasks strain a serving task.

The tail latency follows a script, and the strain is counted from the script,
not from the reports.
"""

import itertools
import unittest
from collections.abc import Callable, Iterable

from limpetyard.engine import Pace, PollReply, RunReport
from limpetyard.jobs import Resources, StepSpec
from tests.engine.test_engine import LEASE_MS, EngineTestCase, entry, job

TARGET_MS = 20.0
PLAN_MS = 100

# Time that a report covers, and its age when it is sent.
WINDOW_MS = 500
AGE_MS = 250

# Time from an order to its effect.
PACE_DELAY_MS = 100


# So wide that the first responses slow it, but do not pause it.
BEST_EFFORT = StepSpec(1, Resources(16_000, 1000, 0), image="f", fills=True)


class StrainTestCase(EngineTestCase):
    """A worker with a serving and a best-effort task."""

    workers = 0

    def setUp(self):
        """Starts both tasks, and lets the tail be low for a while."""
        super().setUp()
        self.add(entry(0, 32))
        serving = StepSpec(
            1,
            Resources(500, 1000, 0),
            long_running=True,
            image="s",
            target_ms=TARGET_MS,
        )
        self.submit(job(1, serving))
        self.submit(job(2, BEST_EFFORT))
        while len(self.engine.workers["w-0"].runs) < 2:
            self.start_all()
            self.report(10.0)
        self.now_ms = 10_000.0
        self.report(10.0)
        self.assertEqual(self.plan(Pace), [])

    def report(self, tail_ms: float) -> None:
        """Has the worker report a tail latency."""
        worker = self.engine.workers["w-0"]
        reports = [
            RunReport(
                run.task,
                run.run,
                "",
                100,
                tail_ms
                if run.step.target_ms
                else run.step.need.cores_milli * run.speed_percent / 100,
            )
            for run in worker.runs.values()
        ]
        reply = PollReply(1, self.now_ms, reports, [])
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def play(
        self,
        tail_at: Callable[[float], float],
        interval_ms: float,
        duration_ms: float,
        errors: Iterable[float] = (1.0,),
    ) -> float | None:
        """Plays some time that begins with a report.

        Args:
            tail_at: Returns the tail latency at a time from the first report.
            interval_ms: Time between two reports.
            duration_ms: Time to play.
            errors: Factors on the reported tails, by turns.

        Returns:
            When the best-effort task no longer works; None if it always does.
        """
        begin_ms, errors = self.now_ms, itertools.cycle(errors)
        while self.now_ms - begin_ms <= duration_ms:
            passed_ms = self.now_ms - begin_ms
            if passed_ms % interval_ms == 0:
                end_ms = int(passed_ms) - AGE_MS
                window = range(end_ms - WINDOW_MS, end_ms, 10)
                mean_ms = sum(map(tail_at, window)) / len(window)
                self.report(round(mean_ms * next(errors)))
            if any(pace.percent == 0 for pace in self.plan(Pace)):
                return passed_ms + PACE_DELAY_MS
            self.now_ms += PLAN_MS
        return None


class LimitTest(StrainTestCase):
    """A tail that is over the target for as long as the task works."""

    def test_tail_that_rises_right_before_a_report(self):
        """HARM: the clock began with the first report over the target."""
        limit_ms = self.engine.params.strain_limit_ms
        for interval_ms in (500, 1000, 2000):
            with self.subTest(interval_ms=interval_ms):
                self.setUp()
                stopped_ms = self.play(
                    lambda at_ms: 23.0 if at_ms >= -450 else 10.0,
                    interval_ms,
                    2 * limit_ms,
                )
                self.assertIsNotNone(stopped_ms)
                self.assertLess(stopped_ms + 450, limit_ms)

    def test_tail_that_is_reported_at_the_target(self):
        """HARM: each inexact report at the target set the clock back."""
        limit_ms = self.engine.params.strain_limit_ms
        for errors in (
            (1.0, 1.04, 0.96),
            (1.05, 1.0, 0.97, 1.02),
            (1.0, 1.06, 1.05, 0.95),
        ):
            with self.subTest(errors=errors):
                self.setUp()
                stopped_ms = self.play(
                    lambda at_ms: 20.6 if at_ms >= 0 else 10.0,
                    500,
                    2 * limit_ms,
                    errors,
                )
                self.assertIsNotNone(stopped_ms)
                self.assertLess(stopped_ms, limit_ms)


class LastStageTest(StrainTestCase):
    """Best-effort runs that would work on until the limit is over."""

    def test_run_that_is_being_stopped(self):
        """HARM: it works on until it has written its checkpoint."""
        cancelled = self.engine.jobs[f"{2:016x}"]
        self.engine.end_job(cancelled, "cancel", self.now_ms)
        limit_ms = self.engine.params.strain_limit_ms
        stopped_ms = self.play(lambda _: 23.0, 500, limit_ms)
        self.assertIsNotNone(stopped_ms)
        self.assertLess(stopped_ms + WINDOW_MS, limit_ms)


class CalmTest(StrainTestCase):
    """Tails that are no strain, or none any more."""

    def test_single_report_over_the_target(self):
        """One inexact report of a tail under its target has no effect."""
        self.assertIsNone(
            self.play(lambda _: 19.4, 500, 9000, (1.05, *[1.0] * 18))
        )

    def test_tail_that_rises_again(self):
        """The time between two strains does not count."""

        def tail_at(at_ms: float) -> float:
            return 29.0 if at_ms % 2500 < 1000 else 10.0

        self.assertIsNone(self.play(tail_at, 500, 9000))


if __name__ == "__main__":
    unittest.main()
