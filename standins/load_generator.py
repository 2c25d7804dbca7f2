"""Generates load through a simulated load balancer."""

import asyncio
import dataclasses
import itertools
import random

import aiohttp

from limpetyard._clock import BootClock
from standins.site import Site

READY_CHECK_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Result of one request, as its caller saw it.

    Attributes:
        id: Id of the request.
        idempotent: Whether it may be executed more than once.
        status: HTTP status, or 0 if the connection broke.
        ran: Value of the header X-Limpetyard-Ran, "" without one.
        answered: Whether the complete response to this very request arrived.
        took_ms: Latency.
    """

    id: str
    idempotent: bool
    status: int = 0
    ran: str = ""
    answered: bool = False
    took_ms: float = 0.0


class LoadGenerator:
    """Sends requests at a given mean rate to random ready daemons.

    Attributes:
        results: Results of all requests, in the order of sending.
    """

    def __init__(self, site: Site, seed: int = 0):
        self.results: list[RequestResult] = []
        self._site = site
        self._rng = random.Random(seed)
        self._request_numbers = itertools.count()
        self._ready: list[str] = []
        self._clock = BootClock()
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=10),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.close()

    async def watch(self) -> None:
        """Refreshes the list of ready daemons periodically until cancelled."""
        while True:
            await self.refresh_ready()
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def refresh_ready(self) -> None:
        """Checks the readiness of all daemons once."""
        urls = [d.url for d in self._site.daemons.values()]
        found = await asyncio.gather(*(self._is_ready(url) for url in urls))
        pairs = zip(urls, found, strict=True)
        self._ready = [url for url, ready in pairs if ready]

    async def load(
        self, service: str, rate: float, seconds: float, idempotent: bool
    ) -> None:
        """Sends requests and returns once all have ended.

        Args:
            service: Service to call.
            rate: Mean number of requests per second (Poisson arrivals).
            seconds: Duration; `rate * seconds` requests are sent.
            idempotent: Whether the requests may be executed more than once.
        """
        tasks = []
        for _ in range(int(rate * seconds)):
            tasks.append(
                asyncio.ensure_future(self.send_request(service, idempotent))
            )
            await asyncio.sleep(self._rng.expovariate(rate))
        await asyncio.gather(*tasks)

    async def send_request(
        self, service: str, idempotent: bool
    ) -> RequestResult:
        """Sends one request; it is not sent if no daemon is ready."""
        result = RequestResult(
            f"{service}-{next(self._request_numbers)}", idempotent
        )
        self.results.append(result)
        if not self._ready:
            return result
        url = self._rng.choice(self._ready)
        headers = {
            "X-Limpetyard-Partner": "north",
            "X-Request-Id": result.id,
            "X-Work-Ms": f"{self._rng.lognormvariate(1.5, 0.6):.1f}",
        }
        sent_ms = self._clock.now_ms()
        try:
            async with self._http.post(
                f"{url}/v1/{service}/count", data=b"?", headers=headers
            ) as resp:
                text = await resp.text()
                result.status = resp.status
                result.ran = resp.headers.get("X-Limpetyard-Ran", "")
                result.answered = text == f"{result.id}:?"
        except (aiohttp.ClientError, TimeoutError):
            pass
        result.took_ms = self._clock.now_ms() - sent_ms
        return result

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self._http.get(
                f"{url}/health/ready", timeout=aiohttp.ClientTimeout(total=1)
            ) as resp:
                return resp.status == aiohttp.http.HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            return False
