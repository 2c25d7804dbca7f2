"""Cost of a placement decision, from the present to the planned size."""

import statistics
import time

from bench.report import Bound, Section, markdown_table
from limpetyard.cell import LeaseParams, ResourceVector
from limpetyard.placement import SizeEstimator, new_policy
from limpetyard.scheduler import SchedulerParams
from limpetyard.scheduler._planner import PlacementPlanner
from standins.stepped_cluster import SteppedCluster

PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=600_000), task_lease_ms=600_000
)
WORKER_SIZE = ResourceVector(32.0, 125_000)
WORKERS_PER_CELL = 32
TASKS_PER_WORKER = 19
WORKER_COUNTS = (24, 33, 330, 1300)
ROUNDS = 15
QUEUED_TASKS = 40
MAX_GROWTH = 2.0


def measure_decision_ms(workers: int, cells: int) -> float:
    """Measures the CPU time per placement, including the policy's views.

    Args:
        workers: Number of workers in the workspace.
        cells: Number of cells that the workers are divided into.

    Returns:
        Median over the rounds, in milliseconds.
    """
    cell_workers = -(-workers // cells)
    cluster = SteppedCluster(cell_workers, WORKER_SIZE, PARAMS)
    daemon = cluster.daemon("d0")
    daemon.run(1000)
    for number in range(10):
        cluster.submit(
            f"job-{number}",
            cell_workers * TASKS_PER_WORKER // 10,
            size=ResourceVector(1.0, 500),
            run_ms=10**9,
            class_name=f"class-{number % 5}",
        )
    daemon.run(3000)
    cluster.submit(
        "next",
        QUEUED_TASKS,
        size=ResourceVector(1.0, 500),
        class_name="class-1",
    )
    daemon.read()
    planner = PlacementPlanner(new_policy("learned", 0), SizeEstimator())
    durations_ms = []
    for _ in range(ROUNDS):
        begin_s = time.process_time()
        plans = planner.plan(daemon.controller.context, cluster.clock.now_ms())
        durations_ms.append((time.process_time() - begin_s) * 1000 / len(plans))
    return statistics.median(durations_ms)


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    rows = []
    costs_ms = {}
    for workers in WORKER_COUNTS:
        cells = -(-workers // WORKERS_PER_CELL)
        costs_ms[workers] = measure_decision_ms(workers, cells)
        single_cell_ms = (
            measure_decision_ms(workers, 1) if cells > 1 else costs_ms[workers]
        )
        rows.append(
            [
                workers,
                workers * TASKS_PER_WORKER,
                cells,
                f"{costs_ms[workers]:.3f}",
                f"{single_cell_ms:.3f}",
            ]
        )
    columns = (
        "workers",
        "tasks",
        "cells",
        "ms a decision in a cell",
        "ms a decision in one cell for all",
    )
    growth = costs_ms[WORKER_COUNTS[-1]] / costs_ms[WORKER_COUNTS[0]]
    bound = Bound.at_most("growth of a decision's cost", growth, MAX_GROWTH)
    return Section(
        "scale", "Cost of a decision", markdown_table(columns, rows), [bound]
    )
