"""Clients of the platform's VM list and of the workers."""

from limpetyard.fleet._vm_service import VmService
from limpetyard.fleet._vms import HttpVmList, Role, Vm, VmList, VmState
from limpetyard.fleet._workers import (
    HttpWorkers,
    Refusal,
    Run,
    RunState,
    StartOrder,
    StartReply,
    StartResult,
    StopOrder,
    SyncOrder,
    SyncReply,
    ThrottleOrder,
    Usage,
    Workers,
)

__all__ = [
    "HttpVmList",
    "HttpWorkers",
    "Refusal",
    "Role",
    "Run",
    "RunState",
    "StartOrder",
    "StartReply",
    "StartResult",
    "StopOrder",
    "SyncOrder",
    "SyncReply",
    "ThrottleOrder",
    "Usage",
    "Vm",
    "VmList",
    "VmService",
    "VmState",
    "Workers",
]
