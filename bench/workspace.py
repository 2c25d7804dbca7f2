"""A workspace in simulated time: the product's controller, simulated workers.

One controller owns the only cell. The log and the workers are in-memory
models from `standins`, and the clock advances in fixed steps.
"""

import dataclasses
import random
from collections.abc import Callable

import msgspec

from bench.interference import TrueRates
from limpetyard._clock import MS_PER_SECOND, ManualClock
from limpetyard.cell import (
    Cancel,
    CellRecord,
    CellSnapshot,
    CellState,
    Ended,
    JobSpec,
    LeaseParams,
    ResourceVector,
    RunOutcome,
    Submit,
    Write,
)
from limpetyard.config import ConfigState, Publish, SetZone
from limpetyard.fleet import Vm, VmRole
from limpetyard.log import StreamProjector
from limpetyard.placement import PlacementPolicy
from limpetyard.scheduler import (
    Append,
    CellController,
    SchedulerParams,
)
from standins import checks
from standins.log_model import LogModel
from standins.stepped_cluster import perform
from standins.worker_model import WorkerModel

CELL = "cell-0"
STEP_MS = 500
PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=6000),
    task_lease_ms=20_000,
    sync_ms=1000,
    commit_ms=500,
    silent_ms=4000,
)
WORKER_SIZE = ResourceVector(32.0, 125_000)
ENDLESS_MS = 86_400_000
LATENCY_CAP_MS = 2000.0
LATENCY_BASE_MS = 4.0
MIN_SPARE = 0.02
LATENCY_CRITICAL_CORES = 4.0
BATCH_CORES = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class WorkspaceShape:
    """Size and layout of one user's workspace.

    Attributes:
        name: Name of the user.
        zones: Number of availability zones.
        workers: Number of workers.
        rack: Number of workers in a rack.
        load: Fraction of an idle worker's speed that an instance of a
            latency-critical service needs.
    """

    name: str
    zones: int
    workers: int
    rack: int
    load: float = 0.4


UKILI = WorkspaceShape("ukili", 4, 24, 6)
VALDORSO = WorkspaceShape("valdorso", 3, 33, 11)


@dataclasses.dataclass(slots=True)
class RunResult:
    """Results of one run, derived from the simulated workers' records only.

    Attributes:
        p99_ms: 99th percentile of the primary service's latency.
        p50_ms: Median of the primary service's latency.
        work: Batch work done and not lost, in core seconds at full speed.
        window_work: Batch work done in the window of `measure_window`, during
            which the zone is out of service and returns.
        evictions: Number of stopped batch runs, except those of cancelled jobs.
        failed: Number of failed runs.
        max_critical_start_ms: Longest time from submission to the first start
            of a latency-critical task.
        work_by_partner: Batch work by partner, in the unit of `work`.
        violations: Number of overloads, of tasks that ran in two places at
            once and of tasks that finished twice.
    """

    p99_ms: float = 0.0
    p50_ms: float = 0.0
    work: float = 0.0
    window_work: float = 0.0
    evictions: int = 0
    failed: int = 0
    max_critical_start_ms: float = 0.0
    work_by_partner: dict[str, float] = dataclasses.field(default_factory=dict)
    violations: int = 0


