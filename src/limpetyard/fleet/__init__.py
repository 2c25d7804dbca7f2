"""Workers, targets and the VM list, as the platform gives them."""

from limpetyard.fleet._vm_list import HttpVmList, Vm, VmList, VmRole, VmState
from limpetyard.fleet._vm_list_service import VmListService
from limpetyard.fleet._worker_client import (
    HttpWorkerClient,
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
    WorkerClient,
)

__all__ = [
    "HttpVmList",
    "HttpWorkerClient",
    "Refusal",
    "VmRole",
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
    "VmListService",
    "VmState",
    "WorkerClient",
]
