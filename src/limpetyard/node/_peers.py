"""Calls between nodes: client, server and errors."""

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec
from aiohttp import web

from limpetyard._events import event
from limpetyard._http_client import (
    HttpClient,
    HttpResponse,
    NotSentError,
    OutcomeUnknownError,
)
from limpetyard.node._handover import FenceResult, RemainingLeases
from limpetyard.node._store_layout import member_address

# Time-out of a call to another node: several round trips and one iteration of
# its event loop.
PEER_TIMEOUT_MS = 400

# Maximum number of connections to one node; further calls wait.
MAX_CONNECTIONS_PER_NODE = 4

_HTTP_GONE = 410
_HTTP_TOO_MANY = 429

# Last part of the path by which an owner that has joined asks a witness.
_JOINED = "joined"


class PeerUnavailableError(Exception):
    """A node sent no usable reply, or is not the owner of the cell."""


class JobNotFoundError(Exception):
    """The owner of the cell has no such job."""


class CancellationsFullError(JobNotFoundError):
    """The owner has no such job, and can't keep a cancellation of it.

    Attributes:
        retry_after_s: Time after which it can, in whole seconds.
    """

    def __init__(self, retry_after_s: int):
        super().__init__(f"no cancellations are kept for {retry_after_s} s")
        self.retry_after_s = retry_after_s


class JobStatus(msgspec.Struct):
    """What the owner says about a job.

    Attributes:
        state: State of the job.
        queue: Name of its queue, or "" if the owner runs a release that does
            not tell.
    """

    state: str
    queue: str = ""


class _FullReply(msgspec.Struct):
    retry_after_s: int


class _PendingReply(msgspec.Struct):
    pending: int


class _Extension(msgspec.Struct):
    extended: bool


class _Succession(msgspec.Struct):
    accepted: bool


def _decode_full(body: bytes) -> Exception:
    reply = msgspec.json.decode(body, type=_FullReply)
    return CancellationsFullError(reply.retry_after_s)


# Returns the error that a reply about a job means, from its body, by status.
# Nodes of earlier releases take 429 for a node that is unavailable.
_JOB_ERRORS: dict[int, Callable[[bytes], Exception]] = {
    _HTTP_GONE: lambda body: JobNotFoundError(),
    _HTTP_TOO_MANY: _decode_full,
}


class OwnershipStatus(msgspec.Struct):
    """What a process says about its ownership of a cell.

    Attributes:
        member: Member name of the process.
        age_ms: Time since the ownership was confirmed, or None if it has none
            or if its membership may have expired.
    """

    member: str
    age_ms: float | None = None


class LocalCells(Protocol):
    """Queries that a node answers for the cells that it owns.

    The queries about jobs raise `PeerUnavailableError` if this node is not the
    owner or has not read enough to reply.
    """

    async def job_status(self, job_id: str) -> JobStatus:
        """Returns the state and the queue of a job.

        Raises:
            JobNotFoundError: If no such job was accepted before the call;
                `CancellationsFullError` if no cancellation of it is kept.
        """

    def queue_pending(self, queue: str) -> int:
        """Returns the number of queued jobs of a queue, without timed ones."""

    def extend(self, cell: int, epoch: int, joined: bool = False) -> bool:
        """Extends the orders of an owner; see `Witness.extend`."""

    def succeed(self, cell: int, epoch: int) -> bool:
        """Starts to claim a cell if its latest claim is of an epoch.

        Returns:
            Whether this node tries to.
        """

    def ownership_status(self, cell: int) -> OwnershipStatus:
        """Returns whether this node owns a cell."""

    async def find_owner(self, cell: int, refresh: bool = False) -> str:
        """Returns the member that has claimed a cell last, or "" if unknown.

        If there is no claim, that is the member that the group has assigned it
        to.

        Args:
            cell: Number of the cell.
            refresh: Whether the last result was wrong.
        """

    def is_self(self, member: str) -> bool:
        """Returns whether a member is this node."""

    def fence(self, cell: int, epoch: int) -> RemainingLeases:
        """Ends this node's ownerships of a cell with an epoch below `epoch`.

        One that does not know its epoch yet ends once it does. This node gives
        no more extensions to owners with such epochs.

        Returns:
            Remaining leases of the latest one in which this node may have
            issued orders; of epoch 0 if there was none.
        """


