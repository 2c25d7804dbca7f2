"""Division of targets' slots among entry VMs, in simulated time.

The product's slot policies, target pools and queues run at several simulated
entry VMs that share targets. A target works on as many requests as it has
slots. Further requests wait at the target in order of arrival, where the
deadline order of the entry VMs' queues no longer applies to them.

The policy "owner" is not a slot policy: each request goes to a target chosen
first, through the one entry VM that owns the target.
"""

import dataclasses
import heapq
import itertools
import random

from bench.report import Bound, Section, markdown_table
from limpetyard.fleet import Vm, VmRole
from limpetyard.membership import rendezvous_order
from limpetyard.requests import SLOT_POLICIES, DeadlineQueue, TargetPool

ENTRY_COUNT = 8
TARGET_COUNT = 8
SLOTS_PER_TARGET = 8
WORK_MEAN_MS = 20.0
LOAD = 0.8
DURATION_MS = 12_000.0
CRASH_MS = 4_000.0
RESTART_MS = 8_000.0
MEMBERSHIP_LAG_MS = 2000.0
HOP_MS = 1.0
BATCH_FRACTION = 0.4
DEADLINE_MS = 1000.0
SEEDS = range(3)
POLICY_NAMES = ("alone", "split", "dealt", "owner")
MAX_OVERFLOW_FRACTION = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    arrived_ms: float
    is_batch: bool
    work_ms: float
    hop_ms: float = 0.0
    answered: bool = False


class _Target:
    """A target with slots and a FIFO queue for requests beyond them.

    Attributes:
        outstanding: Number of requests in work or waiting.
        overflowed: Number of requests that arrived when all slots were in use.
        received: Number of requests that arrived.
    """

    def __init__(self, simulation: "_Simulation"):
        self.outstanding = 0
        self.overflowed = 0
        self.received = 0
        self._simulation = simulation
        self._waiting: list = []

    def submit(self, req: _Request, done) -> None:
        self.received += 1
        self.outstanding += 1
        if self.outstanding > SLOTS_PER_TARGET:
            self.overflowed += 1
            self._waiting.append((req, done))
        else:
            self._start_work(req, done)

    def _start_work(self, req: _Request, done) -> None:
        self._simulation.schedule(req.work_ms, lambda: self._complete(done))

    def _complete(self, done) -> None:
        self.outstanding -= 1
        done()
        if self._waiting:
            self._start_work(*self._waiting.pop(0))


class _Entry:
    """An entry VM with its target pool and its queue."""

    def __init__(self, simulation: "_Simulation", name: str, policy: str):
        self.name = name
        self.alive = True
        self._simulation = simulation
        self._routes_to_owner = policy == "owner"
        self.queue: DeadlineQueue[_Request] = DeadlineQueue(1000)
        slot_policy = SLOT_POLICIES.get(
            "alone" if self._routes_to_owner else policy
        )
        self.pool = TargetPool(slot_policy, seed=len(name))

    def update(self, members: list[str]) -> None:
        vms = self._simulation.vms
        if self._routes_to_owner:
            vms = [
                v
                for v in vms
                if rendezvous_order(v.id, members)[0] == self.name
            ]
        now_ms = self._simulation.now_ms
        self.pool.update(vms, self.name, members, SLOTS_PER_TARGET, now_ms)
        self.dispatch()

    def enqueue(self, req: _Request) -> None:
        self.queue.push(req, req.arrived_ms + DEADLINE_MS, req.is_batch)
        self.dispatch()

    def dispatch(self) -> None:
        while self.alive and len(self.queue):
            target = self.pool.acquire_slot(
                self._simulation.now_ms, frozenset()
            )
            if target is None:
                return
            self._send(self.queue.pop(), target)

    def _send(self, req: _Request, target) -> None:
        def done() -> None:
            target.in_flight -= 1
            if self.alive:
                self._simulation.record_answer(req)
                self.dispatch()

        self._simulation.targets[target.vm.id].submit(req, done)


