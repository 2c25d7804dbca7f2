"""Tests of placement, fair shares and interference control."""

import random
import unittest

from limpetyard.cell import ResourceVector
from limpetyard.placement import (
    POLICIES,
    InterferenceController,
    InterferenceModel,
    MitigationAction,
    MitigationCandidate,
    MitigationParams,
    PartnerView,
    RateSample,
    SizeEstimator,
    TaskView,
    WorkerView,
    new_policy,
    plan_placements,
    plan_preemption,
)
from limpetyard.scheduler._breaker import (
    FAILURES_TO_OPEN,
    INITIAL_OPEN_MS,
    CircuitBreaker,
)
from limpetyard.scheduler._colocation import ColocationHistory
from limpetyard.scheduler._zones import INITIAL_HOLD_DOWN_MS, ZoneHoldDown

CAPACITY = ResourceVector(8.0, 8000, 1)


def task(number: int, **fields: object) -> TaskView:
    """Returns a view of a small batch task, with `fields` replaced."""
    values = {
        "id": f"job/{number}",
        "job": "job",
        "partner": "north",
        "class_name": "plain",
        "latency_critical": False,
        "size": ResourceVector(1.0, 1000),
        **fields,
    }
    return TaskView(**values)


def workers(count: int, zones: int = 2) -> list[WorkerView]:
    """Returns views of `count` empty workers."""
    return [
        WorkerView(f"w{n}", f"zone-{n % zones}", "rack", CAPACITY, CAPACITY)
        for n in range(count)
    ]


def partner(name: str, weight: float, tasks: list[TaskView]) -> PartnerView:
    """Returns a view of a partner with an unlimited quota."""
    return PartnerView(name, weight, 1e9, waiting=tasks)


class PlanTest(unittest.TestCase):
    """Tests of one round of placements."""

    def test_no_policy_exceeds_capacity(self):
        """No policy places more on a worker than any resource allows."""
        rng = random.Random(0)
        for name in POLICIES:
            views = workers(4)
            tasks = [
                task(
                    n,
                    size=ResourceVector(
                        rng.choice([0.5, 3.0]),
                        rng.choice([100, 4000]),
                        rng.choice([0, 0, 1]),
                    ),
                )
                for n in range(100)
            ]
            policy = new_policy(name, 0)
            plan_placements([partner("north", 1, tasks)], views, policy, 100)
            for view in views:
                with self.subTest(policy=name, worker=view.id):
                    self.assertTrue(
                        view.free.can_fit(ResourceVector(0.0, 0, 0))
                    )

    def test_latency_critical_goes_first(self):
        """A latency-critical task is placed before batch of any partner."""
        views = workers(1)
        north = partner(
            "north", 9, [task(n, partner="north") for n in range(8)]
        )
        urgent = task(99, partner="south", latency_critical=True)
        south = partner("south", 1, [urgent])
        policy = new_policy("first-fit", 0)
        plans = plan_placements([north, south], views, policy, 100)
        self.assertIs(plans[0].task, urgent)

    def test_shares_follow_weights(self):
        """Partners with equal demand get cores in proportion to weight."""
        views = workers(6)
        partners = [
            partner(name, weight, [task(n, partner=name) for n in range(50)])
            for name, weight in (("north", 1.0), ("south", 2.0))
        ]
        plan_placements(partners, views, new_policy("first-fit", 0), 100)
        allocated = {p.name: p.allocated.cores for p in partners}
        self.assertEqual(allocated, {"north": 16.0, "south": 32.0})

    def test_quota_is_kept(self):
        """A partner holds no more than its quota."""
        views = workers(6)
        north = partner("north", 1, [task(n) for n in range(50)])
        north.quota_cores = 5.0
        plan_placements([north], views, new_policy("first-fit", 0), 100)
        self.assertEqual(north.allocated.cores, 5.0)

    def test_zone_in_hold_down_accepts_no_batch(self):
        """A worker in a held-down zone admits latency-critical tasks only."""
        (view,) = workers(1)
        view.accepts_batch = False
        self.assertFalse(view.admits(task(0)))
        self.assertTrue(view.admits(task(0, latency_critical=True)))

    def test_preemption_stops_the_least(self):
        """Only as many batch tasks are stopped as the task needs."""
        views = workers(2)
        for number in range(8):
            views[0].add(task(number))
        views[1].add(task(20, size=ResourceVector(8.0, 100)))
        urgent = task(99, latency_critical=True, size=ResourceVector(2.0, 1000))
        victims = plan_preemption(urgent, views)
        self.assertEqual([view.id for view, _ in victims], ["w0", "w0"])


