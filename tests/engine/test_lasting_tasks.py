"""Tests that long-running tasks restart soon, wherever their run ended."""

from collections.abc import Callable

from limpetyard.engine import (
    PollReply,
    RequestAdvice,
    RunEndKind,
    RunReport,
    Start,
    StartResult,
    Stop,
    Ticket,
)
from limpetyard.jobs import AdviceParams, StepSpec, TaskKey
from tests.engine.test_engine import (
    LEASE_MS,
    ONE_CORE,
    EngineTestCase,
    entry,
    job,
)

# A long-running task must not wait longer while a worker has room for it.
LONGEST_WAIT_MS = 5000

LASTING = StepSpec(1, ONE_CORE, long_running=True)


class LastingTestCase(EngineTestCase):
    """Base of tests that let time pass until a task starts."""

    def start_of(
        self,
        task: TaskKey,
        until_ms: float,
        each_step: Callable[[], None],
        on_request: Callable[[RequestAdvice], None] | None = None,
    ) -> Start | None:
        """Confirms starts until one is for a task, and returns that one.

        Args:
            task: Key of the task.
            until_ms: Time at which to give up and return None.
            each_step: Called every 100 ms, before planning.
            on_request: Called for each request for advice.
        """
        while self.now_ms < until_ms:
            self.now_ms += 100
            each_step()
            for effect in self.plan():
                if isinstance(effect, RequestAdvice):
                    on_request(effect)
                if not isinstance(effect, Start):
                    continue
                self.engine.on_start_reply(
                    effect, StartResult.STARTED, self.now_ms
                )
                if effect.task == task:
                    return effect
        return None

    def poll_all(self) -> None:
        """Has all workers reply to a poll."""
        for worker_id in self.engine.workers:
            self.poll(worker_id)


class ProbationTest(LastingTestCase):
    """Lasting tasks that wait for a worker on probation."""

    workers = 1

    def test_failing_task_takes_every_probe(self):
        """A task that fails at once keeps others from starting."""
        bad, good = self.submit(job(1, LASTING)), self.submit(job(2, LASTING))
        worker = self.engine.workers["w-0"]
        for start in self.start_all():
            self.end(start, RunEndKind.FAILED)
        self.assertTrue(worker.on_probation)

        def fail():
            ends = tuple(
                (run.task, run.run, RunEndKind.FAILED)
                for run in worker.runs.values()
                if run.task.job == bad.spec.id
            )
            self.poll("w-0", ends)

        start = self.start_of(
            good.task(0, 0, 0).key, self.now_ms + LONGEST_WAIT_MS, fail
        )
        self.assertIsNotNone(start)

    def test_slowed_probe(self):
        """A best-effort probe that is slowed keeps others from starting."""
        worker = self.engine.workers["w-0"]
        worker.failures = 2
        self.submit(job(1, StepSpec(1, ONE_CORE, run_ms=60_000, fills=True)))
        (probe,) = self.start_all()
        waiting = self.submit(job(2, LASTING))
        slowed = RunReport(probe.task, probe.run, "", 50, 500.0)

        def poll():
            self.poll("w-0", drop=(probe.task,), extra=(slowed,))

        start = self.start_of(
            waiting.task(0, 0, 0).key, self.now_ms + LONGEST_WAIT_MS, poll
        )
        self.assertIsNotNone(start)


