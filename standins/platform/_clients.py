"""Clients that hand in, ask about and cancel one job each.

A client is described by data, so that a description can be stored and carried
out again, over any transport. What it sends and is told goes into a history.
"""

import asyncio
import enum
import random
from typing import Protocol

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.jobs import FINAL_STATES, JobSpec
from standins.platform._history import (
    History,
    JobAccepted,
    JobCancelled,
    PendingReturned,
    ReplyReceived,
    RequestSent,
    StateReturned,
)
from standins.platform._random_jobs import QUEUE, JobMix, lasts, random_shape

# Deadline that clients name in each request, also if they leave earlier.
DEADLINE_MS = 3000.0

# A client that stays waits this much longer than its deadline.
REPLY_SLACK_MS = 200.0

# Pause before a request is repeated, unless Retry-After names another.
REPEAT_PAUSE_MS = 300.0
RETRY_AFTER_S = 1.0

# Number of times that a job is sent, and that its cancellation is.
MAX_SUBMISSIONS = 6
MAX_CANCELLATIONS = 40

# Pause between two queries of a client that waits for the end of its job.
FOLLOW_PAUSE_MS = 500.0

# Time between two queries of the pending jobs.
PENDING_INTERVAL_MS = 1000.0

# Nodes that a transport may know: one whose way to the store is disturbed, and
# one whose way is not. Taken modulo the number of nodes, they are any two.
DISTURBED_NODE = -1
SOUND_NODE = -2

REFUSED_STATUSES = (429, 503)
UNKNOWN_STATUSES = (0, 502, 504)


