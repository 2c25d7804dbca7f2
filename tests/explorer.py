"""Randomized search for schedules that violate invariants of scheduling.

The real controllers, projectors and stream readers of several daemons run
against models of the log and the workers, on a manual clock. The seed
determines the whole schedule: message delays, losses and duplicates, pauses and
crashes of daemons, network cuts, outages of the log, and commands of operators.
Violations are counted from the events that the worker models record.

    python -m tests.explorer --first 0 --count 100 [--without GUARD]
"""

import argparse
import dataclasses
import sys

from limpetyard.cell import (
    CellRecord,
    CellSnapshot,
    CellState,
    Ended,
    RunOutcome,
    StateChange,
)
from limpetyard.log import Page, StreamProjector
from standins import checks
from tests.exploring.daemon import SimulatedDaemon
from tests.exploring.fault_injector import FaultInjector
from tests.exploring.simulation import (
    CELL,
    FAULT_PHASE_MS,
    RECOVERY_MS,
    ZONE_GRACE_MS,
    Simulation,
)

DAEMON_COUNT = 3


@dataclasses.dataclass(slots=True)
class ExplorationResult:
    """Result of one schedule.

    Attributes:
        seed: Seed of the schedule.
        violations: Violations that the checks found, by check.
        unfinished: Ids of the jobs that were still open at the end.
        starts: Number of runs that were started.
        epochs: Number of times that the cell was claimed.
    """

    seed: int
    violations: dict[str, list[str]]
    unfinished: list[str]
    starts: int
    epochs: int

    @property
    def failed(self) -> bool:
        """Whether an invariant was violated or a job did not end."""
        return any(self.violations.values()) or bool(self.unfinished)


def explore(seed: int) -> ExplorationResult:
    """Runs one schedule: a phase with faults, then one without to finish."""
    sim = Simulation(seed)
    sim.daemons = [
        SimulatedDaemon(sim, f"n{number}", number)
        for number in range(DAEMON_COUNT)
    ]
    injector = FaultInjector(sim)
    sim.schedule(100, injector.inject_next)
    sim.schedule(50, lambda: sim.submit(6, 2.0, 3000))
    begin_ms = sim.clock.now_ms()
    sim.run_until(begin_ms + FAULT_PHASE_MS)
    sim.faults_enabled = False
    sim.restore_zones()
    changes: list[StateChange] = []
    projector = StreamProjector(
        CellState(changes.append), CellRecord, CellSnapshot
    )
    end_ms = begin_ms + FAULT_PHASE_MS + RECOVERY_MS
    projector.apply_page(Page(0, 0, sim.log.archive[CELL]))
    while projector.projection.jobs and sim.clock.now_ms() < end_ms:
        sim.run_until(sim.clock.now_ms() + 2000)
        new_records = sim.log.archive[CELL][projector.next_offset :]
        projector.apply_page(Page(0, 0, new_records))
    lost_runs = frozenset(
        (c.entry.task, c.entry.attempt)
        for c in changes
        if isinstance(c.entry, Ended)
        and c.entry.outcome is RunOutcome.LOST
        and not c.entry.checkpoint
    )
    worker_events = sim.worker_events()
    sizes = {model.id: model.size for model in sim.workers.values()}
    return ExplorationResult(
        seed,
        {
            "two_places": checks.overlaps(worker_events),
            "attempts_twice": checks.started_twice(worker_events),
            "finished_twice": checks.finished_twice(worker_events, lost_runs),
            "wrong_resumes": checks.wrong_resumes(worker_events, lost_runs),
            "overloads": checks.overloads(worker_events, sizes),
            "zone_starts": checks.zone_outage_starts(
                worker_events, sim.all_zone_outages(), ZONE_GRACE_MS
            ),
            "double_owners": sim.double_owners,
            "config_reverts": sim.config_reverts,
        },
        sorted(projector.projection.jobs),
        sum(event.what == "start" for event in worker_events),
        projector.projection.epoch,
    )


def main() -> int:
    """Runs the schedules of a range of seeds and prints those that failed."""
    from tests.guards import GUARDS, guard_disabled

    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--without", choices=sorted(GUARDS))
    args = parser.parse_args()
    failed = 0
    starts = epochs = 0
    with guard_disabled(args.without):
        for seed in range(args.first, args.first + args.count):
            result = explore(seed)
            starts += result.starts
            epochs += result.epochs
            if result.failed:
                failed += 1
                print(_format_result(result))
    print(
        f"schedules={args.count} bad={failed} starts={starts} epochs={epochs}"
    )
    return 1 if failed else 0


def _format_result(result: ExplorationResult) -> str:
    found = {k: v[:2] for k, v in result.violations.items() if v}
    return f"seed={result.seed} {found} unfinished={result.unfinished}"


if __name__ == "__main__":
    sys.exit(main())
