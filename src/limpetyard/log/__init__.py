"""The platform's append-only log: interface, client, readers, snapshots.

Part of `limpetyard.daemon`; the counterpart for `limpetyard.noded` is
`limpetyard.store`.
"""

from limpetyard.log._http import HttpLog
from limpetyard.log._interface import Log, Page, Record
from limpetyard.log._projector import Projection, StreamProjector
from limpetyard.log._reader import StreamReader
from limpetyard.log._snapshot_schedule import SnapshotSchedule

__all__ = [
    "HttpLog",
    "Log",
    "Page",
    "Projection",
    "Record",
    "SnapshotSchedule",
    "StreamProjector",
    "StreamReader",
]
