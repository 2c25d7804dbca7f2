"""What a node believes and how old that is, as gauges."""

from collections import Counter

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import Engine, Worker
from limpetyard.node._metrics import Belief


def site_beliefs(
    version: int, zones_out: int, operators_age_ms: float, group_age_ms: float
) -> list[Belief]:
    """Returns what a node believes of its site.

    Args:
        version: Configuration in force, 0 for none.
        zones_out: Availability zones out of service.
        operators_age_ms: Time since the operators' records were read to
            their end.
        group_age_ms: Time since the group confirmed this node.
    """
    return [
        _plain("config_version", "Configuration in force.", version),
        _plain("zones_out", "Availability zones out of service.", zones_out),
        _plain(
            "config_age_seconds",
            "Time since the operators' records were read to their end.",
            operators_age_ms / MS_PER_SECOND,
        ),
        _plain(
            "group_age_seconds",
            "Time since the group confirmed this node.",
            group_age_ms / MS_PER_SECOND,
        ),
    ]


def cell_beliefs(engine: Engine, now_ms: float) -> list[Belief]:
    """Returns what the owner of a cell believes."""
    workers = engine.workers.values()
    states = Counter(_state(worker, now_ms) for worker in workers)
    tasks = Counter(
        task.state
        for job in engine.open_jobs.values()
        for task in job.tasks.values()
    )
    leased = [w.lease_end_ms - now_ms for w in workers if w.runs]
    least_ms = max(0.0, min(leased, default=0.0))
    return [
        _plain("epoch", "Epoch of the ownership.", engine.epoch),
        _plain("jobs_open", "Jobs that are not over.", len(engine.open_jobs)),
        ("tasks", "Tasks of open jobs by state.", "state", dict(tasks)),
        ("workers", "Workers by state.", "state", dict(states)),
        _plain(
            "lease_left_seconds",
            "Least time left of the lease of a worker with runs.",
            least_ms / MS_PER_SECOND,
        ),
    ]


def _plain(name: str, tells: str, value: float) -> Belief:
    return (name, tells, "", {"": value})


def _state(worker: Worker, now_ms: float) -> str:
    if not worker.token_confirmed:
        return "unsounded"
    if not worker.is_responsive(now_ms):
        return "silent"
    return "draining" if worker.entry.draining else "answering"