class PeerClient(Protocol):
    """Client of other nodes; `HttpPeerClient` documents the errors."""

    async def job_status(self, member: str, job_id: str) -> JobStatus:
        """Requests the state and the queue of a job from the owner."""

    async def queue_pending(self, member: str, queue: str) -> int:
        """Requests the number of queued jobs, without timed ones."""

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        """Fences the previous owner of a cell."""

    async def fence_witness(
        self, address: str, cell: int, epoch: int
    ) -> float | None:
        """Has a witness give no more extensions to earlier owners."""

    async def extend(self, address: str, cell: int, epoch: int) -> bool:
        """Asks a witness to extend the orders of an owner."""

    async def extend_joined(self, address: str, cell: int, epoch: int) -> bool:
        """As `extend`, for an owner that has joined its group lately."""

    async def succeed(self, member: str, cell: int, epoch: int) -> bool:
        """Asks a member to claim a cell that its owner has given up."""

    async def ownership_age_ms(self, member: str, cell: int) -> float | None:
        """Returns when a member was confirmed as the owner of a cell."""

    async def answers(self, member: str) -> bool:
        """Returns whether a member answers."""


class HttpPeerClient:
    """Client of other nodes over HTTP."""

    __slots__ = ("_http_client",)

    def __init__(self):
        self._http_client = HttpClient(MAX_CONNECTIONS_PER_NODE, "node")

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    async def job_status(self, member: str, job_id: str) -> JobStatus:
        """Requests the state and the queue of a job from the owner.

        Raises:
            JobNotFoundError: If the owner has no such job;
                `CancellationsFullError` if it keeps no cancellation of it.
            PeerUnavailableError: If the owner is unknown, did not reply or
                replied with an error.
        """
        try:
            reply = await self._get(member, f"/v1/jobs/{job_id}", _JOB_ERRORS)
            return msgspec.json.decode(reply.body, type=JobStatus)
        except msgspec.MsgspecError as exc:
            raise PeerUnavailableError(f"{member}: {exc}") from exc

    async def queue_pending(self, member: str, queue: str) -> int:
        """Requests the number of queued jobs, without timed ones.

        Raises:
            PeerUnavailableError: If the owner is unknown, did not reply or
                replied with an error.
        """
        reply = await self._get(member, f"/v1/queues/{queue}")
        return msgspec.json.decode(reply.body, type=_PendingReply).pending

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        """Fences the previous owner of a cell, which then issues no orders.

        If another process listens at its address, the owner has ended, which
        counts as fenced. A refused connection proves nothing, as a network
        fault refuses connections too.

        Args:
            member: Member name of the previous owner.
            cell: Number of the cell.
            epoch: Epoch of the new ownership.
        """
        address = member_address(member)
        if not address:
            return FenceResult(False)
        try:
            leases = await self._fence(address, cell, epoch)
        except PeerUnavailableError:
            return FenceResult(False)
        return FenceResult(True, leases)

    async def fence_witness(
        self, address: str, cell: int, epoch: int
    ) -> float | None:
        """Has a witness give no more extensions to earlier owners.

        Args:
            address: Address of the witness, or of an owner, which ends.
            cell: Number of the cell.
            epoch: Epoch of the new ownership.

        Returns:
            Time for which an extension may still last, or None without a reply
            of a witness.
        """
        try:
            leases = await self._fence(address, cell, epoch)
        except PeerUnavailableError:
            return None
        return None if leases is None else leases.extended_left_ms

    async def extend(self, address: str, cell: int, epoch: int) -> bool:
        """Asks a witness to extend the orders of an owner.

        Args:
            address: Address of the witness.
            cell: Number of the cell.
            epoch: Epoch of the owner.

        Returns:
            Whether it did; False without a reply.
        """
        return await self._extend(f"{address}/v1/extensions/{cell}/{epoch}")

    async def extend_joined(self, address: str, cell: int, epoch: int) -> bool:
        """As `extend`, for an owner that has joined its group lately.

        Args:
            address: Address of the witness.
            cell: Number of the cell.
            epoch: Epoch of the owner.
        """
        # Witnesses of earlier releases ignore what follows the epoch.
        return await self._extend(
            f"{address}/v1/extensions/{cell}/{epoch}/{_JOINED}"
        )

    async def _extend(self, path: str) -> bool:
        try:
            reply = await self._http_client.call(
                "POST", f"http://{path}", b"", PEER_TIMEOUT_MS
            )
            if reply.status != 200:
                return False
            return msgspec.json.decode(reply.body, type=_Extension).extended
        except (
            NotSentError,
            OutcomeUnknownError,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            address = path.partition("/")[0]
            event("witness_unreachable", address=address, reason=exc)
            return False

    async def succeed(self, member: str, cell: int, epoch: int) -> bool:
        """Asks a member to claim a cell that its owner has given up.

        Args:
            member: Name of the member.
            cell: Number of the cell.
            epoch: Epoch of the latest claim, that of the owner.

        Returns:
            Whether it tries to; False without a reply.
        """
        path = f"/v1/successions/{cell}/{epoch}"
        try:
            reply = await self._request("POST", member, path)
            return msgspec.json.decode(reply.body, type=_Succession).accepted
        except (PeerUnavailableError, msgspec.MsgspecError):
            return False

    async def ownership_age_ms(self, member: str, cell: int) -> float | None:
        """Returns when a member was confirmed as the owner of a cell.

        Args:
            member: Name of the member.
            cell: Number of the cell.

        Returns:
            Time since then, or None without a reply of this very process, or
            if it does not own the cell.
        """
        try:
            reply = await self._get(member, f"/v1/ownerships/{cell}")
            status = msgspec.json.decode(reply.body, type=OwnershipStatus)
        except (PeerUnavailableError, msgspec.MsgspecError):
            return None
        return status.age_ms if status.member == member else None

    async def _fence(
        self, address: str, cell: int, epoch: int
    ) -> RemainingLeases | None:
        """Fences the process at an address.

        Raises:
            PeerUnavailableError: If it sent no usable reply.
        """
        url = f"http://{address}/v1/cells/{cell}/fence/{epoch}"
        try:
            reply = await self._http_client.call(
                "POST", url, b"", PEER_TIMEOUT_MS
            )
            if reply.status != 200:
                raise PeerUnavailableError(f"{url}: status {reply.status}")
            return msgspec.json.decode(reply.body, type=RemainingLeases | None)
        except (
            NotSentError,
            OutcomeUnknownError,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            raise PeerUnavailableError(str(exc)) from exc

    async def answers(self, member: str) -> bool:
        """Returns whether something answers at the address of a member.

        This may also be a later process of the same VM, which then joins the
        group itself.
        """
        address = member_address(member)
        if not address:
            return False
        url = f"http://{address}/v1/alive"
        try:
            await self._http_client.call("GET", url, None, PEER_TIMEOUT_MS)
        except (NotSentError, OutcomeUnknownError):
            return False
        return True

    async def _get(
        self,
        member: str,
        path: str,
        errors: Mapping[int, Callable[[bytes], Exception]] | None = None,
    ) -> HttpResponse:
        return await self._request("GET", member, path, errors)

    async def _request(
        self,
        method: str,
        member: str,
        path: str,
        errors: Mapping[int, Callable[[bytes], Exception]] | None = None,
    ) -> HttpResponse:
        """Sends a request.

        Args:
            method: Method of HTTP.
            member: Name of the member.
            path: Path of the URL.
            errors: Returns the error that a reply means, by status; other
                statuses than 200 mean `PeerUnavailableError`.
        """
        address = member_address(member)
        if not address:
            raise PeerUnavailableError("no owner is known")
        url = f"http://{address}{path}"
        try:
            body = None if method == "GET" else b""
            reply = await self._http_client.call(
                method, url, body, PEER_TIMEOUT_MS
            )
        except (NotSentError, OutcomeUnknownError, ValueError) as exc:
            raise PeerUnavailableError(str(exc)) from exc
        if errors and reply.status in errors:
            raise errors[reply.status](reply.body)
        if reply.status != 200:
            raise PeerUnavailableError(f"{url}: status {reply.status}")
        return reply


# Replies to calls without a wait, by the first part of the path after the
# version and from the parts that follow it.
_REPLIES: dict[str, Callable[[LocalCells, list[str]], msgspec.Struct]] = {
    "queues": lambda cells, args: _PendingReply(cells.queue_pending(args[0])),
    "cells": lambda cells, args: cells.fence(int(args[0]), int(args[2])),
    "extensions": lambda cells, args: _Extension(
        cells.extend(int(args[0]), int(args[1]), args[2:] == [_JOINED])
    ),
    "successions": lambda cells, args: _Succession(
        cells.succeed(int(args[0]), int(args[1]))
    ),
    "ownerships": lambda cells, args: cells.ownership_status(int(args[0])),
}


class PeerServer:
    """Serves calls of other nodes."""

    __slots__ = ("_cells",)

    def __init__(self, cells: LocalCells):
        self._cells = cells

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Serves one call.

        Replies with 410 if there is no such job, 429 if its cancellation could
        not be kept either, 503 if this node is not the owner or cannot reply
        yet, and 404 for an unknown path.
        """
        parts = req.path.strip("/").split("/")
        try:
            return await self._dispatch(parts)
        except CancellationsFullError as exc:
            return _json_response(_FullReply(exc.retry_after_s), _HTTP_TOO_MANY)
        except JobNotFoundError:
            return web.Response(status=_HTTP_GONE)
        except PeerUnavailableError as exc:
            return web.Response(status=503, text=str(exc))
        except (IndexError, ValueError):
            return web.Response(status=404)

    async def _dispatch(self, parts: list[str]) -> web.Response:
        collection, args = parts[1], parts[2:]
        if collection == "alive":
            return web.Response()
        if collection == "jobs":
            return _json_response(await self._cells.job_status(args[0]))
        if collection not in _REPLIES:
            raise ValueError(collection)
        return _json_response(_REPLIES[collection](self._cells, args))


def _json_response(
    data: msgspec.Struct | None, status: int = 200
) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(data),
        content_type="application/json",
    )
