"""The targets of one service as one entry VM uses them."""

import random
from collections.abc import Iterable

from limpetyard.fleet import Vm, VmState
from limpetyard.requests._slot_policies import SlotPolicy

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1000.0
LONGEST_EJECTION_MS = 30_000.0
LATENCY_STEP = 0.2

# A gain of slots waits until the former user's requests are answered.
GAIN_DELAY_MS = 2000.0


class TargetState:
    """One target.

    Attributes:
        vm: Its entry in the VM list.
        allowed: Slots that this entry VM may use.
        in_flight: Slots in use by this entry VM.
        latency_ms: Moving mean of answered attempts.
        failures: Failed attempts since the last answer.
    """

    __slots__ = (
        "_ejected_until_ms",
        "_ejection_ms",
        "_gain",
        "_gain_due_ms",
        "allowed",
        "failures",
        "in_flight",
        "latency_ms",
        "vm",
    )

    def __init__(self, vm: Vm):
        self.vm = vm
        self.allowed = 0
        self.in_flight = 0
        self.latency_ms = 0.0
        self.failures = 0
        self._gain = 0
        self._gain_due_ms = 0.0
        self._ejection_ms = FIRST_EJECTION_MS
        self._ejected_until_ms = float("-inf")

    def allow(self, slots: int, now_ms: float, first: bool) -> None:
        """Takes the number of slots that the policy now grants.

        Args:
            slots: Slots granted.
            now_ms: Present reading of the clock.
            first: Whether this is the first grant after this VM's start.
        """
        if slots <= self.allowed or first:
            self.allowed = slots
            self._gain = slots
            return
        if slots != self._gain:
            self._gain = slots
            self._gain_due_ms = now_ms + GAIN_DELAY_MS
        if now_ms >= self._gain_due_ms:
            self.allowed = slots

    def open(self, now_ms: float) -> bool:
        """Returns whether one more request may go to the target."""
        probing = self.failures >= FAILURES_TO_EJECT
        limit = min(1, self.allowed) if probing else self.allowed
        return self.in_flight < limit and now_ms >= self._ejected_until_ms

    def succeeded(self, took_ms: float) -> None:
        """Takes in an answer."""
        self.failures = 0
        self._ejection_ms = FIRST_EJECTION_MS
        self.latency_ms += LATENCY_STEP * (took_ms - self.latency_ms)

    def failed(self, now_ms: float) -> None:
        """Takes in an attempt without an answer."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        self._ejected_until_ms = now_ms + self._ejection_ms
        self._ejection_ms = min(2 * self._ejection_ms, LONGEST_EJECTION_MS)


class TargetPool:
    """Chooses a target with a free slot."""

    __slots__ = ("_policy", "_rng", "_started", "targets")

    def __init__(self, policy: SlotPolicy, seed: int):
        self._policy = policy
        self._rng = random.Random(seed)
        self._started = False
        self.targets: dict[str, TargetState] = {}

    def update(
        self,
        vms: Iterable[Vm],
        own_id: str,
        members: list[str],
        slots: int,
        now_ms: float,
    ) -> None:
        """Takes the VM list and the membership view.

        A target that is leaving or no longer listed gets nothing new.

        Args:
            vms: The service's targets.
            own_id: Id of this VM.
            members: Entry VMs that are alive, with this one.
            slots: Slots of one target.
            now_ms: Present reading of the clock.
        """
        live = {vm.id: vm for vm in vms if vm.state is VmState.LIVE}
        for target_id in set(self.targets) - set(live):
            del self.targets[target_id]
        for target_id, vm in live.items():
            target = self.targets.setdefault(target_id, TargetState(vm))
            target.vm = vm
            granted = self._policy(target_id, own_id, members, slots)
            target.allow(granted, now_ms, not self._started)
        self._started = self._started or bool(live)

    def take(self, now_ms: float, avoid: frozenset[str]) -> TargetState | None:
        """Takes a slot of the better of two targets drawn at random.

        Args:
            now_ms: Present reading of the clock.
            avoid: Targets that the request has been at; taken only if no
                other has a free slot.
        """
        free = [t for t in self.targets.values() if t.open(now_ms)]
        fresh = [t for t in free if t.vm.id not in avoid]
        drawn = fresh or free
        if not drawn:
            return None
        pair = self._rng.sample(drawn, min(2, len(drawn)))
        best = min(pair, key=lambda t: (t.in_flight, t.latency_ms))
        best.in_flight += 1
        return best

    def free_slots(self, now_ms: float) -> int:
        """Returns how many more requests could be sent at once."""
        return sum(
            max(0, t.allowed - t.in_flight)
            for t in self.targets.values()
            if t.open(now_ms)
        )
