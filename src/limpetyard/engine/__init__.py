"""Scheduling engine of one cell: which task runs on which worker."""

from limpetyard.engine._effects import Ask, Effect, Pace, Start, Stop
from limpetyard.engine._engine import Engine, StoredBatch
from limpetyard.engine._interface import (
    Advice,
    EndKind,
    EndRow,
    LookOrder,
    LookReply,
    OtherLifeError,
    PaceOrder,
    RunRow,
    StaleTokenError,
    StartOrder,
    StartResult,
    StepWorkers,
    Ticket,
    WorkerDownError,
    WorkerEntry,
    WorkerSilentError,
)
from limpetyard.engine._terms import EngineTerms
from limpetyard.engine._worker import (
    SLOWEST_CLOCK,
    RunState,
    Worker,
    WorkerRun,
    lease_bound_ms,
)

__all__ = [
    "SLOWEST_CLOCK",
    "Advice",
    "Ask",
    "Effect",
    "EndKind",
    "EndRow",
    "Engine",
    "EngineTerms",
    "LookOrder",
    "LookReply",
    "OtherLifeError",
    "Pace",
    "PaceOrder",
    "RunRow",
    "RunState",
    "StaleTokenError",
    "Start",
    "StartOrder",
    "StartResult",
    "StepWorkers",
    "Stop",
    "StoredBatch",
    "Ticket",
    "Worker",
    "WorkerDownError",
    "WorkerEntry",
    "WorkerRun",
    "WorkerSilentError",
    "lease_bound_ms",
]
