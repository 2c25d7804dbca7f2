"""The platform of one explored schedule: log, workers, operators, time."""

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.cell import (
    Cancel,
    JobSpec,
    LeaseParams,
    ResourceVector,
    Submit,
)
from limpetyard.config import (
    CONFIG_STREAM,
    Publish,
    SetZone,
)
from limpetyard.fleet import Vm, VmRole, VmState
from limpetyard.scheduler import (
    SchedulerParams,
)
from standins import checks
from standins.log_model import LogModel
from standins.worker_model import (
    WorkerEvent,
    WorkerModel,
    noisy_interference,
)

CELL = "cell-0"
STEP_MS = 100
WORKER_TICK_MS = 25
ZONE_GRACE_MS = 3000
CONFIG_SNAPSHOT_RECORDS = 4
CHAOS_MS = 60_000
HEAL_MS = 240_000
TERMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000, margin_ms=500, retry_ms=1000),
    task_lease_ms=6000,
    outage_ms=12_000,
    snapshot_records=40,
)
WORKER_SIZE = ResourceVector(8.0, 16_000)
DOCUMENTS = ("", "[partner.north]\n[partner.south]\nweight = 2.0\n")


class World:
    """One schedule.

    Attributes:
        clock: The driven clock.
        rng: Source of every choice.
        log: The log's model.
        log_down: Whether the log answers nothing.
        workers: Models of the workers by id.
        nodes: The daemons.
        zones_out: Times at which zones were out.
        double_owners: Moments at which two daemons held the cell's lease.
    """

    def __init__(self, seed: int, workers: int = 6):
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(seed)
        self.log = LogModel()
        self.log_down = False
        self.chaos = True
        self.storm = False
        self.double_owners: list[str] = []
        self.reverts: list[str] = []
        self.zones_out: list[checks.ZoneOutage] = []
        self.jobs: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._open_outs: dict[str, float] = {}
        self._config_version = 0
        zones = [f"zone-{n % 3}" for n in range(workers)]
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}", zone, WORKER_SIZE, self.clock, noisy_interference
            )
            for n, zone in enumerate(zones)
        }
        self.gone: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self._publish()
        self._tick_workers()
        self.nodes: list = []

    def later(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Plans an act."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (at_ms, next(self._numbers), act))

    def run_until(self, end_ms: float) -> None:
        """Carries out everything planned up to a moment."""
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, act = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            act()
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))

    def delay_ms(self) -> float:
        """Returns how long a message is on its way."""
        if self.storm and self.rng.random() < 0.4:
            return self.rng.uniform(50, 2500)
        if self.chaos and self.rng.random() < 0.02:
            return self.rng.uniform(500, 15_000)
        return self.rng.uniform(1, 40)

    def copies(self) -> int:
        """Returns how often a message arrives."""
        chance = 0.3 if self.storm else 0.02
        return 2 if self.chaos and self.rng.random() < chance else 1

    def lost(self) -> bool:
        """Returns whether a message is lost."""
        return self.chaos and self.rng.random() < 0.03

    def vms(self) -> list[Vm]:
        """Returns the VM list."""
        return [
            Vm(
                model.id,
                VmRole.WORKER,
                model.zone,
                model.id,
                VmState.GONE if model.id in self.gone else VmState.LIVE,
                size=model.size,
            )
            for model in self.workers.values()
        ]

    def append(self, stream: str, record: object) -> None:
        """Appends a record at once."""
        self.log.append(stream, msgspec.json.encode(record).decode())

    def submit(self, count: int, cores: float, run_ms: int) -> None:
        """Submits a job."""
        job = f"job-{len(self.jobs)}"
        self.jobs.append(job)
        partner = self.rng.choice(["north", "south"])
        critical = self.rng.random() < 0.3
        spec = JobSpec(
            job,
            partner,
            "urgent" if critical else "noisy",
            count,
            ResourceVector(cores, 1000),
            run_ms,
            critical,
            max_attempts=1000,
        )
        self.append(CELL, Submit(spec))

    def cancel(self, job: str) -> None:
        """Cancels a job."""
        self.append(CELL, Cancel(job))

    def set_zone(self, zone: str, out: bool) -> None:
        """Carries out an operator's act and notes when it took effect."""
        now_ms = self.clock.now_ms()
        if out == (zone in self._open_outs):
            return
        record = SetZone(
            f"z{now_ms}", self._config_version, "operator", zone, out
        )
        self.append(CONFIG_STREAM, record)
        self._config_version += 1
        if out:
            self._open_outs[zone] = now_ms
        else:
            from_ms = self._open_outs.pop(zone)
            self.zones_out.append(checks.ZoneOutage(zone, from_ms, now_ms))

    def worker_events(self) -> list[WorkerEvent]:
        """Returns the record of all workers."""
        for model in self.workers.values():
            model.tick()
        return [h for m in self.workers.values() for h in m.record]

    def all_outs(self) -> list[checks.ZoneOutage]:
        """Returns all times at which zones were out."""
        still = [
            checks.ZoneOutage(zone, from_ms, float("inf"))
            for zone, from_ms in self._open_outs.items()
        ]
        return self.zones_out + still

    def open_zones(self) -> None:
        """Brings all availability zones back."""
        for zone in list(self._open_outs):
            self.set_zone(zone, False)

    def check_owners(self) -> None:
        """Notes if two daemons hold the cell's lease now."""
        now_ms = self.clock.now_ms()
        holders = [
            node.name
            for node in self.nodes
            if node.alive and node.controller.ownership.lease_is_valid(now_ms)
        ]
        if len(holders) > 1:
            self.double_owners.append(f"{holders} at {now_ms:.0f}")

    def _tick_workers(self) -> None:
        for model in self.workers.values():
            model.tick()
        self.later(WORKER_TICK_MS, self._tick_workers)

    def _publish(self) -> None:
        record = Publish("p0", 0, "operator", *DOCUMENTS)
        self.append(CONFIG_STREAM, record)
        self._config_version = 1
