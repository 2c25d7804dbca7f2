"""Placement and relief against the baselines, on the same seeds."""

import dataclasses
import random
import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.oracle import Oracle
from bench.report import Bound, Section, table
from bench.scenarios import (
    BACK_S,
    DURATION_S,
    OUT_S,
    SCENARIOS,
    WARM_UP_S,
    begin,
)
from bench.workspace import UKILI, VALDORSO, Measured, User, Workspace
from limpetyard.placement import POLICIES

FORMS = ("inverse", "saturating", "cliff")
SEEDS = range(6)
PROCESSES = 5
BASELINE = "least-loaded"
JUDGED = "learned"
NAMES = ("first-fit", "random-two", BASELINE, JUDGED, "oracle")
P99_TARGET = 0.6
WORK_TARGET = 0.95
EVICTION_TARGET = 1.0
WINDOW_TARGET = 1.1


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """One run of one policy."""

    user: User
    scenario: str
    policy: str
    seed: int

    @property
    def form(self) -> str:
        """Form of the interference, by seed."""
        return FORMS[self.seed % len(FORMS)]


def measure(case: Case) -> Measured:
    """Runs one case."""
    rng = random.Random(case.seed)
    policy = None
    if case.policy != "oracle":
        policy = POLICIES.get(case.policy)(rng)
    space = Workspace(case.user, case.form, policy, case.seed)
    if policy is None:
        # The oracle reads the true rates that the workspace runs on.
        oracle = Oracle(rng, space.rates)
        space.use_policy(oracle)
    begin(space)
    space.watch_window(OUT_S, BACK_S + 60)
    SCENARIOS.get(case.scenario)(space)
    space.run(DURATION_S, WARM_UP_S)
    return space.measured()


def run(scenarios: list[str], names=NAMES, seeds=SEEDS) -> dict:
    """Measures all cases in a few processes."""
    cases = [
        Case(user, scenario, name, seed)
        for user in (UKILI, VALDORSO)
        for scenario in scenarios
        for name in names
        for seed in seeds
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = pool.map(measure, cases, chunksize=4)
        return dict(zip(cases, results, strict=True))


def section() -> Section:
    """Measures everything and returns the section of the report."""
    results = run(list(SCENARIOS))
    rows = []
    bounds = []
    for user in (UKILI, VALDORSO):
        for scenario in SCENARIOS:
            rows += _rows(results, user, scenario)
            bounds += _bounds(results, user, scenario)
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
    return Section("decisions", "Decisions", table(columns, rows), bounds)


def _of(results: dict, user: User, scenario: str, policy: str) -> list:
    return [results[Case(user, scenario, policy, seed)] for seed in SEEDS]


def _ratios(results, user, scenario, policy, key: str) -> list[float]:
    mine = _of(results, user, scenario, policy)
    base = _of(results, user, scenario, BASELINE)
    return [
        getattr(a, key) / max(getattr(b, key), 1e-9)
        for a, b in zip(mine, base, strict=True)
    ]


def _rows(results: dict, user: User, scenario: str) -> list[list]:
    rows = []
    for policy in NAMES:
        found = _of(results, user, scenario, policy)
        tails = [m.p99_ms for m in found]

        def ratio(key: str, policy=policy) -> str:
            values = _ratios(results, user, scenario, policy, key)
            return f"{statistics.median(values):.2f}"

        rows.append(
            [
                user.name,
                scenario,
                policy,
                f"{statistics.median(tails):.0f}",
                f"{max(tails):.0f}",
                ratio("p99_ms"),
                ratio("work"),
                sum(m.evictions for m in found),
                ratio("window_work"),
                sum(m.violations for m in found),
            ]
        )
    return rows


def _bounds(results: dict, user: User, scenario: str) -> list[Bound]:
    name = f"{user.name} {scenario}"

    def median(key: str) -> float:
        return statistics.median(_ratios(results, user, scenario, JUDGED, key))

    mine = _of(results, user, scenario, JUDGED)
    base = _of(results, user, scenario, BASELINE)
    evicted = sum(m.evictions for m in mine)
    evicted_base = sum(m.evictions for m in base)
    bounds = [
        Bound.most(f"{name}: p99 ratio", median("p99_ms"), P99_TARGET),
        Bound.least(f"{name}: work ratio", median("work"), WORK_TARGET),
        Bound.most(
            f"{name}: eviction ratio",
            _quotient(evicted, evicted_base),
            EVICTION_TARGET,
        ),
        Bound.most(f"{name}: violations", sum(m.violations for m in mine), 0),
    ]
    if "zone" in scenario or scenario == "all-together":
        bounds.append(
            Bound.least(
                f"{name}: zone work ratio", median("window_work"), WINDOW_TARGET
            )
        )
    return bounds


def _quotient(part: float, whole: float) -> float:
    if whole:
        return part / whole
    return 0.0 if part == 0 else float("inf")
