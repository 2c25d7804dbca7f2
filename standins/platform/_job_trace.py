"""What happened to a job, as text."""

from collections.abc import Callable, Iterator

from limpetyard.jobs import JobSpec
from standins.platform._history import (
    History,
    HistoryEntry,
    JobAccepted,
    JobCancelled,
    ReplyReceived,
    RunEnded,
    RunStarted,
    StateReturned,
)

# Entries of a job that are listed.
MAX_LISTED = 60


def describe_job(history: History, job: str) -> list[str]:
    """Returns what happened to a job, one line for each request and run.

    Queries with the same reply as the one before are left out.
    """
    lines = []
    spec = history.submitted.get(job)
    if spec is not None:
        lines.append(f"job {job}: {_describe_steps(spec)}")
    events = [
        (entry.at_ms, text)
        for entry in _without_repeats(history, job)
        if (describe := _DESCRIBERS.get(type(entry)))
        and (text := describe(entry, job))
    ]
    listed = events[-MAX_LISTED:]
    if len(listed) < len(events):
        lines.append(f"({len(events) - len(listed)} earlier lines left out)")
    return lines + [f"{at_ms:.0f} {text}" for at_ms, text in listed]


def _without_repeats(history: History, job: str) -> Iterator[HistoryEntry]:
    """Yields entries without queries of a job that tell nothing new."""
    told: dict[type, tuple] = {}
    for entry in history.entries:
        if isinstance(entry, ReplyReceived) and entry.method == "GET":
            reply = (entry.status, entry.state)
        elif isinstance(entry, StateReturned):
            reply = (entry.state,)
        else:
            yield entry
            continue
        if entry.job == job and told.get(type(entry)) != reply:
            told[type(entry)] = reply
            yield entry


def _describe_steps(spec: JobSpec) -> str:
    steps = [
        f"{step.count} x {step.run_ms} ms"
        + "".join(
            f" {name}"
            for name in ("long_running", "gang", "fills", "per_worker", "after")
            if getattr(step, name)
        )
        for step in spec.steps
    ]
    return f"{spec.occurrences} x [{'; '.join(steps)}]"


def _describe_reply(entry: ReplyReceived, job: str) -> str:
    if entry.job != job:
        return ""
    took_ms = entry.at_ms - entry.sent_ms
    return (
        f"{entry.method} sent {entry.sent_ms:.0f} to"
        f" {entry.sender or f'node {entry.node}'}:"
        f" {entry.status or 'no reply'} {entry.state} after {took_ms:.0f}"
    )


def _describe_accepted(entry: JobAccepted, job: str) -> str:
    return "accepted" if entry.spec.id == job else ""


def _describe_cancelled(entry: JobCancelled, job: str) -> str:
    return "cancelling acknowledged" if entry.job == job else ""


def _describe_state(entry: StateReturned, job: str) -> str:
    return f"shown as {entry.state or 'unknown'}" if entry.job == job else ""


def _describe_start(entry: RunStarted, job: str) -> str:
    if entry.task.job != job:
        return ""
    sender = f" by {entry.sender}" if entry.sender else ""
    late = ", late" if entry.late_delivery else ""
    return (
        f"start of {entry.task.name} run {entry.run} on {entry.worker}"
        f"{sender}{late}"
    )


def _describe_end(entry: RunEnded, job: str) -> str:
    if entry.task.job != job:
        return ""
    return f"end of {entry.task.name} run {entry.run}: {entry.end_kind}"


# Describes an entry if it is about the job; "" otherwise.
_DESCRIBERS: dict[type, Callable] = {
    ReplyReceived: _describe_reply,
    JobAccepted: _describe_accepted,
    JobCancelled: _describe_cancelled,
    StateReturned: _describe_state,
    RunStarted: _describe_start,
    RunEnded: _describe_end,
}
