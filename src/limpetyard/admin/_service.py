"""HTTP server of the administration API, on an address of its own."""

import hmac
from typing import TypeVar

import msgspec
from aiohttp import web
from mode import Service

from limpetyard._error_kinds import ERROR_RESPONSES, ErrorKind
from limpetyard._events import event
from limpetyard._metrics import Metrics
from limpetyard.admin._inspector import DaemonInspector
from limpetyard.admin._job_operations import JobOperations
from limpetyard.admin._messages import (
    AcceptedVersion,
    ConfigView,
    DecisionPage,
    ErrorView,
    PublishRequest,
    SetZoneRequest,
    SubmitRequest,
)
from limpetyard.config import ConfigService, new_publish, new_set_zone
from limpetyard.errors import (
    DocumentError,
    LogUnavailableError,
    RequestError,
    StreamUnrecoverableError,
)

MAX_BODY_BYTES = 1_048_576
DEFAULT_DECISIONS = 50

# Error kinds of exceptions; the first entry that matches applies.
_ERROR_KINDS = {
    DocumentError: ErrorKind.INVALID_DOCUMENT,
    LogUnavailableError: ErrorKind.LOG_UNAVAILABLE,
    StreamUnrecoverableError: ErrorKind.LOG_UNAVAILABLE,
    TimeoutError: ErrorKind.LOG_UNAVAILABLE,
    web.HTTPRequestEntityTooLarge: ErrorKind.BODY_TOO_LARGE,
    web.HTTPException: ErrorKind.NOT_FOUND,
}

T = TypeVar("T")


class AdminService(Service):
    """Serves the administration API to operators and metrics to scrapers."""

    def __init__(
        self,
        host: str,
        port: int,
        token: str,
        config: ConfigService,
        jobs: JobOperations,
        inspector: DaemonInspector,
        metrics: Metrics,
    ):
        """Creates the service.

        Args:
            host: Address to listen on.
            port: Port to listen on.
            token: Bearer token of operators; `/metrics` needs none.
            config: Configuration service of the daemon.
            jobs: Operations on jobs.
            inspector: State of the daemon.
            metrics: Metrics of the daemon.
        """
        super().__init__()
        self._bind = (host, port)
        self._token = token
        self._config = config
        self._jobs = jobs
        self._inspector = inspector
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        app = web.Application(
            middlewares=[self._run_handler], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(
            [
                web.get("/metrics", self._show_metrics),
                web.get("/api/config", self._show_config),
                web.post("/api/config", self._post_config),
                web.post("/api/zones/{zone}", self._post_zone),
                web.post("/api/jobs", self._post_job),
                web.get("/api/jobs/{job}", self._show_job),
                web.delete("/api/jobs/{job}", self._delete_job),
                web.get("/api/status", self._show_status),
                web.get("/api/workers", self._show_workers),
                web.get("/api/targets", self._show_targets),
                web.get("/api/tasks", self._show_tasks),
                web.get("/api/shares", self._show_shares),
                web.get("/api/decisions", self._show_decisions),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._bind).start()

    async def on_stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _run_handler(self, request: web.Request, handler) -> web.Response:
        """Checks the token and converts exceptions to error responses."""
        try:
            if request.path != "/metrics":
                self._check_token(request)
            return await handler(request)
        except Exception as exc:
            return _error_response(_to_request_error(exc, request.path))

    def _check_token(self, request: web.Request) -> None:
        header = request.headers.get("Authorization", "")
        expected_header = f"Bearer {self._token}"
        matches = hmac.compare_digest(header.encode(), expected_header.encode())
        if not matches:
            raise RequestError(
                ErrorKind.UNAUTHORIZED, "bearer token is missing or wrong"
            )

    def _require_config(self):
        """Returns the current configuration.

        Raises:
            RequestError: If the daemon has not read one yet.
        """
        state = self._config.current
        if state is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        return state

    async def _show_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self._metrics.render(), content_type="text/plain"
        )

    async def _show_config(self, request: web.Request) -> web.Response:
        del request
        state = self._require_config()
        return _json_response(
            ConfigView(
                state.version,
                self._inspector.applied_version(),
                state.template,
                state.parameters,
                sorted(state.zones_out),
                self._inspector.config_age_ms(),
            )
        )

    async def _post_config(self, request: web.Request) -> web.Response:
        body = await _decode_body(request, PublishRequest)
        record = new_publish(
            body.expected, body.author, body.template, body.parameters
        )
        self._require_config().check_successor(record)
        return _json_response(
            AcceptedVersion(await self._config.publish(record))
        )

    async def _post_zone(self, request: web.Request) -> web.Response:
        body = await _decode_body(request, SetZoneRequest)
        zone = request.match_info["zone"]
        if zone not in self._inspector.availability_zones():
            raise RequestError(
                ErrorKind.NOT_FOUND, f"no availability zone {zone!r}"
            )
        record = new_set_zone(body.expected, body.author, zone, body.out)
        return _json_response(
            AcceptedVersion(await self._config.publish(record))
        )

    async def _post_job(self, request: web.Request) -> web.Response:
        body = await _decode_body(request, SubmitRequest)
        return _json_response(
            await self._jobs.submit(body, self._require_config())
        )

    async def _show_job(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        return _json_response(
            await self._jobs.inspect(job, self._require_config())
        )

    async def _delete_job(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        return _json_response(
            await self._jobs.cancel(job, self._require_config())
        )

    async def _show_status(self, request: web.Request) -> web.Response:
        del request
        return _json_response(self._inspector.status())

    async def _show_workers(self, request: web.Request) -> web.Response:
        del request
        return _json_response(self._inspector.workers(self._require_config()))

    async def _show_targets(self, request: web.Request) -> web.Response:
        del request
        return _json_response(self._inspector.targets())

    async def _show_tasks(self, request: web.Request) -> web.Response:
        del request
        return _json_response(self._inspector.tasks())

    async def _show_shares(self, request: web.Request) -> web.Response:
        del request
        return _json_response(await self._jobs.shares(self._require_config()))

    async def _show_decisions(self, request: web.Request) -> web.Response:
        text = request.query.get("count", str(DEFAULT_DECISIONS))
        if not text.isascii() or not text.isdigit():
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"count is not a number: {text!r}"
            )
        decisions = self._inspector.decisions(max(1, int(text[:6])))
        return _json_response(DecisionPage(decisions))


async def _decode_body(request: web.Request, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc


def _json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _to_request_error(exc: Exception, path: str) -> RequestError:
    if isinstance(exc, RequestError):
        return exc
    for exc_type, kind in _ERROR_KINDS.items():
        if isinstance(exc, exc_type):
            return RequestError(kind, str(exc) or path)
    event("admin_failed", "ERROR", path=path, reason=repr(exc))
    return RequestError(ErrorKind.INTERNAL, repr(exc))


def _error_response(exc: RequestError) -> web.Response:
    error_response = ERROR_RESPONSES[exc.kind]
    view = ErrorView(exc.kind.value, error_response.execution.value, exc.detail)
    return web.Response(
        status=error_response.status,
        body=msgspec.json.encode(view),
        content_type="application/json",
    )
