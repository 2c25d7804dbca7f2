"""HTTP client that distinguishes unsent requests from unknown outcomes."""

import asyncio
import contextlib
import contextvars
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec
from yarl import URL

from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard._events import notify_listeners

# After this time without a connection, the peer counts as unreachable: several
# times the round trip between availability zones.
CONNECT_TIMEOUT_MS = 500

# A time-out that is noticed later than this says that the event loop was busy,
# not that the peer is silent: the response may have arrived meanwhile.
MAX_TIMER_LAG_MS = 50

# Longer than the pause between any two calls, so that connections are reused.
KEEP_ALIVE_S = 120


class NotSentError(Exception):
    """No connection was established; the peer did not receive the request.

    Attributes:
        connection_refused: Whether the peer's VM refused the connection, as
            nothing listens on the port.
    """

    def __init__(self, url: str, connection_refused: bool):
        super().__init__(f"{url}: no connection")
        self.connection_refused = connection_refused


class WithheldError(NotSentError):
    """The request was not sent, as its sender may not send it any more."""

    def __init__(self, url: str):
        super().__init__(url, connection_refused=False)
        self.args = (f"{url}: withheld",)


class OutcomeUnknownError(Exception):
    """No complete response arrived; the request may take effect, also later.

    Attributes:
        disconnected: Whether the connection was closed before the time-out.
    """

    def __init__(self, url: str, cause: Exception):
        super().__init__(f"{url}: {cause!r}")
        self.disconnected = not isinstance(cause, TimeoutError)


class HttpResponse(msgspec.Struct):
    """Status and body of an HTTP response.

    Attributes:
        status: HTTP status code.
        body: Undecoded body.
    """

    status: int
    body: bytes


_clock = BootClock()

# Whether the call that the current task makes may still be sent, or None.
_may_send: contextvars.ContextVar[Callable[[], bool] | None] = (
    contextvars.ContextVar("may_send", default=None)
)


class _GuardedRequest(aiohttp.ClientRequest):
    # A request that is withheld if it may not be sent once it has a connection.
    async def send(self, conn: aiohttp.connector.Connection):
        may_send = _may_send.get()
        if may_send is not None and not may_send():
            raise WithheldError(str(self.url))
        return await super().send(conn)


class HttpClient:
    """HTTP client for one kind of peer, with persistent connections."""

    __slots__ = ("_max_per_host", "_peer_kind", "_session")

    def __init__(self, max_per_host: int, peer_kind: str):
        """Initializes the client; connections are opened on demand.

        Args:
            max_per_host: Limit of connections to one address.
            peer_kind: Kind of peer, a label of the metrics.
        """
        self._max_per_host = max_per_host
        self._peer_kind = peer_kind
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_ms: float,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Sends a request, returns the response and records the call.

        Args:
            method: HTTP method.
            url: URL.
            body: Body, or None.
            timeout_ms: Time-out, which includes the wait for a connection; at
                most twice as long if the event loop is busy.
            headers: Further headers.
            may_send: Asked when the request has a connection, right before it
                is sent; None if it may always be sent.

        Raises:
            WithheldError: If `may_send` has returned False.
            NotSentError: If no connection was established.
            OutcomeUnknownError: If no complete response arrived in time.
        """
        started_ms = _clock.now_ms()
        outcome = "silent"
        _may_send.set(may_send)
        try:
            resp = await self._call(method, url, body, timeout_ms, headers)
            outcome = str(resp.status)
            return resp
        except NotSentError:
            outcome = "not_sent"
            raise
        finally:
            notify_listeners(
                "call_done",
                to=self._peer_kind,
                call=_endpoint_name(url),
                outcome=outcome,
                took_ms=_clock.now_ms() - started_ms,
            )

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_ms: float,
        headers: dict[str, str] | None,
    ) -> HttpResponse:
        session = self._get_session()
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND,
        )
        try:
            async with (
                _lag_tolerant_timeout(timeout_ms / MS_PER_SECOND),
                session.request(
                    method,
                    URL(url, encoded=True),
                    data=body,
                    headers=headers,
                    timeout=timeout,
                ) as resp,
            ):
                return HttpResponse(resp.status, await resp.read())
        except aiohttp.ClientConnectorError as exc:
            connection_refused = isinstance(
                exc.os_error, ConnectionRefusedError
            )
            raise NotSentError(url, connection_refused) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise NotSentError(url, connection_refused=False) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise OutcomeUnknownError(url, exc) from exc

    async def close(self) -> None:
        """Closes all connections; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._max_per_host,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                request_class=_GuardedRequest,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                headers={"Content-Type": "application/json"},
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        return self._session


@contextlib.asynccontextmanager
async def _lag_tolerant_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Cancels its body after some time, like `asyncio.timeout`.

    If that is noticed late, the body gets the same time again, so that it
    receives what arrived while the event loop was busy. All extensions
    together are at most `timeout_s`.

    Raises:
        TimeoutError: If the body was cancelled.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with asyncio.timeout(None) as scope:

        def expire(due_s: float) -> None:
            nonlocal timer
            now_s = loop.time()
            next_s = min(2 * now_s - due_s, start_s + 2 * timeout_s)
            is_late = now_s - due_s >= MAX_TIMER_LAG_MS / MS_PER_SECOND
            if is_late and next_s > now_s:
                timer = loop.call_at(next_s, expire, next_s)
            else:
                scope.reschedule(now_s)

        due_s = start_s + timeout_s
        timer = loop.call_at(due_s, expire, due_s)
        try:
            yield
        finally:
            timer.cancel()


def _endpoint_name(url: str) -> str:
    """Returns the first path segment other than the API version."""
    path = url.split("/", 3)[-1].partition("?")[0]
    segments = [segment for segment in path.split("/") if segment != "v1"]
    return segments[0] if segments else ""
