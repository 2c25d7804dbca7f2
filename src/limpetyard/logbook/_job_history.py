"""History of one job, from logs."""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Iterable

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._lines import LogLine

# Events of a cell that affect every open job.
CELL_EVENTS = frozenset(
    {
        "cell_claimed",
        "cell_lost",
        "cell_taken_over",
        "config_in_force",
        "orders_held_back",
        "owner_silenced",
        "store_lost",
        "store_refused",
        "store_regained",
        "zones_out",
    }
)

# Events of a worker that affect its runs.
WORKER_EVENTS = frozenset({"worker_lapsed", "worker_listed", "worker_reborn"})

# Shortest time without a line of the job that is reported as a gap,
# milliseconds. Starts and polls take less unless something fails.
MIN_GAP_MS = 2000.0


@dataclasses.dataclass(slots=True)
class JobHistory:
    """Log lines about one job.

    Attributes:
        job_id: Id of the job.
        own_lines: Lines that mention the job or its tasks.
        context_lines: Lines about cells and about the workers of the job,
            from the first to the last of its own lines.
    """

    job_id: str
    own_lines: list[LogLine]
    context_lines: list[LogLine]

    @property
    def lines(self) -> list[LogLine]:
        """All lines, sorted by time."""
        return sorted(
            self.own_lines + self.context_lines, key=lambda line: line.at_ms
        )

    def findings(self) -> list[str]:
        """Returns sentences that explain what happened to the job."""
        return [
            sentence
            for describe in _DESCRIBERS
            for sentence in describe(self)
            if sentence
        ]

    def own_lines_of(self, event: str) -> list[LogLine]:
        """Returns the own lines with the given event."""
        return [line for line in self.own_lines if line.event == event]


def find_job_history(lines: Iterable[LogLine], job_id: str) -> JobHistory:
    """Collects the lines about one job.

    Args:
        lines: Lines of all logs, sorted by time.
        job_id: Id of the job.

    Returns:
        The history, without lines if no line mentions the job.
    """
    own_lines, others = [], []
    for line in lines:
        if _mentions(line, job_id):
            own_lines.append(line)
        elif line.event in CELL_EVENTS or line.event in WORKER_EVENTS:
            others.append(line)
    if not own_lines:
        return JobHistory(job_id, [], [])
    first, last = own_lines[0].at_ms, max(line.at_ms for line in own_lines)
    workers = {line.fields.get("worker") for line in own_lines} - {None}
    context_lines = [
        line
        for line in others
        if first <= line.at_ms <= last
        and (line.event in CELL_EVENTS or line.fields.get("worker") in workers)
    ]
    return JobHistory(job_id, own_lines, context_lines)


def _mentions(line: LogLine, job_id: str) -> bool:
    fields = line.fields
    return (
        fields.get("job") == job_id
        or fields.get("task", "").startswith(job_id + ".")
        or fields.get("path", "").endswith(job_id)
    )


def _describe_rejections(history: JobHistory) -> list[str]:
    kinds = Counter(
        f"{line.fields.get('method', '')} {line.fields.get('kind', '')}"
        for line in history.own_lines_of("request_refused")
    )
    return [f"refused {number} times: {kind}" for kind, number in kinds.items()]


def _describe_acceptance(history: JobHistory) -> list[str]:
    accepted = history.own_lines_of("job_accepted")
    if not accepted:
        return ["never accepted"]
    return [f"accepted in {accepted[0].number('took_ms'):.0f} ms"]


def _describe_first_start(history: JobHistory) -> list[str]:
    begun = history.own_lines_of("job_begun")
    if not begun:
        return ["no task was ever known to run"]
    return [f"first task after {_format_seconds(begun[0].number('wait_ms'))}"]


def _describe_runs(history: JobHistory) -> list[str]:
    ends = Counter(
        line.fields.get("how", "") for line in history.own_lines_of("run_ended")
    )
    summary = ", ".join(f"{how} {number}" for how, number in ends.items())
    failed = Counter(
        line.fields.get("worker", "")
        for line in history.own_lines_of("run_ended")
        if line.fields.get("how") == "failed"
    )
    sentences = [summary and f"runs that ended: {summary}"]
    sentences += [
        f"{number} runs failed on worker {worker}"
        for worker, number in failed.items()
    ]
    lost = Counter(
        line.fields.get("worker", "")
        for line in history.own_lines_of("run_lost")
    )
    sentences += [
        f"{number} runs lost with worker {worker}"
        for worker, number in lost.items()
    ]
    return sentences


def _describe_cancellation(history: JobHistory) -> list[str]:
    """Tells whether the cancellation reached an owner that knew the job."""
    acknowledged = history.own_lines_of("job_cancelled")
    sentences = [
        f"cancelled at {line.node or 'a node'}:"
        f" {line.fields.get('owner') or 'no owner'} told"
        f" {line.fields.get('state')}, stored {line.fields.get('stored')}"
        for line in acknowledged
    ]
    sentences += [
        f"cancellation kept at {line.node or 'a node'}: job not known there"
        for line in history.own_lines_of("cancellation_kept")
    ]
    is_stored = any(
        line.fields.get("stored") == "True" for line in acknowledged
    )
    if is_stored and not history.own_lines_of("cancellation_read"):
        sentences.append("cancellation never read by an owner that knows it")
    return sentences


def _describe_owner_changes(history: JobHistory) -> list[str]:
    return [
        f"owner changed to {line.node or 'another node'}"
        f" (epoch {line.fields.get('epoch')})"
        for line in history.context_lines
        if line.event == "cell_taken_over"
    ]


def _describe_gaps(history: JobHistory) -> list[str]:
    sentences = []
    own_lines = [
        line for line in history.own_lines if line.event != "task_paced"
    ]
    for before, after in itertools.pairwise(own_lines):
        gap_ms = after.at_ms - before.at_ms
        if gap_ms < MIN_GAP_MS or "run_ended" in (after.event, before.event):
            continue
        between = Counter(
            line.event
            for line in history.context_lines
            if before.at_ms <= line.at_ms <= after.at_ms
        )
        summary = ", ".join(between) or "nothing of its cell or workers"
        sentences.append(
            f"{_format_seconds(gap_ms)} between {before.event}"
            f" and {after.event}: {summary}"
        )
    return sentences


def _describe_pacing(history: JobHistory) -> list[str]:
    paces = [
        line.number("percent") for line in history.own_lines_of("task_paced")
    ]
    paused = paces.count(0)
    if not paces:
        return []
    return [f"speed of its tasks set {len(paces)} times, {paused} times to 0"]


def _describe_end(history: JobHistory) -> list[str]:
    ended = history.own_lines_of("job_ended")
    if not ended:
        return ["no end is known"]
    last = ended[-1]
    return [
        f"{last.fields.get('state')} after"
        f" {_format_seconds(last.number('age_ms'))}"
    ]


_DESCRIBERS = (
    _describe_acceptance,
    _describe_rejections,
    _describe_cancellation,
    _describe_first_start,
    _describe_owner_changes,
    _describe_gaps,
    _describe_pacing,
    _describe_runs,
    _describe_end,
)


def _format_seconds(span_ms: float) -> str:
    return f"{span_ms / MS_PER_SECOND:.1f} s"
