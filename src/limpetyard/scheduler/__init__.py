"""Scheduling decisions of a cell's owner, and the service that applies them."""

from limpetyard.scheduler._controller import CellController
from limpetyard.scheduler._decisions import Decision, DecisionTail
from limpetyard.scheduler._effects import (
    Append,
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
)
from limpetyard.scheduler._service import CellService
from limpetyard.scheduler._terms import ControlTerms
from limpetyard.scheduler._trace import Begun, Recorder, Replayed, replay

__all__ = [
    "Append",
    "Begun",
    "CellController",
    "CellService",
    "ControlTerms",
    "Decision",
    "DecisionTail",
    "Effect",
    "Recorder",
    "Replayed",
    "StartRuns",
    "StopRuns",
    "SyncWorker",
    "ThrottleRuns",
    "replay",
]
