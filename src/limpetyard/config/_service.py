"""Follows the configuration stream and publishes into it."""

import asyncio
import collections
import uuid

import msgspec
from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard._kinds import ErrorKind
from limpetyard.config._document import parse
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
    StreamBrokenError,
)
from limpetyard.log import Log, SnapshotSchedule, StreamProjector, StreamReader

FOLLOW_WAIT_MS = 800
RETRY_MS = 200
VERDICTS_KEPT = 256
PUBLISH_TIMEOUT_MS = 5000
REPEAT_MS = 1000
SNAPSHOT_RECORDS = 100

_ENCODER = msgspec.json.Encoder()


class ConfigService(Service):
    """Keeps the configuration in force.

    Attributes:
        reader: Keeps the state level with the stream.
        changed: Set with every act that is accepted.
        snapshot_rank: This daemon's place in the order of snapshot writers.
    """

    def __init__(self, log: Log, clock: Clock, snapshot_ms: float):
        super().__init__()
        self.snapshot_rank = 0
        self._log = log
        self._clock = clock
        self._verdicts: collections.OrderedDict[str, int | None] = (
            collections.OrderedDict()
        )
        self.changed = asyncio.Event()
        self._waiting: dict[str, asyncio.Event] = {}
        self._plan = SnapshotSchedule(SNAPSHOT_RECORDS, snapshot_ms)
        self.reader = StreamReader(
            log, CONFIG_STREAM, self._new_projector, clock
        )

    @property
    def current(self) -> ConfigState | None:
        """The configuration in force, or None before the first catch-up."""
        projector = self.reader.projector
        return projector.projection if projector else None

    @property
    def confirmed_ms(self) -> float | None:
        """Clock before the newest read that reached the stream's end."""
        return self.reader.confirmed_ms

    async def publish(self, record: Publish | SetZone) -> int:
        """Appends an act and returns the version that it led to.

        Raises:
            RequestError: If the act is void, or if the log does not answer;
                then it may still be accepted later.
        """
        read = self._waiting[record.id] = asyncio.Event()
        text = _ENCODER.encode(record).decode()
        try:
            await asyncio.wait_for(
                self._append_until(text, read),
                PUBLISH_TIMEOUT_MS / MS_PER_SECOND,
            )
        except TimeoutError as exc:
            raise RequestError(
                ErrorKind.LOG_UNAVAILABLE, "the act was not read back"
            ) from exc
        finally:
            del self._waiting[record.id]
        version = self._verdicts[record.id]
        if version is None:
            raise RequestError(
                ErrorKind.VERSION_CONFLICT,
                f"expected version {record.expected}, in force is"
                f" {self.current.version}",
            )
        return version

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.reader.advance(FOLLOW_WAIT_MS)
                await self._snapshot()
            except (LogUnavailableError, StreamBrokenError) as exc:
                event("config_read_failed", "WARNING", reason=exc)
                await self.sleep(RETRY_MS / MS_PER_SECOND)

    async def _append_until(self, text: str, read: asyncio.Event) -> None:
        """Appends the same record until it was read back."""
        while not read.is_set():
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
                await asyncio.wait_for(read.wait(), REPEAT_MS / MS_PER_SECOND)
            except TimeoutError:
                continue

    async def _snapshot(self) -> None:
        projector = self.reader.projector
        now_ms = self._clock.now_ms()
        if not self._plan.due(projector, now_ms, self.snapshot_rank):
            return
        record = ConfigSnapshot(
            projector.next_offset - 1, projector.projection.dump()
        )
        await self._log.append(CONFIG_STREAM, _ENCODER.encode(record).decode())

    def _new_projector(self) -> StreamProjector:
        state = ConfigState(self._note)
        return StreamProjector(state, ConfigRecord, ConfigSnapshot)

    def _note(
        self, record: Publish | SetZone, accepted: bool, version: int
    ) -> None:
        verdict = version if accepted else None
        if self._verdicts.get(record.id) is None:
            self._verdicts[record.id] = verdict
        while len(self._verdicts) > VERDICTS_KEPT:
            self._verdicts.popitem(last=False)
        if record.id in self._waiting:
            self._waiting[record.id].set()
        if accepted:
            self.changed.set()
            event("config_accepted", version=version, author=record.author)


def new_publish(
    expected: int, author: str, template: str, parameters: str
) -> Publish:
    """Returns a checked act that replaces the documents.

    Raises:
        DocumentError: If a document is not valid.
    """
    parse(template, parameters)
    return Publish(_new_id(), expected, author, template, parameters)


def new_set_zone(
    expected: int, author: str, availability_zone: str, out: bool
) -> SetZone:
    """Returns an act that takes a zone out or brings it back."""
    return SetZone(_new_id(), expected, author, availability_zone, out)


def _new_id() -> str:
    return uuid.uuid4().hex
