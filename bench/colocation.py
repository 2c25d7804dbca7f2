"""Best-effort work beside serving work, by pacer and pattern of load."""

import statistics

from loguru import logger

from bench.report import Bound, Section, markdown_table
from limpetyard.engine import DEFAULT_PACER, PACERS, EngineParams
from standins.colocation import ColocationModel, Outcome, Pattern

SEEDS = range(1, 9)

PATTERNS = {
    "calm": Pattern(jobs_per_s=0.6, burst=1.0),
    "burst": Pattern(),
    "burst, high pressure": Pattern(pressure=1.0),
    "long tasks": Pattern(
        pressure=1.0, swing_s=40.0, task_ms=9000.0, jobs_per_s=0.4
    ),
    "4 cores": Pattern(cores=4, pressure=1.0, jobs_per_s=0.3),
    "96 cores": Pattern(
        workers=4, cores=96, pressure=1.0, jobs_per_s=2.4, task_cores=3.0
    ),
}

HEADER = (
    "pattern",
    "pacer",
    "in time",
    "p50 ms",
    "p99 ms",
    "over target",
    "longest ms",
    "orders",
    "stops",
)


def measure_section() -> Section:
    """Plays all patterns with all pacers."""
    logger.remove()
    limit_ms = EngineParams(1.0, 1.0).strain_limit_ms
    rows = []
    bounds = []
    for name, pattern in PATTERNS.items():
        for pacer in PACERS:
            outcomes = [
                ColocationModel(pattern, pacer, seed).play() for seed in SEEDS
            ]
            rows.append([name, pacer, *_columns(outcomes)])
            if pacer == DEFAULT_PACER:
                longest_ms = max(o.longest_over_ms for o in outcomes)
                bounds.append(
                    Bound.at_most(
                        f"{name}: longest strain, ms", longest_ms, limit_ms
                    )
                )
    return Section(
        "colocation",
        "Best-effort work beside serving work",
        markdown_table(HEADER, rows),
        bounds,
    )


def _columns(outcomes: list[Outcome]) -> list[str]:
    run_ms = sorted(ms for outcome in outcomes for ms in outcome.run_ms)
    last = len(run_ms) - 1
    return [
        f"{statistics.mean(o.in_time for o in outcomes):.2f}",
        f"{run_ms[last // 2]:.0f}",
        f"{run_ms[int(0.99 * last)]:.0f}",
        f"{statistics.mean(o.over_target for o in outcomes):.3f}",
        f"{max(o.longest_over_ms for o in outcomes):.0f}",
        str(sum(o.pace_orders for o in outcomes)),
        str(sum(o.stops for o in outcomes)),
    ]
