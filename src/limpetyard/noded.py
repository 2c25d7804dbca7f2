"""limpetyard-node, the daemon of a VM on the users' platform."""

import asyncio
import os
import signal
import sys
import time

from limpetyard import _events
from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard._events import event
from limpetyard.errors import SettingError
from limpetyard.node import (
    HttpPeerClient,
    Node,
    NodeSettings,
    PlatformAdapters,
    SiteView,
    listen,
)
from limpetyard.platform._ingress import Ingress
from limpetyard.platform._operator_records import SiteViewUpdater
from limpetyard.platform._settings import (
    METRICS_PORT_ENV,
    SETTINGS_ENV,
    load_settings,
)
from limpetyard.platform._store import PlatformStore
from limpetyard.platform._worker_client import (
    PlatformAdviceClient,
    PlatformWorkerClient,
    parse_worker_entry,
)

ADVICE_TIMEOUT_MS = 2000


def wall_ms() -> float:
    """Returns the time of day, Unix milliseconds."""
    return time.time() * MS_PER_SECOND


def new_node(cfg: NodeSettings) -> Node:
    """Puts a node together with the platform's adapter."""
    view = SiteView()
    view_updater = SiteViewUpdater(view)
    advice = None
    if cfg.advice:
        advice = PlatformAdviceClient(cfg.advice, ADVICE_TIMEOUT_MS)

    def callers(job_service):
        ingress = Ingress(view, job_service, wall_ms)
        return ingress.handle, ingress.drain

    adapters = PlatformAdapters(
        PlatformStore(cfg.store),
        PlatformWorkerClient(),
        advice,
        parse_worker_entry,
        view_updater.apply,
        view_updater.reset,
        callers,
        HttpPeerClient(),
        listen,
    )
    node = Node(cfg, adapters, view, BootClock(), wall_ms)
    if cfg.metrics:
        _events.listen(node.metrics.count_event)
    return node


def read_settings() -> NodeSettings:
    """Reads the settings that the environment names."""
    return load_settings(
        os.environ.get(SETTINGS_ENV, ""), os.environ.get(METRICS_PORT_ENV, "")
    )


def check_settings(cfg: NodeSettings) -> None:
    """Reads the settings again and tells what has changed.

    All of them are fixed while a process lives; changed ones, and a file that
    is not valid, leave the old values in force.
    """
    try:
        new = read_settings()
    except SettingError as exc:
        event("settings_invalid", "ERROR", reason=exc)
        return
    changed = [
        name
        for name in NodeSettings.__struct_fields__
        if getattr(new, name) != getattr(cfg, name)
    ]
    event("settings_read", changed=",".join(changed), in_force="old")


async def run(cfg: NodeSettings) -> int:
    """Runs a node until a signal asks it to leave; returns the exit code."""
    node = new_node(cfg)
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    loop.add_signal_handler(signal.SIGHUP, check_settings, cfg)
    await node.start()
    crashed = asyncio.ensure_future(node.wait_until_stopped())
    left = asyncio.ensure_future(leave.wait())
    await asyncio.wait({crashed, left}, return_when=asyncio.FIRST_COMPLETED)
    if node.crashed:
        event("node_crashed", "ERROR", reason=repr(node.crash_reason))
        return 1
    await node.leave()
    return 0


def main() -> None:
    """Entry point of limpetyard-node."""
    try:
        cfg = read_settings()
    except SettingError as exc:
        print(f"limpetyard-node: {exc}", file=sys.stderr)
        sys.exit(2)
    _events.configure("INFO", cfg.node)
    code = asyncio.run(run(cfg))
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
