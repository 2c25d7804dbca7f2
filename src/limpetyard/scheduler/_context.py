"""State shared by the components of a cell's controller."""

from limpetyard.cell import CellState, Ownership, Task
from limpetyard.config import ConfigState
from limpetyard.fleet import Run
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._workers import TrackedWorker


class CellContext:
    """Inputs of a cell's scheduling decisions.

    Attributes:
        name: Name of the cell's stream.
        params: Parameters of the scheduler; the same for all daemons.
        state: The state projected from the stream.
        ownership: This daemon's view of the cell's ownership.
        workers: Workers of the cell by id.
        cfg: The configuration in force.
        cfg_confirmed_ms: Clock reading from just before the newest read that
            reached the end of the configuration stream, or None.
    """

    __slots__ = (
        "cfg",
        "cfg_confirmed_ms",
        "name",
        "ownership",
        "params",
        "state",
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

    def start_deadline_ms(self) -> float:
        """Returns the clock reading by which a start must take effect.

        This is the end of this daemon's lease, after which another daemon may
        take over, or `config_ms` after the configuration was last confirmed if
        that is earlier: from then on, an availability zone may be out of
        service without this daemon knowing. Minus infinity if the
        configuration was never confirmed.
        """
        if self.cfg_confirmed_ms is None:
            return float("-inf")
        return min(
            self.ownership.lease_until_ms,
            self.cfg_confirmed_ms + self.params.config_ms,
        )

    def may_start(self, now_ms: float) -> bool:
        """Returns whether a start may be planned or sent now."""
        return self.ownership.is_owner and now_ms < self.start_deadline_ms()

    def zone_in_service(self, worker: TrackedWorker) -> bool:
        """Returns whether the worker's availability zone is in service."""
        return worker.vm.availability_zone not in self.cfg.zones_out

    def is_placed(self, worker: TrackedWorker, run: Run) -> bool:
        """Returns whether the projected state places a run on a worker."""
        task = self.state.tasks.get(run.task)
        return (
            task is not None
            and task.worker == worker.vm.id
            and task.attempt == run.attempt
        )

    def placed_on(self, worker: TrackedWorker) -> list[Task]:
        """Returns the tasks that the projected state places on a worker."""
        tasks = self.state.tasks
        return [tasks[i] for i in self.state.placed.get(worker.vm.id, ())]

    def is_critical(self, task: Task) -> bool:
        """Returns whether a task is latency-critical."""
        return self.state.job_of(task).spec.latency_critical
