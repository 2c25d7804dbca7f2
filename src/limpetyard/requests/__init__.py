"""The request path: forwards callers' requests to a service's targets.

Part of `limpetyard.daemon`.
"""

from limpetyard.requests._dispatch import Dispatcher
from limpetyard.requests._outcomes import (
    AttemptOutcome,
    RetryDecision,
    retry_decision,
)
from limpetyard.requests._queue import DeadlineQueue
from limpetyard.requests._retry_budget import RetryBudget
from limpetyard.requests._service import RequestService
from limpetyard.requests._slot_policies import SLOT_POLICIES, SlotPolicy
from limpetyard.requests._targets import TargetPool, TargetState

__all__ = [
    "SLOT_POLICIES",
    "AttemptOutcome",
    "DeadlineQueue",
    "Dispatcher",
    "RequestService",
    "RetryBudget",
    "RetryDecision",
    "SlotPolicy",
    "TargetPool",
    "TargetState",
    "retry_decision",
]
