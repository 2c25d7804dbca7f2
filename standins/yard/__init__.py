"""A stand-in for the users' platform: its store, its workers, its faults.

Everything runs in one process on the event loop's clock, real or virtual, and
keeps a record of what workers did from which checks count.
"""

from standins.yard._checks import violations
from standins.yard._faults import Link
from standins.yard._record import Record
from standins.yard._store import LinkedStore, StoreModel
from standins.yard._virtual import VirtualClock, run_virtual
from standins.yard._worker import LinkedWorkers, WorkerModel
from standins.yard._world import World

__all__ = [
    "Link",
    "LinkedStore",
    "LinkedWorkers",
    "Record",
    "StoreModel",
    "VirtualClock",
    "WorkerModel",
    "World",
    "run_virtual",
    "violations",
]
