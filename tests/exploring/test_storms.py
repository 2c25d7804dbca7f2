"""Fixed seeds of random troubles, and proofs that the checks would cry.

Each seed in `ONCE_BROKEN` broke something before its cause was mended, under
the storms of its time; what is drawn from a seed changes when storms gain kinds
of jobs and troubles, so that each cause has a test of its own beside it.
"""

import unittest
from unittest import mock

import msgspec
from loguru import logger

from limpetyard.engine import Engine, Worker
from limpetyard.engine._placement import Candidate
from limpetyard.engine._planner import Planner
from limpetyard.engine._worker import MAX_INCARNATIONS
from limpetyard.jobs import Job
from limpetyard.node import CellOwner
from standins.platform import _site
from tests.exploring import storms

# 12, 26, 64, 80: ends noted before their job was stored.
# 52, 74, 84: a silent worker's lease was extended for ever.
# 54, 96: a repeated stop kept its run for ever.
# 13, 37: a start that was refused when repeated had run before.
# 9, 26: an occurrence that only the last owner had found due.
ONCE_BROKEN = (9, 12, 13, 26, 37, 52, 54, 64, 74, 80, 84, 96)
OTHERS = range(1000, 1004)

# A guard that is taken out must be missed within these seeds.
SEARCHED = range(1, 80)


class StormTest(unittest.TestCase):
    """Random troubles break no promise."""

    def setUp(self):
        """Keeps the log quiet."""
        logger.remove()

    def test_once_broken(self):
        """Seeds that found faults."""
        for seed in ONCE_BROKEN:
            with self.subTest(seed=seed):
                self.assertEqual(storms.play(seed), [])

    def test_others(self):
        """A few more."""
        for seed in OTHERS:
            with self.subTest(seed=seed):
                self.assertEqual(storms.play(seed), [])


class GuardTest(unittest.TestCase):
    """Without a guard, a check cries."""

    def setUp(self):
        """Keeps the log quiet."""
        logger.remove()

    def assert_cries(self, rule: str) -> None:
        """Searches for a schedule that breaks a rule."""
        for seed in SEARCHED:
            if any(found.startswith(rule) for found in storms.play(seed)):
                return
        self.fail(f"{rule} was never broken without its guard")

    def test_token(self):
        """A token that does not rise lets two owners order: TWICE."""
        with (
            mock.patch.object(
                Worker, "token", property(lambda w: MAX_INCARNATIONS)
            ),
            mock.patch.object(
                CellOwner, "_may_order", lambda owner: not owner.ended
            ),
        ):
            self.assert_cries("TWICE")

    def test_unsure(self):
        """An owner that does not wait for silent workers: TWICE."""
        with mock.patch.object(
            Planner, "_unconfirmed_services", lambda planner, now_ms: set()
        ):
            self.assert_cries("TWICE")

    def test_noted_after_stored(self):
        """Ends that are noted before they are stored: TWICE."""
        taken = Engine.pop_dirty

        def note_first(engine: Engine):
            jobs, batch = taken(engine)
            engine.on_stored(batch)
            return jobs, batch

        with mock.patch.object(Engine, "pop_dirty", note_first):
            self.assert_cries("TWICE")

    def test_evacuation(self):
        """An owner that does not heed zones that are out: EVAC."""
        none = property(lambda engine: frozenset(), lambda engine, zones: None)
        with mock.patch.object(Engine, "zones_out", none):
            self.assert_cries("EVAC")

    def test_draining(self):
        """An owner that does not heed workers that leave: DRAIN."""
        read = _site._read_entry

        def blind(record):
            return msgspec.structs.replace(read(record), draining=False)

        with mock.patch.object(_site, "_read_entry", blind):
            self.assert_cries("DRAIN")

    def test_per_worker(self):
        """Room alone decides how many of a step a worker gets: ROUTE."""

        def by_room(candidate: Candidate, step, place) -> bool:
            return step.reserved.fits(candidate.free_resources)

        with mock.patch.object(Candidate, "allows", by_room):
            self.assert_cries("ROUTE")

    def test_gang(self):
        """A gang of which one member is started: GANG."""
        place = Planner._place_gang

        def only_one(planner: Planner, *args) -> list:
            return place(planner, *args)[:1]

        with mock.patch.object(Planner, "_place_gang", only_one):
            self.assert_cries("GANG")

    def test_due(self):
        """Occurrences that do not wait for their time: ORDER."""
        with mock.patch.object(Job, "due_at_ms", lambda job, occurrence: 0.0):
            self.assert_cries("ORDER")

    def test_room(self):
        """What is being stopped does not count: LIMIT."""

        def release_now(engine: Engine, effect, now_ms: float) -> None:
            worker = engine.workers.get(effect.worker)
            if worker is not None:
                worker.runs.pop((effect.task, effect.run), None)

        with mock.patch.object(Engine, "on_stop_reply", release_now):
            self.assert_cries("LIMIT")


if __name__ == "__main__":
    unittest.main()
