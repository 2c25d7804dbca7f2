"""HTTP calls whose failures tell whether the call may have been carried out."""

import aiohttp
import msgspec
from yarl import URL

from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard._events import note

# A connection that is not established by then counts as unreachable; several
# times the round trip between availability zones.
CONNECT_MS = 500

# Idle connections are kept longer than the pause between any two calls.
KEEP_ALIVE_S = 120


class NotSentError(Exception):
    """No connection was established, so nothing was carried out.

    Attributes:
        refused: Whether the peer's VM answered that nobody listens there.
    """

    def __init__(self, url: str, refused: bool):
        super().__init__(f"{url}: not connected")
        self.refused = refused


class OutcomeUnknownError(Exception):
    """The call may have been carried out, or may be later."""


class HttpResponse(msgspec.Struct):
    """An answer.

    Attributes:
        status: HTTP status code.
        body: Its body.
    """

    status: int
    body: bytes


_clock = BootClock()


class HttpClient:
    """Calls to one kind of peer over kept connections."""

    __slots__ = ("_per_host", "_session", "_to")

    def __init__(self, per_host: int, to: str):
        """Makes a caller.

        Args:
            per_host: Most connections to one address.
            to: Kind of peer, for the metrics.
        """
        self._per_host = per_host
        self._to = to
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_ms: float,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Makes one call.

        Raises:
            NotSentError: If no connection was established.
            OutcomeUnknownError: If no whole answer came in time.
        """
        begun_ms = _clock.now_ms()
        outcome = "silent"
        try:
            reply = await self._call(method, url, body, timeout_ms, headers)
            outcome = str(reply.status)
            return reply
        except NotSentError:
            outcome = "not_sent"
            raise
        finally:
            note(
                "call_done",
                to=self._to,
                call=_call_name(url),
                outcome=outcome,
                took_ms=_clock.now_ms() - begun_ms,
            )

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_ms: float,
        headers: dict[str, str] | None,
    ) -> HttpResponse:
        session = self._open()
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / MS_PER_SECOND,
            sock_connect=CONNECT_MS / MS_PER_SECOND,
        )
        try:
            async with session.request(
                method,
                URL(url, encoded=True),
                data=body,
                headers=headers,
                timeout=timeout,
            ) as resp:
                return HttpResponse(resp.status, await resp.read())
        except aiohttp.ClientConnectorError as exc:
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            raise NotSentError(url, refused) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise NotSentError(url, refused=False) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise OutcomeUnknownError(f"{url}: {exc!r}") from exc

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._per_host,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                headers={"Content-Type": "application/json"},
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        return self._session


def _call_name(url: str) -> str:
    """Returns the first word of a path that is not a version."""
    path = url.split("/", 3)[-1].partition("?")[0]
    words = [word for word in path.split("/") if word != "v1"]
    return words[0] if words else ""
