"""Effects that a controller returns for its caller to perform."""

import dataclasses

from limpetyard.cell import CellSnapshot, Claim, Release, Write
from limpetyard.fleet import (
    StartOrder,
    StopOrder,
    SyncOrder,
    ThrottleOrder,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """Appends a record to the cell's stream."""

    record: Claim | Write | Release | CellSnapshot


@dataclasses.dataclass(slots=True, frozen=True)
class SyncWorker:
    """Sends a sync order to a worker.

    The order renews the lease of the cell's runs on the worker, unless its
    `lease_until_ms` is 0, and requests the worker's reports.
    """

    worker: str
    address: str
    order: SyncOrder


@dataclasses.dataclass(slots=True, frozen=True)
class StartRuns:
    """Starts runs on a worker."""

    worker: str
    address: str
    orders: list[StartOrder]


@dataclasses.dataclass(slots=True, frozen=True)
class StopRuns:
    """Stops runs on a worker."""

    worker: str
    address: str
    orders: list[StopOrder]


@dataclasses.dataclass(slots=True, frozen=True)
class ThrottleRuns:
    """Throttles runs on a worker."""

    worker: str
    address: str
    orders: list[ThrottleOrder]


Effect = Append | SyncWorker | StartRuns | StopRuns | ThrottleRuns
