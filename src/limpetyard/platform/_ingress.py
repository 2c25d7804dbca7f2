"""HTTP API for callers that submit jobs, in the platform's wire format."""

import math

import msgspec
from aiohttp import web

from limpetyard._error_kinds import ERROR_RESPONSES, ErrorKind
from limpetyard._events import event
from limpetyard.errors import RequestError
from limpetyard.jobs import (
    InvalidJobError,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    check_id,
    check_spec,
)
from limpetyard.node import JobService, Queue, SiteView
from limpetyard.platform._decode_errors import DECODE_ERRORS

# Deadline of a request without a valid Deadline-Ms header.
DEFAULT_DEADLINE_MS = 3000.0


class _Step(msgspec.Struct, rename="camel"):
    count: int = 1
    # CPU of one task, in thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimated_ms: float = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that a worker must have, or "".
    requires: str = ""
    # Rack that holds the data, or "".
    affinity: str = ""
    # Largest number of tasks of the step on one worker; 0 for no limit.
    anti_affinity: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    max_unavailable: int = 0

    def to_step_spec(self) -> StepSpec:
        return StepSpec(
            self.count,
            Resources(self.cpu, self.mem_mb, self.gpus),
            int(self.estimated_ms),
            self.after,
            self.checkpointing,
            self.gang,
            self.same_rack,
            self.requires,
            self.affinity,
            self.anti_affinity,
            self.allow_duplicates,
            self.long_running,
            self.image,
            self.target_ms,
            self.fills,
            self.max_unavailable,
        )


class _Job(msgspec.Struct, rename="camel"):
    # Payload, passed to each task unchanged.
    spec: str
    steps: list[_Step]
    # Number of occurrences; 0 means a single run without a schedule.
    repeat_count: int = 0
    # Taken as the Unix time, in milliseconds, of the first occurrence; 0 means
    # that occurrences do not wait for a time.
    initial_delay_ms: float = 0
    # Time between occurrences.
    interval_ms: float = 0


_job_decoder = msgspec.json.Decoder(_Job)


def parse_job(
    job_id: str, queue: QueueParams, body: bytes, accepted_ms: float
) -> JobSpec:
    """Decodes and validates a job.

    Args:
        job_id: Id of the job.
        queue: Parameters of the job's queue.
        body: Request body.
        accepted_ms: Time of acceptance, in Unix milliseconds.

    Returns:
        The specification, which has passed `check_spec`.

    Raises:
        InvalidJobError: If the job is not valid. The message names the first
            invalid value; values that `check_spec` rejects appear under their
            names in `JobSpec` and `StepSpec`, not under those in the body.
    """
    try:
        job = _job_decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise InvalidJobError(f"body: {exc}") from exc
    spec = JobSpec(
        job_id,
        queue,
        job.spec,
        tuple(step.to_step_spec() for step in job.steps),
        accepted_ms,
        max(1, job.repeat_count),
        job.initial_delay_ms if job.repeat_count > 0 else 0.0,
        job.interval_ms,
    )
    check_spec(spec)
    return spec


class Ingress:
    """Decodes callers' requests and passes them to the job service."""

    __slots__ = ("_draining", "_job_service", "_view", "_wall_ms")

    def __init__(self, view: SiteView, job_service: JobService, wall_ms):
        """Creates an ingress.

        Args:
            view: Configuration of the site.
            job_service: Job service of this node.
            wall_ms: Function that returns the Unix time in milliseconds.
        """
        self._view = view
        self._job_service = job_service
        self._wall_ms = wall_ms
        self._draining = False

    def drain(self) -> None:
        """Closes each connection after its next response.

        Callers then connect to another node.
        """
        self._draining = True

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Handles one request; errors become error responses."""
        try:
            resp = await self._dispatch(req)
        except RequestError as exc:
            resp = _error_response(exc)
            event(
                "request_refused",
                path=req.path,
                method=req.method,
                kind=exc.kind.value,
                detail=exc.detail,
            )
        if self._draining:
            resp.force_close()
        return resp

    async def _dispatch(self, req: web.BaseRequest) -> web.Response:
        if self._view.config is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        host = req.headers.get("Host", "").partition(":")[0]
        queue = self._view.queues.find(host, req.path)
        if queue is None:
            raise RequestError(
                ErrorKind.UNKNOWN_SERVICE, f"no queue for {host}{req.path}"
            )
        job_id = req.path[len(queue.prefix) :]
        if not job_id and req.method == "GET":
            pending = await self._job_service.pending(queue.params.name)
            return _json_response({"pending": pending})
        handler = _HANDLERS.get(req.method)
        if handler is None:
            return web.Response(status=405)
        try:
            check_id(job_id)
            return await handler(self, req, queue, job_id)
        except InvalidJobError as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc

    async def _submit(
        self, req: web.BaseRequest, queue: Queue, job_id: str
    ) -> web.Response:
        limit = self._view.config.max_body_bytes
        if (req.content_length or 0) > limit:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f"{req.content_length} bytes exceed the limit of {limit}",
            )
        try:
            body = await req.read()
        except web.RequestPayloadError as exc:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"body: {exc.__cause__ or exc}"
            ) from exc
        if len(body) > limit:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f"{len(body)} bytes exceed the limit of {limit}",
            )
        spec = parse_job(job_id, queue.params, body, self._wall_ms())
        await self._job_service.submit(spec, _deadline_ms(req))
        return _json_response({})

    async def _state(
        self, req: web.BaseRequest, queue: Queue, job_id: str
    ) -> web.Response:
        state = await self._job_service.state(
            job_id, queue.params.name, _deadline_ms(req)
        )
        return _json_response({"state": state})

    async def _cancel(
        self, req: web.BaseRequest, queue: Queue, job_id: str
    ) -> web.Response:
        await self._job_service.cancel(
            job_id, queue.params.name, _deadline_ms(req)
        )
        return _json_response({})


_HANDLERS = {
    "POST": Ingress._submit,
    "GET": Ingress._state,
    "DELETE": Ingress._cancel,
}


def _deadline_ms(req: web.BaseRequest) -> float:
    """Returns a request's deadline, in milliseconds from now.

    A header that is not a finite number is logged and ignored.
    """
    text = req.headers.get("Deadline-Ms", "")
    if not text:
        return DEFAULT_DEADLINE_MS
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if not math.isfinite(deadline_ms):
        event("deadline_unreadable", value=text)
        return DEFAULT_DEADLINE_MS
    return max(0.0, deadline_ms)


def _json_response(data: dict) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(data), content_type="application/json"
    )


def _error_response(exc: RequestError) -> web.Response:
    error_response = ERROR_RESPONSES[exc.kind]
    # A header may have bytes that are no text.
    detail = exc.detail.encode(errors="replace").decode()
    resp = web.Response(
        status=error_response.status,
        body=msgspec.json.encode({"kind": exc.kind.value, "detail": detail}),
        content_type="application/json",
    )
    if exc.retry_after_s is not None:
        resp.headers["Retry-After"] = str(exc.retry_after_s)
    return resp
