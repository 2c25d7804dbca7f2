"""Client of the administration API of a daemon."""

import asyncio
import enum

import aiohttp
import msgspec

from limpetyard._error_kinds import ErrorKind
from limpetyard.errors import LimpetyardError

TIMEOUT_S = 10


class ExitStatus(enum.IntEnum):
    """Exit statuses of limpetyardctl."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_FOUND = 6
    DENIED = 7


_EXIT_STATUSES = {
    ErrorKind.INVALID_DOCUMENT.value: ExitStatus.INVALID,
    ErrorKind.VERSION_CONFLICT.value: ExitStatus.CONFLICT,
    ErrorKind.LOG_UNAVAILABLE.value: ExitStatus.UNREACHABLE,
    ErrorKind.NOT_READY.value: ExitStatus.UNREACHABLE,
    ErrorKind.NOT_FOUND.value: ExitStatus.NOT_FOUND,
    ErrorKind.UNAUTHORIZED.value: ExitStatus.DENIED,
    ErrorKind.BAD_REQUEST.value: ExitStatus.USAGE,
    ErrorKind.UNKNOWN_PARTNER.value: ExitStatus.USAGE,
}


class CommandError(LimpetyardError):
    """A command failed.

    Attributes:
        status: Exit status of limpetyardctl.
    """

    def __init__(self, status: ExitStatus, text: str):
        super().__init__(text)
        self.status = status


class AdminClient:
    """Client of the administration API of one daemon."""

    __slots__ = ("_token", "_url")

    def __init__(self, url: str, token: str):
        self._url = url.rstrip("/")
        self._token = token

    def call(self, method: str, path: str, body: object = None) -> object:
        """Sends a request and returns the decoded JSON response.

        Raises:
            CommandError: If the daemon did not respond or reported an error.
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
                response = msgspec.json.decode(await resp.read())
                status = resp.status
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            raise CommandError(
                ExitStatus.UNREACHABLE, f"{self._url}: {exc!r}"
            ) from exc
        if status != aiohttp.http.HTTPStatus.OK:
            kind = response["kind"]
            raise CommandError(
                _EXIT_STATUSES.get(kind, ExitStatus.FAILED),
                f"{kind}: {response['detail']}",
            )
        return response
