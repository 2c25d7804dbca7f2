"""Decisions on placement: typed views in, typed decisions out, no I/O."""

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
    Choice,
    PlacementPolicy,
    RateSample,
    TaskView,
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
    "Choice",
    "FirstFit",
    "InterferenceModel",
    "InterferenceAware",
    "LeastLoaded",
    "PartnerView",
    "PlannedPlacement",
    "PlacementPolicy",
    "PowerOfTwoChoices",
    "RateSample",
    "InterferenceController",
    "MitigationStep",
    "MitigationParams",
    "SizeEstimator",
    "MitigationAction",
    "MitigationCandidate",
    "TaskView",
    "DecayedUsage",
    "WorkerView",
    "new_policy",
    "order_by_share",
    "plan_placements",
    "plan_preemption",
]
