"""Carries requests of clients to the nodes of a simulated site."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard._error_kinds import ERROR_RESPONSES
from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec
from standins.platform._clients import (
    DEADLINE_MS,
    DISTURBED_NODE,
    SOUND_NODE,
    Reply,
)
from standins.platform._random_jobs import QUEUE

if TYPE_CHECKING:
    from standins.platform._site import SimulatedSite

# Time that a connection takes to be refused, and a request to arrive.
TRANSIT_MS = 1.0


class SimulatedTransport:
    """Carries requests in virtual time.

    As with the servers of real nodes, a node is not told that a client has
    left. The end of a node breaks the connections to it.
    """

    def __init__(self, site: "SimulatedSite"):
        self._site = site
        self._background: set[asyncio.Task] = set()

    async def call(
        self,
        node: int,
        method: str,
        job_id: str,
        spec: JobSpec | None,
        wait_ms: float,
    ) -> Reply:
        """See `Transport.call`."""
        exchange = asyncio.ensure_future(
            self._exchange(self._pick(node), method, job_id, spec)
        )
        self._background.add(exchange)
        exchange.add_done_callback(self._background.discard)
        await asyncio.wait((exchange,), timeout=wait_ms / MS_PER_SECOND)
        return exchange.result() if exchange.done() else Reply(0)

    def _pick(self, node: int):
        hosts = self._site.hosts
        if node in (DISTURBED_NODE, SOUND_NODE):
            disturbed = node == DISTURBED_NODE
            hosts = [
                host for host in hosts if host.store_link.disturbed == disturbed
            ] or hosts
        return hosts[node % len(hosts)]

    async def _exchange(
        self, host, method: str, job_id: str, spec: JobSpec | None
    ) -> Reply:
        await asyncio.sleep(TRANSIT_MS / MS_PER_SECOND)
        await host.peer_link.thawed.wait()
        node, job_service = host.node, host.job_service
        if job_service is None:
            return Reply(0)
        if spec is not None:
            spec = msgspec.structs.replace(
                spec, accepted_ms=host.clock.wall_ms()
            )
        call = _CALLS[method if job_id else "PENDING"]
        try:
            reply = await host.serve(call(job_service, job_id, spec))
        except RequestError as exc:
            status = ERROR_RESPONSES[exc.kind].status
            reply = Reply(status, retry_after_s=exc.retry_after_s)
        reply = msgspec.structs.replace(reply, node=host.name)
        await host.peer_link.thawed.wait()
        return reply if host.node is node else Reply(0)


async def _submit(job_service, job_id: str, spec: JobSpec) -> Reply:
    await job_service.submit(spec, DEADLINE_MS)
    return Reply(200)


async def _query(job_service, job_id: str, spec: None) -> Reply:
    state = await job_service.state(job_id, QUEUE.name, DEADLINE_MS)
    return Reply(200, state)


async def _cancel(job_service, job_id: str, spec: None) -> Reply:
    await job_service.cancel(job_id, QUEUE.name, DEADLINE_MS)
    return Reply(200)


async def _query_pending(job_service, job_id: str, spec: None) -> Reply:
    pending = await job_service.pending(QUEUE.name)
    return Reply(200, pending=pending)


_CALLS = {
    "POST": _submit,
    "GET": _query,
    "DELETE": _cancel,
    "PENDING": _query_pending,
}
