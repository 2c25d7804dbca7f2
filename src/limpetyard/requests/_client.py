"""Attempts of requests at targets over HTTP."""

import dataclasses
from collections.abc import Mapping

import aiohttp

from limpetyard._clock import MS_PER_SECOND
from limpetyard.requests._outcomes import Fate

IDLE_CONNECTION_S = 15.0
READ_CHUNK = 65_536


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A caller's request as it goes to a target.

    Attributes:
        method: HTTP method.
        path: Path and query at the target.
        headers: Headers to pass on.
        body: The whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """How one attempt ended.

    Attributes:
        fate: What is known of it.
        status: HTTP status of the answer, or 0.
        headers: Headers of the answer.
        body: The whole body of the answer.
        detail: What went wrong.
    """

    fate: Fate
    status: int = 0
    headers: Mapping[str, str] | None = None
    body: bytes = b""
    detail: str = ""


class TargetClient:
    """Connections to one target.

    An attempt without an answer in time replaces all connections, since one
    that has gone silent would cost every request that is put on it.
    """

    __slots__ = ("_connections", "_pool")

    def __init__(self, connections: int):
        self._connections = connections
        self._pool: _Pool | None = None

    async def attempt(
        self, address: str, call: Call, timeout_ms: float, max_answer: int
    ) -> Attempt:
        """Sends one request and reads the whole answer.

        Args:
            address: Base URL of the target.
            call: The request.
            timeout_ms: Time for the whole attempt.
            max_answer: Largest body of an answer, in bytes.
        """
        pool = self._pool = self._pool or _Pool(self._connections)
        pool.users += 1
        progress = _Progress()
        try:
            return await pool.send(
                address, call, timeout_ms, max_answer, progress
            )
        except TimeoutError as exc:
            await self._retire(pool)
            return Attempt(progress.fate(), detail=repr(exc))
        except (aiohttp.ClientError, OSError) as exc:
            return Attempt(progress.fate(), detail=repr(exc))
        finally:
            pool.users -= 1
            await pool.close_if_unused()

    async def close(self) -> None:
        """Closes all connections once they are unused."""
        if self._pool is not None:
            await self._retire(self._pool)

    async def _retire(self, pool: "_Pool") -> None:
        pool.retired = True
        if pool is self._pool:
            self._pool = None
        await pool.close_if_unused()


class _Pool:
    """Connections that are retired together.

    Attributes:
        users: Attempts that are under way.
        retired: Whether it closes with its last user.
    """

    __slots__ = ("_session", "retired", "users")

    def __init__(self, connections: int):
        self.users = 0
        self.retired = False
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_note_handed_over)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=IDLE_CONNECTION_S
            ),
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        # The library repeats some requests by itself when a kept connection
        # breaks; whether a request may be repeated is decided here alone.
        self._session._retry_connection = False

    async def send(
        self,
        address: str,
        call: Call,
        timeout_ms: float,
        max_answer: int,
        progress: "_Progress",
    ) -> Attempt:
        """Sends one request and reads the whole answer."""
        async with self._session.request(
            call.method,
            f"{address}{call.path}",
            data=call.body,
            headers=call.headers,
            timeout=aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND),
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as resp:
            progress.answered = True
            body = await _read(resp, max_answer)
            return Attempt(Fate.ANSWERED, resp.status, resp.headers, body)

    async def close_if_unused(self) -> None:
        """Closes the connections of a retired pool without users."""
        if self.retired and self.users == 0:
            await self._session.close()


class _Progress:
    """What is known while an attempt is under way."""

    __slots__ = ("answered", "handed_over")

    def __init__(self):
        self.handed_over = False
        self.answered = False

    def fate(self) -> Fate:
        if self.answered:
            return Fate.CUT_ANSWER
        return Fate.NO_ANSWER if self.handed_over else Fate.NOT_SENT


async def _note_handed_over(session, context, params) -> None:
    del session, params
    context.trace_request_ctx.handed_over = True


async def _read(resp: aiohttp.ClientResponse, max_answer: int) -> bytes:
    parts = []
    size = 0
    async for part in resp.content.iter_chunked(READ_CHUNK):
        size += len(part)
        if size > max_answer:
            raise aiohttp.ClientPayloadError(f"answer over {max_answer} bytes")
        parts.append(part)
    return b"".join(parts)
