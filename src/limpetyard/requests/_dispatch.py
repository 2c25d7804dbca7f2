"""Sends one service's requests to its targets within limits."""

import asyncio
import dataclasses
from collections.abc import Iterable

import xxhash

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._kinds import ANSWERS, ErrorKind, Ran
from limpetyard.config import Limits, Service
from limpetyard.errors import RequestError
from limpetyard.fleet import Vm
from limpetyard.requests._client import Attempt, Call, TargetClient
from limpetyard.requests._outcomes import Fate, verdict_of
from limpetyard.requests._queue import DeadlineQueue
from limpetyard.requests._retry_budget import RetryBudget
from limpetyard.requests._slot_policies import SlotPolicy
from limpetyard.requests._targets import TargetPool, TargetState

# An attempt of an idempotent request leaves time for another one.
ATTEMPT_FRACTION = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A caller's request with its terms.

    Attributes:
        call: What goes to the target.
        deadline_ms: Clock at which the caller gives up.
        idempotent: Whether it may run more than once.
        batch: Whether it is shed before urgent requests.
    """

    call: Call
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


class _History:
    """What has become of a request so far.

    Attributes:
        attempts: Attempts that ended.
        tried: Targets that it has been at.
        handed_over: Whether any attempt may have been executed.
    """

    __slots__ = ("attempts", "handed_over", "tried")

    def __init__(self):
        self.attempts = 0
        self.tried: frozenset[str] = frozenset()
        self.handed_over = False

    def note(self, target: str, fate: Fate) -> None:
        """Takes in an attempt that ended."""
        self.attempts += 1
        self.tried |= {target}
        self.handed_over |= fate is not Fate.NOT_SENT


class Dispatcher:
    """The request path of one service on this entry VM.

    Attributes:
        name: Name of the service.
        service: Its terms in the configuration.
        pool: Its targets.
        retries: Count of attempts after a first one.
    """

    __slots__ = (
        "_budget",
        "_clients",
        "_clock",
        "_limits",
        "_members",
        "_queue",
        "name",
        "pool",
        "retries",
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
        self.retries = 0
        self._limits = limits
        self._clock = clock
        self._budget = RetryBudget()
        self._queue: DeadlineQueue[_Waiter] = DeadlineQueue(
            service.queue_length
        )
        self._clients: dict[str, TargetClient] = {}
        self._members = 1

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    async def update(
        self,
        service: Service,
        limits: Limits,
        vms: Iterable[Vm],
        own_id: str,
        members: list[str],
    ) -> None:
        """Takes the configuration, the VM list and the membership view."""
        self.service = service
        self._limits = limits
        self._members = len(members)
        self.pool.update(
            vms, own_id, members, service.slots, self._clock.now_ms()
        )
        for target_id in set(self._clients) - set(self.pool.targets):
            await self._clients.pop(target_id).close()
        self._serve_waiting()

    async def call(self, req: Request) -> Attempt:
        """Returns the answer of a target.

        Raises:
            RequestError: If there is none; its kind says what is known.
        """
        history = _History()
        try:
            return await self._call(req, history)
        except RequestError as exc:
            if history.handed_over and ANSWERS[exc.kind].ran is Ran.NO:
                kind = ErrorKind.OUTCOME_UNKNOWN
                raise RequestError(kind, f"{exc.detail}, sent before") from exc
            raise

    async def _call(self, req: Request, history: "_History") -> Attempt:
        while True:
            target = await self._slot(req, history.tried)
            attempt = await self._attempt(target, req)
            history.note(target.vm.id, attempt.fate)
            verdict = verdict_of(attempt.fate, req.idempotent)
            if verdict.kind is None:
                self._budget.earn(self._limits.retry_ratio)
                return attempt
            if not self._may_retry(req, verdict.retry, history.attempts):
                raise RequestError(verdict.kind, attempt.detail)
            self.retries += 1

    async def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            await client.close()

    def _may_retry(self, req: Request, allowed: bool, attempts: int) -> bool:
        left_ms = req.deadline_ms - self._clock.now_ms()
        return (
            allowed
            and left_ms > 0
            and attempts < self._limits.attempts
            and self._budget.spend()
        )

    async def _slot(self, req: Request, avoid: frozenset[str]) -> TargetState:
        if not self.pool.targets:
            raise RequestError(ErrorKind.NO_TARGET, self.name)
        now_ms = self._clock.now_ms()
        if not len(self._queue):
            target = self.pool.take(now_ms, avoid)
            if target is not None:
                return target
        waiter = _Waiter(avoid)
        shed = self._queue.push(waiter, req.deadline_ms, req.batch)
        if shed is not None:
            error = RequestError(ErrorKind.QUEUE_FULL, self.name)
            shed.fut.set_exception(error)
        return await self._wait(waiter, req.deadline_ms - now_ms)

    async def _wait(self, waiter: _Waiter, wait_ms: float) -> TargetState:
        timeout = max(0.0, wait_ms) / MS_PER_SECOND
        try:
            return await asyncio.wait_for(asyncio.shield(waiter.fut), timeout)
        except (TimeoutError, asyncio.CancelledError) as exc:
            self._queue.discard(waiter)
            self._give_back(waiter)
            if isinstance(exc, asyncio.CancelledError):
                raise
            kind = ErrorKind.DEADLINE_BEFORE_SEND
            raise RequestError(kind, self.name) from exc

    def _give_back(self, waiter: _Waiter) -> None:
        if waiter.fut.done() and not waiter.fut.exception():
            self._release(waiter.fut.result())

    async def _attempt(self, target: TargetState, req: Request) -> Attempt:
        now_ms = self._clock.now_ms()
        left_ms = max(1.0, req.deadline_ms - now_ms)
        fraction = ATTEMPT_FRACTION if req.idempotent else 1.0
        client = self._client(target.vm.id)
        answered = False
        try:
            attempt = await client.attempt(
                target.vm.address,
                req.call,
                left_ms * fraction,
                self.service.max_answer_bytes,
            )
            answered = attempt.fate is Fate.ANSWERED
        finally:
            self._note(target, now_ms, answered)
            self._release(target)
        return attempt

    def _note(
        self, target: TargetState, sent_ms: float, answered: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        if answered:
            target.succeeded(now_ms - sent_ms)
        else:
            target.failed(now_ms)

    def _client(self, target_id: str) -> TargetClient:
        if target_id not in self._clients:
            share = self.service.connections // max(1, self._members)
            self._clients[target_id] = TargetClient(max(1, share))
        return self._clients[target_id]

    def _release(self, target: TargetState) -> None:
        target.in_flight -= 1
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        now_ms = self._clock.now_ms()
        while len(self._queue):
            waiter = self._queue.first()
            target = self.pool.take(now_ms, waiter.avoid)
            if target is None:
                return
            self._queue.pop()
            if waiter.fut.done():
                target.in_flight -= 1
                continue
            waiter.fut.set_result(target)
