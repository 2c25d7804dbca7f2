"""Record of the workers that get no lease from an owner.

The next owner learns from it that a worker has been silent for a while, or has
drained and can run nothing, also if the owner that knew it is gone. An owner
therefore grants no lease to a worker that the record names. It takes the worker
off the record, and waits until that is stored, before it grants the worker a
lease again.
"""

import itertools
import math
from collections.abc import Collection

import msgspec

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import Engine, Worker
from limpetyard.jobs import decode_record
from limpetyard.node._store_layout import UNLEASED_KEY
from limpetyard.store import KeyedRecord

# Time after the state has been loaded at which the first record is stored, also
# if some workers have not replied yet.
FIRST_RECORD_MS = 100

# Interval at which the remaining times are stored while there are some.
REFRESH_MS = 1000

# Time between two looks at all workers.
LOOK_INTERVAL_MS = 50

# Maximum size of a record, bytes, and size of an entry beside its key. Workers
# beyond it get leases once they reply.
MAX_RECORD_BYTES = 100_000
ENTRY_BYTES = 16


class UnleasedRecord(msgspec.Struct, frozen=True):
    """Workers without leases, as stored.

    Attributes:
        epoch: Epoch of the owner that stored the record.
        left_ms: Time, since the record was made, for which runs may still exist
            on each worker that gets no lease, by worker id.
    """

    epoch: int
    left_ms: dict[str, float]


_decoder = msgspec.msgpack.Decoder(UnleasedRecord)


def decode_unleased(value: bytes | None) -> UnleasedRecord:
    """Decodes a stored record; returns an empty one if it is not usable."""
    none = UnleasedRecord(0, {})
    if value is None:
        return none
    try:
        record = decode_record(_decoder, value)
    except msgspec.MsgspecError as exc:
        event("record_unreadable", "ERROR", key=UNLEASED_KEY, reason=exc)
        return none
    times = record.left_ms.values()
    if not all(math.isfinite(left) and left >= 0 for left in times):
        event("record_unreadable", "ERROR", key=UNLEASED_KEY, reason="times")
        return none
    return record


class UnleasedWorkers:
    """Decides which workers get leases, and what is stored about it."""

    __slots__ = (
        "_clock",
        "_engine",
        "_loaded_ms",
        "_looked_ms",
        "_recorded",
        "_sent",
        "_stored",
    )

    def __init__(self, engine: Engine, recorded: Collection[str], clock: Clock):
        """Initializes an ownership that has stored no record.

        Args:
            engine: State of the ownership, which has just been loaded.
            recorded: Ids of the workers that later owners will know. The owner
                changes it as it stores them.
            clock: Clock for all times.
        """
        self._engine = engine
        self._recorded = recorded
        self._clock = clock
        self._loaded_ms = clock.now_ms()
        self._looked_ms = -math.inf
        # Remaining times in the latest record that was sent, and in the latest
        # one that is known to be stored; when each of them was made.
        self._sent: tuple[float, dict[str, float]] = (-math.inf, {})
        self._stored: tuple[float, dict[str, float]] | None = None

    def may_lease(self, worker_id: str) -> bool:
        """Returns whether a worker may be granted a lease."""
        stored = () if self._stored is None else self._stored[1]
        return worker_id not in stored and worker_id not in self._sent[1]

    def is_due(self) -> bool:
        """Returns whether a new record is to be stored.

        Returns False if it was called less than `LOOK_INTERVAL_MS` ago.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._looked_ms < LOOK_INTERVAL_MS:
            return False
        self._looked_ms = now_ms
        left_ms = self._left_ms(now_ms)
        if self._stored is None:
            waited_ms = now_ms - self._loaded_ms
            return not left_ms or waited_ms >= FIRST_RECORD_MS
        made_ms, stored = self._stored
        return left_ms.keys() != stored.keys() or (
            any(stored.values()) and now_ms - made_ms >= REFRESH_MS
        )

    def make_record(self) -> KeyedRecord:
        """Returns a new record; the workers in it get no lease from now on."""
        now_ms = self._clock.now_ms()
        self._sent = (now_ms, self._left_ms(now_ms))
        record = UnleasedRecord(self._engine.epoch, self._sent[1])
        return KeyedRecord(UNLEASED_KEY, msgspec.msgpack.encode(record))

    def on_stored(self) -> None:
        """Handles that the latest record has been stored."""
        self._stored = self._sent

    def _left_ms(self, now_ms: float) -> dict[str, float]:
        workers = [
            worker
            for worker in self._engine.workers.values()
            if worker.id in self._recorded and not _needs_lease(worker, now_ms)
        ]
        sizes = itertools.accumulate(
            len(worker.id.encode()) + ENTRY_BYTES for worker in workers
        )
        return {
            worker.id: max(0.0, worker.runs_until_ms - now_ms)
            for worker, size in zip(workers, sizes, strict=True)
            if size <= MAX_RECORD_BYTES
        }


def _needs_lease(worker: Worker, now_ms: float) -> bool:
    return (
        worker.token_confirmed
        and worker.is_responsive(now_ms)
        and not worker.is_drained
    )
