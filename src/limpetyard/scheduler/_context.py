"""What the parts of a cell's controller share."""

from limpetyard.cell import CellState, Ownership, Task
from limpetyard.config import ConfigState
from limpetyard.fleet import Run
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._workers import TrackedWorker


class CellContext:
    """The state that decisions are made on.

    Attributes:
        name: Name of the cell's stream.
        params: Lengths that all daemons share.
        state: The folded state of the stream.
        ownership: This daemon's part in owning the cell.
        workers: Workers of the cell by id.
        cfg: The configuration in force.
        cfg_confirmed_ms: Clock before the newest read that reached the end
            of the configuration stream, or None.
    """

    __slots__ = (
        "cfg",
        "cfg_confirmed_ms",
        "name",
        "ownership",
        "state",
        "params",
        "workers",
    )

    def __init__(self, name: str, owner: str, params: SchedulerParams):
        self.name = name
        self.params = params
        self.state = CellState()
        self.ownership = Ownership(owner, self.state, params.lease)
        self.workers: dict[str, TrackedWorker] = {}
        self.cfg = ConfigState()
        self.cfg_confirmed_ms: float | None = None

    def starts_end_ms(self) -> float:
        """Returns the clock after which no start sent now may take effect.

        It is the end of the own lease, so that nothing of this ownership
        begins under the next one, or the moment from which an availability
        zone may have been out for too long.
        """
        if self.cfg_confirmed_ms is None:
            return float("-inf")
        return min(
            self.ownership.lease_until_ms,
            self.cfg_confirmed_ms + self.params.config_ms,
        )

    def may_start(self, now_ms: float) -> bool:
        """Returns whether a start may be decided or sent now."""
        return self.ownership.is_owner and now_ms < self.starts_end_ms()

    def zone_open(self, worker: TrackedWorker) -> bool:
        """Returns whether the worker's availability zone is in service."""
        return worker.vm.availability_zone not in self.cfg.zones_out

    def is_placed(self, worker: TrackedWorker, run: Run) -> bool:
        """Returns whether the stream places a run on a worker."""
        task = self.state.tasks.get(run.task)
        return (
            task is not None
            and task.worker == worker.vm.id
            and task.attempt == run.attempt
        )

    def placed_on(self, worker: TrackedWorker) -> list[Task]:
        """Returns the tasks that the stream places on a worker."""
        tasks = self.state.tasks
        return [tasks[i] for i in self.state.placed.get(worker.vm.id, ())]

    def is_critical(self, task: Task) -> bool:
        """Returns whether a task is latency-critical."""
        return self.state.job_of(task).spec.latency_critical
