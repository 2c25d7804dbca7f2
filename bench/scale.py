"""Cost of one placement decision from today's size to that of the plan."""

import statistics
import time

from bench.report import Bound, Section, table
from limpetyard.cell import LeaseParams, ResourceVector
from limpetyard.placement import SizeEstimator, new_policy
from limpetyard.scheduler import SchedulerParams
from limpetyard.scheduler._planner import Planner
from standins.stepped_cluster import SteppedCluster

TERMS = SchedulerParams(
    lease=LeaseParams(lease_ms=600_000), task_lease_ms=600_000
)
WORKER_SIZE = ResourceVector(32.0, 125_000)
CELL_WORKERS = 32
TASKS_A_WORKER = 19
SIZES = (24, 33, 330, 1300)
ROUNDS = 15
QUEUED = 40
GROWTH = 2.0


def decision_ms(workers: int, cells: int) -> float:
    """Returns processor time of one placement, views included.

    Args:
        workers: Workers of the whole workspace.
        cells: Cells that they are spread over.
    """
    mine = -(-workers // cells)
    cluster = SteppedCluster(mine, WORKER_SIZE, TERMS)
    daemon = cluster.daemon("d0")
    daemon.run(1000)
    for number in range(10):
        cluster.submit(
            f"job-{number}",
            mine * TASKS_A_WORKER // 10,
            size=ResourceVector(1.0, 500),
            run_ms=10**9,
            class_name=f"class-{number % 5}",
        )
    daemon.run(3000)
    cluster.submit(
        "next", QUEUED, size=ResourceVector(1.0, 500), class_name="class-1"
    )
    daemon.read()
    planner = Planner(new_policy("learned", 0), SizeEstimator())
    took = []
    for _ in range(ROUNDS):
        begin_s = time.process_time()
        plans = planner.plan(daemon.controller._context, cluster.clock.now_ms())
        took.append((time.process_time() - begin_s) * 1000 / len(plans))
    return statistics.median(took)


def section() -> Section:
    """Measures everything and returns the section of the report."""
    rows = []
    costs = {}
    for workers in SIZES:
        cells = -(-workers // CELL_WORKERS)
        costs[workers] = decision_ms(workers, cells)
        whole = decision_ms(workers, 1) if cells > 1 else costs[workers]
        rows.append(
            [
                workers,
                workers * TASKS_A_WORKER,
                cells,
                f"{costs[workers]:.3f}",
                f"{whole:.3f}",
            ]
        )
    columns = (
        "workers",
        "tasks",
        "cells",
        "ms a decision in a cell",
        "ms a decision in one cell for all",
    )
    growth = costs[SIZES[-1]] / costs[SIZES[0]]
    bound = Bound.most("growth of a decision's cost", growth, GROWTH)
    return Section("scale", "Cost of a decision", table(columns, rows), [bound])
