"""The platform's append-only log: interface, client, readers, snapshots."""

from limpetyard.log._fold import Fold, StreamFolder
from limpetyard.log._http import HttpLog
from limpetyard.log._interface import Log, Page, Record
from limpetyard.log._reader import StreamReader
from limpetyard.log._snapshots import SnapshotPlan

__all__ = [
    "Fold",
    "HttpLog",
    "Log",
    "Page",
    "Record",
    "SnapshotPlan",
    "StreamFolder",
    "StreamReader",
]