class Workspace:
    """A simulated workspace that runs one scenario under one policy.

    Attributes:
        shape: Size and layout.
        clock: Manually advanced clock.
        rng: Random source of the scenario; the same for every policy.
        rates: True interference.
        workers: Simulated workers by id.
        load: Current load of the latency-critical services; a fraction, as in
            `WorkspaceShape`.
        utilization: Fraction of all cores that arriving batch work requests.
        cancelled_jobs: Ids of cancelled jobs.
        partners: Weights by partner.
    """

    def __init__(
        self,
        shape: WorkspaceShape,
        form: str,
        policy: PlacementPolicy | None,
        seed: int,
    ):
        self.shape = shape
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(seed)
        self.rates = TrueRates(form)
        self.load = shape.load
        self.utilization = 0.62
        self.cancelled_jobs: set[str] = set()
        self.partners = {"north": 1.0}
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}",
                f"zone-{n % shape.zones}",
                WORKER_SIZE,
                self.clock,
                self.rates,
            )
            for n in range(shape.workers)
        }
        self._latency_rng = random.Random(seed + 1)
        self._latencies: list[float] = []
        self._submitted_ms: dict[str, float] = {}
        self._log = LogModel()
        self._cfg = ConfigState()
        self._job_count = 0
        self._actions: list[tuple[float, Callable[[], None]]] = []
        self._window: tuple[float, float] | None = None
        self._window_start_work = 0.0
        self._projector = StreamProjector(CellState(), CellRecord, CellSnapshot)
        if policy is not None:
            self.use_policy(policy)
        self.begin_ms = self.clock.now_ms()

    def use_policy(self, policy: PlacementPolicy) -> None:
        """Creates the controller with a policy; call it before `run`."""
        self.controller = CellController(CELL, "bench", PARAMS, policy)
        self.controller.set_state(self._projector.projection)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedules an action at a number of seconds after the start."""
        at_ms = self.begin_ms + seconds * MS_PER_SECOND
        self._actions.append((at_ms, action))
        self._actions.sort(key=lambda pair: pair[0])

    def set_partners(self, weights: dict[str, float]) -> None:
        """Publishes the partners with their weights."""
        self.partners = weights
        text = "".join(
            f"[partner.{name}]\nweight = {weight}\n"
            for name, weight in weights.items()
        )
        record = Publish("p", self._cfg.version, "bench", "", text)
        self._cfg.apply(0, record)

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out of service or brings it back."""
        record = SetZone("z", self._cfg.version, "bench", zone, out)
        self._cfg.apply(0, record)

    def submit(
        self,
        class_name: str,
        count: int,
        run_ms: int,
        latency_critical: bool = False,
        cores: float = BATCH_CORES,
        partner: str = "",
    ) -> str:
        """Submits a job and returns its id."""
        job = f"{class_name}-{self._job_count}"
        self._job_count += 1
        names = list(self.partners)
        spec = JobSpec(
            job,
            partner or self.rng.choice(names),
            class_name,
            count,
            ResourceVector(cores, 2000),
            run_ms,
            latency_critical,
            max_attempts=1000,
        )
        self._append(Submit(spec))
        self._submitted_ms[job] = self.clock.now_ms()
        return job

    def cancel(self, job: str) -> None:
        """Cancels a job."""
        self.cancelled_jobs.add(job)
        self._append(Cancel(job))

    def measure_window(self, from_s: float, to_s: float) -> None:
        """Sets the period for which `window_work` counts the batch work."""
        base = self.begin_ms
        self._window = (
            base + from_s * MS_PER_SECOND,
            base + to_s * MS_PER_SECOND,
        )

    def run(self, seconds: float, warm_up_s: float) -> None:
        """Runs the scenario; samples latencies only after the warm-up."""
        end_ms = self.begin_ms + seconds * MS_PER_SECOND
        warm_ms = self.begin_ms + warm_up_s * MS_PER_SECOND
        self._next_arrival_ms = self.begin_ms + 5000
        while self.clock.now_ms() < end_ms:
            self._step()
            if self.clock.now_ms() >= warm_ms:
                self._sample_latencies()

    def collect_result(self) -> RunResult:
        """Returns the results of the run, from the records of the workers."""
        worker_events = [e for w in self.workers.values() for e in w.record]
        result = RunResult()
        latencies = sorted(self._latencies)
        result.p50_ms = latencies[len(latencies) // 2]
        result.p99_ms = latencies[int(len(latencies) * 0.99)]
        for e in worker_events:
            job = e.task.split("/")[0]
            latency_critical = e.task.startswith(("primary", "secondary"))
            result.failed += e.what == "failed"
            if latency_critical and e.what == "start":
                wait_ms = e.at_ms - self._submitted_ms[job]
                if e.attempt == 1:
                    result.max_critical_start_ms = max(
                        result.max_critical_start_ms, wait_ms
                    )
            stopped = e.what == "stopped" and job not in self.cancelled_jobs
            result.evictions += stopped and not latency_critical
        result.work = self._batch_work()
        result.window_work = self._window_work
        result.work_by_partner = self._work_by_partner()
        sizes = dict.fromkeys(self.workers, WORKER_SIZE)
        result.violations = (
            len(checks.overloads(worker_events, sizes))
            + len(checks.overlaps(worker_events))
            + len(checks.finished_twice(worker_events, self._lost_runs()))
        )
        return result

    def _step(self) -> None:
        """Advances scenario, controller, clock and workers by one step."""
        now_ms = self.clock.now_ms()
        while self._actions and self._actions[0][0] <= now_ms:
            self._actions.pop(0)[1]()
        self._submit_arrivals(now_ms)
        unread = self._log.archive.get(CELL, [])[self._projector.next_offset :]
        for record in unread:
            self._projector.apply_record(record)
        self.controller.set_config(self._cfg, now_ms)
        self.controller.set_vms(self._vms())
        for effect in self.controller.step(now_ms, now_ms, 0.0):
            self._perform_effect(effect)
        self.clock.advance(STEP_MS)
        for worker in self.workers.values():
            worker.tick()
        self._update_window(now_ms)

    def _submit_arrivals(self, now_ms: float) -> None:
        """Submits the batch jobs that are due.

        The interval after each job is such that the batch work requests the
        given utilization of all cores.
        """
        while now_ms >= self._next_arrival_ms:
            class_name = self.rng.choice(["stream", "cache", "plain"])
            count = self.rng.randint(2, 10)
            run_ms = self.rng.randint(30_000, 120_000)
            self.submit(class_name, count, run_ms)
            requested = count * run_ms * BATCH_CORES
            available = (
                self.shape.workers * WORKER_SIZE.cores * self.utilization
            )
            self._next_arrival_ms += requested / available

    def _perform_effect(self, effect) -> None:
        if isinstance(effect, Append):
            self._append(effect.record)
            return
        now_ms = self.clock.now_ms()
        perform(effect, self.controller, self.workers, now_ms)

    def _append(self, record: object) -> None:
        self._log.append(CELL, msgspec.json.encode(record).decode())

    def _vms(self) -> list[Vm]:
        return [
            Vm(
                w.id,
                VmRole.WORKER,
                w.zone,
                w.id,
                rack=f"{w.zone}-{n // (self.shape.zones * self.shape.rack)}",
                size=w.size,
            )
            for n, w in enumerate(self.workers.values())
        ]

    _window_work = 0.0

    def _lost_runs(self) -> checks.LostRuns:
        """Returns runs that the controller recorded as lost.

        Their worker restarted before it reported their end.
        """
        ended = [
            entry
            for record in self._log.archive[CELL]
            if '"lose"' in record.data
            for entry in msgspec.json.decode(record.data, type=Write).entries
            if isinstance(entry, Ended)
        ]
        return frozenset(
            (entry.task, entry.attempt)
            for entry in ended
            if entry.outcome is RunOutcome.LOST and not entry.checkpoint
        )

    def _sample_latencies(self) -> None:
        """Draws a latency for each running instance of the primary service."""
        for worker in self.workers.values():
            running = worker.running()
            for run in running:
                if run.class_name == "primary":
                    rate = worker.rate_of(run, running)
                    self._latencies.append(self._draw_latency_ms(rate))

    def _draw_latency_ms(self, rate: float) -> float:
        spare = max(rate - self.load, MIN_SPARE)
        mean_ms = LATENCY_BASE_MS / spare
        drawn_ms = self._latency_rng.expovariate(1.0) * mean_ms
        return min(drawn_ms, LATENCY_CAP_MS)

    def _update_window(self, before_ms: float) -> None:
        if self._window is None:
            return
        from_ms, to_ms = self._window
        if before_ms < from_ms <= self.clock.now_ms():
            self._window_start_work = self._batch_work()
        if before_ms < to_ms <= self.clock.now_ms():
            self._window_work = self._batch_work() - self._window_start_work

    def _batch_work(self) -> float:
        """Returns the batch work done so far, without lost progress."""
        return sum(self._work_by_partner().values())

    def _work_by_partner(self) -> dict[str, float]:
        """Returns the batch work done so far by partner, in core seconds."""
        progress_by_task: dict[str, float] = {}
        for worker in self.workers.values():
            for e in worker.record:
                if e.what in ("finished", "stopped", "lapsed"):
                    checkpoint_ms = float(e.checkpoint or 0)
                    progress_by_task[e.task] = max(
                        progress_by_task.get(e.task, 0.0), checkpoint_ms
                    )
            for run in worker.running():
                progress_by_task[run.task] = max(
                    progress_by_task.get(run.task, 0.0), run.progress_ms
                )
        done = dict.fromkeys(self.partners, 0.0)
        for task, reached_ms in progress_by_task.items():
            job = task.split("/")[0]
            if job.startswith(("primary", "secondary")):
                continue
            partner = self._partner_of(job)
            done[partner] += reached_ms * BATCH_CORES / MS_PER_SECOND
        return done

    def held_core_seconds(self) -> dict[str, float]:
        """Returns the core seconds allocated to each partner's runs so far."""
        held = dict.fromkeys(self.partners, 0.0)
        for worker in self.workers.values():
            starts: dict[str, float] = {}
            for e in worker.record:
                if e.what == "start":
                    starts[e.task] = e.at_ms
                elif e.task in starts:
                    self._add_held(held, e.task, e.at_ms - starts.pop(e.task))
            for task, at_ms in starts.items():
                self._add_held(held, task, self.clock.now_ms() - at_ms)
        return held

    def _add_held(self, held: dict[str, float], task: str, ms: float) -> None:
        partner = self._partner_of(task.split("/", maxsplit=1)[0])
        held[partner] += ms * BATCH_CORES / MS_PER_SECOND

    def _partner_of(self, job: str) -> str:
        if not hasattr(self, "_partner_by_job"):
            self._partner_by_job: dict[str, str] = {}
        if job not in self._partner_by_job:
            for record in self._log.archive[CELL]:
                if '"submit"' in record.data:
                    spec = msgspec.json.decode(record.data, type=Submit).job
                    self._partner_by_job[spec.id] = spec.partner
        return self._partner_by_job[job]
