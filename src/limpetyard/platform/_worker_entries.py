"""Decodes the directory entries that workers write to the store.

Other writers may leave entries of any form among them. An entry is used only if
every value is within bounds, so that what is decoded can be stored again, sent
in a header and used as an address.
"""

import ipaddress
from typing import Annotated

import msgspec

from limpetyard._events import event
from limpetyard.engine import WorkerEntry
from limpetyard.jobs import Resources
from limpetyard.platform._bounds import Count, Time
from limpetyard.platform._decode_errors import DECODE_ERRORS
from limpetyard.store import StoredRecord

# Longest id of a worker, bytes. Keys of the store have at most 255 bytes, and
# the owner stores the worker under its id with a prefix.
MAX_ID_BYTES = 200

# Longest name, characters, and largest number of labels. An entry within these
# bounds is far smaller than the largest record of the store.
MAX_NAME_LENGTH = 255
MAX_LABELS = 64

# Bound on the capacity of a worker, in thousandths of a core, MB or
# accelerators: that of a run that fills any worker.
CAPACITY_BOUND = 1 << 40

MAX_PORT = 65_535

# Number of entries that are remembered as reported; more than a site has
# workers.
MAX_REPORTED = 1000

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

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
    born: Count
    capacity: _Capacity
    labels: Annotated[list[_Name], msgspec.Meta(max_length=MAX_LABELS)] = []
    # Minimum time until a draining worker departs.
    remaining_ms: Time = 0.0


_decoder = msgspec.json.Decoder(_DirectoryEntry)


class EntryReports:
    """Remembers which entries were reported to name no worker to use.

    Their writers may write them again and again, and each owner reads them.
    """

    __slots__ = ("_ids",)

    def __init__(self):
        # In the order of their reports; the values have no meaning.
        self._ids: dict[str, None] = {}

    def add(self, entry_id: str) -> bool:
        """Adds an entry; returns whether it is to be reported now."""
        if entry_id in self._ids:
            return False
        if len(self._ids) >= MAX_REPORTED:
            del self._ids[next(iter(self._ids))]
        self._ids[entry_id] = None
        return True

    def forget(self, entry_id: str) -> None:
        """Has an entry reported again if it gets unusable again."""
        self._ids.pop(entry_id, None)


def parse_worker_entry(
    record: StoredRecord, reports: EntryReports | None = None
) -> WorkerEntry | None:
    """Decodes a directory entry; logs one that names no worker to use.

    Args:
        record: Record of the entry.
        reports: Entries that were logged, which are not logged again; None to
            log each.

    Returns:
        The entry, or None if it cannot be decoded, a value is out of bounds, or
        its state is unknown. No content of a record raises an error.
    """
    try:
        entry = _decoder.decode(record.value)
        _check_id(record.key)
        _check_address(entry.address)
    except DECODE_ERRORS as exc:
        if reports is None or reports.add(record.key):
            event(
                "entry_unreadable",
                "WARNING",
                worker=record.key,
                bytes=len(record.value or b""),
                reason=exc,
            )
        return None
    if entry.state not in _STATES:
        if reports is None or reports.add(record.key):
            event("entry_unusable", worker=record.key, state=entry.state)
        return None
    if reports is not None:
        reports.forget(record.key)
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


def _check_id(worker_id: str) -> None:
    """Checks that an id can be part of a key and of a header.

    Raises:
        ValueError: If it cannot.
    """
    if not worker_id.isprintable() or not worker_id:
        raise ValueError("the id is empty or not printable")
    if len(worker_id.encode()) > MAX_ID_BYTES:
        raise ValueError(f"the id is longer than {MAX_ID_BYTES} bytes")


def _check_address(address: str) -> None:
    """Checks that an address is of the form IP:port and of one machine.

    Raises:
        ValueError: If it is not.
    """
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]") and "%" not in host:
        ip = ipaddress.IPv6Address(host[1:-1])
        # Useless without the name of an interface.
        if ip.is_link_local:
            raise ValueError(f"{host!r} is valid on one link only")
        ip = ip.ipv4_mapped or ip
    else:
        ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise ValueError(f"{host!r} names no machine")
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port!r} is not between 1 and {MAX_PORT}")
