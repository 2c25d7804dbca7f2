"""Ends that are not acknowledged while a start of their task is pending."""

import unittest

from limpetyard.engine import PollReply, RunEndKind, RunEndReport, RunReport
from limpetyard.engine._engine import Engine, EngineParams
from limpetyard.engine._run_ends import PREDECESSOR_REPLY_MS
from limpetyard.engine._step_worker_client import WorkerEntry
from limpetyard.engine._worker import MAX_ORDER_DELAY_MS
from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec

SENT_MS = 100.0
END_MS = 1500.0
ENTRY = WorkerEntry("w", "pool", "", "z", "r", (), Resources(1000, 1000), 1)


class HeldEndsTest(unittest.TestCase):
    """A worker with one run, some of whose start orders got no reply."""

    def setUp(self):
        """Places a task; its start orders are sent by `send`."""
        self.engine = Engine(1, EngineParams(4000, 5000))
        self.worker = self.engine.set_entry(ENTRY, 0.0)
        self.poll(0.0)
        self.engine.set_recorded_workers({"w": (1, False)})
        spec = JobSpec("1" * 16, QueueParams("q", "pool"), "", (StepSpec(1),))
        self.engine.add_job(spec, 0.0, loaded=False)
        (self.start,) = self.engine.plan(50.0, 0.0)
        self.key = (self.start.task, self.start.run)
        self.run_ = self.worker.runs[self.key]

    def poll(self, now_ms: float, runs=(), ends=(), has_all=True, born=1):
        """Handles the reply to a poll, and stores what has changed."""
        reply = PollReply(born, now_ms, list(runs), list(ends), has_all)
        self.engine.on_poll_reply(self.worker, now_ms - 1, reply, now_ms)
        self.engine.on_stored(self.engine.pop_dirty()[1])

    def send(self, at_ms: float, answered: bool) -> None:
        """Sends a start order; the lack of a reply is noticed in 500 ms."""
        self.run_.add_start_expiry(5000.0, at_ms)
        if not answered:
            self.worker.record_pending_start(self.run_, at_ms + 500)

    def end(self, **fields) -> int:
        """Reports the end; returns what the next poll acknowledges."""
        done = RunEndReport(1, *self.key, RunEndKind.DONE, "")
        self.poll(END_MS, ends=[done], **fields)
        self.assertEqual(self.worker.last_acked_end, 1)
        return self.worker.end_to_acknowledge(END_MS)

    def test_second_start_answered(self):
        """TWICE: the first order was carried out after the end was noted."""
        self.send(SENT_MS, answered=False)
        self.send(SENT_MS + 500, answered=True)
        self.assertEqual(self.end(), 0)
        self.assertTrue(self.worker.holds_ends(END_MS))
        until_ms = SENT_MS + MAX_ORDER_DELAY_MS
        self.assertEqual(self.worker.end_to_acknowledge(until_ms - 1), 0)
        self.assertEqual(self.worker.end_to_acknowledge(until_ms), 1)

    def test_start_that_is_told_after_the_end(self):
        """TWICE: the previous owner replies once the end has been read."""
        self.send(SENT_MS, answered=True)
        done = RunEndReport(1, *self.key, RunEndKind.DONE, "")
        reply = PollReply(1, END_MS, [], [done])
        self.engine.on_poll_reply(self.worker, END_MS - 1, reply, END_MS)
        self.worker.inherit_pending_start(self.start.task, SENT_MS)
        self.engine.on_stored(self.engine.pop_dirty()[1])
        until_ms = SENT_MS + MAX_ORDER_DELAY_MS
        self.assertEqual(self.worker.end_to_acknowledge(until_ms - 1), 0)
        self.assertEqual(self.worker.end_to_acknowledge(until_ms), 1)

    def test_end_before_the_previous_owner_has_replied(self):
        """TWICE: it may tell of a start without a reply."""
        self.send(SENT_MS, answered=True)
        self.engine.jobs[self.start.task.job].inherited = True
        self.assertEqual(self.end(), 0)
        until_ms = END_MS + PREDECESSOR_REPLY_MS
        self.assertEqual(self.worker.end_to_acknowledge(until_ms), 1)

    def test_both_starts_unanswered(self):
        """TWICE: a report shows that one of two orders was carried out."""
        self.send(SENT_MS, answered=False)
        self.send(SENT_MS + 500, answered=False)
        self.poll(1200.0, [RunReport(*self.key, "", 100, 0.0)])
        self.assertEqual(self.end(), 0)
        until_ms = SENT_MS + 500 + MAX_ORDER_DELAY_MS
        self.assertEqual(self.worker.end_to_acknowledge(until_ms - 1), 0)
        self.assertEqual(self.worker.end_to_acknowledge(until_ms), 1)

    def test_report_before_the_second_time_out(self):
        """TWICE: the report hid that the second order got no reply."""
        self.send(SENT_MS, answered=False)
        self.run_.add_start_expiry(5000.0, SENT_MS + 500)
        self.poll(700.0, [RunReport(*self.key, "", 100, 0.0)])
        self.worker.record_pending_start(self.run_, SENT_MS + 1000)
        self.assertEqual(self.end(), 0)
        until_ms = SENT_MS + 500 + MAX_ORDER_DELAY_MS
        self.assertEqual(self.worker.end_to_acknowledge(until_ms - 1), 0)
        self.assertEqual(self.worker.end_to_acknowledge(until_ms), 1)

    def test_reported_run_before_a_restart(self):
        """An end was held back for an order that had been carried out."""
        self.send(SENT_MS, answered=False)
        self.poll(1200.0, [RunReport(*self.key, "", 100, 0.0)])
        self.poll(1300.0, born=2)
        self.poll(1400.0, born=2)
        self.key = (self.key[0], self.key[1] + 1)
        self.assertEqual(self.end(born=2), 1)

    def test_later_run_of_the_task(self):
        """TWICE: the order was one for an earlier run of the task."""
        self.send(SENT_MS, answered=False)
        del self.worker.runs[self.key]
        self.key = (self.key[0], self.key[1] + 1)
        self.assertEqual(self.end(), 0)

    def test_earlier_ends_are_acknowledged(self):
        """Only the ends from the held one on are reported again."""
        self.send(SENT_MS, answered=False)
        self.send(SENT_MS + 500, answered=True)
        other = self.start.task._replace(job="2" * 16)
        ends = [
            RunEndReport(1, other, 1, RunEndKind.DONE, ""),
            RunEndReport(2, *self.key, RunEndKind.DONE, ""),
            RunEndReport(3, other, 2, RunEndKind.DONE, ""),
        ]
        self.poll(END_MS, ends=ends)
        self.assertEqual(self.worker.end_to_acknowledge(END_MS), 1)

    def test_only_start_was_executed(self):
        """An end was held back though no order was under way."""
        for reported_ms in (300.0, 1200.0, None):
            with self.subTest(reported_ms=reported_ms):
                self.setUp()
                report = [RunReport(*self.key, "", 100, 0.0)]
                if reported_ms == 300.0:
                    self.run_.add_start_expiry(5000.0, SENT_MS)
                    self.poll(reported_ms, report)
                    self.worker.record_pending_start(self.run_, 600.0)
                else:
                    self.send(SENT_MS, answered=False)
                if reported_ms == 1200.0:
                    self.poll(reported_ms, report)
                self.assertEqual(self.end(), 1)
                self.assertFalse(self.worker.holds_ends(END_MS))

    def test_start_without_reply_after_its_end(self):
        """The end arrived before the order's time-out."""
        self.run_.add_start_expiry(5000.0, SENT_MS)
        self.assertEqual(self.end(), 1)
        self.worker.record_pending_start(self.run_, END_MS)
        self.assertEqual(self.worker.pending_starts, {})

    def test_more_ends_than_fit(self):
        """Ends were never reported, as those before them were held back."""
        self.send(SENT_MS, answered=False)
        self.send(SENT_MS + 500, answered=True)
        self.assertEqual(self.end(has_all=False), 1)

    def test_restart(self):
        """The next incarnation counts its ends from 1, and none is held."""
        self.send(SENT_MS, answered=False)
        self.send(SENT_MS + 500, answered=True)
        self.end()
        self.poll(END_MS + 100, born=2)
        self.assertFalse(self.worker.holds_ends(END_MS + 100))

    def test_start_before_a_restart(self):
        """TWICE: the third incarnation carried out an order to the first."""
        self.send(SENT_MS, answered=False)
        self.poll(1200.0, born=2)
        self.poll(1300.0, born=2)
        self.key = (self.key[0], self.key[1] + 1)
        self.assertEqual(self.end(born=2), 0)


if __name__ == "__main__":
    unittest.main()
