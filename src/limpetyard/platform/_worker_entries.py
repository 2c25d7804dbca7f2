"""Decodes the directory entries that workers write to the store.

Other writers may leave entries of any form among them. An entry is used only if
every value is within bounds, so that what is decoded can be stored again.
"""

from typing import Annotated

import msgspec

from limpetyard._events import event
from limpetyard.engine import WorkerEntry
from limpetyard.jobs import Resources
from limpetyard.store import StoredRecord

# Longest name, characters, and largest number of labels. An entry within these
# bounds is far smaller than the largest record of the store.
MAX_NAME_LENGTH = 255
MAX_LABELS = 64

# Bound on the capacity of a worker, in thousandths of a core, MB or
# accelerators: that of a run that fills any worker.
CAPACITY_BOUND = 1 << 40

# Largest time, in Unix milliseconds or as a duration in milliseconds, that
# every JSON reader decodes exactly.
MAX_TIME_MS = 1 << 53

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Amount = Annotated[int, msgspec.Meta(ge=0, lt=CAPACITY_BOUND)]

_DRAINING_STATE = "draining"
_STATES = ("ready", _DRAINING_STATE)


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpus: _Amount = 0

    def to_resources(self) -> Resources:
        return Resources(self.cpu, self.mem_mb, self.gpus)


class _DirectoryEntry(msgspec.Struct, rename="camel"):
    service: _Name
    address: _Name
    zone: _Name
    state: _Name
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
    capacity: _Capacity
    labels: Annotated[list[_Name], msgspec.Meta(max_length=MAX_LABELS)] = []
    # Minimum time until a draining worker departs.
    remaining_ms: Annotated[
        float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)
    ] = 0.0


_decoder = msgspec.json.Decoder(_DirectoryEntry)


def parse_worker_entry(record: StoredRecord) -> WorkerEntry | None:
    """Decodes a directory entry; logs one that names no worker to use.

    Returns:
        The entry, or None if it cannot be decoded, a value is out of bounds, or
        its state is unknown.
    """
    try:
        entry = _decoder.decode(record.value)
    except msgspec.MsgspecError as exc:
        event(
            "entry_unreadable",
            "WARNING",
            worker=record.key,
            bytes=len(record.value or b""),
            reason=exc,
        )
        return None
    if entry.state not in _STATES:
        event("entry_unusable", worker=record.key, state=entry.state)
        return None
    # Labels are the kind of the worker and its rack, in this order.
    rack = entry.labels[-1] if len(entry.labels) > 1 else ""
    return WorkerEntry(
        record.key,
        entry.service,
        entry.address,
        entry.zone,
        rack,
        tuple(entry.labels),
        entry.capacity.to_resources(),
        entry.born,
        entry.state == _DRAINING_STATE,
        entry.remaining_ms,
    )
