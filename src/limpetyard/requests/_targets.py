"""Target selection with slot limits and outlier ejection.

A target that fails `EJECTION_FAILURES` times in a row is ejected. Each further
failure doubles the ejection time, up to `MAX_EJECTION_MS`. After the ejection
one request at a time probes the target until one gets a response.
"""

import random
from collections.abc import Iterable

from limpetyard.fleet import Vm, VmState
from limpetyard.requests._slot_policies import SlotPolicy

EJECTION_FAILURES = 3
INITIAL_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
LATENCY_EWMA_WEIGHT = 0.2

# Delay before this VM uses additional slots of a target, so that requests of
# the slots' previous user complete first.
SLOT_INCREASE_DELAY_MS = 2000.0


class TargetState:
    """Slots, latency and health of one target, as seen by this entry VM.

    Attributes:
        vm: The target's entry in the VM list.
        allowed_slots: Number of slots that this entry VM may use.
        in_flight: Number of slots that this entry VM uses.
        latency_ms: Exponentially weighted moving average of the latency of
            attempts with a response.
        failures: Failed attempts since the last response.
    """

    __slots__ = (
        "_ejected_until_ms",
        "_ejection_ms",
        "_increase_due_ms",
        "_increase_to",
        "allowed_slots",
        "failures",
        "in_flight",
        "latency_ms",
        "vm",
    )

    def __init__(self, vm: Vm):
        self.vm = vm
        self.allowed_slots = 0
        self.in_flight = 0
        self.latency_ms = 0.0
        self.failures = 0
        self._increase_to = 0
        self._increase_due_ms = 0.0
        self._ejection_ms = INITIAL_EJECTION_MS
        self._ejected_until_ms = float("-inf")

    def grant(self, slots: int, now_ms: float, initial: bool) -> None:
        """Sets the number of slots that this entry VM may use.

        A decrease and the initial grant apply at once. An increase applies
        once the policy has returned the same number for
        `SLOT_INCREASE_DELAY_MS`.

        Args:
            slots: Slots granted by the policy.
            now_ms: Current clock reading.
            initial: Whether this is the first grant after this VM's start.
        """
        if slots <= self.allowed_slots or initial:
            self.allowed_slots = slots
            self._increase_to = slots
            return
        if slots != self._increase_to:
            self._increase_to = slots
            self._increase_due_ms = now_ms + SLOT_INCREASE_DELAY_MS
        if now_ms >= self._increase_due_ms:
            self.allowed_slots = slots

    def accepts_request(self, now_ms: float) -> bool:
        """Returns whether the target may get one more request now."""
        probing = self.failures >= EJECTION_FAILURES
        limit = min(1, self.allowed_slots) if probing else self.allowed_slots
        return self.in_flight < limit and now_ms >= self._ejected_until_ms

    def record_success(self, took_ms: float) -> None:
        """Records a response: resets the failures, updates the latency."""
        self.failures = 0
        self._ejection_ms = INITIAL_EJECTION_MS
        self.latency_ms += LATENCY_EWMA_WEIGHT * (took_ms - self.latency_ms)

    def record_failure(self, now_ms: float) -> None:
        """Records an attempt without a complete response."""
        self.failures += 1
        if self.failures < EJECTION_FAILURES:
            return
        self._ejected_until_ms = now_ms + self._ejection_ms
        self._ejection_ms = min(2 * self._ejection_ms, MAX_EJECTION_MS)


class TargetPool:
    """Chooses targets with a free slot."""

    __slots__ = ("_initialized", "_policy", "_rng", "targets")

    def __init__(self, policy: SlotPolicy, seed: int):
        self._policy = policy
        self._rng = random.Random(seed)
        self._initialized = False
        self.targets: dict[str, TargetState] = {}

    def update(
        self,
        vms: Iterable[Vm],
        own_id: str,
        members: list[str],
        slots: int,
        now_ms: float,
    ) -> None:
        """Applies the VM list and the membership view.

        A target that is leaving or no longer listed gets no new requests.

        Args:
            vms: The service's targets.
            own_id: Id of this VM.
            members: Ids of the live entry VMs, including this one.
            slots: Number of slots of each target.
            now_ms: Current clock reading.
        """
        live = {vm.id: vm for vm in vms if vm.state is VmState.LIVE}
        for target_id in set(self.targets) - set(live):
            del self.targets[target_id]
        for target_id, vm in live.items():
            target = self.targets.setdefault(target_id, TargetState(vm))
            target.vm = vm
            slots_granted = self._policy(target_id, own_id, members, slots)
            target.grant(slots_granted, now_ms, not self._initialized)
        self._initialized = self._initialized or bool(live)

    def acquire_slot(
        self, now_ms: float, avoid: frozenset[str]
    ) -> TargetState | None:
        """Acquires a slot of the better of two random targets.

        The better target has fewer requests in flight or, if equal, a lower
        latency. Returns None if no target has a free slot.

        Args:
            now_ms: Current clock reading.
            avoid: Ids of targets to use only if no other has a free slot.
        """
        available = [
            t for t in self.targets.values() if t.accepts_request(now_ms)
        ]
        untried = [t for t in available if t.vm.id not in avoid]
        candidates = untried or available
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        best = min(pair, key=lambda t: (t.in_flight, t.latency_ms))
        best.in_flight += 1
        return best

    def free_slots(self, now_ms: float) -> int:
        """Returns the free slots of the targets that accept requests."""
        return sum(
            max(0, t.allowed_slots - t.in_flight)
            for t in self.targets.values()
            if t.accepts_request(now_ms)
        )
