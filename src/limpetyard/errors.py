"""Exceptions of limpetyard."""

from limpetyard._error_kinds import ErrorKind


class LimpetyardError(Exception):
    """Base class of all errors raised by limpetyard."""


class SettingError(LimpetyardError):
    """A setting has a value that is not allowed."""

    def __init__(self, name: str, value: object, allowed: str):
        super().__init__(f"{name}={value!r}: allowed is {allowed}")
        self.name = name


class DocumentError(LimpetyardError):
    """A template or parameter document is not valid."""

    def __init__(self, place: str, reason: str):
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


class PlatformError(LimpetyardError):
    """A call to a service of the platform failed."""


class LogUnavailableError(PlatformError):
    """The log did not answer; an append may or may not have taken effect."""


class OffsetTrimmedError(PlatformError):
    """Records before `first` are no longer kept by the log."""

    def __init__(self, stream: str, offset: int, first: int):
        super().__init__(f"{stream}: offset {offset} is before {first}")
        self.first = first


class StreamUnrecoverableError(PlatformError):
    """A stream cannot be folded: no usable snapshot and no beginning."""


class WorkerUnavailableError(PlatformError):
    """A worker did not answer; the call may or may not have taken effect."""


class VmListUnavailableError(PlatformError):
    """The VM list did not answer."""


class ChartError(LimpetyardError):
    """A state chart does not allow an event in its present state."""


class RequestError(LimpetyardError):
    """A caller's request ends with one of the closed list of error kinds.

    Attributes:
        kind: The kind.
        detail: What was wrong.
        retry_after_s: When the caller may come back, or None.
    """

    def __init__(
        self, kind: ErrorKind, detail: str, retry_after_s: int | None = None
    ):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
