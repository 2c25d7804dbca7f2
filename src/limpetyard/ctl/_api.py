"""Calls to a daemon's administration API."""

import asyncio
import enum

import aiohttp
import msgspec

from limpetyard._error_kinds import ErrorKind
from limpetyard.errors import LimpetyardError

TIMEOUT_S = 10


class Exit(enum.IntEnum):
    """Exit statuses of limpetyardctl."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_FOUND = 6
    DENIED = 7


_EXITS = {
    ErrorKind.INVALID_DOCUMENT.value: Exit.INVALID,
    ErrorKind.VERSION_CONFLICT.value: Exit.CONFLICT,
    ErrorKind.LOG_UNAVAILABLE.value: Exit.UNREACHABLE,
    ErrorKind.NOT_READY.value: Exit.UNREACHABLE,
    ErrorKind.NOT_FOUND.value: Exit.NOT_FOUND,
    ErrorKind.UNAUTHORIZED.value: Exit.DENIED,
    ErrorKind.BAD_REQUEST.value: Exit.USAGE,
    ErrorKind.UNKNOWN_PARTNER.value: Exit.USAGE,
}


class CallError(LimpetyardError):
    """A call failed; `status` is the exit status that it leads to."""

    def __init__(self, status: Exit, text: str):
        super().__init__(text)
        self.status = status


class Api:
    """One daemon's administration API."""

    __slots__ = ("_token", "_url")

    def __init__(self, url: str, token: str):
        self._url = url.rstrip("/")
        self._token = token

    def call(self, method: str, path: str, body: object = None) -> object:
        """Returns the decoded answer.

        Raises:
            CallError: If there is none or it tells of an error.
        """
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: object) -> object:
        headers = {"Authorization": f"Bearer {self._token}"}
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, f"{self._url}{path}", data=data, headers=headers
                ) as resp,
            ):
                answer = msgspec.json.decode(await resp.read())
                status = resp.status
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            raise CallError(Exit.UNREACHABLE, f"{self._url}: {exc!r}") from exc
        if status != aiohttp.http.HTTPStatus.OK:
            kind = answer["kind"]
            raise CallError(
                _EXITS.get(kind, Exit.FAILED), f"{kind}: {answer['detail']}"
            )
        return answer
