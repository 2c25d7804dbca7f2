"""Scheduling decisions of a cell's owner, and the service that applies them.

Part of `limpetyard.daemon`; the counterpart for `limpetyard.noded` is
`limpetyard.engine`.
"""

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
    "CellController",
    "CellService",
    "Decision",
    "Effect",
    "RecentDecisions",
    "ReplayResult",
    "SchedulerParams",
    "StartRuns",
    "StopRuns",
    "SyncWorker",
    "ThrottleRuns",
    "TraceHeader",
    "TraceRecorder",
    "replay",
]
