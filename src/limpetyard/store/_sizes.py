"""Sizes of records, and appends within the limits of the store."""

from collections.abc import Iterable, Iterator

from limpetyard.store._interface import KeyedRecord

# Bytes that a record takes beside its key and value, at most: their lengths.
RECORD_OVERHEAD_BYTES = 5


def size_bytes(record: KeyedRecord) -> int:
    """Returns the size of a record, for comparison with `StoreLimits`."""
    key_bytes = len(record.key.encode())
    return RECORD_OVERHEAD_BYTES + key_bytes + len(record.value or b"")


def split_append(
    groups: Iterable[list[KeyedRecord]], call_bytes: int
) -> Iterator[list[KeyedRecord]]:
    """Divides records, in order, into appends that the store accepts.

    Args:
        groups: Records that share one append, unless they are too large for
            one by themselves.
        call_bytes: See `StoreLimits`. A single record may exceed it.

    Yields:
        The records of each append, at least one.
    """
    batch: list[KeyedRecord] = []
    total_bytes = 0
    for group in groups:
        size = sum(map(size_bytes, group))
        parts = [group] if size <= call_bytes else [[r] for r in group]
        for part in parts:
            size = sum(map(size_bytes, part))
            if batch and total_bytes + size > call_bytes:
                yield batch
                batch, total_bytes = [], 0
            batch += part
            total_bytes += size
    if batch:
        yield batch
