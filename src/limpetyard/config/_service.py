"""Follows the configuration stream and publishes changes to it."""

import asyncio
import collections
import uuid

import msgspec
from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ErrorKind
from limpetyard._events import event
from limpetyard.config._document import parse_configuration
from limpetyard.config._state import (
    CONFIG_STREAM,
    ConfigRecord,
    ConfigSnapshot,
    ConfigState,
    Publish,
    SetZone,
)
from limpetyard.errors import (
    LogUnavailableError,
    RequestError,
    StreamUnrecoverableError,
)
from limpetyard.log import Log, SnapshotSchedule, StreamProjector, StreamReader

FOLLOW_WAIT_MS = 800
READ_RETRY_MS = 200
MAX_OUTCOMES = 256
PUBLISH_TIMEOUT_MS = 5000
APPEND_RETRY_MS = 1000
SNAPSHOT_RECORDS = 100

_ENCODER = msgspec.json.Encoder()


class ConfigService(Service):
    """Maintains the configuration in force.

    Attributes:
        reader: Keeps the state up to date with the stream.
        changed: Set whenever a change is accepted.
        snapshot_rank: Rank of this daemon among the snapshot writers, from 0.
    """

    def __init__(self, log: Log, clock: Clock, snapshot_ms: float):
        super().__init__()
        self.snapshot_rank = 0
        self._log = log
        self._clock = clock
        # Version that each change produced, or None if it was rejected, by the
        # id of the change.
        self._outcomes: collections.OrderedDict[str, int | None] = (
            collections.OrderedDict()
        )
        self.changed = asyncio.Event()
        self._read_back_events: dict[str, asyncio.Event] = {}
        self._snapshot_schedule = SnapshotSchedule(
            SNAPSHOT_RECORDS, snapshot_ms
        )
        self.reader = StreamReader(
            log, CONFIG_STREAM, self._new_projector, clock
        )

    @property
    def current(self) -> ConfigState | None:
        """The configuration in force, or None until the reader caught up."""
        projector = self.reader.projector
        return projector.projection if projector else None

    @property
    def confirmed_ms(self) -> float | None:
        """Clock reading before the latest read up to the stream's end."""
        return self.reader.confirmed_ms

    async def publish(self, record: Publish | SetZone) -> int:
        """Appends a change and returns the version that it produced.

        Raises:
            RequestError: If the change was rejected (`VERSION_CONFLICT`), or
                if it was not read back from the log in time
                (`LOG_UNAVAILABLE`); it may then still be accepted later.
        """
        read_back = self._read_back_events[record.id] = asyncio.Event()
        text = _ENCODER.encode(record).decode()
        try:
            await asyncio.wait_for(
                self._append_until_read(text, read_back),
                PUBLISH_TIMEOUT_MS / MS_PER_SECOND,
            )
        except TimeoutError as exc:
            raise RequestError(
                ErrorKind.LOG_UNAVAILABLE,
                "timed out waiting to read the change back",
            ) from exc
        finally:
            del self._read_back_events[record.id]
        version = self._outcomes[record.id]
        if version is None:
            raise RequestError(
                ErrorKind.VERSION_CONFLICT,
                f"expected version {record.expected}, version in force is"
                f" {self.current.version}",
            )
        return version

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.reader.advance(FOLLOW_WAIT_MS)
                await self._write_snapshot_if_due()
            except (LogUnavailableError, StreamUnrecoverableError) as exc:
                event("config_read_failed", "WARNING", reason=exc)
                await self.sleep(READ_RETRY_MS / MS_PER_SECOND)

    async def _append_until_read(
        self, text: str, read_back: asyncio.Event
    ) -> None:
        """Appends the record repeatedly until it is read back.

        Repeating is safe: the state advances its version with the first copy
        that it accepts and rejects the others.
        """
        while not read_back.is_set():
            try:
                await self._log.append(CONFIG_STREAM, text)
            except LogUnavailableError as exc:
                event(
                    "append_unanswered",
                    "WARNING",
                    topic="config",
                    reason=exc,
                )
            try:
                await asyncio.wait_for(
                    read_back.wait(), APPEND_RETRY_MS / MS_PER_SECOND
                )
            except TimeoutError:
                continue

    async def _write_snapshot_if_due(self) -> None:
        projector = self.reader.projector
        now_ms = self._clock.now_ms()
        if not self._snapshot_schedule.start_if_due(
            projector, now_ms, self.snapshot_rank
        ):
            return
        record = ConfigSnapshot(
            projector.next_offset - 1, projector.projection.dump()
        )
        await self._log.append(CONFIG_STREAM, _ENCODER.encode(record).decode())

    def _new_projector(self) -> StreamProjector:
        state = ConfigState(self._record_outcome)
        return StreamProjector(state, ConfigRecord, ConfigSnapshot)

    def _record_outcome(
        self, record: Publish | SetZone, accepted: bool, version: int
    ) -> None:
        outcome = version if accepted else None
        # A repeated copy is rejected; it must not replace an acceptance.
        if self._outcomes.get(record.id) is None:
            self._outcomes[record.id] = outcome
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        if record.id in self._read_back_events:
            self._read_back_events[record.id].set()
        if accepted:
            self.changed.set()
            event("config_accepted", version=version, author=record.author)


def new_publish(
    expected: int, author: str, template: str, parameters: str
) -> Publish:
    """Validates the documents and returns a change that replaces them.

    Raises:
        DocumentError: If a document is invalid.
    """
    parse_configuration(template, parameters)
    return Publish(_new_id(), expected, author, template, parameters)


def new_set_zone(
    expected: int, author: str, availability_zone: str, out: bool
) -> SetZone:
    """Returns a change that takes a zone out of service or restores it."""
    return SetZone(_new_id(), expected, author, availability_zone, out)


def _new_id() -> str:
    return uuid.uuid4().hex
