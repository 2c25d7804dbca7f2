"""Time-outs and bounds of a cell's owner."""

import dataclasses

from limpetyard.cell import LeaseParams


@dataclasses.dataclass(slots=True, frozen=True)
class SchedulerParams:
    """Time-outs and bounds; they must be the same for all daemons.

    Attributes:
        lease: Parameters of the lease on a cell.
        task_lease_ms: Duration of a lease on a worker's runs; without a
            renewal, the worker stops them when it expires.
        outage_ms: How long an owner keeps renewing runs after its own lease
            has expired, to bridge an outage of the log.
        margin_ms: Added before a lease of another process counts as expired.
        sync_ms: Interval between syncs with a worker.
        commit_ms: Minimum time between two appends of decisions.
        config_ms: How long starts stay valid after the configuration was
            last confirmed.
        repeat_ms: Time after which an unanswered start or stop is resent.
        silent_ms: A worker without a reply for this long gets no starts.
        starts_per_commit: Maximum number of placements in one append.
        snapshot_records: Number of records after which a snapshot is due.
        snapshot_ms: Time after which a snapshot is due in any case.
    """

    lease: LeaseParams = LeaseParams()
    task_lease_ms: int = 10_000
    outage_ms: int = 45_000
    margin_ms: int = 500
    sync_ms: int = 500
    commit_ms: int = 100
    config_ms: int = 2000
    repeat_ms: int = 1000
    silent_ms: int = 2000
    starts_per_commit: int = 200
    snapshot_records: int = 200
    snapshot_ms: int = 600_000
