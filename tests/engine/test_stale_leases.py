"""Leases that orders to an earlier incarnation of a worker have granted."""

import unittest

from limpetyard.engine import StaleLeases, Start, lease_bound_ms
from limpetyard.engine._worker import MAX_ORDER_DELAY_MS
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

    def waits_after_restart(
        self, reported: bool, unanswered: bool, age_ms: float
    ) -> bool:
        """Returns whether the task of a restarted, silent worker waits.

        Checks that it waits until no order to the earlier incarnation can be
        carried out any more, and the longest lease has expired.
        """
        self.setUp()
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.start_all()
        (run,) = self.worker.runs.values()
        run.unanswered_start = unanswered
        if reported:
            self.poll("w-0")
        self.now_ms += age_ms
        self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.add(entry(1))
        if self.plan(Start):
            return False
        self.now_ms += self.longest_ms + MAX_ORDER_DELAY_MS - 1
        self.poll("w-1")
        self.assertEqual(self.plan(Start), [])
        self.now_ms += 1
        self.assertEqual(len(self.plan(Start)), 1)
        return True

    def test_silent_incarnation(self):
        """TWICE: a task started again though its order may be carried out."""
        waits = self.waits_after_restart
        self.assertTrue(waits(reported=False, unanswered=False, age_ms=0))
        self.assertTrue(waits(reported=True, unanswered=True, age_ms=0))

    def test_run_that_ended_with_its_incarnation(self):
        """LOST: a task waited for a silent worker without need."""
        waits = self.waits_after_restart
        self.assertFalse(waits(reported=True, unanswered=False, age_ms=0))
        delay_ms = MAX_ORDER_DELAY_MS
        self.assertFalse(waits(reported=True, unanswered=True, age_ms=delay_ms))

    def test_renewed_lease(self):
        """Later grants do not lower the bound, nor does taking one back."""
        self.restart()
        end_ms = self.worker.runs_until_ms
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        until_ms = self.worker.grant_lease(self.now_ms, LEASE_MS)
        self.worker.revoke_lease(self.worker.token, until_ms)
        self.assertEqual(self.worker.lease_left_ms(0.0), self.longest_ms + 1400)
        self.assertLessEqual(end_ms, self.worker.lease_left_ms(0.0))

    def test_grant_of_the_incarnation_before(self):
        """TWICE: a late refusal took back a grant of the next incarnation.

        Its clock shows the same time.
        """
        token = self.worker.token
        until_ms = self.worker.grant_lease(self.now_ms, LEASE_MS)
        self.restart()
        end_ms = self.now_ms + lease_bound_ms(LEASE_MS)
        self.worker.set_clock(until_ms - LEASE_MS, self.now_ms + 1)
        self.now_ms += 1
        self.assertEqual(
            self.worker.grant_lease(self.now_ms, LEASE_MS), until_ms
        )
        self.worker.revoke_lease(token, until_ms)
        self.assertGreater(self.worker.lease_end_ms, end_ms)

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
        self.assertIs(self.stale_leases(), StaleLeases.POSSIBLE)
        self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.assertIs(self.stale_leases(), StaleLeases.BOUNDED)
        self.now_ms += self.longest_ms
        self.assertIs(self.stale_leases(), StaleLeases.EXPIRED)

    def stale_leases(self) -> StaleLeases:
        """Returns the stale leases that a record of the worker names now."""
        return self.worker.record(self.now_ms).stale_leases


if __name__ == "__main__":
    unittest.main()
