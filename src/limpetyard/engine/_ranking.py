"""Ranks the workers for the tasks of a step during one round of placement.

Room on workers only shrinks during a round. A need that no worker can meet thus
stays unmet until the next round, and a placement changes the score of only the
worker that received the task.
"""

import heapq
import math
import operator
from collections.abc import Callable

from limpetyard.engine._candidate import Candidate, Score
from limpetyard.engine._trials import (
    CROWDED_SHARE,
    MIN_IDLE_CROWDED_MS,
    MIN_IDLE_MS,
)
from limpetyard.jobs import StepSpec, Task

# Start orders without a reply, since the last one that was answered, after
# which a worker gets none for a task that may start nowhere else.
MAX_SILENT_STARTS = 3


class Ranking:
    """The workers that may get a task of a step, best first."""

    __slots__ = (
        "_entries",
        "_heap",
        "_placed",
        "_score",
        "_seen",
        "_step",
        "_step_key",
    )

    def __init__(
        self,
        score: Score,
        step: StepSpec,
        step_key: tuple[str, int, int],
        candidates: list[Candidate],
        placed: list[Candidate],
    ):
        """Scores all candidates.

        Args:
            score: Returns the sort key of a candidate.
            step: Specification of the step.
            step_key: Job, occurrence and number of the step.
            candidates: Workers to choose from; the first of equals is chosen.
            placed: Receivers of the tasks placed in this round, to which the
                caller appends.
        """
        self._score = score
        self._step = step
        self._step_key = step_key
        self._placed = placed
        # Number of elements of `placed` that the scores include.
        self._seen = len(placed)
        # Latest heap entry of each worker that may get a task; None if it has
        # no sort key. The second element makes the first of equals the best,
        # the third one tells entries of one worker apart.
        self._entries: dict[Candidate, tuple | None] = {}
        for number, candidate in enumerate(candidates):
            if candidate.allows(step, step_key):
                key = score(candidate, step, step_key)
                self._entries[candidate] = (
                    None if key is None else (key, number, 0, candidate)
                )
        self._heap = [e for e in self._entries.values() if e is not None]
        heapq.heapify(self._heap)

    @property
    def is_empty(self) -> bool:
        """Whether no worker was suitable at the last choice."""
        return all(entry is None for entry in self._entries.values())

    def choose(self, task: Task) -> Candidate | None:
        """Returns the best worker for a task, or None.

        Avoids, if there are others, the worker where the task failed last and,
        once it has failed, all workers with recent failures. Never returns one
        of `Task.recorded_answers`.
        """
        self._update_scores()
        if task.has_failed:
            return self._choose_other(task)
        heap = self._heap
        while heap and self._entries.get(heap[0][3]) is not heap[0]:
            heapq.heappop(heap)
        if not heap:
            return None
        best: Candidate = heap[0][3]
        if best.worker.id in task.recorded_answers:
            return self._choose_other(task)
        return best

    def choose_only(self, candidate: Candidate | None) -> Candidate | None:
        """Returns a worker if it may get a task, or None."""
        self._update_scores()
        is_suitable = self._entries.get(candidate) is not None
        return candidate if is_suitable else None

    def _choose_other(self, task: Task) -> Candidate | None:
        allowed = {
            candidate: entry
            for candidate, entry in self._entries.items()
            if candidate.worker.id not in task.recorded_answers
        }
        others = [
            entry
            for candidate, entry in allowed.items()
            if candidate.worker.id != task.avoided_worker
            and not (task.failure_count and candidate.worker.failures)
        ]
        entries = others or allowed.values()
        best = min((e for e in entries if e is not None), default=None)
        return None if best is None else best[3]

    def _update_scores(self) -> None:
        """Scores the workers that have received tasks since the last call."""
        if self._seen == len(self._placed):
            return
        changed = dict.fromkeys(self._placed[self._seen :])
        self._seen = len(self._placed)
        for candidate in changed:
            if candidate not in self._entries:
                continue
            if not candidate.allows(self._step, self._step_key):
                del self._entries[candidate]
                continue
            old = self._entries[candidate]
            if old is None:
                continue
            key = self._score(candidate, self._step, self._step_key)
            if key is None:
                self._entries[candidate] = None
                continue
            entry = (key, old[1], self._seen, candidate)
            self._entries[candidate] = entry
            heapq.heappush(self._heap, entry)


