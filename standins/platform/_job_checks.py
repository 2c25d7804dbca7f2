"""Checks what clients sent and were told about jobs, and the runs of these.

Each violation names the sentence of the users' rules that it breaks, and lists
what happened to its job.
"""

import collections

from limpetyard.jobs import FINAL_STATES, TaskKey
from standins.platform._history import (
    History,
    JobAccepted,
    JobCancelled,
    PendingReturned,
    ReplyReceived,
    RunEnded,
    RunStarted,
    StateReturned,
)
from standins.platform._job_trace import describe_job

# A job must be visible to queries at the latest this long after acceptance.
VISIBILITY_DELAY_MS = 3000

# Jobs that were accepted this long before a query count as pending.
PENDING_DELAY_MS = VISIBILITY_DELAY_MS + 2000

# Time bounds apply again once the store has been undisturbed for this long.
STORE_SETTLE_MS = 3000

# A node is in touch once it has been undisturbed for this long.
CONTACT_MS = 3000

# Tasks of a cancelled job may still start for this long.
CANCEL_GRACE_MS = 3000

# Longest time that a stop takes.
STOP_TIMEOUT_MS = 200

# Tasks of a cancelled job have to be gone after such a time without faults.
GONE_AFTER_MS = CANCEL_GRACE_MS + STOP_TIMEOUT_MS

# The sentences of the users' rules.
NOT_SENT = "a minion is told to start what no client sent, or with another spec"
LATE_START = (
    "a machine in touch starts a task later than cancel_ms after the job's"
    " cancelling was acknowledged"
)
RUNS_ON = (
    "a task of a cancelled job has to be gone after any stretch of cancel_ms"
    " + stopTimeoutMs with no disruption near"
)
ALL_REJECTED = (
    "a task starts, and all client attempts to hand its job in were rejected"
)
NOT_KNOWN = (
    "a GET for an accepted job that nobody has cancelled is answered 410 later"
    " than visible_ms after the acknowledgement"
)
NO_CAUSE = "a job is shown as failed or cancelled without cause"
NOT_ENDED = (
    "after the end of the traffic a job has nothing running while a task's turn"
    " has come and there is room, or it isn't known"
)
TOO_EARLY = "a job is shown as completed while a task hasn't ended so"
STEPS_BACK = "GET returns the state of an ended job for at least status_s"
TOO_FEW = (
    "a machine in touch gives as pending under half of the jobs without times"
    " that were accepted over visible_ms + 2 s before and haven't begun"
)


def in_touch(history: History, node: str, at_ms: float) -> bool:
    """Returns whether time bounds apply to a node at a moment.

    Args:
        history: The history.
        node: Name of the node; "" if it is not known, then any node counts.
        at_ms: The moment.
    """
    return (
        history.store_undisturbed_ms(at_ms) > STORE_SETTLE_MS
        and history.node_undisturbed_ms(node, at_ms) > CONTACT_MS
    )


def _violation(
    history: History, rule: str, job: str, what: str, sentence: str
) -> str:
    lines = describe_job(history, job)
    return "\n  ".join([f"{rule} {what}", f'page: "{sentence}"', *lines])


def _check_failed(history: History) -> list[str]:
    """LOST: a job is reported as failed without cause.

    A cause is a task with its maximum number of failures, or one that crashes
    workers and has crashed two.
    """
    found = []
    failures: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    crashes: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for entry in history.entries:
        if isinstance(entry, RunEnded):
            job = entry.task.job
            failures[job][entry.task] += entry.end_kind == "failed"
            crashes[job][entry.task] += entry.end_kind == "crashed"
        elif isinstance(entry, StateReturned) and entry.state == "failed":
            job = entry.job
            limit = history.submitted[job].queue.max_attempts
            most_crashes = max(crashes[job].values(), default=0)
            is_deadly = job in history.deadly and most_crashes >= 2
            if max(failures[job].values(), default=0) < limit and not is_deadly:
                what = f"{job} reported as failed without cause"
                found.append(_violation(history, "LOST", job, what, NO_CAUSE))
    return found


