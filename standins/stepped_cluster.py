"""Steps controllers against models of the log and the workers."""

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
    """Sends an effect to its worker and passes the reply to the controller."""
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
    """A log, workers, and daemons that the caller steps one by one.

    Attributes:
        clock: The manual clock of all parts.
        log: The model of the log.
        log_available: Whether the log responds.
        workers: The workers, by id.
        cut_links: Pairs of daemon and worker that cannot reach each other.
        vm_states: State of workers in the VM list, by id; live by default.
        cfg: The configuration of all daemons.
        params: The parameters of all controllers.
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

    def submit(self, job: str, count: int = 1, **overrides: object) -> None:
        """Appends the submission of a job to the cell's stream.

        Args:
            job: Id of the job.
            count: Number of tasks.
            **overrides: Fields of the job's spec that replace the defaults.
        """
        fields = {
            "partner": "north",
            "class_name": "batch",
            "size": ResourceVector(4.0, 1000),
            "run_ms": 20_000,
            **overrides,
        }
        self.append(Submit(JobSpec(id=job, count=count, **fields)))

    def append(self, record: object) -> None:
        """Appends a record to the cell's stream if the log responds."""
        if self.log_available:
            self.log.append(CELL, msgspec.json.encode(record).decode())

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out of service, or back, for all daemons at once."""
        change = SetZone("id", self.cfg.version, "test", zone, out)
        self.cfg.apply(0, change)

    def daemon(
        self, name: str, trace: list[str] | None = None
    ) -> "SteppedDaemon":
        """Returns a new daemon that appends its inputs to `trace`, if given."""
        return SteppedDaemon(self, name, trace)

    def vms(self) -> list[Vm]:
        """Returns the VM list, which holds the workers only."""
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
        """Advances the clock and the workers by `ms`."""
        self.clock.advance(ms)
        for worker in self.workers.values():
            worker.tick()

    def worker_events(self) -> list[WorkerEvent]:
        """Returns the records of all workers, worker by worker."""
        return [event for w in self.workers.values() for event in w.record]

    def starts(self, task: str) -> list[tuple[str, int]]:
        """Returns worker and attempt of each start of a task."""
        return [
            (event.worker, event.attempt)
            for event in self.worker_events()
            if event.task == task and event.what == "start"
        ]


class SteppedDaemon:
    """A controller and the projector that feeds it.

    Attributes:
        name: Name of the daemon.
        controller: The controller.
        traced_controller: The controller, wrapped by a recorder if a trace is
            written.
        projector: Applies the records of the cell's stream.
        confirmed_ms: Clock reading at the newest read of the stream.
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
            header = TraceHeader(CELL, name, "learned", cluster.params)
            self.traced_controller = TraceRecorder(
                self.controller, header, trace.append
            )
            on_record = self.traced_controller.on_record
        self.projector = StreamProjector(
            CellState(), CellRecord, CellSnapshot, on_record
        )
        self.controller.set_state(self.projector.projection)
        self.confirmed_ms: float | None = None

    def read(self) -> None:
        """Reads the stream to its end if the log responds."""
        if not self.cluster.log_available:
            return
        self.confirmed_ms = self.cluster.clock.now_ms()
        self.projector.apply_page(
            self.cluster.log.read(CELL, self.projector.next_offset, 10_000)
        )

    def decide(self) -> list[Effect]:
        """Steps the controller and returns its effects."""
        self.traced_controller.set_config(self.cluster.cfg, self.confirmed_ms)
        self.traced_controller.set_vms(self.cluster.vms())
        return self.traced_controller.step(
            self.cluster.clock.now_ms(), self.confirmed_ms, 0.0
        )

    def step(self) -> None:
        """Reads the stream, decides and performs all effects."""
        self.read()
        for effect in self.decide():
            self.perform(effect)

    def run(self, ms: int) -> None:
        """Steps the daemon every `STEP_MS` for `ms` milliseconds."""
        for _ in range(ms // STEP_MS):
            self.step()
            self.cluster.tick(STEP_MS)

    def perform(self, effect: Effect) -> None:
        """Performs an effect; it is dropped if the worker is unreachable."""
        if isinstance(effect, Append):
            self.cluster.append(effect.record)
        elif (self.name, effect.worker) not in self.cluster.cut_links:
            now_ms = self.cluster.clock.now_ms()
            perform(
                effect, self.traced_controller, self.cluster.workers, now_ms
            )
