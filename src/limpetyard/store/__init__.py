"""Interface to the platform's store of partitioned logs.

Used by `limpetyard.node`; the daemon `limpetyard.daemon` uses `limpetyard.log`
instead.
"""

from limpetyard.store._errors import (
    FencedError,
    RefusalKind,
    SequenceError,
    StoreError,
    StoreOffsetTrimmedError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from limpetyard.store._follower import KeyFollower
from limpetyard.store._interface import (
    GroupAssignment,
    KeyedRecord,
    LatestPage,
    Producer,
    Store,
    StoredRecord,
    StoreLimits,
    TailPage,
)
from limpetyard.store._sizes import size_bytes, split_append
from limpetyard.store._writer import Writer

__all__ = [
    "FencedError",
    "GroupAssignment",
    "KeyFollower",
    "KeyedRecord",
    "LatestPage",
    "Producer",
    "RefusalKind",
    "SequenceError",
    "Store",
    "StoreError",
    "StoreLimits",
    "StoreOffsetTrimmedError",
    "StoreOutcomeUnknownError",
    "StoreRefusedError",
    "StoredRecord",
    "TailPage",
    "Writer",
    "size_bytes",
    "split_append",
]
