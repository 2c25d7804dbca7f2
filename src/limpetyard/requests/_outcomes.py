"""Outcomes of attempts, and the retry decision for each of them.

The table of retry decisions is the only place that decides whether a request is
reported as not run. A request that was handed to a connection never is,
whatever happened afterwards, because the target may have executed it.
"""

import dataclasses
import enum

from limpetyard._error_kinds import ErrorKind


class AttemptOutcome(enum.Enum):
    """How far an attempt got before it ended."""

    NOT_SENT = "not_sent"
    NO_RESPONSE = "no_answer"
    TRUNCATED_RESPONSE = "cut_answer"
    RESPONDED = "answered"


@dataclasses.dataclass(slots=True, frozen=True)
class RetryDecision:
    """Whether to retry after an attempt, and the error if there is no retry.

    Attributes:
        retry: Whether another attempt is allowed.
        kind: Error that the caller gets if there is no further attempt, or
            None after a complete response.
    """

    retry: bool
    kind: ErrorKind | None


_RETRY_DECISIONS = {
    (AttemptOutcome.NOT_SENT, True): RetryDecision(
        True, ErrorKind.TARGET_UNREACHABLE
    ),
    (AttemptOutcome.NOT_SENT, False): RetryDecision(
        True, ErrorKind.TARGET_UNREACHABLE
    ),
    (AttemptOutcome.NO_RESPONSE, True): RetryDecision(
        True, ErrorKind.OUTCOME_UNKNOWN
    ),
    (AttemptOutcome.NO_RESPONSE, False): RetryDecision(
        False, ErrorKind.OUTCOME_UNKNOWN
    ),
    (AttemptOutcome.TRUNCATED_RESPONSE, True): RetryDecision(
        True, ErrorKind.OUTCOME_UNKNOWN
    ),
    (AttemptOutcome.TRUNCATED_RESPONSE, False): RetryDecision(
        False, ErrorKind.OUTCOME_UNKNOWN
    ),
    (AttemptOutcome.RESPONDED, True): RetryDecision(False, None),
    (AttemptOutcome.RESPONDED, False): RetryDecision(False, None),
}


def retry_decision(outcome: AttemptOutcome, idempotent: bool) -> RetryDecision:
    """Returns the retry decision for the outcome of an attempt.

    Args:
        outcome: How far the attempt got.
        idempotent: Whether the request may run more than once.
    """
    return _RETRY_DECISIONS[(outcome, idempotent)]
