"""HTTP client for single attempts at a target."""

import dataclasses
from collections.abc import Mapping

import aiohttp

from limpetyard._clock import MS_PER_SECOND
from limpetyard.requests._outcomes import AttemptOutcome

KEEPALIVE_TIMEOUT_S = 15.0
READ_CHUNK_BYTES = 65_536


@dataclasses.dataclass(slots=True, frozen=True)
class TargetRequest:
    """A caller's request in the form that is sent to a target.

    Attributes:
        method: HTTP method.
        path: Path and query string at the target.
        headers: Headers to forward.
        body: The complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        outcome: How far the attempt got.
        status: HTTP status of the response, or 0 without a response.
        headers: Headers of the response, or None without a response.
        body: The complete body of the response.
        detail: Description of the error, or "".
    """

    outcome: AttemptOutcome
    status: int = 0
    headers: Mapping[str, str] | None = None
    body: bytes = b""
    detail: str = ""


class TargetClient:
    """Sends requests to one target over pooled connections.

    After a timeout the client replaces the whole connection pool, because
    every further request on an unresponsive connection would time out too.
    """

    __slots__ = ("_connections", "_pool")

    def __init__(self, connections: int):
        self._connections = connections
        self._pool: _ConnectionPool | None = None

    async def attempt(
        self,
        address: str,
        request: TargetRequest,
        timeout_ms: float,
        max_response_bytes: int,
    ) -> AttemptResult:
        """Sends one request and reads the complete response.

        Connection errors and timeouts are reported in the result.

        Args:
            address: Base URL of the target.
            request: The request.
            timeout_ms: Time limit for the whole attempt.
            max_response_bytes: Maximum size of the response body.
        """
        pool = self._pool = self._pool or _ConnectionPool(self._connections)
        pool.active_attempts += 1
        progress = _AttemptProgress()
        try:
            return await pool.send(
                address, request, timeout_ms, max_response_bytes, progress
            )
        except TimeoutError as exc:
            await self._retire(pool)
            return AttemptResult(progress.outcome(), detail=repr(exc))
        except (aiohttp.ClientError, OSError) as exc:
            return AttemptResult(progress.outcome(), detail=repr(exc))
        finally:
            pool.active_attempts -= 1
            await pool.close_if_unused()

    async def close(self) -> None:
        """Closes all connections once no attempt uses them."""
        if self._pool is not None:
            await self._retire(self._pool)

    async def _retire(self, pool: "_ConnectionPool") -> None:
        pool.retired = True
        if pool is self._pool:
            self._pool = None
        await pool.close_if_unused()


class _ConnectionPool:
    """Connections that are replaced together.

    Attributes:
        active_attempts: Number of attempts in progress.
        retired: Whether to close the pool after its last attempt.
    """

    __slots__ = ("_session", "active_attempts", "retired")

    def __init__(self, connections: int):
        self.active_attempts = 0
        self.retired = False
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_mark_headers_sent)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            ),
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        # aiohttp retries idempotent methods on its own when a kept-alive
        # connection breaks. Retries are left to the dispatcher, which knows
        # whether the request may run more than once.
        self._session._retry_connection = False

    async def send(
        self,
        address: str,
        request: TargetRequest,
        timeout_ms: float,
        max_response_bytes: int,
        progress: "_AttemptProgress",
    ) -> AttemptResult:
        """Sends one request and reads the complete response."""
        async with self._session.request(
            request.method,
            f"{address}{request.path}",
            data=request.body,
            headers=request.headers,
            timeout=aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND),
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as resp:
            progress.response_started = True
            body = await _read_body(resp, max_response_bytes)
            return AttemptResult(
                AttemptOutcome.RESPONDED, resp.status, resp.headers, body
            )

    async def close_if_unused(self) -> None:
        """Closes a retired pool that has no attempts in progress."""
        if self.retired and self.active_attempts == 0:
            await self._session.close()


class _AttemptProgress:
    """Tracks how far an attempt has got."""

    __slots__ = ("headers_sent", "response_started")

    def __init__(self):
        self.headers_sent = False
        self.response_started = False

    def outcome(self) -> AttemptOutcome:
        if self.response_started:
            return AttemptOutcome.TRUNCATED_RESPONSE
        return (
            AttemptOutcome.NO_RESPONSE
            if self.headers_sent
            else AttemptOutcome.NOT_SENT
        )


async def _mark_headers_sent(session, context, params) -> None:
    del session, params
    context.trace_request_ctx.headers_sent = True


async def _read_body(
    resp: aiohttp.ClientResponse, max_response_bytes: int
) -> bytes:
    """Reads the body of a response.

    Raises:
        aiohttp.ClientPayloadError: If it exceeds `max_response_bytes`.
    """
    chunks = []
    size = 0
    async for chunk in resp.content.iter_chunked(READ_CHUNK_BYTES):
        size += len(chunk)
        if size > max_response_bytes:
            raise aiohttp.ClientPayloadError(
                f"response body exceeds {max_response_bytes} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)
