"""Workers, targets and the VM list, as the platform gives them."""

from limpetyard.platform._vm_service import VmService
from limpetyard.platform._vms import HttpVmList, Role, Vm, VmList, VmState
from limpetyard.platform._workers import (
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
