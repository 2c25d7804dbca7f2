"""A stand-in for the users' platform: its store, its workers, its faults.

Everything runs in one process on the event loop's clock, real or virtual, and
keeps a record of what workers did from which checks count.
"""

from standins.platform._checks import violations
from standins.platform._history import History
from standins.platform._link import Link
from standins.platform._site import SimulatedSite
from standins.platform._store import LinkedStoreClient, StoreModel
from standins.platform._virtual_time import VirtualClock, run_in_virtual_time
from standins.platform._worker import LinkedWorkerClient, WorkerModel

__all__ = [
    "Link",
    "LinkedStoreClient",
    "LinkedWorkerClient",
    "History",
    "StoreModel",
    "VirtualClock",
    "WorkerModel",
    "SimulatedSite",
    "run_in_virtual_time",
    "violations",
]
