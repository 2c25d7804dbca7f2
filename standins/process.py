"""Runs an HTTP application as a process."""

import argparse
import asyncio
import signal

from aiohttp import web


def serve(make_app, *flag_names: str) -> None:
    """Serves an application on loopback until SIGTERM or SIGINT.

    Args:
        make_app: Returns the application; its parameters are `flag_names`.
        *flag_names: Names of required flags besides `--port`.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    for name in flag_names:
        parser.add_argument(f"--{name}", required=True)
    args = vars(parser.parse_args())
    port = args.pop("port")
    asyncio.run(_serve_until_stopped(make_app, args, port))


async def _serve_until_stopped(make_app, args: dict, port: int) -> None:
    runner = web.AppRunner(make_app(**args), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=512).start()
    await wait_for_stop_signal()
    await asyncio.wait_for(runner.cleanup(), 2)


async def wait_for_stop_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