class LearnedTest(unittest.TestCase):
    """Tests of the interference-aware policy."""

    def setUp(self):
        """Trains a policy that class "noisy" slows class "urgent"."""
        self.policy = new_policy("learned", 0)
        for _ in range(200):
            for other, rate in (("noisy", 0.5), ("plain", 0.98)):
                self.policy.learn(
                    RateSample(
                        "urgent", True, ((other, 1.0),), rate, 0.0, CAPACITY
                    )
                )

    def test_noisy_task_avoids_latency_critical_one(self):
        """A noisy batch task goes to the other worker, though it is fuller."""
        views = workers(2)
        views[0].add(task(0, class_name="urgent", latency_critical=True))
        for number in range(1, 4):
            views[1].add(task(number))
        choice = self.policy.choose(task(9, class_name="noisy"), views)
        self.assertEqual(choice.worker.id, "w1")

    def test_noisy_task_stays_queued_if_too_costly(self):
        """A task that would cost more progress than it makes stays queued."""
        views = workers(1)
        for number in range(2):
            views[0].add(
                task(number, class_name="urgent", latency_critical=True)
            )
        views[0].add(task(5, class_name="noisy"))
        noisy = task(9, class_name="noisy")
        self.assertIsNone(self.policy.choose(noisy, views))
        self.assertIsNotNone(self.policy.choose(task(10), views))

    def test_service_is_spread_over_zones(self):
        """Instances of a service are placed on different workers and zones."""
        views = workers(6, zones=3)
        for number in range(6):
            urgent = task(number, class_name="urgent", latency_critical=True)
            self.policy.choose(urgent, views).worker.add(urgent)
        self.assertEqual([len(view.tasks) for view in views], [1] * 6)

    def test_model_follows_new_measurements(self):
        """New measurements replace old ones in the model."""
        model = InterferenceModel()
        for rate in (0.4, 1.0):
            for _ in range(300):
                model.learn(
                    RateSample("a", False, (("b", 1.0),), rate, 0.0, CAPACITY)
                )
        self.assertLess(
            model.slowdown("a", model.pair_slowdown("a", "b")), 0.05
        )


class InterferenceControllerTest(unittest.TestCase):
    """Tests of mitigation steps."""

    def setUp(self):
        """Creates a controller with the default thresholds."""
        self.params = MitigationParams()
        self.control = InterferenceController(self.params)
        self.now_ms = 0.0

    def step(self, rate: float, reports: int, *fractions: float):
        """Reports a rate and returns the step for these batch tasks, if any."""
        for _ in range(reports):
            self.control.observe("w", "urgent", rate)
        candidates = [
            MitigationCandidate(f"t{n}", 0.5 - 0.1 * n, 10.0 - n, fraction)
            for n, fraction in enumerate(fractions)
        ]
        self.now_ms += self.params.settle_ms
        return self.control.step("w", candidates, self.now_ms)

    def test_one_slow_report_is_not_enough(self):
        """A single slow report, which may lag, causes no step."""
        self.assertIsNone(self.step(0.3, 1, 1.0))

    def test_throttles_the_noisiest_then_evicts_the_cheapest(self):
        """A task is evicted only after throttling has not helped."""
        first = self.step(0.3, 2, 1.0, 1.0)
        self.assertEqual(
            (first.action, first.task), (MitigationAction.THROTTLE, "t0")
        )
        last = self.step(0.3, 2, 0.2, 0.2)
        self.assertEqual(
            (last.action, last.task), (MitigationAction.EVICT, "t1")
        )

    def test_relaxes_throttling_later_after_a_relapse(self):
        """After a relapse, a worker needs more healthy reports to relax."""
        needed = self.params.healthy_reports
        self.assertEqual(
            self.step(0.9, needed, 0.5).action, MitigationAction.RESTORE
        )
        self.assertEqual(
            self.step(0.3, 2, 1.0).action, MitigationAction.THROTTLE
        )
        self.assertIsNone(self.step(0.9, needed, 0.5))

    def test_healthy_task_does_not_hide_a_slow_one(self):
        """A healthy report of one task keeps the slow reports of another."""
        self.control.observe("w", "slow", 0.3)
        self.control.observe("w", "healthy", 0.95)
        self.control.observe("w", "slow", 0.3)
        self.assertTrue(self.control.step_due("w", 1.0))