class InheritedTest(LastingTestCase):
    """Lasting tasks that may run on a worker that does not reply."""

    workers = 4

    def adopt(self):
        """Returns a task whose run was found on w-0, and its key."""
        submitted = self.submit(job(1, LASTING), loaded=True)
        task = submitted.task(0, 0, 0)
        report = RunReport(task.key, 5, "", 100, 0.0)
        self.poll("w-0", extra=(report,))
        self.assertEqual((task.state, task.worker), ("placed", "w-0"))
        return task

    def test_restarts_of_workers_that_never_had_the_task(self):
        """A found task that ended waits for each worker that restarts later."""
        task = self.adopt()
        self.submit(job(2, StepSpec(4, ONE_CORE, per_worker=1)))
        self.start_all()
        self.poll("w-0", ((task.key, 5, RunEndKind.FAILED),))
        began_ms = self.now_ms
        restarts = {0: "w-1", 3000: "w-2", 6000: "w-3"}
        silent = set()

        def poll_and_restart():
            for after_ms, worker_id in restarts.items():
                if worker_id not in silent and (
                    self.now_ms - began_ms >= after_ms
                ):
                    silent.add(worker_id)
                    number = int(worker_id[2:])
                    self.engine.set_entry(entry(number, born=2), self.now_ms)
            for worker_id in self.engine.workers:
                if worker_id not in silent:
                    self.poll(worker_id)

        start = self.start_of(
            task.key, began_ms + LONGEST_WAIT_MS, poll_and_restart
        )
        self.assertIsNotNone(start)

    def test_older_end_after_a_found_run(self):
        """The late end of an older run makes a task start a second time."""
        task = self.adopt()
        self.poll(
            "w-0",
            ((task.key, 4, RunEndKind.LAPSED),),
            extra=(RunReport(task.key, 5, "", 100, 0.0),),
        )
        self.assertEqual((task.state, task.run), ("placed", 5))
        self.assertEqual(self.plan(Start), [])


class SilentStartTest(LastingTestCase):
    """Start orders that get no reply."""

    def test_worker_that_never_answers_starts(self):
        """A task is placed again and again where no start is answered."""
        task = self.submit(job(1, LASTING)).task(0, 0, 0)
        tried = []
        until_ms = self.now_ms + 2 * LONGEST_WAIT_MS
        while self.now_ms < until_ms and len(set(tried)) < 2:
            for effect in self.plan():
                if isinstance(effect, Stop):
                    self.pass_time(50)
                    self.engine.on_stop_reply(effect, self.now_ms)
                    continue
                tried.append(effect.worker)
                # Two attempts, each with a time-out of 500 ms.
                self.pass_time(1000)
                self.engine.on_start_reply(effect, None, self.now_ms)
            self.pass_time(50)
        self.assertEqual(task.worker, "w-1", tried)

    def pass_time(self, ms: int) -> None:
        """Lets the workers reply, each time 1000 ms after the last reply."""
        for _ in range(0, ms, 50):
            self.now_ms += 50
            if self.now_ms % 1000 < 50:
                for worker in self.engine.workers.values():
                    sent_ms = self.now_ms - 1000
                    reply = PollReply(1, self.now_ms, [], [])
                    self.engine.on_poll_reply(
                        worker, sent_ms, reply, self.now_ms
                    )
                    worker.grant_lease(self.now_ms, LEASE_MS)


class AdvisedTest(LastingTestCase):
    """Lasting tasks of queues with advice."""

    workers = 40

    def start_permitted(self, step: StepSpec, index: int, permitted: set[str]):
        """Returns the start of a task, or None, and all workers asked for.

        Args:
            step: Specification of the step.
            index: Number of the task.
            permitted: Workers that get tickets, if they are in a request.
        """
        spec = job(1, step, advice=AdviceParams(5, 1, 10_000))
        task = self.submit(spec).task(0, 0, index)
        asked = []

        def advise(request):
            asked.append(request.workers)
            tickets = [
                Ticket(worker, "t", self.now_ms + 10_000)
                for worker in request.workers
                if worker in permitted
            ]
            self.engine.add_tickets(spec.id, 0, 0, tickets)

        until_ms = self.now_ms + LONGEST_WAIT_MS
        start = self.start_of(task.key, until_ms, self.poll_all, advise)
        return start, asked

    def test_permitted_worker_beyond_the_first_request(self):
        """Each request names the same 30 workers, none of them permitted."""
        start, asked = self.start_permitted(LASTING, 0, {"w-39"})
        self.assertIsNotNone(start, f"{len(asked)} requests, {set(asked)}")

    def test_permitted_worker_at_the_limit(self):
        """No further advice is requested while a full worker's ticket lasts."""
        step = StepSpec(2, ONE_CORE, long_running=True, per_worker=1)
        start, asked = self.start_permitted(step, 1, {"w-0", "w-39"})
        self.assertIsNotNone(start, f"{len(asked)} requests")
