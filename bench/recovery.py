"""State and recovery of a cell, as slopes over its size."""

import msgspec

from bench.report import Bound, Section, table
from limpetyard.cell import CellSnapshot, LeaseParams, ResourceVector
from limpetyard.scheduler import SchedulerParams
from standins.stepped_cluster import CELL, SteppedCluster

TERMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), commit_ms=500, sync_ms=1000
)
WORKER_SIZE = ResourceVector(32.0, 125_000)
WORKERS = 32
LEASES_TO_START = 2.0
APPENDS_A_START = 0.1
APPENDS_A_SECOND = 50.0
PEAK_STARTS = 330
OUTAGE_LEASES = 10
RUN_MS = 1000


def section() -> Section:
    """Measures everything and returns the section of the report."""
    parts = [_recovery_read(), _appends(), _takeover(), _outage()]
    body = "\n\n".join(part[0] for part in parts)
    bounds = [bound for part in parts for bound in part[1]]
    return Section("recovery", "State and recovery", body, bounds)


def _recovery_read() -> tuple[str, list[Bound]]:
    """Size of a snapshot over the number of placed tasks."""
    rows = []
    for tasks in (0, 150, 300, 600):
        cluster = SteppedCluster(WORKERS, WORKER_SIZE, TERMS)
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
    return table(columns, rows), []


def appends_at(
    starts_per_second: float, seconds: int = 60, params: SchedulerParams = TERMS
) -> tuple[float, float, int]:
    """Returns a cell's appends a second and a start, and the starts."""
    cluster = SteppedCluster(WORKERS, WORKER_SIZE, params)
    daemon = cluster.daemon("d0")
    daemon.run(2000)
    before = _owner_records(cluster)
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
    appends = _owner_records(cluster) - before
    starts = sum(h.what == "start" for h in cluster.worker_events())
    return appends / seconds, appends / max(starts, 1), starts


def _owner_records(cluster: SteppedCluster) -> int:
    records = cluster.log.archive.get(CELL, [])
    return sum('"type":"write"' in record.data for record in records)


def _appends() -> tuple[str, list[Bound]]:
    rows = []
    cells = 10
    for rate in (0, 1, 8, 33):
        a_second, a_start, starts = appends_at(rate)
        rows.append([rate, starts, f"{a_second:.2f}", f"{a_start:.3f}"])
    bounds = [
        Bound.most("appends a start at the peak", a_start, APPENDS_A_START),
        Bound.most(
            "owners' appends a second at the peak, 10 cells",
            cells * a_second,
            APPENDS_A_SECOND,
        ),
    ]
    columns = ("starts/s of a cell", "starts", "appends/s", "appends a start")
    return table(columns, rows), bounds


def _takeover() -> tuple[str, list[Bound]]:
    """Leases from an owner's death to the first start of the next one."""
    rows = []
    worst = 0.0
    for offset in range(0, 1000, 200):
        cluster = SteppedCluster(4, WORKER_SIZE, TERMS)
        first, second = cluster.daemon("d0"), cluster.daemon("d1")
        for _ in range(20 + offset // 100):
            first.step()
            second.run(100)
        cluster.submit("job")
        died_ms = cluster.clock.now_ms()
        second.run(10_000)
        started_ms = next(
            h.at_ms for h in cluster.worker_events() if h.what == "start"
        )
        leases = (started_ms - died_ms) / TERMS.lease.lease_ms
        worst = max(worst, leases)
        rows.append([f"{offset} ms after a renewal", f"{leases:.2f}"])
    bound = Bound.most("leases to the first start", worst, LEASES_TO_START)
    return table(("death", "leases"), rows), [bound]


def _outage() -> tuple[str, list[Bound]]:
    cluster = SteppedCluster(WORKERS, WORKER_SIZE, TERMS)
    daemon = cluster.daemon("d0")
    daemon.run(1000)
    cluster.submit("job", 300, size=ResourceVector(1.0, 500), run_ms=10**7)
    daemon.run(4000)
    cluster.log_available = False
    daemon.run(OUTAGE_LEASES * TERMS.lease.lease_ms)
    ended = sum(h.what != "start" for h in cluster.worker_events())
    bound = Bound.most("tasks lost in ten leases of outage", ended, 0)
    rows = [[300, f"{OUTAGE_LEASES} leases", ended]]
    return table(("running", "log down", "lost"), rows), [bound]
