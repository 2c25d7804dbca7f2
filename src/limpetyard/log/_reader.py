"""Reading one stream to its end and following it from there."""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard.errors import OffsetTrimmedError, StreamBrokenError
from limpetyard.log._fold import StreamFolder
from limpetyard.log._interface import Log, Page

PAGE_RECORDS = 500

# A newcomer first tries the stream's last records alone.
RECOVERY_RECORDS = 600

# The stream may be trimmed while it is being read.
BEGIN_TRIES = 3


class StreamReader:
    """Keeps a folder level with its stream.

    Attributes:
        folder: Holds the state, or None before the first catch-up. It is
            replaced as a whole once a new one has caught up, so that no
            older state shows while a trimmed stream is read again.
        bytes_read: Size of all record texts read.
        records_read: Count of all records read.
    """

    __slots__ = (
        "_clock",
        "_log",
        "_new_folder",
        "_stream",
        "_confirmed",
        "bytes_read",
        "folder",
        "records_read",
    )

    def __init__(
        self,
        log: Log,
        stream: str,
        new_folder: Callable[[], StreamFolder],
        clock: Clock,
    ):
        self._log = log
        self._stream = stream
        self._clock = clock
        self._new_folder = new_folder
        self.folder: StreamFolder | None = None
        self._confirmed: tuple[StreamFolder | None, float] = (None, 0.0)
        self.bytes_read = 0
        self.records_read = 0

    @property
    def confirmed_ms(self) -> float | None:
        """Clock before the newest call that read the stream to its end.

        The state that `folder` holds has everything that was appended before
        then. None before the first such call, and while the folder that was
        level with the end has not become the reader's.
        """
        folder, sent_ms = self._confirmed
        return sent_ms if folder and folder is self.folder else None

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
        if self.folder is None:
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
            await self._read_page(self.folder, wait_ms)
        except OffsetTrimmedError:
            await self.begin()

    async def _begin_at(self, start: int) -> bool:
        """Reads from `start` to the end and returns whether that was enough."""
        folder = self._new_folder()
        folder.restart(start)
        try:
            while await self._read_page(folder, 0):
                pass
        except OffsetTrimmedError:
            return False
        if folder.has_base:
            self.folder = folder
        return folder.has_base

    async def _read_page(self, folder: StreamFolder, wait_ms: int) -> bool:
        """Reads one page and returns whether more is known to be there."""
        sent_ms = self._clock.now_ms()
        page = await self._log.read(
            self._stream, folder.next_offset, PAGE_RECORDS, wait_ms
        )
        self._count_page(page)
        folder.feed(page)
        more = folder.next_offset < page.end
        if not more:
            self._confirmed = (folder, sent_ms)
        return more

    def _count_page(self, page: Page) -> None:
        self.records_read += len(page.records)
        self.bytes_read += sum(len(record.data) for record in page.records)
