"""Placers, which choose the worker of a task by the kind of its step.

Steps are of three kinds. Serving steps run until their job is cancelled, and
may have a target for their tail latency. Best-effort steps, whose placer is
registered as "filling", use only cores that others leave idle. All others are
"plain".

The headroom of a serving task is its target divided by its tail latency; see
`limpetyard.engine._interference`.
"""

from limpetyard._registry import Registry
from limpetyard.engine._candidate import Candidate, Score
from limpetyard.engine._interference import HEADROOM_AT_TARGET
from limpetyard.jobs import StepSpec

# A best-effort task is placed only where every serving task is expected to keep
# this headroom, so that the new task need not be slowed at once.
MIN_PLACEMENT_HEADROOM = 1.2 * HEADROOM_AT_TARGET


def placer_name(step: StepSpec) -> str:
    """Returns the name of the placer for a step."""
    if step.fills:
        return "filling"
    return "serving" if step.long_running else "plain"


class Placer:
    """Chooses the worker of a task by a score of each worker.

    Attributes:
        score: The score.
    """

    __slots__ = ("score",)

    def __init__(self, score: Score):
        self.score = score


PLACERS: Registry[Placer] = Registry("placer")


@PLACERS.register("plain")
@Placer
def place_plain(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Prefers the rack that holds the data, then the most free cores."""
    has_data = bool(step.data_rack) and candidate.entry.rack == step.data_rack
    return (not has_data, -candidate.free_resources.cores_milli)


@PLACERS.register("serving")
@Placer
def place_serving(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Packs the tasks of one job, then all serving tasks, onto few workers.

    The lowest headroom on a worker limits the best-effort tasks there. Tasks of
    one job have the same load at the same time, tasks of several jobs do not,
    and workers without serving tasks set no limit.
    """
    return (
        -candidate.count_runs(step_key[0]),
        not candidate.has_serving_runs(),
        -candidate.free_resources.cores_milli,
    )


@PLACERS.register("filling")
@Placer
def place_best_effort(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Prefers the worker where the image interferes least.

    The interference is relative to that of other images on the same worker; see
    `Candidate.excess_interference`. Ties go to the worker with the most
    headroom, then to the one with the most idle cores. A worker whose serving
    tasks are over their targets gets none, as it would soon have to be slowed.
    """
    if candidate.lacks_idle_cores(step) or candidate.is_strained():
        return None
    cores = step.need.cores_milli / 1000
    headroom = candidate.headroom_with(step.image, cores)
    if headroom < MIN_PLACEMENT_HEADROOM:
        return None
    return (
        round(candidate.excess_interference(step.image, cores), 1),
        -headroom,
        -candidate.idle_cores,
    )