class _Simulation:
    """One simulated run of a policy.

    One entry VM crashes and restarts. The others notice each change late.
    """

    def __init__(self, policy: str, seed: int):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.urgent_latencies_ms: list[float] = []
        self.lost_requests = 0
        self._events: list = []
        self._sequence = itertools.count()
        self._policy = policy
        self._routes_to_owner = policy == "owner"
        self.vms = [
            Vm(f"target-{n}", VmRole.TARGET, "z", "")
            for n in range(TARGET_COUNT)
        ]
        self.targets = {vm.id: _Target(self) for vm in self.vms}
        self.entries = [
            _Entry(self, f"entry-{n}", policy) for n in range(ENTRY_COUNT)
        ]
        self._members = [entry.name for entry in self.entries]
        self._update_entries()
        self._generate_request()
        self.schedule(CRASH_MS, self._crash_entry)
        self.schedule(RESTART_MS, self._restart_entry)

    def schedule(self, delay_ms: float, action) -> None:
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def run(self) -> None:
        while self._events and self.now_ms < DURATION_MS:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def record_answer(self, req: _Request) -> None:
        if not req.is_batch:
            took_ms = self.now_ms - req.arrived_ms + req.hop_ms
            self.urgent_latencies_ms.append(took_ms)

    def _generate_request(self) -> None:
        rate = LOAD * TARGET_COUNT * SLOTS_PER_TARGET / WORK_MEAN_MS
        self.schedule(self.rng.expovariate(rate), self._generate_request)
        req = _Request(
            self.now_ms,
            self.rng.random() < BATCH_FRACTION,
            # 1.377 is the mean of this distribution: exp(0.8**2 / 2).
            self.rng.lognormvariate(0, 0.8) * WORK_MEAN_MS / 1.377,
        )
        alive = [entry for entry in self.entries if entry.alive]
        entry = self.rng.choice(alive)
        if self._routes_to_owner:
            # The owner of a randomly chosen target handles the request.
            target = self.rng.choice(self.vms).id
            owner_name = rendezvous_order(target, self._members)[0]
            entry = next(e for e in self.entries if e.name == owner_name)
            req.hop_ms = 2 * HOP_MS
            if not entry.alive:
                self.lost_requests += 1
                return
        entry.enqueue(req)

    def _update_entries(self) -> None:
        for entry in self.entries:
            if entry.alive:
                entry.update(self._members)
        self.schedule(100, self._update_entries)

    def _crash_entry(self) -> None:
        crashed = self.entries[0]
        crashed.alive = False
        self.lost_requests += len(crashed.queue)
        self.schedule(
            MEMBERSHIP_LAG_MS, lambda: self._members.remove(crashed.name)
        )

    def _restart_entry(self) -> None:
        entry = _Entry(self, self.entries[0].name, self._policy)
        self.entries[0] = entry
        self.schedule(
            MEMBERSHIP_LAG_MS / 4, lambda: self._members.insert(0, entry.name)
        )


def _measure(policy: str, seed: int) -> tuple[float, float, int, int]:
    """Runs one simulation.

    Returns:
        The 99th percentile of the latency of urgent requests in ms, the
        fraction of requests that arrived when all slots were in use, the
        largest number of requests outstanding at a target at the end, and the
        number of requests lost with the crashed entry VM.
    """
    simulation = _Simulation(policy, seed)
    simulation.run()
    latencies_ms = sorted(simulation.urgent_latencies_ms)
    received = sum(t.received for t in simulation.targets.values())
    overflowed = sum(t.overflowed for t in simulation.targets.values())
    max_outstanding = max(t.outstanding for t in simulation.targets.values())
    return (
        latencies_ms[int(len(latencies_ms) * 0.99)],
        overflowed / received,
        max_outstanding,
        simulation.lost_requests,
    )


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    rows = []
    figures = {}
    for name in POLICY_NAMES:
        runs = [_measure(name, seed) for seed in SEEDS]
        latencies_ms = sorted(run[0] for run in runs)
        overflowed = max(run[1] for run in runs)
        figures[name] = (latencies_ms[len(latencies_ms) // 2], overflowed)
        lost_requests = sum(run[3] for run in runs)
        rows.append(
            [
                name,
                f"{latencies_ms[len(latencies_ms) // 2]:.0f}",
                f"{latencies_ms[-1]:.0f}",
                f"{overflowed:.4f}",
                lost_requests,
            ]
        )
    columns = (
        "policy",
        "urgent p99 ms, median",
        "worst",
        "part over the slots, worst",
        "lost with the VM",
    )
    bounds = [
        Bound.at_most(
            "dealt: part over the slots",
            figures["dealt"][1],
            MAX_OVERFLOW_FRACTION,
        ),
        Bound.at_most(
            "dealt: urgent p99 against alone",
            figures["dealt"][0] / figures["alone"][0],
            1.0,
        ),
    ]
    return Section(
        "slots", "Slots of targets", markdown_table(columns, rows), bounds
    )
