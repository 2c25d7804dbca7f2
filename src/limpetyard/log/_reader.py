"""Reading one stream to its end and following it from there."""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard.errors import OffsetTrimmedError, StreamBrokenError
from limpetyard.log._interface import Log, Page
from limpetyard.log._projector import StreamProjector

PAGE_RECORDS = 500

# A newcomer first tries the stream's last records alone.
RECOVERY_RECORDS = 600

# The stream may be trimmed while it is being read.
BEGIN_TRIES = 3


class StreamReader:
    """Keeps a folder level with its stream.

    Attributes:
        projector: Holds the state, or None before the first catch-up. It is
            replaced as a whole once a new one has caught up, so that no
            older state shows while a trimmed stream is read again.
        bytes_read: Size of all record texts read.
        records_read: Count of all records read.
    """

    __slots__ = (
        "_clock",
        "_log",
        "_new_projector",
        "_stream",
        "_confirmed",
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
        """Clock before the newest call that read the stream to its end.

        The state that `projector` holds has everything that was appended before
        then. None before the first such call, and while the folder that was
        level with the end has not become the reader's.
        """
        projector, sent_ms = self._confirmed
        return sent_ms if projector and projector is self.projector else None

    async def begin(self) -> None:
        """Finds a start from which the state can be folded.

        Raises:
            LogUnavailableError: If the log does not answer.
            StreamBrokenError: If no snapshot replaces the records trimmed away.
        """
        for _ in range(BEGIN_TRIES):
            bounds = await self._log.read(self._stream, 0, 0, 0)
            recent = max(bounds.first, bounds.end - RECOVERY_RECORDS)
            for start in sorted({recent, bounds.first}, reverse=True):
                if await self._begin_at(start):
                    return
        raise StreamBrokenError(f"{self._stream}: nothing usable in {bounds}")

    async def advance(self, wait_ms: int) -> None:
        """Begins, or follows what is new once there is a state.

        Raises:
            LogUnavailableError: If the log does not answer.
            StreamBrokenError: If no snapshot replaces what is trimmed away.
        """
        if self.projector is None:
            await self.begin()
        else:
            await self.follow(wait_ms)

    async def follow(self, wait_ms: int) -> None:
        """Reads what is new, waiting up to `wait_ms` for it.

        Raises:
            LogUnavailableError: If the log does not answer.
            StreamBrokenError: If no snapshot replaces the records trimmed away.
        """
        try:
            await self._read_page(self.projector, wait_ms)
        except OffsetTrimmedError:
            await self.begin()

    async def _begin_at(self, start: int) -> bool:
        """Reads from `start` to the end and returns whether that was enough."""
        projector = self._new_projector()
        projector.restart(start)
        try:
            while await self._read_page(projector, 0):
                pass
        except OffsetTrimmedError:
            return False
        if projector.based:
            self.projector = projector
        return projector.based

    async def _read_page(
        self, projector: StreamProjector, wait_ms: int
    ) -> bool:
        """Reads one page and returns whether more is known to be there."""
        sent_ms = self._clock.now_ms()
        page = await self._log.read(
            self._stream, projector.next_offset, PAGE_RECORDS, wait_ms
        )
        self._count(page)
        projector.feed(page)
        more = projector.next_offset < page.end
        if not more:
            self._confirmed = (projector, sent_ms)
        return more

    def _count(self, page: Page) -> None:
        self.records_read += len(page.records)
        self.bytes_read += sum(len(record.data) for record in page.records)
