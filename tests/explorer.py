"""Seeded search over schedules of ownership and placement.

Real controllers, folders and readers of several daemons run against the
stand-ins' models of the log and the workers on one driven clock. A schedule
is drawn from a seed: delays, lost and held-back messages, pauses, kills, cuts,
outages, operators' acts. Violations are counted from the workers' own record.

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
from tests.exploring.chaos import FaultInjector
from tests.exploring.node import SimulatedDaemon
from tests.exploring.world import (
    CELL,
    FAULT_PHASE_MS,
    RECOVERY_MS,
    ZONE_GRACE_MS,
    Simulation,
)

DAEMON_COUNT = 3


@dataclasses.dataclass(slots=True)
class ExplorationResult:
    """What one schedule showed.

    Attributes:
        seed: Seed of the schedule.
        violations: Lines of the checkers, by point.
        unfinished: Jobs that were not over at the end.
        starts: Runs that were started.
        epochs: Ownerships that were taken.
    """

    seed: int
    violations: dict[str, list[str]]
    unfinished: list[str]
    starts: int
    epochs: int

    @property
    def failed(self) -> bool:
        """Whether anything was violated or left undone."""
        return any(self.violations.values()) or bool(self.unfinished)


def explore(seed: int) -> ExplorationResult:
    """Runs one schedule: faults, then quiet until all work is done."""
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
    projector.feed(Page(0, 0, sim.log.archive[CELL]))
    while projector.projection.jobs and sim.clock.now_ms() < end_ms:
        sim.run_until(sim.clock.now_ms() + 2000)
        unseen = sim.log.archive[CELL][projector.next_offset :]
        projector.feed(Page(0, 0, unseen))
    lost = frozenset(
        (c.entry.task, c.entry.attempt)
        for c in changes
        if isinstance(c.entry, Ended)
        and c.entry.outcome is RunOutcome.LOST
        and not c.entry.checkpoint
    )
    happenings = sim.happenings()
    sizes = {model.id: model.size for model in sim.workers.values()}
    return ExplorationResult(
        seed,
        {
            "two_places": checks.overlaps(happenings),
            "attempts_twice": checks.attempts_twice(happenings),
            "finished_twice": checks.finished_twice(happenings, lost),
            "wrong_resumes": checks.wrong_resumes(happenings, lost),
            "overloads": checks.overloads(happenings, sizes),
            "zone_starts": checks.zone_starts(
                happenings, sim.all_zone_outages(), ZONE_GRACE_MS
            ),
            "double_owners": sim.double_owners,
            "config_reverts": sim.config_reverts,
        },
        sorted(projector.projection.jobs),
        sum(h.what == "start" for h in happenings),
        projector.projection.epoch,
    )


def main() -> int:
    """Explores schedules and prints what was found."""
    from tests.guards import GUARDS, without

    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--without", choices=sorted(GUARDS))
    args = parser.parse_args()
    failed = 0
    starts = epochs = 0
    with without(args.without):
        for seed in range(args.first, args.first + args.count):
            outcome = explore(seed)
            starts += outcome.starts
            epochs += outcome.epochs
            if outcome.failed:
                failed += 1
                print(_report(outcome))
    print(
        f"schedules={args.count} bad={failed} starts={starts} epochs={epochs}"
    )
    return 1 if failed else 0


def _report(outcome: ExplorationResult) -> str:
    found = {k: v[:2] for k, v in outcome.violations.items() if v}
    return f"seed={outcome.seed} {found} unfinished={outcome.unfinished}"


if __name__ == "__main__":
    sys.exit(main())
