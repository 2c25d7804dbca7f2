"""The closed list of error kinds and the answer that each one gets."""

import dataclasses
import enum


class ErrorKind(enum.Enum):
    """Every way in which a request can end without the target's answer."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PARTNER = "unknown_partner"
    UNAUTHORIZED = "unauthorized"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TRUNCATED = "body_truncated"
    NOT_READY = "not_ready"
    QUEUE_FULL = "queue_full"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    NO_TARGET = "no_target"
    TARGET_UNREACHABLE = "target_unreachable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INVALID_DOCUMENT = "invalid_document"
    VERSION_CONFLICT = "version_conflict"
    LOG_UNAVAILABLE = "log_unavailable"
    NOT_FOUND = "not_found"
    JOB_GONE = "job_gone"
    STORE_REFUSED = "store_refused"
    STORE_SILENT = "store_silent"
    OWNER_AWAY = "owner_away"
    INTERNAL = "internal"


class ExecutionStatus(enum.Enum):
    """What a caller may conclude about the execution of its request."""

    NOT_EXECUTED = "no"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP answer of an error kind.

    Attributes:
        status: HTTP status code.
        execution: Whether the request may have been executed.
    """

    status: int
    execution: ExecutionStatus


ERROR_RESPONSES = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.UNKNOWN_PARTNER: ErrorResponse(403, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.BODY_TRUNCATED: ErrorResponse(400, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.NOT_READY: ErrorResponse(503, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.DEADLINE_BEFORE_SEND: ErrorResponse(
        504, ExecutionStatus.NOT_EXECUTED
    ),
    ErrorKind.NO_TARGET: ErrorResponse(503, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.TARGET_UNREACHABLE: ErrorResponse(
        502, ExecutionStatus.NOT_EXECUTED
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, ExecutionStatus.UNKNOWN),
    ErrorKind.INVALID_DOCUMENT: ErrorResponse(
        422, ExecutionStatus.NOT_EXECUTED
    ),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(
        409, ExecutionStatus.NOT_EXECUTED
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(503, ExecutionStatus.UNKNOWN),
    ErrorKind.NOT_FOUND: ErrorResponse(404, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.JOB_GONE: ErrorResponse(410, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.STORE_REFUSED: ErrorResponse(503, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.STORE_SILENT: ErrorResponse(504, ExecutionStatus.UNKNOWN),
    ErrorKind.OWNER_AWAY: ErrorResponse(503, ExecutionStatus.NOT_EXECUTED),
    ErrorKind.INTERNAL: ErrorResponse(500, ExecutionStatus.UNKNOWN),
}
