"""Callers behind a balancer that knows which daemons are ready."""

import asyncio
import dataclasses
import itertools
import random

import aiohttp

from limpetyard._clock import BootClock
from standins.site import Site

READY_CHECK_S = 0.2


@dataclasses.dataclass(slots=True)
class Told:
    """What a caller was told of one request.

    Attributes:
        id: Id of the request.
        idempotent: Whether it may run twice.
        status: HTTP status, or 0 if the connection broke.
        ran: What the daemon said of its execution.
        answered: Whether a whole answer to this very request came.
        took_ms: Time until the answer.
    """

    id: str
    idempotent: bool
    status: int = 0
    ran: str = ""
    answered: bool = False
    took_ms: float = 0.0


class LoadGenerator:
    """Sends requests at a steady rate through ready daemons.

    Attributes:
        results: What each caller was told.
    """

    def __init__(self, site: Site, seed: int = 0):
        self.results: list[Told] = []
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
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
        """Keeps the list of ready daemons until it is cancelled."""
        while True:
            await self.refresh_ready()
            await asyncio.sleep(READY_CHECK_S)

    async def refresh_ready(self) -> None:
        """Asks all daemons whether they are ready."""
        urls = [d.url for d in self._site.daemons.values()]
        found = await asyncio.gather(*(self._is_ready(url) for url in urls))
        pairs = zip(urls, found, strict=True)
        self._ready = [url for url, ready in pairs if ready]

    async def load(
        self, service: str, rate: float, seconds: float, idempotent: bool
    ) -> None:
        """Sends requests and returns once all have ended."""
        asked = []
        for _ in range(int(rate * seconds)):
            asked.append(asyncio.ensure_future(self.one(service, idempotent)))
            await asyncio.sleep(self._rng.expovariate(rate))
        await asyncio.gather(*asked)

    async def one(self, service: str, idempotent: bool) -> Told:
        """Sends one request."""
        results = Told(f"{service}-{next(self._numbers)}", idempotent)
        self.results.append(results)
        if not self._ready:
            return results
        url = self._rng.choice(self._ready)
        headers = {
            "X-Limpetyard-Partner": "north",
            "X-Request-Id": results.id,
            "X-Work-Ms": f"{self._rng.lognormvariate(1.5, 0.6):.1f}",
        }
        sent_ms = self._clock.now_ms()
        try:
            async with self._http.post(
                f"{url}/v1/{service}/count", data=b"?", headers=headers
            ) as resp:
                text = await resp.text()
                results.status = resp.status
                results.ran = resp.headers.get("X-Limpetyard-Ran", "")
                results.answered = text == f"{results.id}:?"
        except (aiohttp.ClientError, TimeoutError):
            pass
        results.took_ms = self._clock.now_ms() - sent_ms
        return results

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self._http.get(
                f"{url}/health/ready", timeout=aiohttp.ClientTimeout(total=1)
            ) as resp:
                return resp.status == aiohttp.http.HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            return False
