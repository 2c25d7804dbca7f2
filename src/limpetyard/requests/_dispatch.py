"""Queueing, slot acquisition and retries for one service's requests."""

import asyncio
import dataclasses
from collections.abc import Iterable

import xxhash

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ERROR_RESPONSES, ErrorKind, ExecutionStatus
from limpetyard.config import Limits, Service
from limpetyard.errors import RequestError
from limpetyard.fleet import Vm
from limpetyard.requests._client import (
    AttemptResult,
    TargetClient,
    TargetRequest,
)
from limpetyard.requests._outcomes import AttemptOutcome, retry_decision
from limpetyard.requests._queue import DeadlineQueue
from limpetyard.requests._retry_budget import RetryBudget
from limpetyard.requests._slot_policies import SlotPolicy
from limpetyard.requests._targets import TargetPool, TargetState

# Part of the remaining time that one attempt of an idempotent request may use,
# so that there is time left for a retry.
ATTEMPT_FRACTION = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A caller's request with its deadline, retry safety and priority.

    Attributes:
        target_request: Request to send to a target.
        deadline_ms: Clock reading after which the caller has timed out.
        idempotent: Whether the request may run more than once.
        batch: Whether the request is queued behind urgent ones and shed
            first.
    """

    target_request: TargetRequest
    deadline_ms: float
    idempotent: bool
    batch: bool


class _Waiter:
    __slots__ = ("avoid", "fut")

    def __init__(self, avoid: frozenset[str]):
        self.avoid = avoid
        self.fut: asyncio.Future[TargetState] = (
            asyncio.get_running_loop().create_future()
        )


class _RequestHistory:
    """Results of the attempts of one request so far.

    Attributes:
        attempts: Number of completed attempts.
        tried: Ids of the targets that were tried.
        may_have_run: Whether a target may have executed the request.
    """

    __slots__ = ("attempts", "may_have_run", "tried")

    def __init__(self):
        self.attempts = 0
        self.tried: frozenset[str] = frozenset()
        self.may_have_run = False

    def record(self, target: str, outcome: AttemptOutcome) -> None:
        """Records a completed attempt."""
        self.attempts += 1
        self.tried |= {target}
        self.may_have_run |= outcome is not AttemptOutcome.NOT_SENT


class Dispatcher:
    """Dispatches the requests of one service from this entry VM.

    Attributes:
        name: Name of the service.
        service: The service's configuration.
        pool: The service's targets.
        retry_count: Number of retries since the start.
    """

    __slots__ = (
        "_budget",
        "_clients",
        "_clock",
        "_limits",
        "_member_count",
        "_queue",
        "name",
        "pool",
        "retry_count",
        "service",
    )

    def __init__(
        self,
        name: str,
        service: Service,
        limits: Limits,
        policy: SlotPolicy,
        clock: Clock,
    ):
        self.name = name
        self.service = service
        seed = xxhash.xxh64_intdigest(name.encode())
        self.pool = TargetPool(policy, seed)
        self.retry_count = 0
        self._limits = limits
        self._clock = clock
        self._budget = RetryBudget()
        self._queue: DeadlineQueue[_Waiter] = DeadlineQueue(
            service.queue_length
        )
        self._clients: dict[str, TargetClient] = {}
        self._member_count = 1

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    async def update(
        self,
        service: Service,
        limits: Limits,
        vms: Iterable[Vm],
        own_id: str,
        members: list[str],
    ) -> None:
        """Applies the configuration, the VM list and the membership view.

        The queue keeps the length that was set at construction, and existing
        clients keep their connection limit.

        Args:
            service: Configuration of the service.
            limits: Limits on attempts and retries.
            vms: The service's targets.
            own_id: Id of this VM.
            members: Ids of the live entry VMs, including this one.
        """
        self.service = service
        self._limits = limits
        self._member_count = len(members)
        self.pool.update(
            vms, own_id, members, service.slots, self._clock.now_ms()
        )
        for target_id in set(self._clients) - set(self.pool.targets):
            await self._clients.pop(target_id).close()
        self._grant_slots()

    async def execute(self, req: ServiceRequest) -> AttemptResult:
        """Sends a request, with retries, and returns the response.

        Raises:
            RequestError: If no target returned a complete response. Its kind
                states whether the request may have run.
        """
        history = _RequestHistory()
        try:
            return await self._send_with_retries(req, history)
        except RequestError as exc:
            if (
                history.may_have_run
                and ERROR_RESPONSES[exc.kind].execution
                is ExecutionStatus.NOT_EXECUTED
            ):
                kind = ErrorKind.OUTCOME_UNKNOWN
                raise RequestError(
                    kind, f"{exc.detail}; an earlier attempt was sent"
                ) from exc
            raise

    async def _send_with_retries(
        self, req: ServiceRequest, history: "_RequestHistory"
    ) -> AttemptResult:
        """Sends attempts until one succeeds or no retry is allowed.

        Raises:
            RequestError: For the last attempt, or if no slot became free.
        """
        while True:
            target = await self._acquire_slot(req, history.tried)
            result = await self._send_attempt(target, req)
            history.record(target.vm.id, result.outcome)
            decision = retry_decision(result.outcome, req.idempotent)
            if decision.kind is None:
                self._budget.deposit(self._limits.retry_ratio)
                return result
            if not self._may_retry(req, decision.retry, history.attempts):
                raise RequestError(decision.kind, result.detail)
            self.retry_count += 1

    async def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            await client.close()

    def _may_retry(
        self, req: ServiceRequest, allowed: bool, attempts: int
    ) -> bool:
        remaining_ms = req.deadline_ms - self._clock.now_ms()
        return (
            allowed
            and remaining_ms > 0
            and attempts < self._limits.attempts
            and self._budget.try_withdraw()
        )

    async def _acquire_slot(
        self, req: ServiceRequest, avoid: frozenset[str]
    ) -> TargetState:
        """Acquires a slot of a target, and waits for one if none is free.

        Raises:
            RequestError: If there are no targets, the queue is full or the
                deadline passes.
        """
        if not self.pool.targets:
            raise RequestError(ErrorKind.NO_TARGET, self.name)
        now_ms = self._clock.now_ms()
        if not len(self._queue):
            target = self.pool.acquire_slot(now_ms, avoid)
            if target is not None:
                return target
        waiter = _Waiter(avoid)
        shed = self._queue.push(waiter, req.deadline_ms, req.batch)
        if shed is not None:
            error = RequestError(ErrorKind.QUEUE_FULL, self.name)
            shed.fut.set_exception(error)
        return await self._wait_for_slot(waiter, req.deadline_ms - now_ms)

    async def _wait_for_slot(
        self, waiter: _Waiter, wait_ms: float
    ) -> TargetState:
        timeout = max(0.0, wait_ms) / MS_PER_SECOND
        try:
            return await asyncio.wait_for(asyncio.shield(waiter.fut), timeout)
        except (TimeoutError, asyncio.CancelledError) as exc:
            self._queue.discard(waiter)
            self._release_if_granted(waiter)
            if isinstance(exc, asyncio.CancelledError):
                raise
            kind = ErrorKind.DEADLINE_BEFORE_SEND
            raise RequestError(kind, self.name) from exc

    def _release_if_granted(self, waiter: _Waiter) -> None:
        """Releases a slot that was granted while the wait ended."""
        if waiter.fut.done() and not waiter.fut.exception():
            self._release_slot(waiter.fut.result())

    async def _send_attempt(
        self, target: TargetState, req: ServiceRequest
    ) -> AttemptResult:
        now_ms = self._clock.now_ms()
        remaining_ms = max(1.0, req.deadline_ms - now_ms)
        fraction = ATTEMPT_FRACTION if req.idempotent else 1.0
        client = self._client_for(target.vm.id)
        responded = False
        try:
            result = await client.attempt(
                target.vm.address,
                req.target_request,
                remaining_ms * fraction,
                self.service.max_answer_bytes,
            )
            responded = result.outcome is AttemptOutcome.RESPONDED
        finally:
            self._record_result(target, now_ms, responded)
            self._release_slot(target)
        return result

    def _record_result(
        self, target: TargetState, sent_ms: float, responded: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        if responded:
            target.record_success(now_ms - sent_ms)
        else:
            target.record_failure(now_ms)

    def _client_for(self, target_id: str) -> TargetClient:
        if target_id not in self._clients:
            share = self.service.connections // max(1, self._member_count)
            self._clients[target_id] = TargetClient(max(1, share))
        return self._clients[target_id]

    def _release_slot(self, target: TargetState) -> None:
        target.in_flight -= 1
        self._grant_slots()

    def _grant_slots(self) -> None:
        """Grants free slots to the waiting requests, in queue order."""
        now_ms = self._clock.now_ms()
        while len(self._queue):
            waiter = self._queue.peek()
            target = self.pool.acquire_slot(now_ms, waiter.avoid)
            if target is None:
                return
            self._queue.pop()
            if waiter.fut.done():
                target.in_flight -= 1
                continue
            waiter.fut.set_result(target)
