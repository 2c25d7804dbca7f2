"""Durations and limits that a cell's owner schedules by."""

import dataclasses

from limpetyard.cell import LeaseParams


@dataclasses.dataclass(slots=True, frozen=True)
class SchedulerParams:
    """Parameters of the scheduler; they must be the same for all daemons.

    All `_ms` values are durations.

    Attributes:
        lease: Parameters of the lease on a cell.
        task_lease_ms: Duration of a lease on a worker's runs; without a
            renewal, the worker stops them when it expires.
        outage_ms: How long an owner keeps renewing runs after its own lease
            has expired, to bridge an outage of the log.
        margin_ms: Safety margin before a task lease or a start order on a
            worker counts as expired.
        sync_ms: Interval between syncs with a worker.
        commit_ms: Minimum interval between two appends of decisions; a due
            renewal of the cell's lease does not wait for it.
        config_ms: How long after the last confirmation of the configuration a
            start may still take effect.
        repeat_ms: Interval at which a start or stop is resent until a sync
            reports its effect.
        silent_ms: Maximum age of a worker's last sync reply. A worker whose
            last reply is older gets no placements, starts, stops or renewals.
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
