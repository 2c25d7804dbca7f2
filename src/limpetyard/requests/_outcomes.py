"""From what is known of an attempt to what may be done and said.

This table is the only place that says "not run": a request that was handed to
a connection is never called that, whatever happened to it afterwards.
"""

import dataclasses
import enum

from limpetyard._kinds import ErrorKind


class Fate(enum.Enum):
    """What is known of one attempt after it ended."""

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"
    CUT_ANSWER = "cut_answer"
    ANSWERED = "answered"


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """What follows from a fate.

    Attributes:
        retry: Whether another attempt is allowed.
        kind: What the caller is told without another attempt, or None if
            there is an answer.
    """

    retry: bool
    kind: ErrorKind | None


_VERDICTS = {
    (Fate.NOT_SENT, True): Verdict(True, ErrorKind.TARGET_UNREACHABLE),
    (Fate.NOT_SENT, False): Verdict(True, ErrorKind.TARGET_UNREACHABLE),
    (Fate.NO_ANSWER, True): Verdict(True, ErrorKind.OUTCOME_UNKNOWN),
    (Fate.NO_ANSWER, False): Verdict(False, ErrorKind.OUTCOME_UNKNOWN),
    (Fate.CUT_ANSWER, True): Verdict(True, ErrorKind.OUTCOME_UNKNOWN),
    (Fate.CUT_ANSWER, False): Verdict(False, ErrorKind.OUTCOME_UNKNOWN),
    (Fate.ANSWERED, True): Verdict(False, None),
    (Fate.ANSWERED, False): Verdict(False, None),
}


def verdict_of(fate: Fate, idempotent: bool) -> Verdict:
    """Returns what follows from the fate of an attempt.

    Args:
        fate: What is known of the attempt.
        idempotent: Whether the request may run more than once.
    """
    return _VERDICTS[(fate, idempotent)]
