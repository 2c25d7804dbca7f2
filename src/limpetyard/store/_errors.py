"""Ways in which a call to the store can fail."""

import enum

from limpetyard.errors import PlatformError


class RefusalKind(enum.Enum):
    """Why the store refused a call without doing anything."""

    BUSY = "busy"
    RATE = "rate"
    FULL = "full"
    UNREACHABLE = "unreachable"
    INVALID = "invalid"


class StoreError(PlatformError):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The store did nothing."""

    def __init__(self, kind: RefusalKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind


class StoreOutcomeUnknownError(StoreError):
    """No answer came; the call may take effect now, later or never."""


class FencedError(StoreError):
    """Another producer of the same name has a higher epoch."""


class SequenceError(StoreError):
    """The partition expects another sequence number."""

    def __init__(self, sent: int, expected: int):
        super().__init__(f"sequence {sent} sent, {expected} expected")
        self.expected = expected


class OffsetOutOfRangeError(StoreError):
    """Records from `offset` on are no longer kept."""

    def __init__(self, topic: str, offset: int):
        super().__init__(f"{topic}: offset {offset} is no longer kept")
