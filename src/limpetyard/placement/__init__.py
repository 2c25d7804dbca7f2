"""Placement decisions: pure functions from typed views to typed plans."""

from limpetyard.placement._baselines import FirstFit, LeastLoaded, RandomTwo
from limpetyard.placement._interference import InterferenceModel
from limpetyard.placement._learned import Learned
from limpetyard.placement._plan import (
    PlacePlan,
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
from limpetyard.placement._relief import (
    FULL_SPEED,
    Relief,
    ReliefStep,
    ReliefTerms,
    StepKind,
    Suspect,
)
from limpetyard.placement._shares import (
    PartnerView,
    UseWindow,
    order_by_share,
)
from limpetyard.placement._sizes import SizeBook

__all__ = [
    "FULL_SPEED",
    "POLICIES",
    "Choice",
    "FirstFit",
    "InterferenceModel",
    "Learned",
    "LeastLoaded",
    "PartnerView",
    "PlacePlan",
    "PlacementPolicy",
    "RandomTwo",
    "RateSample",
    "Relief",
    "ReliefStep",
    "ReliefTerms",
    "SizeBook",
    "StepKind",
    "Suspect",
    "TaskView",
    "UseWindow",
    "WorkerView",
    "new_policy",
    "order_by_share",
    "plan_placements",
    "plan_preemption",
]