class UnmetNeeds:
    """Needs that no worker of a service can meet in the rest of a round.

    A need is a tuple of numbers; needs of one kind have equal length. If a need
    is unmet, so are all whose numbers are as high or higher.
    """

    __slots__ = ("_needs",)

    def __init__(self):
        self._needs: dict[tuple, list[tuple]] = {}

    def add(self, kind: object, label: str, need: tuple) -> None:
        """Adds a need that no worker with a label meets.

        Args:
            kind: Kind of the need.
            label: The label, or "" if no worker at all meets the need.
            need: The need.
        """
        lower = [
            other
            for other in self._needs.get((kind, label), ())
            if not _covers(need, other)
        ]
        self._needs[kind, label] = [*lower, need]

    def includes(self, kind: object, label: str, need: tuple) -> bool:
        """Returns whether no worker with a label meets a need."""
        return any(
            _covers(other, need)
            for scope in {label, ""}
            for other in self._needs.get((kind, scope), ())
        )


def _covers(unmet: tuple, need: tuple) -> bool:
    return all(map(operator.le, unmet, need))


class ServiceRound:
    """Workers of one service during one round of placement.

    Attributes:
        candidates: Workers that may get new work.
    """

    __slots__ = (
        "_by_id",
        "_by_label",
        "_isolated",
        "_min_idle_ms",
        "_rankings",
        "_unmet",
        "candidates",
    )

    def __init__(self, candidates: list[Candidate]):
        self.candidates = candidates
        self._isolated: list[Candidate] | None = None
        self._min_idle_ms: float | None = None
        self._by_id = {c.worker.id: c for c in candidates}
        self._by_label: dict[str, list[Candidate]] = {}
        self._rankings: dict[tuple, Ranking] = {}
        self._unmet = UnmetNeeds()

    def isolated(
        self, select: Callable[[list[Candidate]], list[Candidate]]
    ) -> list[Candidate]:
        """Returns the workers left for suspects, selected once in a round.

        The caller removes each that receives one.
        """
        if self._isolated is None:
            self._isolated = select(self.candidates)
        return self._isolated

    def recorded_place(self, task: Task) -> Candidate | None:
        """Returns the worker that is stored for a task, or None.

        None also if the task may not start there now.
        """
        candidate = self._by_id.get(task.recorded_place)
        step = task.step
        if task.recorded_place in task.recorded_answers:
            return None
        if candidate is None or (
            step.label and step.label not in candidate.entry.labels
        ):
            return None
        return candidate if candidate.allows(step, task.key[:3]) else None

    def doubted_place(self, task: Task) -> Candidate | None:
        """Returns the worker on which a task with a doubt may start, or None.

        None also if that incarnation gets no new work, or if it keeps on
        leaving starts without a reply: each would prolong the doubt.
        """
        doubt = task.start_doubt
        candidate = self._by_id.get(doubt.worker)
        if doubt.worker in task.recorded_answers:
            return None
        if candidate is None or candidate.worker.born != doubt.born:
            return None
        if candidate.worker.silent_starts >= MAX_SILENT_STARTS:
            return None
        return candidate

    @property
    def min_idle_ms(self) -> float:
        """Time without runs after which a job gets a trial.

        Infinite if no worker may get one. This was determined when it was first
        asked for in the round.
        """
        if self._min_idle_ms is None:
            self._min_idle_ms = self._find_min_idle_ms()
        return self._min_idle_ms

    def _find_min_idle_ms(self) -> float:
        if not any(c.is_open_to_trials() for c in self.candidates):
            return math.inf
        free = sum(c.free_resources.cores_milli for c in self.candidates)
        total = sum(c.entry.capacity.cores_milli for c in self.candidates)
        is_crowded = total - free >= CROWDED_SHARE * total
        return MIN_IDLE_CROWDED_MS if is_crowded else MIN_IDLE_MS

    def labelled(self, label: str) -> list[Candidate]:
        """Returns the workers with a label; all workers for ""."""
        if not label:
            return self.candidates
        if label not in self._by_label:
            self._by_label[label] = [
                c for c in self.candidates if label in c.entry.labels
            ]
        return self._by_label[label]

    def fitting(self, step: StepSpec) -> list[Candidate]:
        """Returns the workers with the label and the resources for a task."""
        if self._unmet.includes("all", step.label, _joint_need(step, 1)):
            return []
        reserved = step.reserved
        fitting = [
            c
            for c in self.labelled(step.label)
            if reserved.fits(c.free_resources)
        ]
        if not fitting:
            self._unmet.add("all", step.label, _joint_need(step, 1))
        return fitting

    def add_unmet_gang(self, step: StepSpec) -> None:
        """Records that a gang does not fit."""
        need = _joint_need(step, step.count)
        self._unmet.add("all", step.label, need)

    def is_unmet(self, step: StepSpec) -> bool:
        """Returns whether it is known that nothing of a step fits."""
        if step.gang:
            need = _joint_need(step, step.count)
            return self._unmet.includes("all", step.label, need)
        return self.is_task_unmet(step)

    def is_task_unmet(self, step: StepSpec) -> bool:
        """Returns whether it is known that no single task of a step fits."""
        need = single_need(step)
        return any(
            self._unmet.includes(kind, step.label, need)
            for kind in _kinds(step)
        )

    def add_unmet(self, step: StepSpec) -> None:
        """Records that the ranking for a step is empty.

        Records nothing if only the step's limit for each worker may be the
        reason.
        """
        has_room = any(
            candidate.has_room(step)
            and not (step.fills and candidate.lacks_idle_cores(step))
            for candidate in self.labelled(step.label)
        )
        if not has_room:
            kind = _kinds(step)[0]
        elif step.per_worker or not step.fills:
            return
        else:
            kind = _kinds(step)[-1]
        self._unmet.add(kind, step.label, single_need(step))

    def ranking(
        self,
        score: Score,
        step: StepSpec,
        step_key: tuple[str, int, int],
        placed: list[Candidate],
    ) -> Ranking:
        """Returns the ranking for a step.

        Steps share one if their scores are equal. Those of long-running steps
        depend on the job, and the limit for each worker on the step.
        """
        owner = step_key if step.long_running or step.per_worker else None
        shape = (
            owner,
            step.fills,
            step.label,
            step.need,
            step.image,
            step.data_rack,
        )
        if shape not in self._rankings:
            self._rankings[shape] = Ranking(
                score, step, step_key, self.labelled(step.label), placed
            )
        return self._rankings[shape]


def _kinds(step: StepSpec) -> tuple:
    """Returns the kinds of unmet needs that apply to tasks of a step.

    The first one is for lack of room. Best-effort tasks of an image may also
    fit nowhere because of the headroom of serving tasks.
    """
    if step.fills:
        return (("idle", ""), ("image", step.image))
    return ("room",)


def single_need(step: StepSpec) -> tuple:
    """Returns the need of one task."""
    need = step.need
    return (need.cores_milli, need.memory_mb, need.accelerators)


def _joint_need(step: StepSpec, count: int) -> tuple:
    """Returns the need of tasks that must fit at the same time.

    A lower limit for each worker is a higher need.
    """
    reserved = step.reserved
    return (
        reserved.cores_milli,
        reserved.memory_mb,
        reserved.accelerators,
        count,
        -(step.per_worker or math.inf),
    )
