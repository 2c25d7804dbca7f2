"""Division of targets' slots between entry VMs, on a driven clock.

The real slot policies, target pools and queues run at several entry VMs that
share targets. A target works on as many requests as it has slots; what is
over waits there in the order of arrival, out of reach of any deadline order.
"""

import dataclasses
import heapq
import itertools
import random

from bench.report import Bound, Section, table
from limpetyard.fleet import Vm, VmRole
from limpetyard.membership import rendezvous_order
from limpetyard.requests import SLOT_POLICIES, DeadlineQueue, TargetPool

ENTRIES = 8
TARGETS = 8
SLOTS = 8
WORK_MEAN_MS = 20.0
LOAD = 0.8
DURATION_MS = 12_000.0
DEATH_MS = 4_000.0
RETURN_MS = 8_000.0
VIEW_LAG_MS = 2000.0
HOP_MS = 1.0
BATCH_PART = 0.4
DEADLINE_MS = 1000.0
SEEDS = range(3)
NAMES = ("alone", "split", "dealt", "owner")
OVER_TARGET = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    arrived_ms: float
    batch: bool
    work_ms: float
    hop_ms: float = 0.0
    answered: bool = False


class _Target:
    """A target: slots, and a line of what is over them."""

    def __init__(self, sim: "_Sim"):
        self.present = 0
        self.over = 0
        self.arrived = 0
        self._sim = sim
        self._line: list = []

    def arrive(self, req: _Request, done) -> None:
        self.arrived += 1
        self.present += 1
        if self.present > SLOTS:
            self.over += 1
            self._line.append((req, done))
        else:
            self._work(req, done)

    def _work(self, req: _Request, done) -> None:
        self._sim.later(req.work_ms, lambda: self._end(done))

    def _end(self, done) -> None:
        self.present -= 1
        done()
        if self._line:
            self._work(*self._line.pop(0))


class _Entry:
    """One entry VM: its pool and its queue."""

    def __init__(self, sim: "_Sim", name: str, policy: str):
        self.name = name
        self.alive = True
        self._sim = sim
        self._owner = policy == "owner"
        self.queue: DeadlineQueue[_Request] = DeadlineQueue(1000)
        chosen = SLOT_POLICIES.get("alone" if self._owner else policy)
        self.pool = TargetPool(chosen, seed=len(name))

    def update(self, members: list[str]) -> None:
        vms = self._sim.vms
        if self._owner:
            vms = [
                v
                for v in vms
                if rendezvous_order(v.id, members)[0] == self.name
            ]
        now_ms = self._sim.now_ms
        self.pool.update(vms, self.name, members, SLOTS, now_ms)
        self.serve()

    def take(self, req: _Request) -> None:
        self.queue.push(req, req.arrived_ms + DEADLINE_MS, req.batch)
        self.serve()

    def serve(self) -> None:
        while self.alive and len(self.queue):
            target = self.pool.take(self._sim.now_ms, frozenset())
            if target is None:
                return
            self._send(self.queue.pop(), target)

    def _send(self, req: _Request, target) -> None:
        def done() -> None:
            target.in_flight -= 1
            if self.alive:
                self._sim.answered(req)
                self.serve()

        self._sim.targets[target.vm.id].arrive(req, done)


class _Sim:
    """One run."""

    def __init__(self, policy: str, seed: int):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.urgent: list[float] = []
        self.lost = 0
        self._events: list = []
        self._numbers = itertools.count()
        self._policy = policy
        self._owner = policy == "owner"
        self.vms = [
            Vm(f"target-{n}", VmRole.TARGET, "z", "") for n in range(TARGETS)
        ]
        self.targets = {vm.id: _Target(self) for vm in self.vms}
        self.entries = [
            _Entry(self, f"entry-{n}", policy) for n in range(ENTRIES)
        ]
        self._members = [entry.name for entry in self.entries]
        self._refresh()
        self._arrive()
        self.later(DEATH_MS, self._die)
        self.later(RETURN_MS, self._return)

    def later(self, delay_ms: float, act) -> None:
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def run(self) -> None:
        while self._events and self.now_ms < DURATION_MS:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()

    def answered(self, req: _Request) -> None:
        if not req.batch:
            took_ms = self.now_ms - req.arrived_ms + req.hop_ms
            self.urgent.append(took_ms)

    def _arrive(self) -> None:
        rate = LOAD * TARGETS * SLOTS / WORK_MEAN_MS
        self.later(self.rng.expovariate(rate), self._arrive)
        req = _Request(
            self.now_ms,
            self.rng.random() < BATCH_PART,
            self.rng.lognormvariate(0, 0.8) * WORK_MEAN_MS / 1.377,
        )
        alive = [entry for entry in self.entries if entry.alive]
        entry = self.rng.choice(alive)
        if self._owner:
            # Every request goes to a target chosen first, at its owner.
            target = self.rng.choice(self.vms).id
            home = rendezvous_order(target, self._members)[0]
            entry = next(e for e in self.entries if e.name == home)
            req.hop_ms = 2 * HOP_MS
            if not entry.alive:
                self.lost += 1
                return
        entry.take(req)

    def _refresh(self) -> None:
        for entry in self.entries:
            if entry.alive:
                entry.update(self._members)
        self.later(100, self._refresh)

    def _die(self) -> None:
        dead = self.entries[0]
        dead.alive = False
        self.lost += len(dead.queue)
        self.later(VIEW_LAG_MS, lambda: self._members.remove(dead.name))

    def _return(self) -> None:
        entry = _Entry(self, self.entries[0].name, self._policy)
        self.entries[0] = entry
        self.later(VIEW_LAG_MS / 4, lambda: self._members.insert(0, entry.name))


def _measure(policy: str, seed: int) -> tuple[float, float, int, int]:
    sim = _Sim(policy, seed)
    sim.run()
    tails = sorted(sim.urgent)
    arrived = sum(t.arrived for t in sim.targets.values())
    over = sum(t.over for t in sim.targets.values())
    most = max(t.present for t in sim.targets.values())
    return tails[int(len(tails) * 0.99)], over / arrived, most, sim.lost


def section() -> Section:
    """Measures everything and returns the section of the report."""
    rows = []
    found = {}
    for name in NAMES:
        runs = [_measure(name, seed) for seed in SEEDS]
        tails = sorted(run[0] for run in runs)
        over = max(run[1] for run in runs)
        found[name] = (tails[len(tails) // 2], over)
        lost = sum(run[3] for run in runs)
        rows.append(
            [
                name,
                f"{tails[len(tails) // 2]:.0f}",
                f"{tails[-1]:.0f}",
                f"{over:.4f}",
                lost,
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
        Bound.most(
            "dealt: part over the slots", found["dealt"][1], OVER_TARGET
        ),
        Bound.most(
            "dealt: urgent p99 against alone",
            found["dealt"][0] / found["alone"][0],
            1.0,
        ),
    ]
    return Section("slots", "Slots of targets", table(columns, rows), bounds)
