"""limpetyardd, the daemon that runs on every entry VM."""

import asyncio
import contextlib
import signal
import sys
import uuid
from pathlib import Path
from typing import TextIO

import aiohttp
import cappa
from mode import Service

from limpetyard import _events
from limpetyard._addresses import parse_host_port
from limpetyard._chart import StateChart, StateMachine
from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard._events import event
from limpetyard._metrics import Metrics
from limpetyard._settings import Settings
from limpetyard.admin import AdminService
from limpetyard.admin._inspector import DaemonInspector
from limpetyard.admin._job_operations import JobOperations
from limpetyard.cell import LeaseParams, cell_index, cell_stream_names
from limpetyard.config import CONFIG_STREAM, ConfigService
from limpetyard.errors import SettingError
from limpetyard.fleet import HttpVmList, HttpWorkerClient, VmListService, VmRole
from limpetyard.log import HttpLog, StreamReader
from limpetyard.membership import MembershipService, rendezvous_rank
from limpetyard.placement import new_policy
from limpetyard.requests import SLOT_POLICIES, RequestService
from limpetyard.scheduler import (
    CellController,
    CellService,
    RecentDecisions,
    SchedulerParams,
    TraceHeader,
    TraceRecorder,
)

REFRESH_INTERVAL_MS = 100
MAX_CONNECTIONS_PER_HOST = 64

# Daemons that follow a cell: the preferred owner and a standby.
FOLLOWERS_PER_CELL = 2


