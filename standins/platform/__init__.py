"""A simulation of the users' platform: store, workers, links and faults.

Everything runs in one event loop, in real or virtual time. A history records
what workers did and what clients observed; the checks work on it alone.
"""

from standins.platform._checks import violations
from standins.platform._clients import (
    ClientMix,
    ClientPlan,
    Reply,
    Transport,
    follow_job,
    random_plan,
    run_client,
    watch_pending,
)
from standins.platform._history import History
from standins.platform._link import Link
from standins.platform._processor import Processor, planning_charged
from standins.platform._room import wait_for_end
from standins.platform._simulated_transport import SimulatedTransport
from standins.platform._site import SimulatedSite
from standins.platform._store import LinkedStoreClient, StoreModel
from standins.platform._tails import TailModel
from standins.platform._virtual_time import VirtualClock, run_in_virtual_time
from standins.platform._worker import LinkedWorkerClient, WorkerModel

__all__ = [
    "ClientMix",
    "ClientPlan",
    "History",
    "Link",
    "LinkedStoreClient",
    "LinkedWorkerClient",
    "Processor",
    "Reply",
    "SimulatedSite",
    "SimulatedTransport",
    "StoreModel",
    "TailModel",
    "Transport",
    "VirtualClock",
    "WorkerModel",
    "follow_job",
    "planning_charged",
    "random_plan",
    "run_client",
    "run_in_virtual_time",
    "violations",
    "wait_for_end",
    "watch_pending",
]
