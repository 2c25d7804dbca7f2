"""Reads one stream to its end and follows it from there."""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard.errors import OffsetTrimmedError, StreamUnrecoverableError
from limpetyard.log._interface import Log, Page
from limpetyard.log._projector import StreamProjector

PAGE_RECORDS = 500

# A new reader first tries to start from this many records at the end of the
# stream, before it reads all retained records.
RECOVERY_RECORDS = 600

# The stream may be trimmed between the bounds request and a read, or between
# two reads; the reader then starts over with new bounds.
BOOTSTRAP_TRIES = 3


class StreamReader:
    """Keeps a projection up to date with its stream.

    Attributes:
        projector: Holds the state, or None before the first catch-up. It is
            replaced only once a new one has caught up, so that no older
            state is visible while a trimmed stream is read again.
        bytes_read: Total length of all record texts read, in characters.
        records_read: Total number of records read.
    """

    __slots__ = (
        "_clock",
        "_confirmed",
        "_log",
        "_new_projector",
        "_stream",
        "bytes_read",
        "projector",
        "records_read",
    )

    def __init__(
        self,
        log: Log,
        stream: str,
        new_projector: Callable[[], StreamProjector],
        clock: Clock,
    ):
        self._log = log
        self._stream = stream
        self._clock = clock
        self._new_projector = new_projector
        self.projector: StreamProjector | None = None
        self._confirmed: tuple[StreamProjector | None, float] = (None, 0.0)
        self.bytes_read = 0
        self.records_read = 0

    @property
    def confirmed_ms(self) -> float | None:
        """Clock reading before the latest call that read up to the end.

        The state in `projector` includes every record appended before that
        time. None before the first such call, and if the projector that
        reached the end is not the current one.
        """
        projector, sent_ms = self._confirmed
        return sent_ms if projector and projector is self.projector else None

    async def bootstrap(self) -> None:
        """Builds the state anew from the latest offset that suffices.

        Raises:
            LogUnavailableError: If the log does not respond.
            StreamUnrecoverableError: If no snapshot covers the trimmed records.
        """
        for _ in range(BOOTSTRAP_TRIES):
            bounds = await self._log.read(self._stream, 0, 0, 0)
            recent = max(bounds.first, bounds.end - RECOVERY_RECORDS)
            for start in sorted({recent, bounds.first}, reverse=True):
                if await self._bootstrap_at(start):
                    return
        raise StreamUnrecoverableError(
            f"{self._stream}: no snapshot in the retained range covers the"
            f" trimmed records; {bounds}"
        )

    async def advance(self, wait_ms: int) -> None:
        """Builds the state if there is none, or else follows the stream.

        Raises:
            LogUnavailableError: If the log does not respond.
            StreamUnrecoverableError: If no snapshot covers the trimmed records.
        """
        if self.projector is None:
            await self.bootstrap()
        else:
            await self.follow(wait_ms)

    async def follow(self, wait_ms: int) -> None:
        """Reads a page of new records, waiting up to `wait_ms` for them.

        Raises:
            LogUnavailableError: If the log does not respond.
            StreamUnrecoverableError: If no snapshot covers the trimmed records.
        """
        try:
            await self._read_page(self.projector, wait_ms)
        except OffsetTrimmedError:
            await self.bootstrap()

    async def _bootstrap_at(self, start: int) -> bool:
        """Reads from `start` to the end; returns whether the state is valid."""
        projector = self._new_projector()
        projector.restart(start)
        try:
            while await self._read_page(projector, 0):
                pass
        except OffsetTrimmedError:
            return False
        if projector.has_base:
            self.projector = projector
        return projector.has_base

    async def _read_page(
        self, projector: StreamProjector, wait_ms: int
    ) -> bool:
        """Reads one page and returns whether the stream holds more records."""
        sent_ms = self._clock.now_ms()
        page = await self._log.read(
            self._stream, projector.next_offset, PAGE_RECORDS, wait_ms
        )
        self._count_page(page)
        projector.apply_page(page)
        more = projector.next_offset < page.end
        if not more:
            self._confirmed = (projector, sent_ms)
        return more

    def _count_page(self, page: Page) -> None:
        self.records_read += len(page.records)
        self.bytes_read += sum(len(record.data) for record in page.records)