class Daemon(Service):
    """Runs all services of an entry VM.

    Attributes:
        cfg: Settings.
        state_machine: State of the daemon, as in charts/daemon.toml.
        config: Service that follows the configuration.
        vms: Service that polls the VM list.
        membership: Service that tracks the other daemons.
        requests: Service that handles the requests of callers.
        cells: Services of the followed cells, by name of the stream.
        applied_version: Configuration version that all services use.
        recent_decisions: Buffer of the newest decisions.
    """

    def __init__(self, cfg: Settings):
        super().__init__()
        self.cfg = cfg
        self.clock = BootClock()
        self.state_machine = StateMachine(StateChart.load("daemon"))
        self.recent_decisions = RecentDecisions()
        self.metrics = Metrics()
        self.cells: dict[str, CellService] = {}
        self.applied_version = -1
        self._owner = f"{cfg.node}#{uuid.uuid4().hex[:8]}"
        self._params = _scheduler_params(cfg)
        self._sessions: list[aiohttp.ClientSession] = []
        self._files: list[TextIO] = []

    async def on_start(self) -> None:
        """Creates and starts the services."""
        cfg = self.cfg
        timeout_ms = cfg.platform_timeout_ms
        self.platform_log = HttpLog(
            self._new_session(), cfg.log_url, timeout_ms
        )
        self.workers = HttpWorkerClient(self._new_session(), timeout_ms)
        self.config = ConfigService(
            self.platform_log, self.clock, cfg.snapshot_ms
        )
        self.vms = VmListService(
            HttpVmList(self._new_session(), cfg.vms_url, timeout_ms), self.clock
        )
        self.membership = MembershipService(
            cfg.node,
            *parse_host_port("peer_listen", cfg.peer_listen),
            self.clock,
        )
        self.requests = RequestService(
            cfg.node,
            *parse_host_port("listen", cfg.listen),
            SLOT_POLICIES.get(cfg.slot_policy),
            self.clock,
            self.metrics,
            self._is_ready,
        )
        self.admin = AdminService(
            *parse_host_port("admin_listen", cfg.admin_listen),
            cfg.admin_token,
            self.config,
            JobOperations(
                self.platform_log, self.clock, self._find_loaded_reader
            ),
            DaemonInspector(self),
            self.metrics,
        )
        for service in (
            self.config,
            self.vms,
            self.membership,
            self.requests,
            self.admin,
        ):
            await self.add_runtime_dependency(service)
        event("daemon_started", node=cfg.node, zone=cfg.availability_zone)

    async def shut_down(self) -> None:
        """Drains requests, releases the cells and stops the services."""
        self.state_machine.fire("stop")
        self.requests.draining = True
        event("daemon_draining", drain_ms=self.cfg.drain_ms)
        await asyncio.sleep(self.cfg.drain_ms / MS_PER_SECOND)
        await asyncio.gather(
            self.requests.drain(),
            *(self._release_cell(cell) for cell in self.cells.values()),
        )
        self.state_machine.fire("drained")
        await self.stop()
        event("daemon_stopped")

    async def on_shutdown(self) -> None:
        """Closes the connections to the platform and the trace files."""
        for session in self._sessions:
            await session.close()
        for file in self._files:
            file.close()

    @Service.task
    async def _refresh(self) -> None:
        """Passes the state of each service to the others periodically."""
        while not self.should_stop:
            await self._refresh_once()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.config.changed.wait(),
                    REFRESH_INTERVAL_MS / MS_PER_SECOND,
                )
            self.config.changed.clear()

    async def _refresh_once(self) -> None:
        """Applies the configuration, the VM list and the membership view.

        Enters the serving state once the configuration and the VM list were
        read.
        """
        now_ms = self.clock.now_ms()
        view = self.membership.view
        if self.vms.last_read_ms is not None:
            view.update_members(self.vms.entry_addresses(), now_ms)
        state = self.config.current
        if state is None:
            return
        members = view.alive_ids()
        self._update_config_age(now_ms)
        self.config.snapshot_rank = rendezvous_rank(
            CONFIG_STREAM, self.cfg.node, members
        )
        await self.requests.update(state, self.vms.vms, members)
        view.free_slots = self.requests.free_slots()
        caught_up = self.vms.last_read_ms is not None
        if caught_up and self.state_machine.chart.allows(
            self.state_machine.state, "caught_up"
        ):
            self.state_machine.fire("caught_up")
            event("daemon_serving", config_version=state.version)
        # The configuration may change while the cells are refreshed.
        version = state.version
        await self._refresh_cells(members)
        self.applied_version = version

    async def _refresh_cells(self, members: list[str]) -> None:
        """Follows the cells that rank this daemon highly, and updates them."""
        state = self.config.current
        count = state.cfg.parameters.cells
        workers = self.vms.with_role(VmRole.WORKER)
        for number, name in enumerate(cell_stream_names(count)):
            rank = rendezvous_rank(name, self.cfg.node, members)
            await self._start_or_stop_following(name, rank, bool(state.version))
            service = self.cells.get(name)
            if service is None:
                continue
            service.claim_extra_ms = rank * self.cfg.lease_ms / 4
            service.traced_controller.set_config(
                state, self.config.confirmed_ms
            )
            service.traced_controller.set_vms(
                vm for vm in workers if cell_index(vm.id, count) == number
            )
        owned = sum(
            s.controller.ownership.is_owner for s in self.cells.values()
        )
        self.metrics.cells_owned.set(owned)

    async def _start_or_stop_following(
        self, name: str, rank: int, configured: bool
    ) -> None:
        """Follows a cell or stops following it, as its rank demands.

        An owner follows its cell until another daemon has taken over. A daemon
        that is not serving neither starts nor stops.

        Args:
            name: Name of the cell's stream.
            rank: Rank of this daemon among those that may own the cell.
            configured: Whether a configuration was published.
        """
        serving = self.state_machine.state == "serving"
        service = self.cells.get(name)
        should_follow = rank < FOLLOWERS_PER_CELL and configured and serving
        if should_follow and service is None:
            self.cells[name] = self._new_cell_service(name)
            await self.add_runtime_dependency(self.cells[name])
            return
        if service is None or should_follow or not serving:
            return
        if not service.controller.ownership.is_owner:
            del self.cells[name]
            await service.stop()

    def _new_cell_service(self, name: str) -> CellService:
        policy = new_policy(self.cfg.policy, seed=0)
        controller = CellController(name, self._owner, self._params, policy)
        return CellService(
            controller,
            self.platform_log,
            self.workers,
            self.clock,
            self._params,
            self.recent_decisions,
            self.metrics,
            self._new_recorder(controller),
        )

    def _new_recorder(self, controller: CellController) -> TraceRecorder | None:
        if not self.cfg.record_dir:
            return None
        path = Path(self.cfg.record_dir) / f"{controller.name}.jsonl"
        file = path.open("a", encoding="utf-8", buffering=1)
        self._files.append(file)
        header = TraceHeader(
            controller.name, self._owner, self.cfg.policy, self._params
        )
        return TraceRecorder(
            controller, header, lambda line: file.write(line + "\n")
        )

    async def _release_cell(self, service: CellService) -> None:
        wait_s = self.cfg.lease_ms / MS_PER_SECOND
        try:
            await asyncio.wait_for(service.release_ownership(), wait_s)
        except TimeoutError:
            event("release_unread", cell=service.controller.name)

    def _update_config_age(self, now_ms: float) -> None:
        confirmed_ms = self.config.confirmed_ms
        if confirmed_ms is not None:
            age_ms = now_ms - confirmed_ms
            self.metrics.config_age.set(age_ms / MS_PER_SECOND)

    def _is_ready(self) -> bool:
        return self.state_machine.state in ("serving", "draining")

    def _find_loaded_reader(self, stream: str) -> StreamReader | None:
        service = self.cells.get(stream)
        if service is None or service.reader.projector is None:
            return None
        return service.reader

    def _new_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=MAX_CONNECTIONS_PER_HOST
        )
        session = aiohttp.ClientSession(connector=connector)
        self._sessions.append(session)
        return session


def _scheduler_params(cfg: Settings) -> SchedulerParams:
    return SchedulerParams(
        lease=LeaseParams(lease_ms=cfg.lease_ms),
        task_lease_ms=cfg.task_lease_ms,
        outage_ms=cfg.outage_ms,
        sync_ms=cfg.sync_ms,
        commit_ms=cfg.commit_ms,
        snapshot_ms=cfg.snapshot_ms,
    )


async def run(cfg: Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT; exits with 1 after a crash."""
    daemon = Daemon(cfg)
    stop_signal = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_signal.set)
    await daemon.start()
    stopped = asyncio.ensure_future(daemon.wait_until_stopped())
    signalled = asyncio.ensure_future(stop_signal.wait())
    await asyncio.wait(
        {stopped, signalled}, return_when=asyncio.FIRST_COMPLETED
    )
    signalled.cancel()
    if daemon.crashed:
        event("daemon_crashed", "ERROR", reason=repr(daemon.crash_reason))
        await daemon.stop()
        sys.exit(1)
    await daemon.shut_down()
    await stopped


def main() -> None:
    """Entry point of limpetyardd."""
    cfg = cappa.parse(Settings)
    try:
        cfg.check()
    except SettingError as exc:
        print(f"limpetyardd: {exc}", file=sys.stderr)
        sys.exit(2)
    _events.configure(cfg.log_level, cfg.node)
    asyncio.run(run(cfg))


if __name__ == "__main__":
    main()
