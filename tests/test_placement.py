"""Placement, shares and relief on typed views."""

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
    FIRST_PAUSE_MS,
    Breaker,
)
from limpetyard.scheduler._colocation import Presence
from limpetyard.scheduler._zones import FIRST_HOLD_MS, ZoneHold

CAPACITY = ResourceVector(8.0, 8000, 1)


def task(number: int, **fields: object) -> TaskView:
    """Returns a task; fields that are not given are those of plain batch."""
    given = {
        "id": f"job/{number}",
        "job": "job",
        "partner": "north",
        "class_name": "plain",
        "latency_critical": False,
        "size": ResourceVector(1.0, 1000),
        **fields,
    }
    return TaskView(**given)


def workers(count: int, zones: int = 2) -> list[WorkerView]:
    """Returns empty workers."""
    return [
        WorkerView(f"w{n}", f"zone-{n % zones}", "rack", CAPACITY, CAPACITY)
        for n in range(count)
    ]


def partner(name: str, weight: float, tasks: list[TaskView]) -> PartnerView:
    """Returns a partner without a quota."""
    return PartnerView(name, weight, 1e9, waiting=tasks)


class PlanTest(unittest.TestCase):
    """One round of placements."""

    def test_no_policy_exceeds_a_worker(self):
        """Whatever the policy, every resource is kept."""
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
                    self.assertTrue(view.free.holds(ResourceVector(0.0, 0, 0)))

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
        """Partners with equal demand get room in proportion to weight."""
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

    def test_returned_zone_takes_no_batch(self):
        """A worker on hold takes latency-critical tasks only."""
        (view,) = workers(1)
        view.accepts_batch = False
        self.assertFalse(view.admits(task(0)))
        self.assertTrue(view.admits(task(0, latency_critical=True)))

    def test_preemption_takes_the_least(self):
        """Only as much batch work leaves as the task needs."""
        views = workers(2)
        for number in range(8):
            views[0].add(task(number))
        views[1].add(task(20, size=ResourceVector(8.0, 100)))
        urgent = task(99, latency_critical=True, size=ResourceVector(2.0, 1000))
        victims = plan_preemption(urgent, views)
        self.assertEqual([view.id for view, _ in victims], ["w0", "w0"])


class LearnedTest(unittest.TestCase):
    """The learning policy."""

    def setUp(self):
        """Teaches a policy that "loud" slows "urgent"."""
        self.policy = new_policy("learned", 0)
        for _ in range(200):
            for other, rate in (("loud", 0.5), ("plain", 0.98)):
                self.policy.learn(
                    RateSample(
                        "urgent", True, ((other, 1.0),), rate, 0.0, CAPACITY
                    )
                )

    def test_loud_task_avoids_urgent_one(self):
        """A loud batch task goes to the other worker, though it is fuller."""
        views = workers(2)
        views[0].add(task(0, class_name="urgent", latency_critical=True))
        for number in range(1, 4):
            views[1].add(task(number))
        choice = self.policy.choose(task(9, class_name="loud"), views)
        self.assertEqual(choice.worker.id, "w1")

    def test_loud_task_waits_rather_than_harm(self):
        """Where it would cost more than it gains, it is left waiting."""
        views = workers(1)
        for number in range(2):
            views[0].add(
                task(number, class_name="urgent", latency_critical=True)
            )
        views[0].add(task(5, class_name="loud"))
        loud = task(9, class_name="loud")
        self.assertIsNone(self.policy.choose(loud, views))
        self.assertIsNotNone(self.policy.choose(task(10), views))

    def test_service_is_spread_over_zones(self):
        """Instances of one service stand on different workers and zones."""
        views = workers(6, zones=3)
        for number in range(6):
            urgent = task(number, class_name="urgent", latency_critical=True)
            self.policy.choose(urgent, views).worker.add(urgent)
        self.assertEqual([len(view.tasks) for view in views], [1] * 6)

    def test_model_forgets(self):
        """New measurements replace old ones."""
        model = InterferenceModel()
        for rate in (0.4, 1.0):
            for _ in range(300):
                model.learn(
                    RateSample("a", False, (("b", 1.0),), rate, 0.0, CAPACITY)
                )
        self.assertLess(model.slowdown("a", model.pair("a", "b")), 0.05)


