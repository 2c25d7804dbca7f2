"""Scheduling engine of one cell: which task runs on which worker.

The engine schedules jobs of steps for `limpetyard.node` on the users'
platform (entry point `limpetyard.noded`). The daemon `limpetyard.daemon` does
not use it; its scheduler is `limpetyard.scheduler`.
"""

from limpetyard.engine._effects import Effect, Pace, RequestAdvice, Start, Stop
from limpetyard.engine._eligibility import withheld_workers
from limpetyard.engine._engine import ChangeBatch, Engine
from limpetyard.engine._pacing import DEFAULT_PACER, PACERS
from limpetyard.engine._params import EngineParams
from limpetyard.engine._step_worker_client import (
    AdviceClient,
    OrderWithheldError,
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartReply,
    StartResult,
    StepWorkerClient,
    Ticket,
    WorkerDisconnectedError,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.engine._worker import (
    MAX_ORDER_DELAY_MS,
    MIN_CLOCK_RATE,
    REPLY_MARGIN_MS,
    RecordedState,
    RunState,
    StaleLeases,
    Worker,
    WorkerRecord,
    WorkerRun,
    lease_bound_ms,
)

__all__ = [
    "DEFAULT_PACER",
    "MAX_ORDER_DELAY_MS",
    "MIN_CLOCK_RATE",
    "PACERS",
    "AdviceClient",
    "ChangeBatch",
    "Effect",
    "Engine",
    "EngineParams",
    "OrderWithheldError",
    "Pace",
    "PaceOrder",
    "PollReply",
    "PollRequest",
    "REPLY_MARGIN_MS",
    "RecordedState",
    "RequestAdvice",
    "RunEndKind",
    "RunEndReport",
    "RunReport",
    "RunState",
    "StaleLeases",
    "StaleTokenError",
    "Start",
    "StartOrder",
    "StartReply",
    "StartResult",
    "StepWorkerClient",
    "Stop",
    "Ticket",
    "Worker",
    "WorkerDisconnectedError",
    "WorkerDownError",
    "WorkerEntry",
    "WorkerOutcomeUnknownError",
    "WorkerRecord",
    "WorkerRun",
    "WrongWorkerError",
    "lease_bound_ms",
    "withheld_workers",
]
