"""Gangs of which one member may still run."""

import unittest

import msgspec

from limpetyard.engine import Engine, Start, StartResult
from limpetyard.jobs import (
    StepSpec,
    apply_progress,
    encode_progress,
)
from tests.engine.test_engine import LEASE_MS, ONE_CORE, EngineTestCase
from tests.engine.test_engine import job as job_spec


class GangTest(EngineTestCase):
    """Members of a gang that are startable at different times."""

    workers = 3

    def store(self, job) -> bytes:
        """Stores all changes; returns the progress of the job."""
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        return encode_progress(job, 0.0)

    def take_over(self, spec, stored: bytes):
        """Replaces the owner; returns the job. No worker has replied."""
        former = self.engine
        self.engine = Engine(former.epoch + 1, former.params)
        self.engine.places_trusted = True
        job = self.submit(spec, loaded=True)
        apply_progress(job, stored, self.now_ms)
        for worker_id, known in former.workers.items():
            worker = self.engine.set_entry(known.entry, self.now_ms)
            worker.prior_lease_end_ms = self.now_ms + LEASE_MS
            self.assertEqual(worker.id, worker_id)
        recorded = dict.fromkeys(former.workers, (1, False))
        self.engine.set_recorded_workers(recorded)
        return job

    def place_gang(self):
        """Places a long-running gang of two, each on a worker of its own."""
        step = StepSpec(2, ONE_CORE, long_running=True, gang=True, per_worker=1)
        spec = job_spec(1, step)
        job = self.submit(spec)
        starts = self.plan(Start)
        self.assertEqual(len({s.worker for s in starts}), 2)
        return spec, job, starts

    def free_worker(self, starts) -> str:
        """Returns the worker without a member."""
        (free,) = set(self.engine.workers) - {s.worker for s in starts}
        return free

    def test_member_without_an_order(self):
        """TWICE: a member that may run starts with one that was reported.

        The order of the first member got no reply; none was sent for the
        other one. Neither worker replies to the next owner.
        """
        spec, job, starts = self.place_gang()
        stored = self.store(job)
        first, second = starts
        worker = self.engine.workers[first.worker]
        run = worker.runs[first.task, first.run]
        run.add_start_expiry(int(self.now_ms) + 3000)
        reported = self.engine.unstarted_tasks()
        self.assertNotIn(first.task, reported)
        free = self.free_worker(starts)
        self.take_over(spec, stored)
        self.engine.on_unstarted_tasks(reported)
        self.poll(free, first_poll=True)
        self.poll(second.worker, first_poll=True)
        started = [s.task for s in self.plan(Start)]
        self.assertNotIn(first.task, started)

    def test_member_on_a_silent_worker(self):
        """TWICE: a member starts though its worker may still run it.

        The worker of the other member, which runs no more, has replied. No
        owner has reported anything.
        """
        spec, job, starts = self.place_gang()
        stored = self.store(job)
        for start in starts:
            self.engine.on_start_reply(start, StartResult.STARTED, self.now_ms)
        free = self.free_worker(starts)
        self.take_over(spec, stored)
        self.poll(free, first_poll=True)
        self.poll(starts[1].worker, first_poll=True)
        started = [s.task for s in self.plan(Start)]
        self.assertNotIn(starts[0].task, started)

    def test_member_of_a_restarted_worker(self):
        """TWICE: a member of a short gang starts before its worker replies.

        A late order may start it once more where it was.
        """
        spec = job_spec(1, StepSpec(2, ONE_CORE, gang=True, per_worker=1))
        self.submit(spec)
        starts = self.plan(Start)
        first, second = starts
        worker = self.engine.workers[first.worker]
        worker.runs[first.task, first.run].add_start_expiry(
            int(self.now_ms) + 3000
        )
        worker.grant_lease(self.now_ms, LEASE_MS)
        self.engine.set_entry(
            msgspec.structs.replace(worker.entry, born=2), self.now_ms
        )
        task = self.engine.find_task(first.task)
        self.assertEqual(task.restarted_worker, first.worker)
        self.engine.on_start_reply(second, StartResult.NO_ROOM, self.now_ms)
        self.now_ms += 1000
        self.poll(second.worker)
        self.poll(self.free_worker(starts))
        started = [s.task for s in self.plan(Start)]
        self.assertNotIn(first.task, started)


if __name__ == "__main__":
    unittest.main()
