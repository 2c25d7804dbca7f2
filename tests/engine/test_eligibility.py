"""Conditions under which a worker gets no new work."""

import unittest

import msgspec

from limpetyard._events import add_listener
from limpetyard.engine._eligibility import (
    CONDITION_ORDER,
    CONDITIONS,
    FOLLOWED_MS,
    TakeoverProgress,
    count_text,
    usable_workers,
    withheld_workers,
)
from limpetyard.engine._worker import PROBATION_FAILURES, WorkerRun
from limpetyard.jobs import StepSpec, TaskKey
from tests.engine.test_engine import ONE_CORE, EngineTestCase

LINES: list[dict[str, object]] = []


def _collect(name: str, fields: dict[str, object]) -> None:
    if name == "workers_usable":
        LINES.append(fields)


add_listener(_collect)


class ConditionTest(EngineTestCase):
    """Each condition withholds a worker."""

    def apply(self, name: str, worker) -> None:
        """Makes one condition apply to a worker."""
        match name:
            case "draining":
                worker.entry = msgspec.structs.replace(
                    worker.entry, draining=True
                )
            case "missing":
                worker.missing_since_ms = self.now_ms
            case "zone_out":
                self.engine.zones_out = frozenset(
                    {worker.entry.availability_zone}
                )
            case "entry_outdated":
                worker.born += 1
            case "unconfirmed":
                worker.token_confirmed = False
            case "silent":
                worker.replied_ms = self.now_ms - 60_000
            case "unrecorded":
                worker.recorded = False
            case "unleased":
                self.engine.may_lease = lambda other: other != worker.id
            case "backoff":
                worker.backoff_until_ms = self.now_ms + 1
            case "suspect":
                key = TaskKey("0" * 16, 0, 0, 0)
                run = WorkerRun(key, 1, StepSpec(1, ONE_CORE), self.now_ms)
                worker.runs[key, 1] = worker.isolated_run = run
            case "probation":
                worker.failures = PROBATION_FAILURES
                worker.last_failure_ms = self.now_ms

    def test_each_condition(self):
        """A condition neither withholds its worker nor is named."""
        for name in CONDITION_ORDER:
            with self.subTest(name):
                self.setUp()
                worker, other = self.engine.workers.values()
                self.apply(name, worker)
                args = ([worker, other], self.engine, self.now_ms)
                self.assertEqual(usable_workers(*args), [other])
                self.assertEqual(withheld_workers(*args), {name: [worker]})

    def test_all_conditions_are_ordered(self):
        """A registered condition has no place in the order."""
        self.assertEqual(sorted(CONDITION_ORDER), list(CONDITIONS))

    def test_first_condition_counts(self):
        """A worker to which several conditions apply counts twice."""
        worker, _ = self.engine.workers.values()
        worker.recorded = False
        worker.token_confirmed = False
        withheld = withheld_workers([worker], self.engine, self.now_ms)
        self.assertEqual(count_text(withheld), "unconfirmed:1")


class TakeoverProgressTest(EngineTestCase):
    """Lines about workers that become usable after a takeover."""

    workers = 5

    def setUp(self):
        """Has one worker drain, and the owner know none of the others."""
        super().setUp()
        LINES.clear()
        self.listed = list(self.engine.workers.values())
        leaving = self.listed.pop()
        leaving.entry = msgspec.structs.replace(leaving.entry, draining=True)
        for worker in self.listed:
            worker.token_confirmed = False
        self.progress = TakeoverProgress(self.engine)
        self.progress.observe(self.now_ms)

    def confirm(self, *numbers: int) -> None:
        """Has some workers reply, and looks at the workers after that."""
        self.now_ms += 100
        for number in numbers:
            self.listed[number].token_confirmed = True
        for worker in self.listed:
            worker.replied_ms = self.now_ms
        self.progress.observe(self.now_ms)

    def test_shares(self):
        """The first, half and all of the workers have a line each."""
        for number in range(4):
            self.confirm(number)
        self.confirm()
        self.assertEqual(
            [(f["reached"], f["usable"], f["age_ms"]) for f in LINES],
            [("first", 1, 100), ("half", 2, 200), ("all", 4, 400)],
        )
        self.assertEqual(LINES[0]["expected"], 4)
        self.assertEqual(LINES[0]["withheld"], "draining:1 unconfirmed:3")

    def test_all_at_once(self):
        """Only the largest share that is reached at once has a line."""
        self.confirm(0, 1, 2, 3)
        self.assertEqual([f["reached"] for f in LINES], ["all"])

    def test_late(self):
        """What holds workers back is logged once they are late."""
        self.confirm(0, 1)
        self.now_ms += FOLLOWED_MS
        self.confirm()
        self.confirm(2, 3)
        self.assertEqual([f["reached"] for f in LINES], ["half", "late"])
        self.assertEqual(LINES[1]["withheld"], "draining:1 unconfirmed:2")


if __name__ == "__main__":
    unittest.main()
