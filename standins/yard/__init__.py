"""A simulation of the users' platform: store, workers, links and faults.

Everything runs in one event loop, in real or virtual time. A history records
what workers did and what clients observed; the checks work on it alone.
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
