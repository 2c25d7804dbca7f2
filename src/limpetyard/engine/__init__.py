"""Decides which task of a step runs where, and keeps what is known of it."""

from limpetyard.engine._effects import Effect, Pace, RequestAdvice, Start, Stop
from limpetyard.engine._engine import Engine, StoredBatch
from limpetyard.engine._params import EngineParams
from limpetyard.engine._step_worker_client import (
    AdviceService,
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartResult,
    StepWorkerClient,
    Ticket,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.engine._worker import (
    MIN_CLOCK_RATE,
    RunState,
    Worker,
    WorkerRun,
    lease_bound_ms,
)

__all__ = [
    "MIN_CLOCK_RATE",
    "AdviceService",
    "RequestAdvice",
    "Effect",
    "RunEndKind",
    "RunEndReport",
    "Engine",
    "EngineParams",
    "PollRequest",
    "PollReply",
    "WrongWorkerError",
    "Pace",
    "PaceOrder",
    "RunReport",
    "RunState",
    "StaleTokenError",
    "Start",
    "StartOrder",
    "StartResult",
    "StepWorkerClient",
    "Stop",
    "StoredBatch",
    "Ticket",
    "Worker",
    "WorkerDownError",
    "WorkerEntry",
    "WorkerRun",
    "WorkerOutcomeUnknownError",
    "lease_bound_ms",
]
