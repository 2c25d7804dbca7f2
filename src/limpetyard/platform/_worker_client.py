"""Clients of the platform's workers and of its advice service."""

import asyncio
import functools
from collections.abc import Callable

import msgspec

from limpetyard._events import event
from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
    WithheldError,
)
from limpetyard.engine import (
    OrderWithheldError,
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartReply,
    StartResult,
    Ticket,
    WorkerDisconnectedError,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.jobs import TaskKey
from limpetyard.platform._bounds import Count, Time
from limpetyard.platform._decode_errors import (
    DECODE_ERRORS,
    translate_decode_errors,
)

# One poll and two orders at the same time; connections to workers are
# expensive.
MAX_CONNECTIONS = 3

# An order without a reply within this time is sent again.
ORDER_TIMEOUT_MS = 500

# A worker returns at most this many ended runs in one reply.
MAX_ENDS_PER_REPLY = 500

# Results of rejected start orders by the reason in the 409 reply.
_START_RESULTS = {
    "old": StartResult.STALE_RUN,
    "late": StartResult.EXPIRED,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}
_FENCED_REASON = "fence"
_UNHEALTHY_STATUSES = (429, 503)


class _HoldRequest(msgspec.Struct, rename="camel", omit_defaults=True):
    # "/hold" renews the lease and returns the current and ended runs.
    fencing_token: int
    last_seen: int = 0
    expires_ms: int | None = None
    wait_ms: int = 0


class _RunRow(msgspec.Struct, array_like=True):
    task: str
    run: Count
    checkpoint: str | None
    percent: float
    measurement: float | None = None

    def to_report(self) -> RunReport:
        return RunReport(
            parse_task_key(self.task),
            self.run,
            self.checkpoint or "",
            self.percent,
            self.measurement or 0.0,
        )


class _EndRow(msgspec.Struct, array_like=True):
    number: Count
    task: str
    run: Count
    how: str
    checkpoint: str | None

    def to_report(self) -> RunEndReport:
        return RunEndReport(
            self.number,
            parse_task_key(self.task),
            self.run,
            RunEndKind(self.how),
            self.checkpoint or "",
        )


class _HoldReply(msgspec.Struct, rename="camel"):
    clock_ms: Time
    born: Count = 0
    running: list[_RunRow] = []
    ended_runs: list[_EndRow] = []


class _RunStartRequest(msgspec.Struct, rename="camel", omit_defaults=True):
    task: str
    run_id: int
    spec: str
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _RunStopRequest(msgspec.Struct, rename="camel"):
    task: str
    run_id: int
    fencing_token: int


class _PaceRequest(msgspec.Struct, rename="camel"):
    task: str
    run_id: int
    percent: int
    fencing_token: int


_FencedRequest = (
    _HoldRequest | _RunStartRequest | _RunStopRequest | _PaceRequest
)


class _Rejection(msgspec.Struct, rename="camel"):
    reason: str = ""


class _Reading(msgspec.Struct, rename="camel"):
    clock_ms: Time | None = None


class _AdviseRequest(msgspec.Struct):
    step: str
    workers: list[str]


class _AdviseReply(msgspec.Struct, rename="camel"):
    # Rows of a worker and its ticket, and columns of later versions.
    good: list[list]
    validity_ms: Time = 0.0

    def to_tickets(self) -> list[Ticket]:
        """Returns the tickets of all rows that can be read; logs the others.

        A row that cannot be read permits no worker and hides no other row.
        """
        tickets = []
        for row in self.good:
            try:
                worker, ticket = msgspec.convert(row[:2], tuple[str, str])
            except msgspec.ValidationError as exc:
                event("row_unreadable", "WARNING", reply="advise", reason=exc)
                continue
            tickets.append(Ticket(worker, ticket, self.validity_ms))
        return tickets


def format_task_key(task: TaskKey) -> str:
    """Returns the name of a task on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_key(name: str) -> TaskKey:
    """Parses the name of a task on the wire.

    Raises:
        ValueError: If the name is not of the form that `format_task_key`
            returns.
    """
    job, occurrence, step, index = name.split(".")
    key = TaskKey(job, int(occurrence), int(step), int(index))
    # `int` also reads signs, spaces, underscores and other digits.
    if format_task_key(key) != name:
        raise ValueError("not written as the name of a task")
    return key


class PlatformWorkerClient:
    """Client of workers over HTTP.

    Implements `limpetyard.engine.StepWorkerClient`.
    """

    __slots__ = ("_http_client", "_may_send")

    def __init__(
        self,
        may_send: Callable[[str, int], bool] | None = None,
        http_client: HttpClient | None = None,
    ):
        """Creates a client.

        Args:
            may_send: See `guarded`; None if everything may be sent.
            http_client: Client whose connections are used, or None.
        """
        self._http_client = http_client or HttpClient(MAX_CONNECTIONS, "worker")
        self._may_send = may_send

    def guarded(
        self, may_send: Callable[[str, int], bool]
    ) -> "PlatformWorkerClient":
        """See `limpetyard.engine.StepWorkerClient.guarded`.

        Both clients share their connections.
        """
        return PlatformWorkerClient(may_send, self._http_client)

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @translate_decode_errors(WorkerOutcomeUnknownError)
    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.poll`."""
        body = _HoldRequest(
            order.token, order.acked_end, order.lease_until_ms, order.wait_ms
        )
        reply = await self._call(entry, "/hold", body, timeout_ms)
        _require_success(entry, reply)
        hold_reply = msgspec.json.decode(reply.body, type=_HoldReply)
        return PollReply(
            hold_reply.born,
            hold_reply.clock_ms,
            [row.to_report() for row in hold_reply.running],
            [row.to_report() for row in hold_reply.ended_runs],
            len(hold_reply.ended_runs) < MAX_ENDS_PER_REPLY,
        )

    @translate_decode_errors(WorkerOutcomeUnknownError)
    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartReply:
        """See `limpetyard.engine.StepWorkerClient.start`."""
        body = _RunStartRequest(
            format_task_key(order.task),
            order.run,
            order.payload,
            order.lease_until_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        reply = await self._call(entry, "/run-start", body, ORDER_TIMEOUT_MS)
        if reply.status == 200:
            return StartReply(StartResult.STARTED, _read_clock(reply))
        if reply.status in _UNHEALTHY_STATUSES:
            return StartReply(StartResult.UNHEALTHY)
        if reply.status == 409:
            reason = msgspec.json.decode(reply.body, type=_Rejection).reason
            if reason in _START_RESULTS:
                return StartReply(_START_RESULTS[reason])
        _check_reply(entry, reply)
        return StartReply(StartResult.INVALID)

    @translate_decode_errors(WorkerOutcomeUnknownError)
    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`.

        Returns once the worker has acknowledged the order, which is status 200
        also for a run that is not there: the worker then rejects its start. No
        other status proves that the run does not start later.
        """
        body = _RunStopRequest(format_task_key(task), run, token)
        reply = await self._call(entry, "/run-stop", body, ORDER_TIMEOUT_MS)
        _require_success(entry, reply)

    @translate_decode_errors(WorkerOutcomeUnknownError)
    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """See `limpetyard.engine.StepWorkerClient.pace`."""
        body = _PaceRequest(
            format_task_key(order.task), order.run, order.percent, order.token
        )
        reply = await self._call(entry, "/pace", body, ORDER_TIMEOUT_MS)
        _require_success(entry, reply)

    async def _call(
        self,
        entry: WorkerEntry,
        path: str,
        body: _FencedRequest,
        timeout_ms: float,
    ) -> HttpResponse:
        url = f"http://{entry.address}{path}"
        headers = {"Expected-Instance": entry.id}
        data = msgspec.json.encode(body)
        may_send = None
        if self._may_send is not None:
            may_send = functools.partial(
                self._may_send, entry.id, body.fencing_token
            )
        try:
            return await self._http_client.call(
                "POST", url, data, timeout_ms, headers, may_send
            )
        except WithheldError as exc:
            raise OrderWithheldError(f"{entry.id}: {exc}") from exc
        except NotSentError as exc:
            error = (
                WorkerDownError
                if exc.connection_refused
                else WorkerOutcomeUnknownError
            )
            raise error(f"{entry.id}: {exc}") from exc
        except OutcomeUnknownError as exc:
            error = (
                WorkerDisconnectedError
                if exc.disconnected
                else WorkerOutcomeUnknownError
            )
            raise error(f"{entry.id}: {exc}") from exc


class PlatformAdviceClient:
    """Client of the advice service over HTTP.

    Implements `limpetyard.engine.AdviceClient`.
    """

    __slots__ = ("_http_client", "_turn", "_url")

    def __init__(self, address: str):
        """Creates a client.

        Args:
            address: IP:port of the service.
        """
        self._url = f"http://{address}/advise"
        self._http_client = HttpClient(1, "advice")
        # The service handles one call of each machine at a time. The time that
        # others take must not count against the time-out of a call.
        self._turn = asyncio.Lock()

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @translate_decode_errors(WorkerOutcomeUnknownError)
    async def advise(
        self,
        job: str,
        occurrence: int,
        step: int,
        workers: list[str],
        timeout_ms: float,
    ) -> list[Ticket]:
        """See `limpetyard.engine.AdviceClient.advise`."""
        body = msgspec.json.encode(
            _AdviseRequest(f"{job}.{occurrence}.{step}", workers)
        )
        try:
            async with self._turn:
                reply = await self._http_client.call(
                    "POST", self._url, body, timeout_ms
                )
        except (NotSentError, OutcomeUnknownError) as exc:
            raise WorkerOutcomeUnknownError(str(exc)) from exc
        if reply.status != 200:
            raise WorkerOutcomeUnknownError(f"advice: status {reply.status}")
        advised = msgspec.json.decode(reply.body, type=_AdviseReply)
        return advised.to_tickets()


def _read_clock(reply: HttpResponse) -> float | None:
    """Returns the clock in a reply; None if there is none to be read."""
    try:
        return msgspec.json.decode(reply.body, type=_Reading).clock_ms
    except DECODE_ERRORS:
        return None


def _check_reply(entry: WorkerEntry, reply: HttpResponse) -> None:
    """Checks a reply for a wrong worker or a stale fencing token only.

    Accepts every other reply, including those with another error status.

    Raises:
        WrongWorkerError: If the status is 421: another worker replied.
        StaleTokenError: If the status is 409 and the reason is that the worker
            has seen a higher fencing token.
        msgspec.MsgspecError: If the body of a 409 reply is not valid.
    """
    if reply.status == 421:
        raise WrongWorkerError(f"{entry.id} is not at {entry.address}")
    if reply.status == 409:
        reason = msgspec.json.decode(reply.body, type=_Rejection).reason
        if reason == _FENCED_REASON:
            raise StaleTokenError(entry.id)


def _require_success(entry: WorkerEntry, reply: HttpResponse) -> None:
    """Checks that the worker has executed an order.

    Raises:
        WorkerOutcomeUnknownError: If the status is not 200 and `_check_reply`
            accepts it.
        WrongWorkerError: See `_check_reply`.
        StaleTokenError: See `_check_reply`.
        msgspec.MsgspecError: See `_check_reply`.
    """
    _check_reply(entry, reply)
    if reply.status != 200:
        raise WorkerOutcomeUnknownError(f"{entry.id}: status {reply.status}")
