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
    Happening,
    WorkerModel,
    noisy_interference,
)

CELL = "cell-0"
STEP_MS = 100
WORKER_TICK_MS = 25
ZONE_GRACE_MS = 3000
CONFIG_SNAPSHOT_RECORDS = 4
FAULT_PHASE_MS = 60_000
RECOVERY_MS = 240_000
PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000, margin_ms=500, retry_ms=1000),
    task_lease_ms=6000,
    outage_ms=12_000,
    snapshot_records=40,
)
WORKER_SIZE = ResourceVector(8.0, 16_000)
DOCUMENTS = ("", "[partner.north]\n[partner.south]\nweight = 2.0\n")


class Simulation:
    """One schedule.

    Attributes:
        clock: The driven clock.
        rng: Source of every choice.
        log: The log's model.
        log_down: Whether the log answers nothing.
        workers: Models of the workers by id.
        daemons: The daemons.
        zone_outages: Times at which zones were out.
        double_owners: Moments at which two daemons held the cell's lease.
    """

    def __init__(self, seed: int, workers: int = 6):
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(seed)
        self.log = LogModel()
        self.log_down = False
        self.faults_enabled = True
        self.messages_disturbed = False
        self.double_owners: list[str] = []
        self.config_reverts: list[str] = []
        self.zone_outages: list[checks.ZoneOut] = []
        self.jobs: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._open_outages: dict[str, float] = {}
        self._config_version = 0
        zones = [f"zone-{n % 3}" for n in range(workers)]
        self.workers = {
            f"w{n}": WorkerModel(
                f"w{n}", zone, WORKER_SIZE, self.clock, noisy_interference
            )
            for n, zone in enumerate(zones)
        }
        self.gone_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self._publish()
        self._tick_workers()
        self.daemons: list = []

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Plans an act."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (at_ms, next(self._sequence), callback))

    def run_until(self, end_ms: float) -> None:
        """Carries out everything planned up to a moment."""
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, callback = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            callback()
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))

    def delay_ms(self) -> float:
        """Returns how long a message is on its way."""
        if self.messages_disturbed and self.rng.random() < 0.4:
            return self.rng.uniform(50, 2500)
        if self.faults_enabled and self.rng.random() < 0.02:
            return self.rng.uniform(500, 15_000)
        return self.rng.uniform(1, 40)

    def copy_count(self) -> int:
        """Returns how often a message arrives."""
        chance = 0.3 if self.messages_disturbed else 0.02
        return 2 if self.faults_enabled and self.rng.random() < chance else 1

    def loses_message(self) -> bool:
        """Returns whether a message is lost."""
        return self.faults_enabled and self.rng.random() < 0.03

    def vms(self) -> list[Vm]:
        """Returns the VM list."""
        return [
            Vm(
                model.id,
                VmRole.WORKER,
                model.zone,
                model.id,
                VmState.GONE if model.id in self.gone_workers else VmState.LIVE,
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
        if out == (zone in self._open_outages):
            return
        record = SetZone(
            f"z{now_ms}", self._config_version, "operator", zone, out
        )
        self.append(CONFIG_STREAM, record)
        self._config_version += 1
        if out:
            self._open_outages[zone] = now_ms
        else:
            from_ms = self._open_outages.pop(zone)
            self.zone_outages.append(checks.ZoneOut(zone, from_ms, now_ms))

    def happenings(self) -> list[Happening]:
        """Returns the record of all workers."""
        for model in self.workers.values():
            model.tick()
        return [h for m in self.workers.values() for h in m.record]

    def all_zone_outages(self) -> list[checks.ZoneOut]:
        """Returns all times at which zones were out."""
        still = [
            checks.ZoneOut(zone, from_ms, float("inf"))
            for zone, from_ms in self._open_outages.items()
        ]
        return self.zone_outages + still

    def restore_zones(self) -> None:
        """Brings all availability zones back."""
        for zone in list(self._open_outages):
            self.set_zone(zone, False)

    def record_double_owners(self) -> None:
        """Notes if two daemons hold the cell's lease now."""
        now_ms = self.clock.now_ms()
        holders = [
            daemon.name
            for daemon in self.daemons
            if daemon.alive
            and daemon.controller.ownership.lease_is_valid(now_ms)
        ]
        if len(holders) > 1:
            self.double_owners.append(f"{holders} at {now_ms:.0f}")

    def _tick_workers(self) -> None:
        for model in self.workers.values():
            model.tick()
        self.schedule(WORKER_TICK_MS, self._tick_workers)

    def _publish(self) -> None:
        record = Publish("p0", 0, "operator", *DOCUMENTS)
        self.append(CONFIG_STREAM, record)
        self._config_version = 1
