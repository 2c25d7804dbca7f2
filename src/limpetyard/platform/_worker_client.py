"""Orders to the platform's minions."""

import math

import msgspec

from limpetyard._events import event
from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
)
from limpetyard.engine import (
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartResult,
    Ticket,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.jobs import Resources, TaskKey
from limpetyard.platform._decode_errors import unreadable_is
from limpetyard.store import StoredRecord

# One look and two orders at a time; connections to minions are dear.
CONNECTIONS = 3

# An order that is not answered by then is sent again.
ORDER_TIMEOUT_MS = 500

_REFUSALS = {
    "old": StartResult.STALE_RUN,
    "late": StartResult.EXPIRED,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}
_FENCED = "fence"
_UNHEALTHY = (429, 503)


class _Amounts(msgspec.Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0

    def resources(self) -> Resources:
        return Resources(self.cpu, self.mem_mb, self.gpus)


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    born: int
    capacity: _Amounts
    labels: list[str] = []
    # Shortest time left before a draining minion leaves.
    remaining_ms: float = 0.0


class _Hold(msgspec.Struct, rename="camel", omit_defaults=True):
    # "hold" both extends the lease and asks for the lists.
    fencing_token: int
    last_seen: int = 0
    expires_ms: int | None = None
    wait_ms: int = 0


class _Lists(msgspec.Struct, rename="camel"):
    clock_ms: float
    born: int = 0
    running: list[list] = []
    ended_runs: list[list] = []


class _RunStart(msgspec.Struct, rename="camel", omit_defaults=True):
    task: str
    run_id: int
    spec: str
    expires_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _RunStop(msgspec.Struct, rename="camel"):
    task: str
    run_id: int
    fencing_token: int


class _Pace(msgspec.Struct, rename="camel"):
    task: str
    run_id: int
    percent: int
    fencing_token: int


class _Refused(msgspec.Struct, rename="camel"):
    reason: str = ""


class _Advise(msgspec.Struct):
    step: str
    workers: list[str]


class _Advised(msgspec.Struct, rename="camel"):
    good: list[list]
    validity_ms: float = 0.0


def task_name(task: TaskKey) -> str:
    """Returns a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskKey:
    """Reads a task's name.

    Raises:
        ValueError: If it is not of that form.
    """
    job, occurrence, step, index = name.split(".")
    return TaskKey(job, int(occurrence), int(step), int(index))


def parse_worker_entry(record: StoredRecord) -> WorkerEntry | None:
    """Returns the worker of an entry, or None if it names none to use."""
    try:
        entry = msgspec.json.decode(record.value, type=_Entry)
    except msgspec.MsgspecError as exc:
        event("entry_unreadable", "WARNING", worker=record.key, reason=exc)
        return None
    if entry.state not in ("ready", "draining"):
        event("entry_unusable", worker=record.key, state=entry.state)
        return None
    # Labels are the kind of the minion and its rack, in this order.
    rack = entry.labels[-1] if len(entry.labels) > 1 else ""
    return WorkerEntry(
        record.key,
        entry.service,
        entry.address,
        entry.zone,
        rack,
        tuple(entry.labels),
        entry.capacity.resources(),
        entry.born,
        entry.state == "draining",
        entry.remaining_ms,
    )


class PlatformWorkerClient:
    """Minions, spoken to over HTTP."""

    __slots__ = ("_http_client",)

    def __init__(self):
        self._http_client = HttpClient(CONNECTIONS, "worker")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @unreadable_is(WorkerOutcomeUnknownError)
    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.look`."""
        body = _Hold(
            order.token, order.acked_end, order.lease_until_ms, order.wait_ms
        )
        reply = await self._call(entry, "/hold", body, timeout_ms)
        if reply.status in _UNHEALTHY:
            raise WorkerOutcomeUnknownError(
                f"{entry.id}: status {reply.status}"
            )
        _check_order(entry, reply)
        lists = msgspec.json.decode(reply.body, type=_Lists)
        return PollReply(
            lists.born,
            lists.clock_ms,
            [_run_row(row) for row in lists.running],
            [_end_row(row) for row in lists.ended_runs],
        )

    @unreadable_is(WorkerOutcomeUnknownError)
    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartResult:
        """See `limpetyard.engine.StepWorkerClient.start`."""
        body = _RunStart(
            task_name(order.task),
            order.run,
            order.payload,
            order.lease_until_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        reply = await self._call(entry, "/run-start", body, ORDER_TIMEOUT_MS)
        if reply.status == 200:
            return StartResult.STARTED
        if reply.status in _UNHEALTHY:
            return StartResult.UNHEALTHY
        if reply.status == 409:
            reason = msgspec.json.decode(reply.body, type=_Refused).reason
            if reason in _REFUSALS:
                return _REFUSALS[reason]
        _check_order(entry, reply)
        return StartResult.INVALID

    @unreadable_is(WorkerOutcomeUnknownError)
    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`."""
        body = _RunStop(task_name(task), run, token)
        reply = await self._call(entry, "/run-stop", body, ORDER_TIMEOUT_MS)
        _check_order(entry, reply)

    @unreadable_is(WorkerOutcomeUnknownError)
    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """See `limpetyard.engine.StepWorkerClient.pace`."""
        body = _Pace(
            task_name(order.task), order.run, order.percent, order.token
        )
        reply = await self._call(entry, "/pace", body, ORDER_TIMEOUT_MS)
        _check_order(entry, reply)

    async def _call(
        self,
        entry: WorkerEntry,
        path: str,
        body: msgspec.Struct,
        timeout_ms: float,
    ) -> HttpResponse:
        url = f"http://{entry.address}{path}"
        headers = {"Expected-Instance": entry.id}
        data = msgspec.json.encode(body)
        try:
            return await self._http_client.call(
                "POST", url, data, timeout_ms, headers
            )
        except NotSentError as exc:
            error = (
                WorkerDownError if exc.refused else WorkerOutcomeUnknownError
            )
            raise error(f"{entry.id}: {exc}") from exc
        except OutcomeUnknownError as exc:
            raise WorkerOutcomeUnknownError(f"{entry.id}: {exc}") from exc


class PlatformAdviceClient:
    """The advice service, spoken to over HTTP."""

    __slots__ = ("_http_client", "_timeout_ms", "_url")

    def __init__(self, address: str, timeout_ms: float):
        self._url = f"http://{address}/advise"
        self._timeout_ms = timeout_ms
        self._http_client = HttpClient(1, "advice")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    @unreadable_is(WorkerOutcomeUnknownError)
    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str]
    ) -> list[Ticket]:
        """See `limpetyard.engine.Advice.advise`."""
        body = msgspec.json.encode(
            _Advise(f"{job}.{occurrence}.{step}", workers)
        )
        try:
            reply = await self._http_client.call(
                "POST", self._url, body, self._timeout_ms
            )
        except (NotSentError, OutcomeUnknownError) as exc:
            raise WorkerOutcomeUnknownError(str(exc)) from exc
        if reply.status != 200:
            raise WorkerOutcomeUnknownError(f"advice: status {reply.status}")
        advised = msgspec.json.decode(reply.body, type=_Advised)
        return [
            Ticket(row[0], row[1], advised.validity_ms) for row in advised.good
        ]


def _check_order(entry: WorkerEntry, reply: HttpResponse) -> None:
    """Raises for an answer that tells of another life or owner."""
    if reply.status == 421:
        raise WrongWorkerError(f"{entry.id} is not at {entry.address}")
    if reply.status == 409:
        reason = msgspec.json.decode(reply.body, type=_Refused).reason
        if reason == _FENCED:
            raise StaleTokenError(entry.id)


def _run_row(row: list) -> RunReport:
    measurement = row[4] if len(row) > 4 and row[4] is not None else 0.0
    measurement = 0.0 if math.isnan(measurement) else float(measurement)
    return RunReport(
        parse_task(row[0]), row[1], row[2] or "", row[3], measurement
    )


def _end_row(row: list) -> RunEndReport:
    number, task, run, how, checkpoint = row[:5]
    return RunEndReport(
        number, parse_task(task), run, RunEndKind(how), checkpoint or ""
    )