def _check_unasked(history: History) -> list[str]:
    """UNASKED, REFUSED: a start of a job that must not run.

    The job was never submitted, or with another payload; it was cancelled more
    than `CANCEL_GRACE_MS` before, or was rejected.
    """
    found = []
    cancelled: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, JobCancelled):
            cancelled.setdefault(entry.job, entry.at_ms)
        elif isinstance(entry, RunStarted):
            job = entry.task.job
            name = f"{entry.task.name} at {entry.at_ms:.0f}"
            spec = history.submitted.get(job)
            other = spec and entry.payload not in (None, spec.payload)
            if spec is None or other:
                what = f"{name} was not sent, payload {entry.payload!r}"
                found.append(
                    _violation(history, "UNASKED", job, what, NOT_SENT)
                )
            if job in history.refused:
                found.append(
                    _violation(history, "REFUSED", job, name, ALL_REJECTED)
                )
            late_ms = entry.at_ms - cancelled.get(job, entry.at_ms)
            if late_ms > CANCEL_GRACE_MS and in_touch(
                history, entry.sender, entry.at_ms
            ):
                what = f"{name}: starts {late_ms:.0f} ms after its cancel"
                found.append(
                    _violation(history, "UNASKED", job, what, LATE_START)
                )
    return found


def _check_runs_on(history: History) -> list[str]:
    """UNASKED: a run of a cancelled job goes on once all is quiet."""
    found = []
    cancelled: dict[str, float] = {}
    running: dict[tuple, RunStarted] = {}
    ended: list[tuple[RunStarted, float]] = []
    for entry in history.entries:
        if isinstance(entry, JobCancelled):
            cancelled.setdefault(entry.job, entry.at_ms)
        elif isinstance(entry, RunStarted):
            running[entry.worker, entry.born, entry.task, entry.run] = entry
        elif isinstance(entry, RunEnded):
            key = (entry.worker, entry.born, entry.task, entry.run)
            start = running.pop(key, None)
            if start is not None:
                ended.append((start, entry.at_ms))
    runs = ended + [(start, history.end_ms) for start in running.values()]
    for start, end_ms in runs:
        job = start.task.job
        if job not in cancelled:
            continue
        # So that it runs when the stretch ends; starts have their own check.
        gone_ms = max(cancelled[job], start.at_ms - GONE_AFTER_MS)
        if start.at_ms > gone_ms and start.late_delivery:
            gone_ms = start.at_ms + CONTACT_MS
        due_ms = _first_quiet_ms(history, gone_ms, end_ms)
        if due_ms is not None:
            what = (
                f"{start.task.name} run {start.run} on {start.worker} goes on"
                f" to {end_ms:.0f}, had to be gone at {due_ms:.0f}"
            )
            found.append(_violation(history, "UNASKED", job, what, RUNS_ON))
    return found


def _first_quiet_ms(
    history: History, since_ms: float, until_ms: float
) -> float | None:
    """Returns the end of the first stretch in which a task has to be gone.

    No disruption is near it, nor for `CONTACT_MS` before it.

    Args:
        history: The history.
        since_ms: Earliest start of the stretch.
        until_ms: Latest end of it.
    """
    windows = [*history.fault_windows, *history.store_fault_windows]
    for node_windows in history.node_fault_windows.values():
        windows += node_windows
    start_ms = since_ms
    for begin_ms, end_ms in sorted(windows):
        # Windows that begin later end later, or change nothing.
        if begin_ms > start_ms + GONE_AFTER_MS:
            break
        start_ms = max(start_ms, end_ms + CONTACT_MS)
    due_ms = start_ms + GONE_AFTER_MS
    return due_ms if due_ms < until_ms else None


def _check_returned_states(history: History) -> list[str]:
    """LOST, MIXED: a client receives a wrong state of a job."""
    found = []
    done: dict[str, set[TaskKey]] = collections.defaultdict(set)
    accepted: dict[str, float] = {}
    for entry in history.entries:
        if isinstance(entry, RunEnded) and entry.end_kind == "done":
            done[entry.task.job].add(entry.task)
        elif isinstance(entry, JobAccepted):
            accepted.setdefault(entry.spec.id, entry.at_ms)
        elif isinstance(entry, StateReturned):
            wrong = _wrong_state(history, entry, done, accepted)
            if wrong is not None:
                rule, what, sentence = wrong
                found.append(
                    _violation(history, rule, entry.job, what, sentence)
                )
    return found


