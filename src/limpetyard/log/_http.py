"""HTTP client of the log; docs/PLATFORM.md specifies the protocol."""

import aiohttp
import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.errors import LogUnavailableError, OffsetTrimmedError
from limpetyard.log._interface import Page

_HTTP_GONE = 410


class _AppendReply(msgspec.Struct):
    offset: int


class _TrimmedReply(msgspec.Struct):
    first: int


class HttpLog:
    """An HTTP client of the log service."""

    __slots__ = ("_session", "_timeout_ms", "_url")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int
    ):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_ms = timeout_ms

    async def append(self, stream: str, data: str) -> int:
        """Appends one record; see `Log.append`."""
        body = await self._call("POST", stream, self._timeout_ms, data=data)
        return msgspec.json.decode(body, type=_AppendReply).offset

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads records starting at `offset`; see `Log.read`."""
        params = {"from": offset, "limit": limit, "wait_ms": wait_ms}
        timeout_ms = self._timeout_ms + wait_ms
        body = await self._call("GET", stream, timeout_ms, params, offset)
        return msgspec.json.decode(body, type=Page)

    async def _call(
        self,
        method: str,
        stream: str,
        timeout_ms: int,
        params: dict | None = None,
        offset: int = 0,
        data: str | None = None,
    ) -> bytes:
        url = f"{self._url}/streams/{stream}/records"
        timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND)
        try:
            async with self._session.request(
                method, url, params=params, data=data, timeout=timeout
            ) as resp:
                body = await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise LogUnavailableError(f"{method} {stream}: {exc!r}") from exc
        if resp.status == _HTTP_GONE:
            first = msgspec.json.decode(body, type=_TrimmedReply).first
            raise OffsetTrimmedError(stream, offset, first)
        if resp.status != aiohttp.http.HTTPStatus.OK:
            raise LogUnavailableError(
                f"{method} {stream}: status {resp.status}"
            )
        return body
