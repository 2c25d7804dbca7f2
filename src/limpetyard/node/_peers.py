"""What nodes ask each other."""

from typing import Protocol

import msgspec
from aiohttp import web

from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
)
from limpetyard.node._handover import FenceResult, RemainingLeases
from limpetyard.node._store_layout import member_address

# Longest wait for another node: several round trips and a turn of its loop.
PEER_TIMEOUT_MS = 400

# Connections to one node; calls beyond them wait.
CONNECTIONS = 4

_GONE = 410


class PeerUnavailableError(Exception):
    """Another node gave no answer, or is not the owner."""


class JobNotFoundError(Exception):
    """The owner knows no such job."""


class _State(msgspec.Struct):
    state: str


class _Pending(msgspec.Struct):
    pending: int


class LocalCells(Protocol):
    """What a node answers for the cells that it owns.

    Every method raises `PeerUnavailableError` if this node is not the owner or
    does not know yet, `JobNotFoundError` if it knows that there is no such job.
    """

    def job_state(self, job_id: str) -> str:
        """Returns the state of a job."""

    def queue_pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""

    def fence(self, cell: int, epoch: int) -> RemainingLeases | None:
        """Ends ownerships of a cell below `epoch`.

        Returns:
            What is left of the leases of the newest of them, if it is known.
        """


class PeerClient(Protocol):
    """What a node asks of other nodes; see `HttpPeerClient`."""

    async def job_state(self, member: str, job_id: str) -> str:
        """Asks the owner for the state of a job."""

    async def queue_pending(self, member: str, queue: str) -> int:
        """Asks the owner how many jobs of a queue have not begun."""

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        """Has the last owner of a cell stop giving orders."""


class HttpPeerClient:
    """Calls to other nodes over HTTP."""

    __slots__ = ("_http_client",)

    def __init__(self):
        self._http_client = HttpClient(CONNECTIONS, "node")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    async def job_state(self, member: str, job_id: str) -> str:
        """Asks the owner for the state of a job.

        Raises:
            JobNotFoundError: If the owner knows no such job.
            PeerUnavailableError: If it gave no answer.
        """
        reply = await self._get(member, f"/v1/jobs/{job_id}")
        return msgspec.json.decode(reply.body, type=_State).state

    async def queue_pending(self, member: str, queue: str) -> int:
        """Asks the owner how many jobs of a queue have not begun.

        Raises:
            PeerUnavailableError: If it gave no answer.
        """
        reply = await self._get(member, f"/v1/queues/{queue}")
        return msgspec.json.decode(reply.body, type=_Pending).pending

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        """Has the last owner of a cell stop giving orders.

        Where nobody listens at its address, or another process does, it is no
        more.
        """
        address = member_address(member)
        if not address:
            return FenceResult(False)
        url = f"http://{address}/v1/cells/{cell}/fence/{epoch}"
        try:
            reply = await self._http_client.call(
                "POST", url, b"", PEER_TIMEOUT_MS
            )
            return _read_silenced(reply)
        except NotSentError as exc:
            return FenceResult(exc.refused)
        except (OutcomeUnknownError, msgspec.MsgspecError):
            return FenceResult(False)

    async def _get(self, member: str, path: str) -> HttpResponse:
        address = member_address(member)
        if not address:
            raise PeerUnavailableError("no owner is known")
        url = f"http://{address}{path}"
        try:
            reply = await self._http_client.call(
                "GET", url, None, PEER_TIMEOUT_MS
            )
        except (NotSentError, OutcomeUnknownError) as exc:
            raise PeerUnavailableError(str(exc)) from exc
        if reply.status == _GONE:
            raise JobNotFoundError(path)
        if reply.status != 200:
            raise PeerUnavailableError(f"{url}: status {reply.status}")
        return reply


class PeerServer:
    """Answers other nodes."""

    __slots__ = ("_cells",)

    def __init__(self, cells: LocalCells):
        self._cells = cells

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Answers one call."""
        parts = req.path.strip("/").split("/")
        try:
            return self._answer(parts)
        except JobNotFoundError:
            return web.Response(status=_GONE)
        except PeerUnavailableError as exc:
            return web.Response(status=503, text=str(exc))
        except (IndexError, ValueError):
            return web.Response(status=404)

    def _answer(self, parts: list[str]) -> web.Response:
        what = parts[1]
        if what == "jobs":
            return _json(_State(self._cells.job_state(parts[2])))
        if what == "queues":
            return _json(_Pending(self._cells.queue_pending(parts[2])))
        if what == "cells":
            return _json(self._cells.fence(int(parts[2]), int(parts[4])))
        raise ValueError(what)


def _read_silenced(reply: HttpResponse) -> FenceResult:
    if reply.status != 200:
        return FenceResult(False)
    leases = msgspec.json.decode(reply.body, type=RemainingLeases | None)
    return FenceResult(True, leases)


def _json(data: msgspec.Struct | None) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(data), content_type="application/json"
    )
