"""Controllers against models of the log and the workers, stepped by hand."""

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.cell import (
    CellRecord,
    CellSnapshot,
    CellState,
    JobSpec,
    ResourceVector,
    Submit,
)
from limpetyard.config import ConfigState, SetZone
from limpetyard.fleet import Vm, VmRole, VmState
from limpetyard.log import StreamProjector
from limpetyard.placement import new_policy
from limpetyard.scheduler import (
    Append,
    CellController,
    Effect,
    SchedulerParams,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
    TraceHeader,
    TraceRecorder,
)
from standins.log_model import LogModel
from standins.worker_model import WorkerEvent, WorkerModel, no_interference

CELL = "cell-0"
STEP_MS = 100


def perform(
    effect: Effect,
    controller: CellController | TraceRecorder,
    workers: dict[str, WorkerModel],
    now_ms: float,
) -> None:
    """Carries out an effect on a worker at once."""
    worker = workers[effect.worker]
    if isinstance(effect, SyncWorker):
        reply = worker.sync(effect.order)
        controller.on_sync_reply(worker.id, effect.order, reply, now_ms)
    elif isinstance(effect, StartRuns):
        reply = worker.start(effect.orders)
        controller.on_start_reply(worker.id, effect.orders, reply)
    elif isinstance(effect, StopRuns):
        worker.stop(effect.orders)
    elif isinstance(effect, ThrottleRuns):
        worker.throttle(effect.orders)


class SteppedCluster:
    """One log, some workers, and daemons that are stepped by hand.

    Attributes:
        clock: The driven clock.
        log: The log's model.
        log_available: Whether the log answers.
        workers: The workers by id.
        cut_links: Pairs of daemon and worker that cannot talk.
        vm_states: What the VM list says of workers, if not that they live.
        cfg: The configuration of all daemons.
        params: Lengths of all daemons.
    """

    def __init__(
        self, workers: int, size: ResourceVector, params: SchedulerParams
    ):
        self.clock = ManualClock(1000.0)
        self.log = LogModel()
        self.log_available = True
        self.params = params
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}", f"zone-{n}", size, self.clock, no_interference
            )
            for n in range(workers)
        }
        self.cut_links: set[tuple[str, str]] = set()
        self.vm_states: dict[str, VmState] = {}
        self.cfg = ConfigState()

    def submit(self, job: str, count: int = 1, **params: object) -> None:
        """Submits a job."""
        fields = {
            "partner": "north",
            "class_name": "batch",
            "size": ResourceVector(4.0, 1000),
            "run_ms": 20_000,
            **params,
        }
        self.append(Submit(JobSpec(id=job, count=count, **fields)))

    def append(self, record: object) -> None:
        """Appends a record to the cell's stream."""
        if self.log_available:
            self.log.append(CELL, msgspec.json.encode(record).decode())

    def set_zone(self, zone: str, out: bool) -> None:
        """Changes the configuration of all daemons at once."""
        act = SetZone("id", self.cfg.version, "test", zone, out)
        self.cfg.apply(0, act)

    def daemon(
        self, name: str, trace: list[str] | None = None
    ) -> "SteppedDaemon":
        """Returns a new daemon; what it is told goes into `trace`."""
        return SteppedDaemon(self, name, trace)

    def vms(self) -> list[Vm]:
        """Returns the VM list."""
        return [
            Vm(
                worker.id,
                VmRole.WORKER,
                worker.zone,
                worker.id,
                self.vm_states.get(worker.id, VmState.LIVE),
                size=worker.size,
            )
            for worker in self.workers.values()
        ]

    def tick(self, ms: float) -> None:
        """Moves the clock and the workers."""
        self.clock.advance(ms)
        for worker in self.workers.values():
            worker.tick()

    def worker_events(self) -> list[WorkerEvent]:
        """Returns the record of all workers."""
        return [h for w in self.workers.values() for h in w.record]

    def starts(self, task: str) -> list[tuple[str, int]]:
        """Returns where and as which attempt a task was started."""
        return [
            (h.worker, h.attempt)
            for h in self.worker_events()
            if h.task == task and h.what == "start"
        ]


class SteppedDaemon:
    """A controller with its folder.

    Attributes:
        name: Name of the daemon.
        controller: The real controller.
        traced_controller: The controller, or a recorder before it.
        projector: Folds the cell's stream.
        confirmed_ms: Clock at the newest read.
    """

    def __init__(
        self, cluster: SteppedCluster, name: str, trace: list[str] | None
    ):
        self.name = name
        self.cluster = cluster
        self.controller = CellController(
            CELL, name, cluster.params, new_policy("learned", 0)
        )
        self.traced_controller: CellController | TraceRecorder = self.controller
        on_record = None
        if trace is not None:
            begun = TraceHeader(CELL, name, "learned", cluster.params)
            self.traced_controller = TraceRecorder(
                self.controller, begun, trace.append
            )
            on_record = self.traced_controller.on_record
        self.projector = StreamProjector(
            CellState(), CellRecord, CellSnapshot, on_record
        )
        self.controller.set_state(self.projector.projection)
        self.confirmed_ms: float | None = None

    def read(self) -> None:
        """Reads the stream to its end if the log answers."""
        if not self.cluster.log_available:
            return
        self.confirmed_ms = self.cluster.clock.now_ms()
        self.projector.apply_page(
            self.cluster.log.read(CELL, self.projector.next_offset, 10_000)
        )

    def decide(self) -> list[Effect]:
        """Returns what the controller wants done now."""
        self.traced_controller.set_config(self.cluster.cfg, self.confirmed_ms)
        self.traced_controller.set_vms(self.cluster.vms())
        return self.traced_controller.step(
            self.cluster.clock.now_ms(), self.confirmed_ms, 0.0
        )

    def step(self) -> None:
        """Reads, decides and carries everything out."""
        self.read()
        for effect in self.decide():
            self.perform(effect)

    def run(self, ms: int) -> None:
        """Steps for some time."""
        for _ in range(ms // STEP_MS):
            self.step()
            self.cluster.tick(STEP_MS)

    def perform(self, effect: Effect) -> None:
        """Carries one effect out at once."""
        if isinstance(effect, Append):
            self.cluster.append(effect.record)
        elif (self.name, effect.worker) not in self.cluster.cut_links:
            now_ms = self.cluster.clock.now_ms()
            perform(
                effect, self.traced_controller, self.cluster.workers, now_ms
            )