class Reply(msgspec.Struct, frozen=True):
    """Reply to a request.

    Attributes:
        status: HTTP status, or 0 without a reply.
        state: State of the job, or "".
        retry_after_s: Value of Retry-After, or None.
        pending: Number of pending jobs of the queue, or None.
        node: Name of the node that replied, or "".
    """

    status: int
    state: str = ""
    retry_after_s: float | None = None
    pending: int | None = None
    node: str = ""

    @property
    def ok(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_cancelled(self) -> bool:
        """Whether the reply to a DELETE acknowledges the cancellation."""
        return self.ok or self.status == 410


class Transport(Protocol):
    """Carries requests of clients to nodes."""

    async def call(
        self,
        node: int,
        method: str,
        job_id: str,
        spec: JobSpec | None,
        wait_ms: float,
    ) -> Reply:
        """Sends a request; the status is 0 if there is no reply.

        Args:
            node: Number of the node, modulo the number of nodes.
            method: "POST", "GET" or "DELETE".
            job_id: Id of the job; "" asks for the pending jobs of the queue.
            spec: The job, for a POST.
            wait_ms: Time after which the client leaves. The node is not told
                and works on until the deadline, `DEADLINE_MS`.
        """


class CancelFrom(enum.Enum):
    """Moment from which the delay of a cancellation counts."""

    # The client sends its job for the first time.
    SENT = "sent"
    # The client has received the reply to it, or has left.
    ANSWERED = "answered"


class ClientPlan(msgspec.Struct, frozen=True):
    """Describes what a client does.

    Attributes:
        spec: The job; `first_due_ms` counts from the first time it is sent.
        arrival_ms: When it is sent first, in ms from the start of the run.
        submit_node: Node that the job is sent to first.
        leave_ms: Time that the client waits for the reply to it, or None if it
            stays to the deadline.
        resend_ms: Time from the reply, or from the end of the waiting, until
            the job is sent again, or None.
        resend_node: Node that it is sent to again.
        cancel_from: Moment from which `cancel_ms` counts.
        cancel_ms: Delay of the cancellation, or None if there is none.
        cancel_node: Node that the cancellation is sent to first.
        queries: Number of queries of the state after the submission.
        query_pause_ms: Time before each of them.
        asks_pending: Whether each of them also asks for the pending jobs.
        nodes: Nodes of all other requests, in turn.
    """

    spec: JobSpec
    arrival_ms: float
    submit_node: int
    leave_ms: float | None = None
    resend_ms: float | None = None
    resend_node: int = 0
    cancel_from: CancelFrom = CancelFrom.ANSWERED
    cancel_ms: float | None = None
    cancel_node: int = 0
    queries: int = 0
    query_pause_ms: float = 1000.0
    asks_pending: bool = False
    nodes: tuple[int, ...] = (0,)


class ClientMix(msgspec.Struct, frozen=True):
    """Shares of the behaviours of clients, each from 0 to 1.

    Attributes:
        jobs: Shares of the shapes of jobs.
        leaves: Leave before the deadline.
        resends: Send the job again after a reply, or after they have left.
        cancels: Cancel a job that would end.
        cancels_early: Of those that cancel: at any time after the sending,
            maybe before the reply.
        cancels_at_once: Of those that cancel: without a delay.
        aims: Hand in at a node whose way to the store is disturbed; half of
            them cancel at one whose way is not.
        asks_pending: Also ask for the number of pending jobs.
        arrivals_ms: Time within which clients arrive.
        longest_leave_ms: Longest wait of those that leave.
        longest_cancel_ms: Longest delay of a cancellation.
        stays: Of the jobs that last until they are cancelled: stay for up to
            `longest_stay_ms` instead.
        longest_stay_ms: See `stays`.
    """

    jobs: JobMix = JobMix()
    leaves: float = 0.4
    resends: float = 0.3
    cancels: float = 0.4
    cancels_early: float = 0.5
    cancels_at_once: float = 0.4
    aims: float = 0.4
    asks_pending: float = 0.3
    arrivals_ms: float = 25_000.0
    longest_leave_ms: float = 3000.0
    longest_cancel_ms: float = 1500.0
    stays: float = 0.4
    longest_stay_ms: float = 15_000.0


DEFAULT_MIX = ClientMix()


def random_plan(
    number: int, rng: random.Random, mix: ClientMix = DEFAULT_MIX
) -> ClientPlan:
    """Returns a random client.

    A job that does not end by itself is cancelled, some time after it was
    handed in at the latest.

    Args:
        number: Number of the client, from which the id of its job derives.
        rng: Source of the random choices.
        mix: Shares of the behaviours.
    """
    spec = random_shape(number, rng, mix.jobs)
    nodes = tuple(rng.randrange(60) for _ in range(8))
    leave_ms = resend_ms = cancel_ms = None
    if rng.random() < mix.leaves:
        # Mostly within the time of a few calls of the store.
        leave_ms = mix.longest_leave_ms * rng.random() ** 3
    if rng.random() < mix.resends:
        resend_ms = rng.choice([0.0, rng.uniform(0, 3000)])
    cancel_from = CancelFrom.ANSWERED
    if rng.random() < mix.cancels or lasts(spec):
        if rng.random() < mix.cancels_early:
            cancel_from = CancelFrom.SENT
        cancel_ms = 0.0
        if rng.random() >= mix.cancels_at_once:
            cancel_ms = rng.uniform(0, mix.longest_cancel_ms)
        if lasts(spec) and rng.random() < mix.stays:
            cancel_ms = rng.uniform(0, mix.longest_stay_ms)
    submit_node, cancel_node = rng.choice(nodes), rng.choice(nodes)
    if rng.random() < mix.aims:
        submit_node = DISTURBED_NODE
        cancel_node = rng.choice([cancel_node, SOUND_NODE])
    return ClientPlan(
        spec,
        rng.uniform(0, mix.arrivals_ms),
        submit_node,
        leave_ms,
        resend_ms,
        rng.choice(nodes),
        cancel_from,
        cancel_ms,
        cancel_node,
        rng.randint(0, 5),
        rng.uniform(200, 4000),
        rng.random() < mix.asks_pending,
        nodes,
    )


async def run_client(
    plan: ClientPlan, transport: Transport, history: History, clock: Clock
) -> None:
    """Carries out a plan; its arrival counts from the call.

    Records a job in `History.refused` if all requests to submit it were
    rejected.

    Args:
        plan: What the client does.
        transport: Carries its requests.
        history: Records what it sends and is told.
        clock: Clock of the history.
    """
    await _Client(plan, transport, history, clock).run()


async def follow_job(
    plan: ClientPlan,
    transport: Transport,
    history: History,
    clock: Clock,
    until_ms: float,
) -> None:
    """Asks for a job until it has ended or is unknown, or until a time.

    Args:
        plan: The client that handed the job in.
        transport: Carries its requests.
        history: Records what it sends and is told.
        clock: Clock of the history.
        until_ms: Time of `clock` of the last query.
    """
    client = _Client(plan, transport, history, clock)
    while clock.now_ms() < until_ms:
        reply = await client.query()
        if reply.status == 410 or reply.state in FINAL_STATES:
            return
        await asyncio.sleep(FOLLOW_PAUSE_MS / MS_PER_SECOND)


async def watch_pending(
    node: int,
    transport: Transport,
    history: History,
    clock: Clock,
    interval_ms: float = PENDING_INTERVAL_MS,
) -> None:
    """Asks a node for the pending jobs of the queue, until cancelled."""
    while True:
        await query_pending(node, transport, history, clock)
        await _sleep(interval_ms)


async def query_pending(
    node: int, transport: Transport, history: History, clock: Clock
) -> None:
    """Asks a node for the pending jobs of the queue once."""
    sent_ms = clock.now_ms()
    reply = await transport.call(node, "GET", "", None, DEADLINE_MS)
    if reply.ok and reply.pending is not None:
        history.add(
            PendingReturned(
                clock.now_ms(), QUEUE.name, sent_ms, reply.pending, reply.node
            )
        )


class _Client:
    """A client that carries out its plan."""

    def __init__(
        self,
        plan: ClientPlan,
        transport: Transport,
        history: History,
        clock: Clock,
    ):
        self._plan = plan
        self._transport = transport
        self._history = history
        self._clock = clock
        self._spec = plan.spec
        # Whether it cancels, and does not send its job again from then on.
        self._cancels = False
        self._next_node = 0

    async def run(self) -> None:
        plan = self._plan
        await _sleep(plan.arrival_ms)
        self._history.submitted[plan.spec.id] = self._due_spec()
        submission = asyncio.ensure_future(self._submit())
        try:
            if plan.cancel_from is CancelFrom.SENT:
                await self._cancel()
            await submission
        finally:
            submission.cancel()
        if plan.cancel_from is CancelFrom.ANSWERED:
            await self._cancel()
        for _ in range(plan.queries):
            await _sleep(plan.query_pause_ms)
            await self.query()
            if plan.asks_pending:
                await query_pending(
                    self._take_node(),
                    self._transport,
                    self._history,
                    self._clock,
                )

    def _due_spec(self) -> JobSpec:
        """Returns the job with its due time by the clock of the history."""
        if self._spec.timed:
            wall_ms = self._history.start_wall_ms + self._clock.now_ms()
            due_ms = wall_ms + self._spec.first_due_ms
            self._spec = msgspec.structs.replace(
                self._spec, first_due_ms=due_ms
            )
        return self._spec

    def _take_node(self) -> int:
        self._next_node += 1
        return self._plan.nodes[self._next_node % len(self._plan.nodes)]

    async def _submit(self) -> None:
        """Sends the job until it is accepted, it has left or it cancels."""
        plan = self._plan
        node, resends = plan.submit_node, plan.resend_ms is not None
        wait_ms = plan.leave_ms
        only_refused = True
        for _ in range(MAX_SUBMISSIONS):
            if self._cancels:
                break
            reply = await self._call(node, "POST", self._spec, wait_ms)
            only_refused &= reply.status in REFUSED_STATUSES
            has_left = reply.status == 0 and wait_ms is not None
            node, wait_ms = self._take_node(), None
            if reply.ok:
                accepted = JobAccepted(self._clock.now_ms(), self._spec)
                self._history.add(accepted)
            if (reply.ok or has_left) and resends:
                resends = False
                node = plan.resend_node
                await _sleep(plan.resend_ms)
            elif reply.status in REFUSED_STATUSES:
                await _sleep(_retry_after_ms(reply))
            elif reply.status in UNKNOWN_STATUSES and not has_left:
                await _sleep(REPEAT_PAUSE_MS)
            else:
                break
        if only_refused:
            self._history.refused.add(self._spec.id)

    async def _cancel(self) -> None:
        """Cancels the job, if that is planned, until it is acknowledged."""
        plan = self._plan
        if plan.cancel_ms is None:
            return
        await _sleep(plan.cancel_ms)
        self._cancels = True
        self._history.cancel_requests.add(self._spec.id)
        node = plan.cancel_node
        for _ in range(MAX_CANCELLATIONS):
            reply = await self._call(node, "DELETE")
            if reply.is_cancelled:
                cancelled = JobCancelled(self._clock.now_ms(), self._spec.id)
                self._history.add(cancelled)
                return
            node = self._take_node()
            refused = reply.status in REFUSED_STATUSES
            await _sleep(_retry_after_ms(reply) if refused else REPEAT_PAUSE_MS)

    async def query(self) -> Reply:
        """Asks for the state of the job once."""
        reply = await self._call(self._take_node(), "GET")
        if reply.ok or reply.status == 410:
            self._history.add(
                StateReturned(self._clock.now_ms(), self._spec.id, reply.state)
            )
        return reply

    async def _call(
        self,
        node: int,
        method: str,
        spec: JobSpec | None = None,
        wait_ms: float | None = None,
    ) -> Reply:
        """Makes one call about the job and records it."""
        sent_ms = self._clock.now_ms()
        job = self._spec.id
        self._history.add(RequestSent(sent_ms, job, method, node))
        if wait_ms is None:
            wait_ms = DEADLINE_MS + REPLY_SLACK_MS
        reply = await self._transport.call(node, method, job, spec, wait_ms)
        self._history.add(
            ReplyReceived(
                self._clock.now_ms(),
                job,
                method,
                node,
                sent_ms,
                reply.status,
                reply.state,
                reply.node,
            )
        )
        return reply


def _retry_after_ms(reply: Reply) -> float:
    after_s = reply.retry_after_s
    return (RETRY_AFTER_S if after_s is None else after_s) * MS_PER_SECOND


async def _sleep(ms: float) -> None:
    await asyncio.sleep(ms / MS_PER_SECOND)
