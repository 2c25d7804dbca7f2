"""Interface to the platform's store of partitioned logs."""

from limpetyard.store._errors import (
    FencedError,
    HistoryLostError,
    RefusalKind,
    SequenceError,
    StoreError,
    StoreRefusedError,
    StoreSilentError,
)
from limpetyard.store._follower import KeyFollower
from limpetyard.store._interface import (
    GroupView,
    KeyedRecord,
    NewestPage,
    Producer,
    Store,
    StoredRecord,
    TailPage,
)
from limpetyard.store._writer import Writer

__all__ = [
    "FencedError",
    "GroupView",
    "HistoryLostError",
    "KeyFollower",
    "KeyedRecord",
    "NewestPage",
    "Producer",
    "RefusalKind",
    "SequenceError",
    "Store",
    "StoreError",
    "StoreRefusedError",
    "StoreSilentError",
    "StoredRecord",
    "TailPage",
    "Writer",
]
