"""Read-only access to the state of a daemon, for operators."""

from typing import TYPE_CHECKING

from limpetyard.admin._messages import CellRow, Status, TargetRow, WorkerRow
from limpetyard.cell import (
    CellState,
    ResourceVector,
    Task,
    cell_index,
    cell_stream_name,
)
from limpetyard.config import ConfigState
from limpetyard.fleet import Vm, VmRole
from limpetyard.scheduler import CellService, Decision

if TYPE_CHECKING:
    from limpetyard.daemon import Daemon


class DaemonInspector:
    """Returns the state of a daemon's services without changing it."""

    __slots__ = ("_daemon",)

    def __init__(self, daemon: "Daemon"):
        self._daemon = daemon

    def config_age_ms(self) -> float:
        """Returns the time since the configuration was last read to its end.

        Infinite before the first such read.
        """
        confirmed_ms = self._daemon.config.confirmed_ms
        if confirmed_ms is None:
            return float("inf")
        return self._daemon.clock.now_ms() - confirmed_ms

    def applied_version(self) -> int:
        """Returns the configuration version that the services use."""
        return self._daemon.applied_version

    def availability_zones(self) -> set[str]:
        """Returns the availability zones of all VMs in the VM list."""
        return {vm.availability_zone for vm in self._daemon.vms.vms}

    def decisions(self, count: int) -> list[Decision]:
        """Returns up to `count` of the newest decisions, oldest first."""
        return self._daemon.recent_decisions.newest(count)

    def status(self) -> Status:
        """Returns the state of the daemon, its cells and its members."""
        daemon = self._daemon
        config = daemon.config.current
        return Status(
            daemon.cfg.node,
            daemon.state_machine.state,
            config.version if config else 0,
            sorted(daemon.membership.view.alive_ids()),
            [_cell_row(service) for service in daemon.cells.values()],
        )

    def tasks(self) -> list[Task]:
        """Returns the tasks of the cells that this daemon follows."""
        states = [self._cell_state(name) for name in self._daemon.cells]
        return [task for s in states if s for task in s.tasks.values()]

    def workers(self, config: ConfigState) -> list[WorkerRow]:
        """Returns all workers in the VM list, with their placed tasks."""
        cells = config.cfg.parameters.cells
        return [
            self._worker_row(vm, cell_index(vm.id, cells), config)
            for vm in self._daemon.vms.with_role(VmRole.WORKER)
        ]

    def targets(self) -> list[TargetRow]:
        """Returns the targets that this daemon uses."""
        return [
            TargetRow(
                target.vm.id,
                name,
                target.vm.availability_zone,
                target.allowed_slots,
                target.in_flight,
                target.failures,
                target.latency_ms,
            )
            for name, dispatcher in self._daemon.requests.dispatchers.items()
            for target in dispatcher.pool.targets.values()
        ]

    def _worker_row(self, vm: Vm, cell: int, config: ConfigState) -> WorkerRow:
        state = self._cell_state(cell_stream_name(cell))
        zone_out = vm.availability_zone in config.zones_out
        if state is None:
            return WorkerRow(vm, cell, zone_out, -1, ResourceVector(0.0, 0))
        tasks = len(state.placed.get(vm.id, ()))
        return WorkerRow(vm, cell, zone_out, tasks, state.reserved_on(vm.id))

    def _cell_state(self, name: str) -> CellState | None:
        """Returns the state of a cell, or None if it is not loaded here."""
        service = self._daemon.cells.get(name)
        if service is None or service.reader.projector is None:
            return None
        return service.reader.projector.projection


def _cell_row(service: CellService) -> CellRow:
    controller = service.controller
    state = controller.state
    return CellRow(
        controller.name,
        controller.ownership.status,
        state.owner,
        state.epoch,
        len(state.jobs),
        len(state.queued),
        sum(len(tasks) for tasks in state.placed.values()),
        service.reader.records_read,
    )