def _wrong_state(
    history: History,
    entry: StateReturned,
    done: dict[str, set[TaskKey]],
    accepted: dict[str, float],
) -> tuple[str, str, str] | None:
    """Returns the violation by one returned state, if it is one.

    Args:
        history: The history.
        entry: The returned state.
        done: Tasks that were done by then, by job.
        accepted: Time of the first acceptance, by job, in ms.

    Returns:
        The rule, what happened and the sentence of the rule; or None.
    """
    spec = history.submitted[entry.job]
    cancelled = history.cancel_requests
    age_ms = entry.at_ms - accepted.get(entry.job, entry.at_ms)
    is_unknown = entry.state == "" and entry.job not in cancelled
    if is_unknown and age_ms > VISIBILITY_DELAY_MS:
        what = f"{entry.job} is unknown at {entry.at_ms:.0f}"
        return "LOST", what, NOT_KNOWN
    if entry.state == "cancelled" and entry.job not in cancelled:
        return "LOST", f"{entry.job} reported as cancelled", NO_CAUSE
    if entry.state != "completed":
        return None
    expected = sum(step.count for step in spec.steps) * spec.occurrences
    if len(done[entry.job]) < expected:
        return "MIXED", f"{entry.job} reported as completed", TOO_EARLY
    return None


def _may_know(history: History, node: str, at_ms: float) -> bool:
    """Returns whether a node may know the owner of the cell.

    One that was paused just before may answer from a time when it was the owner
    itself, and one without its way to the store may ask an earlier owner. Such
    nodes are not in touch.
    """
    return (
        history.unpaused_ms(node, at_ms) > CONTACT_MS
        and history.node_undisturbed_ms(node, at_ms) > CONTACT_MS
    )


def _check_steps_back(history: History) -> list[str]:
    """MIXED: the state of a job changes after its end.

    A query counts if it was sent after the reply with a final state, to a node
    that may know the owner.
    """
    found = []
    final: dict[str, ReplyReceived] = {}
    for entry in history.of(ReplyReceived):
        if entry.method != "GET" or entry.status not in (200, 410):
            continue
        before = final.get(entry.job)
        if before is None and entry.state in FINAL_STATES:
            final[entry.job] = entry
        elif (
            before is not None
            and entry.sent_ms >= before.at_ms
            and entry.state != before.state
            and _may_know(history, entry.sender, entry.at_ms)
        ):
            what = (
                f"{entry.job} is {entry.state or 'unknown'} at"
                f" {entry.at_ms:.0f}, was {before.state} at {before.at_ms:.0f}"
            )
            found.append(
                _violation(history, "MIXED", entry.job, what, STEPS_BACK)
            )
    return found


def _check_pending(history: History) -> list[str]:
    """MIXED: the number of pending jobs is under half of what it must be."""
    found = []
    accepted: dict[str, JobAccepted] = {}
    begun: set[str] = set()
    for entry in history.entries:
        if isinstance(entry, JobAccepted):
            accepted.setdefault(entry.spec.id, entry)
        elif isinstance(entry, RunStarted):
            begun.add(entry.task.job)
        elif isinstance(entry, PendingReturned):
            jobs = [
                job
                for job, accept in accepted.items()
                if job not in begun
                and job not in history.cancel_requests
                and not accept.spec.timed
                and accept.spec.queue.name == entry.queue
                and accept.at_ms + PENDING_DELAY_MS < entry.sent_ms
            ]
            if (
                2 * entry.pending < len(jobs)
                and in_touch(history, entry.sender, entry.at_ms)
                and _may_know(history, entry.sender, entry.at_ms)
            ):
                what = (
                    f"{entry.sender} gives {entry.pending} as pending at"
                    f" {entry.at_ms:.0f}, {len(jobs)} jobs have not begun"
                )
                found.append(
                    _violation(history, "MIXED", jobs[0], what, TOO_FEW)
                )
    return found


def check_lost(history: History) -> list[str]:
    """LOST: an accepted job did not reach a final state.

    One that had no room all the time, `History.without_room`, must be known.
    """
    last: dict[str, str] = {}
    for entry in history.of(StateReturned):
        last[entry.job] = entry.state
    accepted = {e.spec.id: e.spec for e in history.of(JobAccepted)}
    return [
        _violation(
            history,
            "LOST",
            job,
            f"{job} is {last.get(job)!r} at the end",
            NOT_ENDED,
        )
        for job, spec in accepted.items()
        if job not in history.cancel_requests
        and last.get(job) not in FINAL_STATES
        and not (job in history.without_room and last.get(job))
        and not any(step.long_running for step in spec.steps)
    ]


JOB_CHECKS = (
    _check_failed,
    _check_unasked,
    _check_runs_on,
    _check_returned_states,
    _check_steps_back,
    _check_pending,
)
