"""Exceptions of limpetyard."""

from limpetyard._error_kinds import ErrorKind


class LimpetyardError(Exception):
    """Base class of all errors raised by limpetyard."""


class SettingError(LimpetyardError):
    """A setting has an invalid value.

    Attributes:
        name: Name of the setting.
    """

    def __init__(self, name: str, value: object, allowed: str):
        super().__init__(f"{name}={value!r}: must be {allowed}")
        self.name = name


class DocumentError(LimpetyardError):
    """A template or parameter document is invalid.

    Attributes:
        location: Path of the invalid value in the document.
        reason: Why the value is invalid.
    """

    def __init__(self, location: str, reason: str):
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason


class PlatformError(LimpetyardError):
    """A call to a service of the platform failed."""


class LogUnavailableError(PlatformError):
    """The log did not reply; an append may have taken effect."""


class OffsetTrimmedError(PlatformError):
    """A read starts at records that the log no longer retains.

    Attributes:
        first_offset: First offset that the log retains.
    """

    def __init__(self, stream: str, offset: int, first_offset: int):
        super().__init__(
            f"{stream}: offset {offset} is trimmed;"
            f" the first retained one is {first_offset}"
        )
        self.first_offset = first_offset


class StreamUnrecoverableError(PlatformError):
    """A stream has neither a usable snapshot nor its first records."""


class WorkerUnavailableError(PlatformError):
    """A worker did not reply; the call may have taken effect."""


class VmListUnavailableError(PlatformError):
    """The VM list could not be read."""


class ChartError(LimpetyardError):
    """A state chart is invalid, or an event is not allowed in a state."""


class RequestError(LimpetyardError):
    """A request of a caller failed.

    Attributes:
        kind: Kind of the error, which determines the HTTP response.
        detail: Description of the error for the caller.
        retry_after_s: Seconds after which the caller may retry, or None.
    """

    def __init__(
        self, kind: ErrorKind, detail: str, retry_after_s: int | None = None
    ):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
