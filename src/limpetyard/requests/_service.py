"""HTTP front end: parses callers' requests and maps errors to responses."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientError, web
from mode import Service as ModeService
from multidict import CIMultiDict

from limpetyard._clock import Clock
from limpetyard._error_kinds import ERROR_RESPONSES, ErrorKind
from limpetyard._metrics import Metrics
from limpetyard.config import ConfigState, Service
from limpetyard.errors import RequestError
from limpetyard.fleet import Vm, VmRole
from limpetyard.requests._client import AttemptResult, TargetRequest
from limpetyard.requests._dispatch import Dispatcher, ServiceRequest
from limpetyard.requests._slot_policies import SlotPolicy

PARTNER_HEADER = "X-Limpetyard-Partner"
DEADLINE_HEADER = "X-Limpetyard-Deadline-Ms"
CLASS_HEADER = "X-Limpetyard-Class"
IDEMPOTENT_HEADER = "X-Limpetyard-Idempotent"
ERROR_HEADER = "X-Limpetyard-Error"
RAN_HEADER = "X-Limpetyard-Ran"

MAX_DEADLINE_MS = 86_400_000

# Hop-by-hop headers, and headers that the HTTP library sets.
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "proxy-authorization",
        "proxy-authenticate",
        "content-length",
        "host",
        "expect",
        "date",
        "server",
    }
)
_IS_BATCH_BY_CLASS = {"urgent": False, "batch": True}
_FLAGS = {"true": True, "false": False}


@dataclasses.dataclass(slots=True, frozen=True)
class _RequestOptions:
    """Options of a request, from its path and headers.

    `deadline_ms` is the clock reading of the deadline.
    """

    service_name: str
    service: Service
    partner: str
    idempotent: bool
    batch: bool
    deadline_ms: float


class RequestService(ModeService):
    """Accepts callers' requests on one address.

    Attributes:
        dispatchers: Dispatcher of each service, by name.
        in_flight: Number of requests without a response yet.
        draining: Whether to close connections after the current response and
            to fail the readiness check.
    """

    def __init__(
        self,
        own_id: str,
        host: str,
        port: int,
        policy: SlotPolicy,
        clock: Clock,
        metrics: Metrics,
        ready: Callable[[], bool],
    ):
        super().__init__()
        self.dispatchers: dict[str, Dispatcher] = {}
        self.in_flight = 0
        self.draining = False
        self._own_id = own_id
        self._bind = (host, port)
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._ready = ready
        self._cfg = ConfigState()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        # 0 disables aiohttp's limit; `_read_body` applies the service's limit.
        app = web.Application(client_max_size=0)
        app.router.add_get("/health/live", self._handle_liveness)
        app.router.add_get("/health/ready", self._handle_readiness)
        app.router.add_route(
            "*", "/v1/{service}{path:(/.*)?}", self._handle_request
        )
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=False
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, *self._bind, backlog=512)
        await self._site.start()

    async def drain(self) -> None:
        """Stops listening and waits until no request is in flight."""
        await self._site.stop()
        while self.in_flight:
            await asyncio.sleep(0.02)

    async def on_stop(self) -> None:
        """Closes the listener and all connections to targets."""
        if self._runner is not None:
            await self._runner.cleanup()
        for dispatcher in self.dispatchers.values():
            await dispatcher.close()

    async def update(
        self, cfg: ConfigState, vms: list[Vm], members: list[str]
    ) -> None:
        """Applies the configuration, the VM list and the membership view.

        Targets in zones that are out of service get no requests.

        Args:
            cfg: The configuration in force.
            vms: All VMs of the VM list.
            members: Ids of the live entry VMs, including this one.
        """
        self._cfg = cfg
        services = cfg.cfg.template.service
        limits = cfg.cfg.parameters.limits
        for name in set(self.dispatchers) - set(services):
            await self.dispatchers.pop(name).close()
        for name, service in services.items():
            dispatcher = self.dispatchers.get(name)
            if dispatcher is None:
                dispatcher = Dispatcher(
                    name, service, limits, self._policy, self._clock
                )
                self.dispatchers[name] = dispatcher
            targets = [
                vm
                for vm in vms
                if vm.role is VmRole.TARGET
                and vm.service == name
                and vm.availability_zone not in cfg.zones_out
            ]
            await dispatcher.update(
                service, limits, targets, self._own_id, members
            )

    def free_slots(self) -> int:
        """Returns the number of requests that could be sent at once."""
        now_ms = self._clock.now_ms()
        return sum(d.pool.free_slots(now_ms) for d in self.dispatchers.values())

    async def _handle_liveness(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text="live\n")

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        del request
        ready = self._ready() and not self.draining
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def _handle_request(self, request: web.Request) -> web.Response:
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        partner, name, batch, kind = "", "", False, "ok"
        try:
            options = self._parse_options(request)
            partner, name = options.partner, options.service_name
            batch = options.batch
            result = await self._forward(request, options)
            resp = _build_response(result)
        except RequestError as exc:
            kind = exc.kind.value
            resp = _build_error_response(exc)
        finally:
            self.in_flight -= 1
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.observe_request(partner, name, batch, kind, took_ms)
        if self.draining:
            resp.force_close()
        return resp

    async def _forward(
        self, request: web.Request, options: _RequestOptions
    ) -> AttemptResult:
        body = await _read_body(request, options.service.max_body_bytes)
        headers = CIMultiDict(
            (key, value)
            for key, value in request.headers.items()
            if key.lower() not in _UNFORWARDED_HEADERS
        )
        path = request.match_info["path"] or "/"
        if request.query_string:
            path = f"{path}?{request.query_string}"
        target_request = TargetRequest(request.method, path, headers, body)
        dispatcher = self.dispatchers[options.service_name]
        return await dispatcher.execute(
            ServiceRequest(
                target_request,
                options.deadline_ms,
                options.idempotent,
                options.batch,
            )
        )

    def _parse_options(self, request: web.Request) -> _RequestOptions:
        """Parses the path and the headers of a request.

        Raises:
            RequestError: If the daemon is not ready, the service or the
                partner is unknown, or a header is not valid.
        """
        if not self._ready():
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        name = request.match_info["service"]
        service = self._cfg.cfg.template.service.get(name)
        if service is None or name not in self.dispatchers:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, name)
        partner = request.headers.get(PARTNER_HEADER, "")
        if partner not in self._cfg.cfg.parameters.partner:
            raise RequestError(ErrorKind.UNKNOWN_PARTNER, repr(partner))
        timeout_ms = _parse_timeout_ms(request, service.deadline_ms)
        batch = _parse_choice(request, CLASS_HEADER, _IS_BATCH_BY_CLASS, False)
        caller_idempotent = _parse_choice(
            request, IDEMPOTENT_HEADER, _FLAGS, True
        )
        return _RequestOptions(
            name,
            service,
            partner,
            service.idempotent and caller_idempotent,
            batch,
            self._clock.now_ms() + timeout_ms,
        )


async def _read_body(request: web.Request, limit: int) -> bytes:
    """Reads the body of a request.

    Raises:
        RequestError: If the body exceeds `limit` bytes or is truncated.
    """
    content_length = request.content_length
    if content_length is not None and content_length > limit:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE, f"body exceeds {limit} bytes"
        )
    chunks = []
    size = 0
    async for chunk in _iter_body(request):
        size += len(chunk)
        if size > limit:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"body exceeds {limit} bytes"
            )
        chunks.append(chunk)
    if content_length is not None and size != content_length:
        detail = f"got {size} of {content_length} bytes"
        raise RequestError(ErrorKind.BODY_TRUNCATED, detail)
    return b"".join(chunks)


async def _iter_body(request: web.Request) -> AsyncIterator[bytes]:
    try:
        async for chunk in request.content.iter_any():
            yield chunk
    except (OSError, ClientError, web.RequestPayloadError) as exc:
        raise RequestError(ErrorKind.BODY_TRUNCATED, repr(exc)) from exc


def _parse_timeout_ms(request: web.Request, default_ms: int) -> float:
    """Returns the time that the caller allows for the request.

    Raises:
        RequestError: If the header is not a whole number within the limits.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return float(default_ms)
    if not text.isascii() or not text.isdigit():
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{DEADLINE_HEADER}: {text!r} is not a whole number of"
            " milliseconds",
        )
    # Only the first 12 digits are read, as `int` raises an error on very long
    # texts. They exceed the maximum unless the text has leading zeros; the
    # digits after them are then ignored.
    value = int(text[:12])
    if not 1 <= value <= MAX_DEADLINE_MS:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{DEADLINE_HEADER}: {text!r} is not within 1 to {MAX_DEADLINE_MS}",
        )
    return float(value)


def _parse_choice(
    request: web.Request, header: str, values: dict[str, bool], default: bool
) -> bool:
    """Returns the value of a header's text, or the default without a header.

    Raises:
        RequestError: If the text is not one of the keys of `values`.
    """
    text = request.headers.get(header)
    if text is None:
        return default
    if text not in values:
        allowed = ", ".join(values)
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{header}: {text!r} is not one of {allowed}"
        )
    return values[text]


def _build_response(result: AttemptResult) -> web.Response:
    headers = CIMultiDict(
        (key, value)
        for key, value in result.headers.items()
        if key.lower() not in _UNFORWARDED_HEADERS
    )
    return web.Response(status=result.status, headers=headers, body=result.body)


def _build_error_response(exc: RequestError) -> web.Response:
    error_response = ERROR_RESPONSES[exc.kind]
    headers = {
        ERROR_HEADER: exc.kind.value,
        RAN_HEADER: error_response.execution.value,
    }
    return web.Response(
        status=error_response.status, headers=headers, text=f"{exc}\n"
    )
