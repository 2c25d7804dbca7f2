"""Snapshot size, log appends, takeover and log outage of a cell."""

import msgspec

from bench.report import Bound, Section, markdown_table
from limpetyard.cell import CellSnapshot, LeaseParams, ResourceVector
from limpetyard.scheduler import SchedulerParams
from standins.stepped_cluster import CELL, SteppedCluster

PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), commit_ms=500, sync_ms=1000
)
WORKER_SIZE = ResourceVector(32.0, 125_000)
WORKERS = 32
MAX_LEASES_TO_START = 2.0
MAX_APPENDS_PER_START = 0.1
MAX_APPENDS_PER_SECOND = 50.0
PEAK_STARTS = 330
OUTAGE_LEASES = 10
RUN_MS = 1000


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    parts = [
        _measure_snapshot_size(),
        _measure_append_rate(),
        _measure_takeover(),
        _measure_outage(),
    ]
    body = "\n\n".join(part[0] for part in parts)
    bounds = [bound for part in parts for bound in part[1]]
    return Section("recovery", "State and recovery", body, bounds)


def _measure_snapshot_size() -> tuple[str, list[Bound]]:
    """Measures the snapshot size for several numbers of placed tasks."""
    rows = []
    for tasks in (0, 150, 300, 600):
        cluster = SteppedCluster(WORKERS, WORKER_SIZE, PARAMS)
        daemon = cluster.daemon("d0")
        daemon.run(500)
        if tasks:
            cluster.submit(
                "job", tasks, size=ResourceVector(1.0, 500), run_ms=10**8
            )
        daemon.run(6000)
        snapshot = CellSnapshot(0, daemon.projector.projection.dump())
        size = len(msgspec.json.encode(snapshot))
        rows.append([WORKERS, tasks, size, f"{size / max(tasks, 1):.0f}"])
    columns = ("workers", "tasks", "snapshot bytes", "bytes a task")
    return markdown_table(columns, rows), []


def measure_appends(
    starts_per_second: float,
    seconds: int = 60,
    params: SchedulerParams = PARAMS,
) -> tuple[float, float, int]:
    """Measures the log appends of a cell's owner at a constant start rate.

    Returns:
        Appends per second, appends per start and the number of starts.
    """
    cluster = SteppedCluster(WORKERS, WORKER_SIZE, params)
    daemon = cluster.daemon("d0")
    daemon.run(2000)
    before = _count_owner_appends(cluster)
    credit = 0.0
    for second in range(seconds):
        credit += starts_per_second
        if credit >= 1:
            count, credit = int(credit), credit % 1
            cluster.submit(
                f"job-{second}",
                count,
                size=ResourceVector(1.0, 500),
                run_ms=RUN_MS,
            )
        daemon.run(1000)
    appends = _count_owner_appends(cluster) - before
    starts = sum(e.what == "start" for e in cluster.worker_events())
    return appends / seconds, appends / max(starts, 1), starts


def _count_owner_appends(cluster: SteppedCluster) -> int:
    records = cluster.log.archive.get(CELL, [])
    return sum('"type":"write"' in record.data for record in records)


def _measure_append_rate() -> tuple[str, list[Bound]]:
    """Measures the appends of an owner at several start rates."""
    rows = []
    cells = 10
    for rate in (0, 1, 8, 33):
        appends_per_s, appends_per_start, starts = measure_appends(rate)
        rows.append(
            [rate, starts, f"{appends_per_s:.2f}", f"{appends_per_start:.3f}"]
        )
    bounds = [
        Bound.at_most(
            "appends a start at the peak",
            appends_per_start,
            MAX_APPENDS_PER_START,
        ),
        Bound.at_most(
            "owners' appends a second at the peak, 10 cells",
            cells * appends_per_s,
            MAX_APPENDS_PER_SECOND,
        ),
    ]
    columns = ("starts/s of a cell", "starts", "appends/s", "appends a start")
    return markdown_table(columns, rows), bounds


def _measure_takeover() -> tuple[str, list[Bound]]:
    """Measures the time from an owner's crash to its successor's first start.

    The unit is the duration of a lease.
    """
    rows = []
    worst = 0.0
    for offset in range(0, 1000, 200):
        cluster = SteppedCluster(4, WORKER_SIZE, PARAMS)
        first, second = cluster.daemon("d0"), cluster.daemon("d1")
        for _ in range(20 + offset // 100):
            first.step()
            second.run(100)
        cluster.submit("job")
        crashed_ms = cluster.clock.now_ms()
        second.run(10_000)
        started_ms = next(
            e.at_ms for e in cluster.worker_events() if e.what == "start"
        )
        leases = (started_ms - crashed_ms) / PARAMS.lease.lease_ms
        worst = max(worst, leases)
        rows.append([f"{offset} ms after a renewal", f"{leases:.2f}"])
    bound = Bound.at_most(
        "leases to the first start", worst, MAX_LEASES_TO_START
    )
    return markdown_table(("death", "leases"), rows), [bound]


def _measure_outage() -> tuple[str, list[Bound]]:
    """Counts running tasks that end while the log is unavailable."""
    cluster = SteppedCluster(WORKERS, WORKER_SIZE, PARAMS)
    daemon = cluster.daemon("d0")
    daemon.run(1000)
    cluster.submit("job", 300, size=ResourceVector(1.0, 500), run_ms=10**7)
    daemon.run(4000)
    cluster.log_available = False
    daemon.run(OUTAGE_LEASES * PARAMS.lease.lease_ms)
    ended = sum(e.what != "start" for e in cluster.worker_events())
    bound = Bound.at_most("tasks lost in ten leases of outage", ended, 0)
    rows = [[300, f"{OUTAGE_LEASES} leases", ended]]
    return markdown_table(("running", "log down", "lost"), rows), [bound]
