"""Discrete event simulation of the log, the workers, operators and time."""

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
FAULT_PHASE_MS = 60_000
RECOVERY_MS = 240_000
PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000, margin_ms=500, retry_ms=1000),
    task_lease_ms=6000,
    outage_ms=12_000,
    snapshot_records=40,
)
WORKER_SIZE = ResourceVector(8.0, 16_000)

# Template and parameters of the configuration.
DOCUMENTS = ("", "[partner.north]\n[partner.south]\nweight = 2.0\n")


class Simulation:
    """State and event queue of one simulated schedule.

    Attributes:
        clock: Manual clock, which advances from event to event.
        rng: Source of all random choices.
        log: Model of the log.
        log_down: Whether the log is unavailable.
        faults_enabled: Whether faults are injected.
        messages_disturbed: Whether messages are often delayed and duplicated.
        workers: Models of the workers by id.
        gone_workers: Ids of the workers that the VM list reports as gone.
        cut_links: Pairs of a daemon and "log" or a worker without connection.
        daemons: The daemons.
        jobs: Ids of all submitted jobs.
        zone_outages: Ended periods for which zones were out of service.
        double_owners: Times at which two daemons held the cell's lease.
        config_reverts: Configuration versions that a daemon saw after a newer
            one.
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
        self.zone_outages: list[checks.ZoneOutage] = []
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
        """Schedules a callback `delay_ms` from now."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (at_ms, next(self._sequence), callback))

    def run_until(self, end_ms: float) -> None:
        """Runs the callbacks due by `end_ms` and advances the clock to it."""
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, callback = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            callback()
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))

    def delay_ms(self) -> float:
        """Draws the delay of a message."""
        if self.messages_disturbed and self.rng.random() < 0.4:
            return self.rng.uniform(50, 2500)
        if self.faults_enabled and self.rng.random() < 0.02:
            return self.rng.uniform(500, 15_000)
        return self.rng.uniform(1, 40)

    def copy_count(self) -> int:
        """Draws how many times a message is delivered."""
        chance = 0.3 if self.messages_disturbed else 0.02
        return 2 if self.faults_enabled and self.rng.random() < chance else 1

    def loses_message(self) -> bool:
        """Draws whether a message is lost."""
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
        """Appends a record to a stream without delay."""
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
        """Takes a zone out of service or back, as an operator, without delay.

        Has no effect if the zone is already in that state.
        """
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
            self.zone_outages.append(checks.ZoneOutage(zone, from_ms, now_ms))

    def worker_events(self) -> list[WorkerEvent]:
        """Returns the events that all workers recorded."""
        for model in self.workers.values():
            model.tick()
        return [event for m in self.workers.values() for event in m.record]

    def all_zone_outages(self) -> list[checks.ZoneOutage]:
        """Returns all zone outages, including those that have not ended."""
        open_outages = [
            checks.ZoneOutage(zone, from_ms, float("inf"))
            for zone, from_ms in self._open_outages.items()
        ]
        return self.zone_outages + open_outages

    def restore_zones(self) -> None:
        """Brings all availability zones back into service."""
        for zone in list(self._open_outages):
            self.set_zone(zone, False)

    def record_double_owners(self) -> None:
        """Records a violation if two daemons hold the cell's lease now."""
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
