"""Figures that the engine works with."""

import msgspec


class EngineParams(msgspec.Struct, frozen=True):
    """Bounds that hold on a site.

    Attributes:
        lease_ms: Lease of everything on a worker.
        self_fence_ms: Longest time after its last confirmation for which an
            owner still gives orders.
        remote_factor: How many times as long a task takes off its data's rack.
        gang_timeout_ms: How long a member of a gang waits for the others.
    """

    lease_ms: float
    self_fence_ms: float
    remote_factor: float = 1.5
    gang_timeout_ms: float = 3000.0
