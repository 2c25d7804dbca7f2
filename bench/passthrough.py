"""Minimal HTTP proxy on aiohttp; the baseline for the daemon's request path."""

import aiohttp
from aiohttp import web

from standins.process import serve


def _make_app(target: str) -> web.Application:
    app = web.Application()

    async def http_client(app: web.Application):
        app["http"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=64)
        )
        yield
        await app["http"].close()

    async def handle(request: web.Request) -> web.Response:
        body = await request.read()
        headers = {
            k: v
            for k, v in request.headers.items()
            if k not in ("Host", "Content-Length")
        }
        async with request.app["http"].request(
            request.method,
            f"{target}{request.path}",
            data=body,
            headers=headers,
        ) as resp:
            return web.Response(body=await resp.read(), status=resp.status)

    app.cleanup_ctx.append(http_client)
    app.router.add_route("*", "/{path:.*}", handle)
    return app


if __name__ == "__main__":
    serve(_make_app, "target")
