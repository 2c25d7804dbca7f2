"""Compares placement and mitigation with baselines, on the same seeds."""

import dataclasses
import random
import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.oracle import Oracle
from bench.report import Bound, Section, markdown_table
from bench.scenarios import (
    DURATION_S,
    SCENARIOS,
    WARM_UP_S,
    ZONE_BACK_S,
    ZONE_OUT_S,
    submit_services,
)
from bench.workspace import (
    UKILI,
    VALDORSO,
    RunResult,
    Workspace,
    WorkspaceShape,
)
from limpetyard.placement import POLICIES

FORM_NAMES = ("inverse", "saturating", "cliff")
SEEDS = range(6)
PROCESS_COUNT = 5
BASELINE = "least-loaded"
CANDIDATE = "learned"
POLICY_NAMES = ("first-fit", "random-two", BASELINE, CANDIDATE, "oracle")
MAX_P99_RATIO = 0.6
MIN_WORK_RATIO = 0.95
MAX_EVICTION_RATIO = 1.0
MIN_WINDOW_WORK_RATIO = 1.1


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """One run of one policy.

    Attributes:
        shape: Size of the workspace.
        scenario: Name of the scenario.
        policy: Name of the policy, or "oracle".
        seed: Seed of the run; it also selects the form of interference.
    """

    shape: WorkspaceShape
    scenario: str
    policy: str
    seed: int

    @property
    def form(self) -> str:
        """Name of the form of interference, selected by the seed."""
        return FORM_NAMES[self.seed % len(FORM_NAMES)]


def measure(case: Case) -> RunResult:
    """Runs one case."""
    rng = random.Random(case.seed)
    policy = None
    if case.policy != "oracle":
        policy = POLICIES.get(case.policy)(rng)
    workspace = Workspace(case.shape, case.form, policy, case.seed)
    if policy is None:
        # The oracle needs the true rates of this workspace.
        oracle = Oracle(rng, workspace.rates)
        workspace.use_policy(oracle)
    submit_services(workspace)
    workspace.measure_window(ZONE_OUT_S, ZONE_BACK_S + 60)
    SCENARIOS.get(case.scenario)(workspace)
    workspace.run(DURATION_S, WARM_UP_S)
    return workspace.collect_result()


def run_cases(
    scenarios: list[str], policy_names=POLICY_NAMES, seeds=SEEDS
) -> dict:
    """Runs all cases in a process pool and returns the result of each."""
    cases = [
        Case(shape, scenario, name, seed)
        for shape in (UKILI, VALDORSO)
        for scenario in scenarios
        for name in policy_names
        for seed in seeds
    ]
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        results = pool.map(measure, cases, chunksize=4)
        return dict(zip(cases, results, strict=True))


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    results = run_cases(list(SCENARIOS))
    rows = []
    bounds = []
    for shape in (UKILI, VALDORSO):
        for scenario in SCENARIOS:
            rows += _rows(results, shape, scenario)
            bounds += _bounds(results, shape, scenario)
    columns = (
        "user",
        "scenario",
        "policy",
        "p99 ms, median",
        "p99 ms, worst",
        "p99 ratio",
        "work ratio",
        "evictions",
        "zone work ratio",
        "violations",
    )
    return Section(
        "decisions", "Decisions", markdown_table(columns, rows), bounds
    )


def _case_results(
    results: dict, shape: WorkspaceShape, scenario: str, policy: str
) -> list:
    return [results[Case(shape, scenario, policy, seed)] for seed in SEEDS]


def _ratios(results, shape, scenario, policy, metric: str) -> list[float]:
    """Returns the policy's metric relative to the baseline's, for each seed."""
    candidate = _case_results(results, shape, scenario, policy)
    baseline = _case_results(results, shape, scenario, BASELINE)
    return [
        getattr(a, metric) / max(getattr(b, metric), 1e-9)
        for a, b in zip(candidate, baseline, strict=True)
    ]


def _rows(results: dict, shape: WorkspaceShape, scenario: str) -> list[list]:
    rows = []
    for policy in POLICY_NAMES:
        policy_results = _case_results(results, shape, scenario, policy)
        p99s_ms = [m.p99_ms for m in policy_results]

        def ratio(metric: str, policy=policy) -> str:
            values = _ratios(results, shape, scenario, policy, metric)
            return f"{statistics.median(values):.2f}"

        rows.append(
            [
                shape.name,
                scenario,
                policy,
                f"{statistics.median(p99s_ms):.0f}",
                f"{max(p99s_ms):.0f}",
                ratio("p99_ms"),
                ratio("work"),
                sum(m.evictions for m in policy_results),
                ratio("window_work"),
                sum(m.violations for m in policy_results),
            ]
        )
    return rows


def _bounds(results: dict, shape: WorkspaceShape, scenario: str) -> list[Bound]:
    name = f"{shape.name} {scenario}"

    def median(metric: str) -> float:
        return statistics.median(
            _ratios(results, shape, scenario, CANDIDATE, metric)
        )

    candidate = _case_results(results, shape, scenario, CANDIDATE)
    baseline = _case_results(results, shape, scenario, BASELINE)
    evicted = sum(m.evictions for m in candidate)
    baseline_evicted = sum(m.evictions for m in baseline)
    bounds = [
        Bound.at_most(f"{name}: p99 ratio", median("p99_ms"), MAX_P99_RATIO),
        Bound.at_least(f"{name}: work ratio", median("work"), MIN_WORK_RATIO),
        Bound.at_most(
            f"{name}: eviction ratio",
            _quotient(evicted, baseline_evicted),
            MAX_EVICTION_RATIO,
        ),
        Bound.at_most(
            f"{name}: violations", sum(m.violations for m in candidate), 0
        ),
    ]
    if "zone" in scenario or scenario == "all-together":
        bounds.append(
            Bound.at_least(
                f"{name}: zone work ratio",
                median("window_work"),
                MIN_WINDOW_WORK_RATIO,
            )
        )
    return bounds


def _quotient(part: float, whole: float) -> float:
    """Returns part / whole; for whole = 0, 0.0 if part is 0, else infinity."""
    if whole:
        return part / whole
    return 0.0 if part == 0 else float("inf")
