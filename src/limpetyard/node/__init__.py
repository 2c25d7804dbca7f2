"""Node of the system: accepts jobs and owns the cells assigned to it."""

from limpetyard.node._desk import Inbox, JobDesk
from limpetyard.node._handover import LastLeases, Silenced
from limpetyard.node._member import GroupMember
from limpetyard.node._node import Node, Ports, listen
from limpetyard.node._owner import CellOwner
from limpetyard.node._peers import (
    JobGoneError,
    PeerAwayError,
    PeerCalls,
    Peers,
    PeerServer,
)
from limpetyard.node._settings import NodeSettings
from limpetyard.node._site import Queue, QueueTable, SiteConfig, SiteView

__all__ = [
    "CellOwner",
    "GroupMember",
    "Inbox",
    "JobDesk",
    "JobGoneError",
    "LastLeases",
    "Node",
    "NodeSettings",
    "PeerAwayError",
    "PeerCalls",
    "PeerServer",
    "Peers",
    "Ports",
    "Queue",
    "QueueTable",
    "Silenced",
    "SiteConfig",
    "SiteView",
    "listen",
]
