"""Leases that orders to an earlier incarnation of a worker have granted."""

import unittest

from limpetyard.engine import StaleLeases, Start, lease_bound_ms
from limpetyard.jobs import StepSpec
from tests.engine.test_engine import (
    LEASE_MS,
    ONE_CORE,
    EngineTestCase,
    entry,
    job,
)


class StaleLeaseTest(EngineTestCase):
    """The clock of the next incarnation may show any time."""

    workers = 1

    def setUp(self):
        """See `EngineTestCase.setUp`."""
        super().setUp()
        self.worker = self.engine.workers["w-0"]
        self.longest_ms = lease_bound_ms(self.engine.params.longest_lease_ms)
        self.assertGreater(self.longest_ms, lease_bound_ms(LEASE_MS))

    def restart(self) -> None:
        """Has the second incarnation reply, first to the former token."""
        self.poll("w-0", born=2)
        self.now_ms += 400
        self.poll("w-0", born=2)

    def test_runs_after_a_restart(self):
        """TWICE: runs of a restarted worker counted as lapsed too early."""
        self.restart()
        confirmed_ms = self.now_ms
        self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.engine.set_recorded_workers({"w-0": (2, False)})
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.start_all()
        self.now_ms = confirmed_ms + self.longest_ms
        self.plan()
        self.assertTrue(self.worker.runs)
        self.now_ms += 1
        self.plan()
        self.assertFalse(self.worker.runs)

    def test_silent_incarnation(self):
        """TWICE: a task started again though its order may have arrived."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.start_all()
        self.poll("w-0", born=2)
        restarted_ms = self.now_ms
        self.assertEqual(
            self.worker.prior_lease_end_ms, restarted_ms + self.longest_ms
        )

    def test_renewed_lease(self):
        """Later grants do not lower the bound, nor does taking one back."""
        self.restart()
        end_ms = self.worker.runs_until_ms
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.worker.revoke_lease(self.worker.grant_lease(self.now_ms, LEASE_MS))
        self.assertEqual(self.worker.lease_left_ms(0.0), self.longest_ms + 1400)
        self.assertLessEqual(end_ms, self.worker.lease_left_ms(0.0))

    def test_first_incarnation(self):
        """Workers that have not restarted keep the ordinary bound."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.assertEqual(len(self.plan(Start)), 1)
        left_ms = self.worker.runs_until_ms - self.now_ms
        self.assertLessEqual(left_ms, lease_bound_ms(LEASE_MS))

    def test_recorded_state(self):
        """What later owners learn of each phase."""
        self.assertIs(self.stale_leases(), StaleLeases.EXPIRED)
        self.poll("w-0", born=2)
        self.assertIs(self.stale_leases(), StaleLeases.POSSIBLE)
        self.poll("w-0", born=2)
        self.assertIs(self.stale_leases(), StaleLeases.BOUNDED)
        self.now_ms += self.longest_ms
        self.assertIs(self.stale_leases(), StaleLeases.EXPIRED)

    def stale_leases(self) -> StaleLeases:
        """Returns the stale leases that a record of the worker names now."""
        return self.worker.record(self.now_ms).stale_leases


if __name__ == "__main__":
    unittest.main()
