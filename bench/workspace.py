"""One workspace on a driven clock: a real controller and fake workers."""

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
TERMS = SchedulerParams(
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
LEAST_SPARE = 0.02
URGENT_CORES = 4.0
BATCH_CORES = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class User:
    """The shape of one user's workspace.

    Attributes:
        name: The user.
        zones: Number of availability zones.
        workers: Number of workers.
        rack: Workers of a rack.
        load: Part of an idle worker's speed that a latency-critical
            instance needs.
    """

    name: str
    zones: int
    workers: int
    rack: int
    load: float = 0.4


UKILI = User("ukili", 4, 24, 6)
VALDORSO = User("valdorso", 3, 33, 11)


@dataclasses.dataclass(slots=True)
class Measured:
    """What one run showed, from the fake workers alone.

    Attributes:
        p99_ms: Tail latency of the primary service.
        p50_ms: Its median.
        work: Batch work finished, in core seconds at full speed.
        window_work: Batch work done while the zone was out and coming back.
        evictions: Runs that were stopped, cancelled jobs excepted.
        failed: Runs that failed.
        urgent_start_ms: Longest wait of a latency-critical task's start.
        shares: Core seconds of batch progress by partner.
        violations: Overloads, overlaps, doubled ends.
    """

    p99_ms: float = 0.0
    p50_ms: float = 0.0
    work: float = 0.0
    window_work: float = 0.0
    evictions: int = 0
    failed: int = 0
    urgent_start_ms: float = 0.0
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    violations: int = 0


class Workspace:
    """Runs one scenario.

    Attributes:
        clock: The driven clock.
        rng: Source of the scenario's choices; the same for every policy.
        rates: The true interference.
        workers: The fake workers by id.
        load: Present load of the latency-critical services.
        utilization: Part of all cores that arriving batch work asks for.
    """

    def __init__(
        self, user: User, form: str, policy: PlacementPolicy | None, seed: int
    ):
        self.user = user
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(seed)
        self.rates = TrueRates(form)
        self.load = user.load
        self.utilization = 0.62
        self.cancelled: set[str] = set()
        self.partners = {"north": 1.0}
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}",
                f"zone-{n % user.zones}",
                WORKER_SIZE,
                self.clock,
                self.rates,
            )
            for n in range(user.workers)
        }
        self._sampler = random.Random(seed + 1)
        self._latencies: list[float] = []
        self._submitted: dict[str, float] = {}
        self._log = LogModel()
        self._cfg = ConfigState()
        self._jobs = 0
        self._acts: list[tuple[float, Callable[[], None]]] = []
        self._window: tuple[float, float] | None = None
        self._window_from = 0.0
        self._projector = StreamProjector(CellState(), CellRecord, CellSnapshot)
        if policy is not None:
            self.use_policy(policy)
        self.begin_ms = self.clock.now_ms()

    def use_policy(self, policy: PlacementPolicy) -> None:
        """Begins with a policy; nothing has run yet."""
        self.controller = CellController(CELL, "bench", TERMS, policy)
        self.controller.set_state(self._projector.projection)

    def at(self, seconds: float, act: Callable[[], None]) -> None:
        """Plans an act of the scenario."""
        at_ms = self.begin_ms + seconds * MS_PER_SECOND
        self._acts.append((at_ms, act))
        self._acts.sort(key=lambda pair: pair[0])

    def set_partners(self, weights: dict[str, float]) -> None:
        """Publishes partners with their weights."""
        self.partners = weights
        text = "".join(
            f"[partner.{name}]\nweight = {weight}\n"
            for name, weight in weights.items()
        )
        record = Publish("p", self._cfg.version, "bench", "", text)
        self._cfg.apply(0, record)

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out or brings it back."""
        record = SetZone("z", self._cfg.version, "bench", zone, out)
        self._cfg.apply(0, record)

    def submit(
        self,
        class_name: str,
        count: int,
        run_ms: int,
        critical: bool = False,
        cores: float = BATCH_CORES,
        partner: str = "",
    ) -> str:
        """Submits a job and returns its id."""
        job = f"{class_name}-{self._jobs}"
        self._jobs += 1
        names = list(self.partners)
        spec = JobSpec(
            job,
            partner or self.rng.choice(names),
            class_name,
            count,
            ResourceVector(cores, 2000),
            run_ms,
            critical,
            max_attempts=1000,
        )
        self._append(Submit(spec))
        self._submitted[job] = self.clock.now_ms()
        return job

    def cancel(self, job: str) -> None:
        """Cancels a job."""
        self.cancelled.add(job)
        self._append(Cancel(job))

    def watch_window(self, from_s: float, to_s: float) -> None:
        """Counts the batch work done between two moments by itself."""
        base = self.begin_ms
        self._window = (
            base + from_s * MS_PER_SECOND,
            base + to_s * MS_PER_SECOND,
        )

    def run(self, seconds: float, warm_up_s: float) -> None:
        """Runs for some time; latencies count after the warm-up."""
        end_ms = self.begin_ms + seconds * MS_PER_SECOND
        warm_ms = self.begin_ms + warm_up_s * MS_PER_SECOND
        self._next_arrival_ms = self.begin_ms + 5000
        while self.clock.now_ms() < end_ms:
            self._step()
            if self.clock.now_ms() >= warm_ms:
                self._sample()

    def measured(self) -> Measured:
        """Returns what the run showed."""
        worker_events = [h for w in self.workers.values() for h in w.record]
        found = Measured()
        latencies = sorted(self._latencies)
        found.p50_ms = latencies[len(latencies) // 2]
        found.p99_ms = latencies[int(len(latencies) * 0.99)]
        for h in worker_events:
            job = h.task.split("/")[0]
            critical = h.task.startswith(("primary", "secondary"))
            found.failed += h.what == "failed"
            if critical and h.what == "start":
                wait_ms = h.at_ms - self._submitted[job]
                if h.attempt == 1:
                    found.urgent_start_ms = max(found.urgent_start_ms, wait_ms)
            stopped = h.what == "stopped" and job not in self.cancelled
            found.evictions += stopped and not critical
        found.work = self._progress()
        found.window_work = self._window_done
        found.shares = self._shares()
        sizes = dict.fromkeys(self.workers, WORKER_SIZE)
        found.violations = (
            len(checks.overloads(worker_events, sizes))
            + len(checks.overlaps(worker_events))
            + len(checks.finished_twice(worker_events, self._lost()))
        )
        return found

    # One step of everything.

    def _step(self) -> None:
        now_ms = self.clock.now_ms()
        while self._acts and self._acts[0][0] <= now_ms:
            self._acts.pop(0)[1]()
        self._arrivals(now_ms)
        unseen = self._log.archive.get(CELL, [])[self._projector.next_offset :]
        for record in unseen:
            self._projector._feed_record(record)
        self.controller.set_config(self._cfg, now_ms)
        self.controller.set_vms(self._vms())
        for effect in self.controller.step(now_ms, now_ms, 0.0):
            self._perform(effect)
        self.clock.advance(STEP_MS)
        for worker in self.workers.values():
            worker.tick()
        self._watch(now_ms)

    def _arrivals(self, now_ms: float) -> None:
        """Submits batch jobs so that they ask for a part of all cores."""
        while now_ms >= self._next_arrival_ms:
            class_name = self.rng.choice(["stream", "cache", "plain"])
            count = self.rng.randint(2, 10)
            run_ms = self.rng.randint(30_000, 120_000)
            self.submit(class_name, count, run_ms)
            asked = count * run_ms * BATCH_CORES
            offered = self.user.workers * WORKER_SIZE.cores * self.utilization
            self._next_arrival_ms += asked / offered

    def _perform(self, effect) -> None:
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
                rack=f"{w.zone}-{number // (self.user.zones * self.user.rack)}",
                size=w.size,
            )
            for number, w in enumerate(self.workers.values())
        ]

    # What the workers truly did.

    _window_done = 0.0

    def _lost(self) -> checks.LostRuns:
        """Returns runs whose worker restarted before it told their end."""
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

    def _sample(self) -> None:
        """Draws latencies of the primary service's instances."""
        for worker in self.workers.values():
            running = worker.running()
            for run in running:
                if run.class_name == "primary":
                    rate = worker.rate_of(run, running)
                    self._latencies.append(self._latency(rate))

    def _latency(self, rate: float) -> float:
        spare = max(rate - self.load, LEAST_SPARE)
        mean_ms = LATENCY_BASE_MS / spare
        drawn_ms = self._sampler.expovariate(1.0) * mean_ms
        return min(drawn_ms, LATENCY_CAP_MS)

    def _watch(self, before_ms: float) -> None:
        if self._window is None:
            return
        from_ms, to_ms = self._window
        if before_ms < from_ms <= self.clock.now_ms():
            self._window_from = self._progress()
        if before_ms < to_ms <= self.clock.now_ms():
            self._window_done = self._progress() - self._window_from

    def _progress(self) -> float:
        """Returns the batch work done so far that is not lost."""
        return sum(self._shares().values())

    def _shares(self) -> dict[str, float]:
        best: dict[str, float] = {}
        for worker in self.workers.values():
            for h in worker.record:
                if h.what in ("finished", "stopped", "lapsed"):
                    reached = float(h.checkpoint or 0)
                    best[h.task] = max(best.get(h.task, 0.0), reached)
            for run in worker.running():
                best[run.task] = max(best.get(run.task, 0.0), run.progress_ms)
        done = dict.fromkeys(self.partners, 0.0)
        for task, reached_ms in best.items():
            job = task.split("/")[0]
            if job.startswith(("primary", "secondary")):
                continue
            partner = self._partner_of(job)
            done[partner] += reached_ms * BATCH_CORES / MS_PER_SECOND
        return done

    def held_shares(self) -> dict[str, float]:
        """Returns the core seconds that each partner's runs have held."""
        held = dict.fromkeys(self.partners, 0.0)
        for worker in self.workers.values():
            starts: dict[str, float] = {}
            for h in worker.record:
                if h.what == "start":
                    starts[h.task] = h.at_ms
                elif h.task in starts:
                    self._add_held(held, h.task, h.at_ms - starts.pop(h.task))
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
