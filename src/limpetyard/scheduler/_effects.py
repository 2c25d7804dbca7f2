"""What a controller asks its surroundings to do."""

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
    """Append a record to the cell's stream."""

    record: Claim | Write | Release | CellSnapshot


@dataclasses.dataclass(slots=True, frozen=True)
class SyncWorker:
    """Ask a worker for news."""

    worker: str
    address: str
    order: SyncOrder


@dataclasses.dataclass(slots=True, frozen=True)
class StartRuns:
    """Start runs on a worker."""

    worker: str
    address: str
    orders: list[StartOrder]


@dataclasses.dataclass(slots=True, frozen=True)
class StopRuns:
    """Stop runs on a worker."""

    worker: str
    address: str
    orders: list[StopOrder]


@dataclasses.dataclass(slots=True, frozen=True)
class ThrottleRuns:
    """Throttle runs on a worker."""

    worker: str
    address: str
    orders: list[ThrottleOrder]


Effect = Append | SyncWorker | StartRuns | StopRuns | ThrottleRuns
