"""The callers' side: HTTP in, the answer or a clear error out."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientError, web
from mode import Service as ModeService
from multidict import CIMultiDict

from limpetyard._clock import Clock
from limpetyard._kinds import ANSWERS, ErrorKind
from limpetyard._metrics import Metrics
from limpetyard.config import ConfigState, Service
from limpetyard.errors import RequestError
from limpetyard.fleet import Vm, VmRole
from limpetyard.requests._client import Attempt, Call
from limpetyard.requests._dispatch import Dispatcher, Request
from limpetyard.requests._slot_policies import SlotPolicy

PARTNER_HEADER = "X-Limpetyard-Partner"
DEADLINE_HEADER = "X-Limpetyard-Deadline-Ms"
CLASS_HEADER = "X-Limpetyard-Class"
REPEAT_HEADER = "X-Limpetyard-Idempotent"
KIND_HEADER = "X-Limpetyard-Error"
RAN_HEADER = "X-Limpetyard-Ran"

LONGEST_DEADLINE_MS = 86_400_000

_HOP_HEADERS = frozenset(
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
_CLASSES = {"urgent": False, "batch": True}
_FLAGS = {"true": True, "false": False}


@dataclasses.dataclass(slots=True, frozen=True)
class _Terms:
    service_name: str
    service: Service
    partner: str
    idempotent: bool
    batch: bool
    deadline_ms: float


class RequestService(ModeService):
    """Accepts callers' requests on one address.

    Attributes:
        dispatchers: The request path of each service.
        in_flight: Requests that are not answered yet.
        draining: Whether callers are asked to connect elsewhere.
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
        self._me = own_id
        self._bind = (host, port)
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._ready = ready
        self._cfg = ConfigState()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/health/live", self._live)
        app.router.add_get("/health/ready", self._ready_answer)
        app.router.add_route("*", "/v1/{service}{path:(/.*)?}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=False
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, *self._bind, backlog=512)
        await self._site.start()

    async def drain(self) -> None:
        """Stops accepting and returns once every request is answered."""
        await self._site.stop()
        while self.in_flight:
            await asyncio.sleep(0.02)

    async def on_stop(self) -> None:
        """Closes everything."""
        if self._runner is not None:
            await self._runner.cleanup()
        for dispatcher in self.dispatchers.values():
            await dispatcher.close()

    async def update(
        self, cfg: ConfigState, vms: list[Vm], members: list[str]
    ) -> None:
        """Takes the configuration, the VM list and the membership view."""
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
            await dispatcher.update(service, limits, targets, self._me, members)

    def free_slots(self) -> int:
        """Returns how many requests could be sent to targets at once."""
        now_ms = self._clock.now_ms()
        return sum(d.pool.free_slots(now_ms) for d in self.dispatchers.values())

    async def _live(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text="live\n")

    async def _ready_answer(self, request: web.Request) -> web.Response:
        del request
        ready = self._ready() and not self.draining
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def _handle(self, request: web.Request) -> web.Response:
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        partner, name, batch, kind = "", "", False, "ok"
        try:
            terms = self._terms(request)
            partner, name = terms.partner, terms.service_name
            batch = terms.batch
            attempt = await self._serve(request, terms)
            resp = _answer(attempt)
        except RequestError as exc:
            kind = exc.kind.value
            resp = _refuse(exc)
        finally:
            self.in_flight -= 1
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.request(partner, name, batch, kind, took_ms)
        if self.draining:
            resp.force_close()
        return resp

    async def _serve(self, request: web.Request, terms: _Terms) -> Attempt:
        body = await _read_body(request, terms.service.max_body_bytes)
        headers = CIMultiDict(
            (key, value)
            for key, value in request.headers.items()
            if key.lower() not in _HOP_HEADERS
        )
        path = request.match_info["path"] or "/"
        if request.query_string:
            path = f"{path}?{request.query_string}"
        call = Call(request.method, path, headers, body)
        dispatcher = self.dispatchers[terms.service_name]
        return await dispatcher.call(
            Request(call, terms.deadline_ms, terms.idempotent, terms.batch)
        )

    def _terms(self, request: web.Request) -> _Terms:
        if not self._ready():
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        name = request.match_info["service"]
        service = self._cfg.cfg.template.service.get(name)
        if service is None or name not in self.dispatchers:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, name)
        partner = request.headers.get(PARTNER_HEADER, "")
        if partner not in self._cfg.cfg.parameters.partner:
            raise RequestError(ErrorKind.UNKNOWN_PARTNER, repr(partner))
        wait_ms = _millis(request, service.deadline_ms)
        batch = _choice(request, CLASS_HEADER, _CLASSES, False)
        repeatable = _choice(request, REPEAT_HEADER, _FLAGS, True)
        return _Terms(
            name,
            service,
            partner,
            service.idempotent and repeatable,
            batch,
            self._clock.now_ms() + wait_ms,
        )


async def _read_body(request: web.Request, limit: int) -> bytes:
    declared = request.content_length
    if declared is not None and declared > limit:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"over {limit} bytes")
    parts = []
    size = 0
    async for part in _parts(request):
        size += len(part)
        if size > limit:
            raise RequestError(ErrorKind.BODY_TOO_LARGE, f"over {limit} bytes")
        parts.append(part)
    if declared is not None and size != declared:
        detail = f"{size} of {declared} bytes"
        raise RequestError(ErrorKind.BODY_TRUNCATED, detail)
    return b"".join(parts)


async def _parts(request: web.Request) -> AsyncIterator[bytes]:
    try:
        async for part in request.content.iter_any():
            yield part
    except (OSError, ClientError, web.RequestPayloadError) as exc:
        raise RequestError(ErrorKind.BODY_TRUNCATED, repr(exc)) from exc


def _millis(request: web.Request, default_ms: int) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return float(default_ms)
    if not text.isascii() or not text.isdigit():
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER}: {text!r} is no number"
        )
    value = int(text[:12])
    if not 1 <= value <= LONGEST_DEADLINE_MS:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{DEADLINE_HEADER}: {text!r} is not in 1 to {LONGEST_DEADLINE_MS}",
        )
    return float(value)


def _choice(
    request: web.Request, header: str, values: dict[str, bool], default: bool
) -> bool:
    text = request.headers.get(header)
    if text is None:
        return default
    if text not in values:
        allowed = ", ".join(values)
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{header}: {text!r} is none of {allowed}"
        )
    return values[text]


def _answer(attempt: Attempt) -> web.Response:
    headers = CIMultiDict(
        (key, value)
        for key, value in attempt.headers.items()
        if key.lower() not in _HOP_HEADERS
    )
    return web.Response(
        status=attempt.status, headers=headers, body=attempt.body
    )


def _refuse(exc: RequestError) -> web.Response:
    answer = ANSWERS[exc.kind]
    headers = {KIND_HEADER: exc.kind.value, RAN_HEADER: answer.ran.value}
    return web.Response(status=answer.status, headers=headers, text=f"{exc}\n")
