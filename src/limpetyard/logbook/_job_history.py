"""What became of one request, from logs."""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Iterable

from limpetyard._clock import MS_PER_SECOND
from limpetyard.logbook._lines import Line

# Events of the whole cell that matter to each job under way.
OF_THE_CELL = frozenset(
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

# Events of a worker that matter to what runs there.
OF_A_WORKER = frozenset(
    {"worker_lapsed", "worker_left", "worker_listed", "worker_reborn"}
)

# A stretch of this length without anything of the job is told, milliseconds:
# longer than starts and looks take without a trouble.
GAP_MS = 2000.0


@dataclasses.dataclass(slots=True)
class Fate:
    """What the logs tell of one job.

    Attributes:
        job_id: Its id.
        own: Lines that name it or its tasks.
        around: Lines of its cell and its workers, while it was under way.
    """

    job_id: str
    own: list[Line]
    around: list[Line]

    @property
    def lines(self) -> list[Line]:
        """All lines by their time."""
        return sorted(self.own + self.around, key=lambda line: line.at_ms)

    def causes(self) -> list[str]:
        """Returns what the job's fate follows from, a sentence each."""
        return [
            sentence for tell in _TELLERS for sentence in tell(self) if sentence
        ]

    def of(self, event: str) -> list[Line]:
        """Returns its lines of one event."""
        return [line for line in self.own if line.event == event]


def find_fate(lines: Iterable[Line], job_id: str) -> Fate:
    """Collects what logs tell of one job.

    Args:
        lines: The logs.
        job_id: Id of the job.
    """
    own, others = [], []
    for line in lines:
        if _names(line, job_id):
            own.append(line)
        elif line.event in OF_THE_CELL or line.event in OF_A_WORKER:
            others.append(line)
    if not own:
        return Fate(job_id, [], [])
    first, last = own[0].at_ms, max(line.at_ms for line in own)
    workers = {line.fields.get("worker") for line in own} - {None}
    around = [
        line
        for line in others
        if first <= line.at_ms <= last
        and (line.event in OF_THE_CELL or line.fields.get("worker") in workers)
    ]
    return Fate(job_id, own, around)


def _names(line: Line, job_id: str) -> bool:
    fields = line.fields
    return (
        fields.get("job") == job_id
        or fields.get("task", "").startswith(job_id + ".")
        or fields.get("path", "").endswith(job_id)
    )


def _tell_refusals(fate: Fate) -> list[str]:
    kinds = Counter(
        f"{line.fields.get('method', '')} {line.fields.get('kind', '')}"
        for line in fate.of("request_refused")
    )
    return [f"refused {number} times: {kind}" for kind, number in kinds.items()]


def _tell_hand_in(fate: Fate) -> list[str]:
    accepted = fate.of("job_accepted")
    if not accepted:
        return ["never accepted"]
    return [f"accepted in {accepted[0].number('took_ms'):.0f} ms"]


def _tell_first_start(fate: Fate) -> list[str]:
    begun = fate.of("job_begun")
    if not begun:
        return ["no task was ever known to run"]
    return [f"first task after {_seconds(begun[0].number('wait_ms'))}"]


def _tell_runs(fate: Fate) -> list[str]:
    ends = Counter(line.fields.get("how", "") for line in fate.of("run_ended"))
    told = ", ".join(f"{how} {number}" for how, number in ends.items())
    failing = Counter(
        line.fields.get("worker", "")
        for line in fate.of("run_ended")
        if line.fields.get("how") == "failed"
    )
    sentences = [told and f"runs that ended: {told}"]
    sentences += [
        f"{number} runs failed on worker {worker}"
        for worker, number in failing.items()
    ]
    lost = Counter(
        line.fields.get("worker", "") for line in fate.of("run_lost")
    )
    sentences += [
        f"{number} runs lost with worker {worker}"
        for worker, number in lost.items()
    ]
    return sentences


def _tell_owners(fate: Fate) -> list[str]:
    return [
        f"owner changed to {line.node or 'another node'}"
        f" (epoch {line.fields.get('epoch')})"
        for line in fate.around
        if line.event == "cell_taken_over"
    ]


def _tell_gaps(fate: Fate) -> list[str]:
    sentences = []
    own = [line for line in fate.own if line.event != "task_paced"]
    for before, after in itertools.pairwise(own):
        gap_ms = after.at_ms - before.at_ms
        if gap_ms < GAP_MS or "run_ended" in (after.event, before.event):
            continue
        between = Counter(
            line.event
            for line in fate.around
            if before.at_ms <= line.at_ms <= after.at_ms
        )
        told = ", ".join(between) or "nothing of its cell or workers"
        sentences.append(
            f"{_seconds(gap_ms)} between {before.event} and {after.event}:"
            f" {told}"
        )
    return sentences


def _tell_pacing(fate: Fate) -> list[str]:
    paces = [line.number("percent") for line in fate.of("task_paced")]
    held = paces.count(0)
    if not paces:
        return []
    return [f"speed of its tasks set {len(paces)} times, {held} times to 0"]


def _tell_end(fate: Fate) -> list[str]:
    ended = fate.of("job_ended")
    if not ended:
        return ["no end is known"]
    last = ended[-1]
    return [
        f"{last.fields.get('state')} after {_seconds(last.number('age_ms'))}"
    ]


_TELLERS = (
    _tell_hand_in,
    _tell_refusals,
    _tell_first_start,
    _tell_owners,
    _tell_gaps,
    _tell_pacing,
    _tell_runs,
    _tell_end,
)


def _seconds(span_ms: float) -> str:
    return f"{span_ms / MS_PER_SECOND:.1f} s"
