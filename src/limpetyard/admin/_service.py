"""The administration API over HTTP, on an address of its own."""

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
    Accepted,
    ConfigView,
    DecisionPage,
    ErrorView,
    JobOrder,
    PublishOrder,
    ZoneOrder,
)
from limpetyard.config import ConfigService, new_publish, new_set_zone
from limpetyard.errors import (
    DocumentError,
    LogUnavailableError,
    RequestError,
    StreamUnrecoverableError,
)

MAX_BODY_BYTES = 1_048_576
DECISIONS_DEFAULT = 50

_KINDS = {
    DocumentError: ErrorKind.INVALID_DOCUMENT,
    LogUnavailableError: ErrorKind.LOG_UNAVAILABLE,
    StreamUnrecoverableError: ErrorKind.LOG_UNAVAILABLE,
    TimeoutError: ErrorKind.LOG_UNAVAILABLE,
    web.HTTPRequestEntityTooLarge: ErrorKind.BODY_TOO_LARGE,
    web.HTTPException: ErrorKind.NOT_FOUND,
}

T = TypeVar("T")


class AdminService(Service):
    """Answers operators."""

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
        super().__init__()
        self._bind = (host, port)
        self._token = token
        self._config = config
        self._jobs = jobs
        self._inspector = inspector
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        app = web.Application(
            middlewares=[self._guard], client_max_size=MAX_BODY_BYTES
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
        """Closes everything."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _guard(self, request: web.Request, handler) -> web.Response:
        try:
            if request.path != "/metrics":
                self._check_token(request)
            return await handler(request)
        except Exception as exc:
            return _refuse(_request_error(exc, request.path))

    def _check_token(self, request: web.Request) -> None:
        given = request.headers.get("Authorization", "")
        wanted = f"Bearer {self._token}"
        same = hmac.compare_digest(given.encode(), wanted.encode())
        if not same:
            raise RequestError(ErrorKind.UNAUTHORIZED, "wrong or no token")

    def _state(self):
        state = self._config.current
        if state is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        return state

    async def _show_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self._metrics.text(), content_type="text/plain"
        )

    async def _show_config(self, request: web.Request) -> web.Response:
        del request
        state = self._state()
        return _json(
            ConfigView(
                state.version,
                self._inspector.version_in_force(),
                state.template,
                state.parameters,
                sorted(state.zones_out),
                self._inspector.config_age_ms(),
            )
        )

    async def _post_config(self, request: web.Request) -> web.Response:
        order = await _body(request, PublishOrder)
        record = new_publish(
            order.expected, order.author, order.template, order.parameters
        )
        self._state().check_successor(record)
        return _json(Accepted(await self._config.publish(record)))

    async def _post_zone(self, request: web.Request) -> web.Response:
        order = await _body(request, ZoneOrder)
        zone = request.match_info["zone"]
        if zone not in self._inspector.availability_zones():
            raise RequestError(ErrorKind.NOT_FOUND, f"zone {zone!r}")
        record = new_set_zone(order.expected, order.author, zone, order.out)
        return _json(Accepted(await self._config.publish(record)))

    async def _post_job(self, request: web.Request) -> web.Response:
        order = await _body(request, JobOrder)
        return _json(await self._jobs.submit(order, self._state()))

    async def _show_job(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        return _json(await self._jobs.inspect(job, self._state()))

    async def _delete_job(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        return _json(await self._jobs.cancel(job, self._state()))

    async def _show_status(self, request: web.Request) -> web.Response:
        del request
        return _json(self._inspector.status())

    async def _show_workers(self, request: web.Request) -> web.Response:
        del request
        return _json(self._inspector.workers(self._state()))

    async def _show_targets(self, request: web.Request) -> web.Response:
        del request
        return _json(self._inspector.targets())

    async def _show_tasks(self, request: web.Request) -> web.Response:
        del request
        return _json(self._inspector.tasks())

    async def _show_shares(self, request: web.Request) -> web.Response:
        del request
        return _json(await self._jobs.shares(self._state()))

    async def _show_decisions(self, request: web.Request) -> web.Response:
        text = request.query.get("count", str(DECISIONS_DEFAULT))
        if not text.isascii() or not text.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, f"count={text!r}")
        decisions = self._inspector.decisions(max(1, int(text[:6])))
        return _json(DecisionPage(decisions))


async def _body(request: web.Request, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, str(exc)) from exc


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _request_error(exc: Exception, path: str) -> RequestError:
    if isinstance(exc, RequestError):
        return exc
    for kind_of_exc, kind in _KINDS.items():
        if isinstance(exc, kind_of_exc):
            return RequestError(kind, str(exc) or path)
    event("admin_failed", "ERROR", path=path, reason=repr(exc))
    return RequestError(ErrorKind.INTERNAL, repr(exc))


def _refuse(exc: RequestError) -> web.Response:
    answer = ERROR_RESPONSES[exc.kind]
    view = ErrorView(exc.kind.value, answer.execution.value, exc.detail)
    return web.Response(
        status=answer.status,
        body=msgspec.json.encode(view),
        content_type="application/json",
    )
