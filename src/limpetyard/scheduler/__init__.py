"""The decisions of a cell's owner and the service that carries them out."""

from limpetyard.scheduler._controller import CellController
from limpetyard.scheduler._decisions import Decision, RecentDecisions
from limpetyard.scheduler._effects import (
    Append,
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
)
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._service import CellService
from limpetyard.scheduler._trace import (
    ReplayResult,
    TraceHeader,
    TraceRecorder,
    replay,
)

__all__ = [
    "Append",
    "TraceHeader",
    "CellController",
    "CellService",
    "SchedulerParams",
    "Decision",
    "RecentDecisions",
    "Effect",
    "TraceRecorder",
    "ReplayResult",
    "StartRuns",
    "StopRuns",
    "SyncWorker",
    "ThrottleRuns",
    "replay",
]
