"""Process of a node on the users' platform: settings, signals, exit status."""

import asyncio
import functools
import gc
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
    PACER_ENV,
    RESERVED_SHARE_ENV,
    SETTINGS_ENV,
    load_settings,
)
from limpetyard.platform._store import PlatformStore
from limpetyard.platform._worker_client import (
    PlatformAdviceClient,
    PlatformWorkerClient,
)
from limpetyard.platform._worker_entries import (
    EntryReports,
    parse_worker_entry,
)
from limpetyard.store import StoreLimits


def wall_ms() -> float:
    """Returns the wall-clock time in Unix milliseconds."""
    return time.time() * MS_PER_SECOND


def new_node(cfg: NodeSettings) -> Node:
    """Creates a node with the adapters of the platform."""
    view = SiteView()
    view_updater = SiteViewUpdater(view)
    advice = None
    if cfg.advice:
        advice = PlatformAdviceClient(cfg.advice)

    def new_ingress(job_service):
        ingress = Ingress(view, job_service, wall_ms)
        return ingress.handle, ingress.drain

    adapters = PlatformAdapters(
        PlatformStore(
            cfg.store, StoreLimits(cfg.max_record_bytes, cfg.max_append_bytes)
        ),
        PlatformWorkerClient(),
        advice,
        functools.partial(parse_worker_entry, reports=EntryReports()),
        view_updater.apply,
        view_updater.reset,
        new_ingress,
        HttpPeerClient(),
        listen,
    )
    node = Node(cfg, adapters, view, BootClock(), wall_ms)
    if cfg.metrics:
        _events.add_listener(node.metrics.count_event)
    return node


def read_settings() -> NodeSettings:
    """Reads the settings file that the environment names."""
    names = (
        SETTINGS_ENV,
        METRICS_PORT_ENV,
        PACER_ENV,
        RESERVED_SHARE_ENV,
    )
    return load_settings(*(os.environ.get(name, "") for name in names))


def report_changed_settings(cfg: NodeSettings) -> None:
    """Reads the settings again and logs the names of the changed ones.

    A running process keeps its settings: changed values take effect after a
    restart, and an invalid file is only reported.
    """
    try:
        new_cfg = read_settings()
    except SettingError as exc:
        event("settings_invalid", "ERROR", reason=exc)
        return
    changed = [
        name
        for name in NodeSettings.__struct_fields__
        if getattr(new_cfg, name) != getattr(cfg, name)
    ]
    event("settings_read", changed=",".join(changed), in_force="old")


async def run(cfg: NodeSettings) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit status."""
    node = new_node(cfg)
    stop_signal = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_signal.set)
    loop.add_signal_handler(signal.SIGHUP, report_changed_settings, cfg)
    await node.start()
    stopped = asyncio.ensure_future(node.wait_until_stopped())
    signalled = asyncio.ensure_future(stop_signal.wait())
    await asyncio.wait(
        {stopped, signalled}, return_when=asyncio.FIRST_COMPLETED
    )
    if node.crashed:
        event("node_crashed", "ERROR", reason=repr(node.crash_reason))
        return 1
    await node.leave()
    return 0


# Collections of the youngest and of the middle generation before the middle and
# all generations are collected. A full collection blocks the event loop of the
# owner of a large cell.
GC_MIDDLE_THRESHOLD = 10
GC_FULL_THRESHOLD = 50


def run_node() -> None:
    """Runs a node until it is told to stop, and ends the process."""
    try:
        cfg = read_settings()
    except SettingError as exc:
        print(f"limpetyard-node: {exc}", file=sys.stderr)
        sys.exit(2)
    _events.configure("INFO", cfg.node)
    gc.freeze()
    gc.set_threshold(
        gc.get_threshold()[0], GC_MIDDLE_THRESHOLD, GC_FULL_THRESHOLD
    )
    code = asyncio.run(run(cfg))
    sys.stdout.flush()
    os._exit(code)
