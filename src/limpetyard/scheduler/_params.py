"""The lengths and bounds that a cell's owner works with."""

import dataclasses

from limpetyard.cell import LeaseParams


@dataclasses.dataclass(slots=True, frozen=True)
class SchedulerParams:
    """Lengths that all daemons share.

    Attributes:
        lease: Terms of a cell's ownership.
        task_lease_ms: How long a worker lets runs go on without a renewal.
        outage_ms: How long an owner goes on renewing runs after its own lease
            ended, while the log is down.
        margin_ms: Added wherever a lease of another process has to be over.
        sync_ms: How often a worker is asked for news.
        commit_ms: Shortest time between two appends of decisions.
        config_ms: A start is valid for this long after the configuration was
            confirmed.
        repeat_ms: After this long an unanswered start or stop is sent again.
        silent_ms: A worker not heard for this long gets no starts.
        starts_per_commit: Largest number of placements in one append.
        snapshot_records: A snapshot is due after this many records.
        snapshot_ms: It is due after this long in any case.
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
