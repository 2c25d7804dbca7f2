"""The request path: callers' requests to the targets of a service."""

from limpetyard.requests._dispatch import Dispatcher
from limpetyard.requests._outcomes import Fate, Verdict, verdict_of
from limpetyard.requests._queue import DeadlineQueue
from limpetyard.requests._retry_budget import RetryBudget
from limpetyard.requests._service import RequestService
from limpetyard.requests._slot_policies import SLOT_POLICIES, SlotPolicy
from limpetyard.requests._targets import TargetPool, TargetState

__all__ = [
    "SLOT_POLICIES",
    "DeadlineQueue",
    "Dispatcher",
    "Fate",
    "RequestService",
    "RetryBudget",
    "SlotPolicy",
    "TargetPool",
    "TargetState",
    "Verdict",
    "verdict_of",
]
