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
    StateChange,
)
from limpetyard.cell import RunOutcome as RunEnd
from limpetyard.log import Page, StreamProjector
from standins import checks
from tests.exploring.chaos import Chaos
from tests.exploring.daemon import Node
from tests.exploring.simulation import (
    CELL,
    CHAOS_MS,
    HEAL_MS,
    ZONE_GRACE_MS,
    World,
)

NODES = 3


@dataclasses.dataclass(slots=True)
class RunOutcome:
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
    def bad(self) -> bool:
        """Whether anything was violated or left undone."""
        return any(self.violations.values()) or bool(self.unfinished)


def explore(seed: int) -> RunOutcome:
    """Runs one schedule: faults, then quiet until all work is done."""
    world = World(seed)
    world.nodes = [Node(world, f"n{number}", number) for number in range(NODES)]
    chaos = Chaos(world)
    world.later(100, chaos.next)
    world.later(50, lambda: world.submit(6, 2.0, 3000))
    begin_ms = world.clock.now_ms()
    world.run_until(begin_ms + CHAOS_MS)
    world.chaos = False
    world.open_zones()
    changes: list[StateChange] = []
    truth = StreamProjector(CellState(changes.append), CellRecord, CellSnapshot)
    end_ms = begin_ms + CHAOS_MS + HEAL_MS
    truth.apply_page(Page(0, 0, world.log.archive[CELL]))
    while truth.projection.jobs and world.clock.now_ms() < end_ms:
        world.run_until(world.clock.now_ms() + 2000)
        unseen = world.log.archive[CELL][truth.next_offset :]
        truth.apply_page(Page(0, 0, unseen))
    lost = frozenset(
        (c.entry.task, c.entry.attempt)
        for c in changes
        if isinstance(c.entry, Ended)
        and c.entry.outcome is RunEnd.LOST
        and not c.entry.checkpoint
    )
    worker_events = world.worker_events()
    sizes = {model.id: model.size for model in world.workers.values()}
    return RunOutcome(
        seed,
        {
            "two_places": checks.overlaps(worker_events),
            "attempts_twice": checks.started_twice(worker_events),
            "finished_twice": checks.finished_twice(worker_events, lost),
            "wrong_resumes": checks.wrong_resumes(worker_events, lost),
            "overloads": checks.overloads(worker_events, sizes),
            "zone_starts": checks.zone_outage_starts(
                worker_events, world.all_outs(), ZONE_GRACE_MS
            ),
            "double_owners": world.double_owners,
            "config_reverts": world.reverts,
        },
        sorted(truth.projection.jobs),
        sum(h.what == "start" for h in worker_events),
        truth.projection.epoch,
    )


def main() -> int:
    """Explores schedules and prints what was found."""
    from tests.guards import GUARDS, without

    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--without", choices=sorted(GUARDS))
    args = parser.parse_args()
    bad = 0
    starts = epochs = 0
    with without(args.without):
        for seed in range(args.first, args.first + args.count):
            outcome = explore(seed)
            starts += outcome.starts
            epochs += outcome.epochs
            if outcome.bad:
                bad += 1
                print(_report(outcome))
    print(f"schedules={args.count} bad={bad} starts={starts} epochs={epochs}")
    return 1 if bad else 0


def _report(outcome: RunOutcome) -> str:
    found = {k: v[:2] for k, v in outcome.violations.items() if v}
    return f"seed={outcome.seed} {found} unfinished={outcome.unfinished}"


if __name__ == "__main__":
    sys.exit(main())
