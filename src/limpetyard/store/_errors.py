"""Errors of calls to the store."""

import enum

from limpetyard.errors import PlatformError


class RefusalKind(enum.Enum):
    """Reason for which the store refused a call without applying it."""

    BUSY = "busy"
    RATE = "rate"
    FULL = "full"
    UNREACHABLE = "unreachable"
    INVALID = "invalid"


class StoreError(PlatformError):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The store refused the call and changed nothing."""

    def __init__(self, kind: RefusalKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind


class StoreOutcomeUnknownError(StoreError):
    """The call got no usable reply; it may take effect now, later or never."""


class FencedError(StoreError):
    """A producer with the same id and a higher epoch has fenced this one."""


class SequenceError(StoreError):
    """The partition expects another sequence number than the one sent."""

    def __init__(self, sent: int, expected: int):
        super().__init__(f"sequence {sent} sent, {expected} expected")
        self.expected = expected


class StoreOffsetTrimmedError(StoreError):
    """The store has trimmed the record at `offset`."""

    def __init__(self, topic: str, offset: int):
        super().__init__(f"{topic}: offset {offset} is trimmed")
