"""Node on the users' platform: accepts jobs and owns the cells assigned to it.

The entry point is `limpetyard.noded`. Jobs consist of steps
(`limpetyard.jobs`) and are scheduled by `limpetyard.engine`. The daemon
`limpetyard.daemon` is a separate program with its own scheduler,
`limpetyard.scheduler`.
"""

from limpetyard.node._handover import FenceResult, RemainingLeases
from limpetyard.node._job_service import BatchAppender, JobService
from limpetyard.node._member import GroupMember
from limpetyard.node._node import Node, PlatformAdapters, listen
from limpetyard.node._owner import CellOwner
from limpetyard.node._peers import (
    HttpPeerClient,
    JobNotFoundError,
    JobStatus,
    PeerClient,
    PeerServer,
    PeerUnavailableError,
)
from limpetyard.node._settings import DEFAULT_RESERVED_SHARE, NodeSettings
from limpetyard.node._site import Queue, QueueTable, SiteConfig, SiteView

__all__ = [
    "DEFAULT_RESERVED_SHARE",
    "BatchAppender",
    "CellOwner",
    "FenceResult",
    "GroupMember",
    "HttpPeerClient",
    "JobNotFoundError",
    "JobService",
    "JobStatus",
    "Node",
    "NodeSettings",
    "PeerClient",
    "PeerServer",
    "PeerUnavailableError",
    "PlatformAdapters",
    "Queue",
    "QueueTable",
    "RemainingLeases",
    "SiteConfig",
    "SiteView",
    "listen",
]
