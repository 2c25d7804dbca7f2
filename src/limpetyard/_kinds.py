"""Error kinds of requests and the HTTP response of each."""

import dataclasses
import enum


class ErrorKind(enum.Enum):
    """Reasons why a request fails without a response of its target."""

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


class Ran(enum.Enum):
    """Whether a failed request may have been executed."""

    NO = "no"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """HTTP response of an error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the request may have been executed.
    """

    status: int
    ran: Ran


ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_PARTNER: Answer(403, Ran.NO),
    ErrorKind.UNAUTHORIZED: Answer(401, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO),
    ErrorKind.BODY_TRUNCATED: Answer(400, Ran.NO),
    ErrorKind.NOT_READY: Answer(503, Ran.NO),
    ErrorKind.QUEUE_FULL: Answer(503, Ran.NO),
    ErrorKind.DEADLINE_BEFORE_SEND: Answer(504, Ran.NO),
    ErrorKind.NO_TARGET: Answer(503, Ran.NO),
    ErrorKind.TARGET_UNREACHABLE: Answer(502, Ran.NO),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN),
    ErrorKind.INVALID_DOCUMENT: Answer(422, Ran.NO),
    ErrorKind.VERSION_CONFLICT: Answer(409, Ran.NO),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, Ran.UNKNOWN),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO),
    ErrorKind.JOB_GONE: Answer(410, Ran.NO),
    ErrorKind.STORE_REFUSED: Answer(503, Ran.NO),
    ErrorKind.STORE_SILENT: Answer(504, Ran.UNKNOWN),
    ErrorKind.OWNER_AWAY: Answer(503, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
}
