"""Gauges of the state that a node knows and of the age of that state."""

from collections import Counter

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import Engine, Worker, withheld_workers
from limpetyard.node._metrics import Gauge


def loop_gauge(max_lag_ms: float) -> Gauge:
    """Returns the gauge of the longest lag of the event loop."""
    return _gauge(
        "loop_lag_seconds",
        "Longest delay of a timer since the last scrape.",
        max_lag_ms / MS_PER_SECOND,
    )


def site_gauges(
    version: int, zones_out: int, operators_age_ms: float, group_age_ms: float
) -> list[Gauge]:
    """Returns the gauges of a node's view of its site.

    Args:
        version: Version of the configuration in force, 0 for none.
        zones_out: Number of availability zones out of service.
        operators_age_ms: Time since the operators' records were last read to
            their end.
        group_age_ms: Time since the group last confirmed this node.
    """
    return [
        _gauge("config_version", "Configuration in force.", version),
        _gauge("zones_out", "Availability zones out of service.", zones_out),
        _gauge(
            "config_age_seconds",
            "Time since the operators' records were read to their end.",
            operators_age_ms / MS_PER_SECOND,
        ),
        _gauge(
            "group_age_seconds",
            "Time since the group confirmed this node.",
            group_age_ms / MS_PER_SECOND,
        ),
    ]


def cell_gauges(engine: Engine, now_ms: float) -> list[Gauge]:
    """Returns the gauges of the owner of a cell."""
    workers = engine.workers.values()
    states = Counter(_worker_state(worker, now_ms) for worker in workers)
    tasks = Counter(
        task.state
        for job in engine.open_jobs.values()
        for task in job.tasks.values()
    )
    withheld = withheld_workers(workers, engine, now_ms)
    leased = [w.lease_end_ms - now_ms for w in workers if w.runs]
    shortest_ms = max(0.0, min(leased, default=0.0))
    return [
        _gauge("epoch", "Epoch of the ownership.", engine.epoch),
        _gauge("jobs_open", "Jobs that have not ended.", len(engine.open_jobs)),
        ("tasks", "Tasks of open jobs by state.", "state", dict(tasks)),
        ("workers", "Workers by state.", "state", dict(states)),
        (
            "workers_withheld",
            "Workers that get no new work, by condition.",
            "condition",
            {name: len(found) for name, found in withheld.items()},
        ),
        _gauge(
            "lease_left_seconds",
            "Shortest remaining lease of a worker with runs.",
            shortest_ms / MS_PER_SECOND,
        ),
    ]


def _gauge(name: str, help_text: str, value: float) -> Gauge:
    return (name, help_text, "", {"": value})


def _worker_state(worker: Worker, now_ms: float) -> str:
    if not worker.token_confirmed:
        return "unsounded"
    if not worker.is_responsive(now_ms):
        return "silent"
    return "draining" if worker.entry.draining else "answering"
