"""Clients of the platform's VM list and of the workers.

Part of `limpetyard.daemon`.
"""

from limpetyard.fleet._vm_list import HttpVmList, Vm, VmList, VmRole, VmState
from limpetyard.fleet._vm_list_service import VmListService
from limpetyard.fleet._worker_client import (
    HttpWorkerClient,
    Run,
    RunState,
    StartOrder,
    StartRejection,
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
    "Run",
    "RunState",
    "StartOrder",
    "StartRejection",
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
    "VmRole",
    "VmState",
    "WorkerClient",
]
