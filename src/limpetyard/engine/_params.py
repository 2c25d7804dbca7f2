"""Parameters of the engine."""

import msgspec


class EngineParams(msgspec.Struct, frozen=True):
    """Time limits and factors that apply to a whole site.

    Attributes:
        lease_ms: Duration of the lease that covers all runs on a worker.
        self_fence_ms: Time after the last confirmation of its ownership at
            which an owner stops issuing orders, at the latest.
        remote_factor: Factor by which a task takes longer outside the rack
            that holds its data.
        gang_timeout_ms: Time that a member of a gang waits for the others.
        strain_limit_ms: Longest time for which best-effort tasks may keep a
            serving task over its latency target.
        reserved_share: Share of the cores of a service that new long-running
            tasks leave for tasks that end, also if none has arrived yet.
        pacer: Name of the policy that paces best-effort tasks.
        unwitnessed_ms: Time after the last confirmation of its ownership at
            which an owner stops issuing orders unless all its witnesses extend
            it.
        longest_lease_ms: Longest lease that a worker accepts.
    """

    lease_ms: float
    self_fence_ms: float
    remote_factor: float = 1.5
    gang_timeout_ms: float = 3000.0
    strain_limit_ms: float = 4000.0
    reserved_share: float = 0.0
    pacer: str = "measured"
    unwitnessed_ms: float = 2000.0
    longest_lease_ms: float = 6000.0