class ReliefTest(unittest.TestCase):
    """Steps of relief."""

    def setUp(self):
        """Makes a relief with two suspects beside a slow task."""
        self.params = MitigationParams()
        self.relief = InterferenceController(self.params)
        self.now_ms = 0.0

    def step(self, rate: float, reports: int, *fractions: float):
        """Reports a rate and returns the step that follows."""
        for _ in range(reports):
            self.relief.observe("w", "urgent", rate)
        suspects = [
            MitigationCandidate(f"t{n}", 0.5 - 0.1 * n, 10.0 - n, fraction)
            for n, fraction in enumerate(fractions)
        ]
        self.now_ms += self.params.settle_ms
        return self.relief.step("w", suspects, self.now_ms)

    def test_one_slow_report_is_not_enough(self):
        """A single lagging figure moves nothing."""
        self.assertIsNone(self.step(0.3, 1, 1.0))

    def test_throttles_the_loudest_then_evicts_the_cheapest(self):
        """Eviction comes only after throttling did not help."""
        first = self.step(0.3, 2, 1.0, 1.0)
        self.assertEqual(
            (first.kind, first.task), (MitigationAction.THROTTLE, "t0")
        )
        last = self.step(0.3, 2, 0.2, 0.2)
        self.assertEqual((last.kind, last.task), (MitigationAction.EVICT, "t1"))

    def test_gives_speed_back_later_after_a_relapse(self):
        """A worker that relapses waits longer before the next try."""
        fair = self.params.fair_reports
        self.assertEqual(
            self.step(0.9, fair, 0.5).kind, MitigationAction.RESTORE
        )
        self.assertEqual(self.step(0.3, 2, 1.0).kind, MitigationAction.THROTTLE)
        self.assertIsNone(self.step(0.9, fair, 0.5))

    def test_well_task_does_not_speak_for_another(self):
        """A fair report of one task leaves the alarm of the other."""
        self.relief.observe("w", "slow", 0.3)
        self.relief.observe("w", "well", 0.95)
        self.relief.observe("w", "slow", 0.3)
        self.assertTrue(self.relief.due("w", 1.0))


class AttributionTest(unittest.TestCase):
    """Reports and the moments that they describe."""

    def test_report_describes_who_was_there_then(self):
        """Runs that came later or had left do not count."""
        presence = Presence()
        presence.note(("early", 1), "a", 1.0, 0.0, 10.0)
        presence.note(("me", 1), "b", 1.0, 0.0, 10.0)
        presence.ended(("early", 1), 20.0)
        presence.note(("late", 1), "c", 1.0, 30.0, 40.0)
        self.assertEqual(presence.beside(("me", 1), 15.0), (("a", 1.0),))
        self.assertEqual(presence.beside(("me", 1), 25.0), ())
        self.assertEqual(presence.beside(("me", 1), 35.0), (("c", 1.0),))

    def test_throttled_run_counts_as_its_fraction(self):
        """A run at half speed is half a neighbour from then on."""
        presence = Presence()
        presence.note(("loud", 1), "a", 1.0, 0.0, 10.0)
        presence.note(("loud", 1), "a", 0.5, 0.0, 20.0)
        self.assertEqual(presence.beside(("me", 1), 15.0), (("a", 1.0),))
        self.assertEqual(presence.beside(("me", 1), 25.0), (("a", 0.5),))


class SizeTest(unittest.TestCase):
    """Declared sizes that are too small."""

    def test_measured_use_goes_before_declared(self):
        """What is set aside grows with use and is never below declared."""
        book = SizeEstimator()
        declared = ResourceVector(2.0, 500)
        self.assertEqual(book.size_of("a", declared, CAPACITY), declared)
        book.observe("a", 1.0)
        self.assertEqual(book.size_of("a", declared, CAPACITY), declared)
        book.observe("a", 4.0)
        self.assertEqual(book.size_of("a", declared, CAPACITY).cores, 4.0)

    def test_no_task_grows_over_the_largest_worker(self):
        """A task that fits somewhere can still be placed."""
        book = SizeEstimator()
        book.observe("a", 100.0)
        size = book.size_of("a", ResourceVector(2.0, 500), CAPACITY)
        self.assertTrue(CAPACITY.holds(size))


class HoldTest(unittest.TestCase):
    """Zones that return, and workers that fail."""

    def test_flapping_zone_is_held_longer(self):
        """Each return doubles the wait for batch work."""
        hold = ZoneHold()
        now_ms = 0.0
        for wait_ms in (FIRST_HOLD_MS, 2 * FIRST_HOLD_MS, 4 * FIRST_HOLD_MS):
            hold.observe(frozenset({"z"}), now_ms)
            hold.observe(frozenset(), now_ms)
            self.assertFalse(hold.accepts_batch("z", now_ms + wait_ms - 1))
            self.assertTrue(hold.accepts_batch("z", now_ms + wait_ms))
            now_ms += wait_ms

    def test_breaker_lets_one_probe_through(self):
        """After failures in a row one run at a time may try."""
        breaker = Breaker()
        for _ in range(FAILURES_TO_OPEN):
            self.assertIsNone(breaker.room(0.0))
            breaker.note_failure(0.0)
        self.assertEqual(breaker.room(0.0), 0)
        self.assertEqual(breaker.room(FIRST_PAUSE_MS), 1)
        breaker.note_placed()
        self.assertEqual(breaker.room(FIRST_PAUSE_MS), 0)
        breaker.note_success()
        self.assertIsNone(breaker.room(FIRST_PAUSE_MS))


if __name__ == "__main__":
    unittest.main()