class ColocationHistoryTest(unittest.TestCase):
    """Tests of matching rate reports with colocated runs."""

    def test_neighbours_are_those_at_the_measurement(self):
        """Runs that started later or had already ended do not count."""
        history = ColocationHistory()
        history.record_running(("early", 1), "a", 1.0, 0.0, 10.0)
        history.record_running(("me", 1), "b", 1.0, 0.0, 10.0)
        history.record_end(("early", 1), 20.0)
        history.record_running(("late", 1), "c", 1.0, 30.0, 40.0)
        self.assertEqual(history.neighbours_at(("me", 1), 15.0), (("a", 1.0),))
        self.assertEqual(history.neighbours_at(("me", 1), 25.0), ())
        self.assertEqual(history.neighbours_at(("me", 1), 35.0), (("c", 1.0),))

    def test_throttled_run_counts_as_its_fraction(self):
        """A run throttled to half speed counts as half from then on."""
        history = ColocationHistory()
        history.record_running(("noisy", 1), "a", 1.0, 0.0, 10.0)
        history.record_running(("noisy", 1), "a", 0.5, 0.0, 20.0)
        self.assertEqual(history.neighbours_at(("me", 1), 15.0), (("a", 1.0),))
        self.assertEqual(history.neighbours_at(("me", 1), 25.0), (("a", 0.5),))


class SizeEstimatorTest(unittest.TestCase):
    """Tests of sizes that are declared too small."""

    def test_measured_use_raises_the_size(self):
        """The reserved size grows with use and is never below the declared."""
        estimator = SizeEstimator()
        declared = ResourceVector(2.0, 500)
        self.assertEqual(estimator.size_of("a", declared, CAPACITY), declared)
        estimator.observe("a", 1.0)
        self.assertEqual(estimator.size_of("a", declared, CAPACITY), declared)
        estimator.observe("a", 4.0)
        self.assertEqual(estimator.size_of("a", declared, CAPACITY).cores, 4.0)

    def test_size_is_capped_at_the_largest_worker(self):
        """A task that fits somewhere can still be placed after it grew."""
        estimator = SizeEstimator()
        estimator.observe("a", 100.0)
        size = estimator.size_of("a", ResourceVector(2.0, 500), CAPACITY)
        self.assertTrue(CAPACITY.can_fit(size))


class HealthTest(unittest.TestCase):
    """Tests of zone hold-down and of the circuit breaker."""

    def test_flapping_zone_is_held_down_longer(self):
        """Each return doubles the hold-down of batch work."""
        hold_down = ZoneHoldDown()
        now_ms = 0.0
        for wait_ms in (
            INITIAL_HOLD_DOWN_MS,
            2 * INITIAL_HOLD_DOWN_MS,
            4 * INITIAL_HOLD_DOWN_MS,
        ):
            hold_down.observe(frozenset({"z"}), now_ms)
            hold_down.observe(frozenset(), now_ms)
            self.assertFalse(hold_down.accepts_batch("z", now_ms + wait_ms - 1))
            self.assertTrue(hold_down.accepts_batch("z", now_ms + wait_ms))
            now_ms += wait_ms

    def test_breaker_lets_one_probe_through(self):
        """After consecutive failures, one run at a time is admitted."""
        breaker = CircuitBreaker()
        for _ in range(FAILURES_TO_OPEN):
            self.assertIsNone(breaker.admissible_runs(0.0))
            breaker.record_failure(0.0)
        self.assertEqual(breaker.admissible_runs(0.0), 0)
        self.assertEqual(breaker.admissible_runs(INITIAL_OPEN_MS), 1)
        breaker.record_placement()
        self.assertEqual(breaker.admissible_runs(INITIAL_OPEN_MS), 0)
        breaker.record_success()
        self.assertIsNone(breaker.admissible_runs(INITIAL_OPEN_MS))


if __name__ == "__main__":
    unittest.main()
