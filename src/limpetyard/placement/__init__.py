"""Placement decisions: functions from typed views to typed plans.

Part of `limpetyard.daemon`.
"""

from limpetyard.placement._baselines import (
    FirstFit,
    LeastLoaded,
    PowerOfTwoChoices,
)
from limpetyard.placement._interference import InterferenceModel
from limpetyard.placement._interference_aware import InterferenceAware
from limpetyard.placement._mitigation import (
    FULL_SPEED,
    InterferenceController,
    MitigationAction,
    MitigationCandidate,
    MitigationParams,
    MitigationStep,
)
from limpetyard.placement._plan import (
    PlannedPlacement,
    plan_placements,
    plan_preemption,
)
from limpetyard.placement._policy import (
    POLICIES,
    PlacementPolicy,
    RateSample,
    TaskView,
    WorkerChoice,
    WorkerView,
    new_policy,
)
from limpetyard.placement._shares import (
    DecayedUsage,
    PartnerView,
    order_by_share,
)
from limpetyard.placement._sizes import SizeEstimator

__all__ = [
    "FULL_SPEED",
    "POLICIES",
    "DecayedUsage",
    "FirstFit",
    "InterferenceAware",
    "InterferenceController",
    "InterferenceModel",
    "LeastLoaded",
    "MitigationAction",
    "MitigationCandidate",
    "MitigationParams",
    "MitigationStep",
    "PartnerView",
    "PlacementPolicy",
    "PlannedPlacement",
    "PowerOfTwoChoices",
    "RateSample",
    "SizeEstimator",
    "TaskView",
    "WorkerChoice",
    "WorkerView",
    "new_policy",
    "order_by_share",
    "plan_placements",
    "plan_preemption",
]
