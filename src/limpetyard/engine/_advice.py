"""Tickets of the advice service, which permits workers for some steps.

The reply to a request for advice holds one ticket for each permitted worker.
Whether a worker is permitted does not change during its incarnation.
"""

from limpetyard.engine._candidate import Candidate
from limpetyard.engine._effects import RequestAdvice
from limpetyard.engine._step_worker_client import Ticket
from limpetyard.engine._worker import Worker

# Maximum number of workers in one request; each adds to the latency of the
# reply.
MAX_ADVICE_WORKERS = 30

# Minimum remaining validity of a ticket at placement.
TICKET_MARGIN_MS = 300

# Pause after a request that got no usable reply. There is no limit to the wait
# for a reply here: the call has a time-out, and may wait for others before.
ADVICE_RETRY_MS = 1000

# Job, occurrence and number of a step.
StepKey = tuple[str, int, int]

# Id and incarnation of a worker.
Incarnation = tuple[str, int]


class _StepAdvice:
    """What is known of one step.

    Attributes:
        tickets: Ticket and the end of its validity, by worker.
        rejected: Workers that are not permitted.
        asked: Incarnation of each worker when it was last in a request, by id.
        requested: Workers in the latest request, if its reply is awaited.
        retry_at_ms: Time before which there is no other request.
    """

    __slots__ = ("asked", "rejected", "requested", "retry_at_ms", "tickets")

    def __init__(self):
        self.tickets: dict[Incarnation, tuple[str, float]] = {}
        self.rejected: set[Incarnation] = set()
        self.asked: dict[str, int] = {}
        self.requested: tuple[str, ...] = ()
        self.retry_at_ms = float("-inf")


class AdviceCache:
    """Tickets, rejections and pending requests of all steps."""

    __slots__ = ("_jobs",)

    def __init__(self):
        self._jobs: dict[str, dict[StepKey, _StepAdvice]] = {}

    def _advice(self, step_key: StepKey) -> _StepAdvice:
        steps = self._jobs.setdefault(step_key[0], {})
        return steps.setdefault(step_key, _StepAdvice())

    def add(self, request: RequestAdvice, tickets: list[Ticket]) -> None:
        """Adds the reply to a request, which need not be the latest one.

        Ignores replies for jobs that have ended.

        Args:
            request: The request.
            tickets: Tickets whose `valid_ms` is the time on this process's
                clock until which they are valid.
        """
        step_key = (request.job, request.occurrence, request.step)
        advice = self._jobs.get(request.job, {}).get(step_key)
        if advice is None:
            return
        permitted = {ticket.worker: ticket for ticket in tickets}
        for worker_id in request.workers:
            incarnation = (worker_id, advice.asked[worker_id])
            ticket = permitted.get(worker_id)
            if ticket is None:
                advice.rejected.add(incarnation)
            else:
                advice.tickets[incarnation] = (ticket.ticket, ticket.valid_ms)
        if request.workers == advice.requested:
            advice.requested = ()

    def fail(self, request: RequestAdvice, now_ms: float) -> None:
        """Has a request that got no usable reply repeated after a pause."""
        step_key = (request.job, request.occurrence, request.step)
        advice = self._jobs.get(request.job, {}).get(step_key)
        if advice is not None and request.workers == advice.requested:
            advice.requested = ()
            advice.retry_at_ms = now_ms + ADVICE_RETRY_MS

    def drop_ticket(self, step_key: StepKey, worker: Worker) -> None:
        """Drops a ticket that the worker did not accept."""
        advice = self._jobs.get(step_key[0], {}).get(step_key)
        if advice is not None:
            advice.tickets.pop((worker.id, worker.born), None)

    def drop_job(self, job_id: str) -> None:
        """Drops everything about a job."""
        self._jobs.pop(job_id, None)

    def ticket(
        self, step_key: StepKey, worker: Worker, now_ms: float
    ) -> str | None:
        """Returns a ticket that is valid for long enough, or None."""
        tickets = self._advice(step_key).tickets
        ticket, valid_ms = tickets.get((worker.id, worker.born), ("", 0.0))
        return ticket if now_ms + TICKET_MARGIN_MS < valid_ms else None

    def request(
        self, step_key: StepKey, candidates: list[Candidate], now_ms: float
    ) -> RequestAdvice | None:
        """Returns the next request for a step, or None.

        There is none while a reply is awaited, for a while after a request that
        failed, and if all candidates are known to be permitted or not to be.

        Args:
            step_key: Key of the step.
            candidates: Workers that could run a task of the step.
            now_ms: Current time.
        """
        advice = self._advice(step_key)
        if advice.requested or now_ms < advice.retry_at_ms:
            return None
        unknown = [
            candidate
            for candidate in candidates
            if (candidate.worker.id, candidate.worker.born)
            not in advice.rejected
            and self.ticket(step_key, candidate.worker, now_ms) is None
        ]
        if not unknown:
            return None
        unknown.sort(key=lambda c: -c.free_resources.cores_milli)
        workers = [c.worker for c in unknown[:MAX_ADVICE_WORKERS]]
        advice.asked |= {worker.id: worker.born for worker in workers}
        advice.requested = tuple(worker.id for worker in workers)
        return RequestAdvice(*step_key, advice.requested)
