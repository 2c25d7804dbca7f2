"""Replays recorded traces and compares the decisions with stored outcomes.

`python -m tests.test_traces` records the traces again and stores the decisions
of their replay as outcomes. Each outcome must satisfy its check in
`OUTCOME_CHECKS`.
"""

import sys
import unittest
from pathlib import Path

import msgspec

from limpetyard.cell import Cancel, LeaseParams, ResourceVector
from limpetyard.scheduler import Append, ReplayResult, SchedulerParams, replay
from standins.stepped_cluster import SteppedCluster

FOLDER = Path(__file__).resolve().parent / "traces"
PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), task_lease_ms=6000, outage_ms=12_000
)
SIZE = ResourceVector(8.0, 8000)


def lost_answer(trace: list[str]) -> None:
    """Every append is sent twice, as after a lost reply; it counts once."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    daemon = cluster.daemon("d0", trace)
    perform = daemon.perform

    def perform_twice(effect) -> None:
        perform(effect)
        if isinstance(effect, Append):
            perform(effect)

    daemon.perform = perform_twice
    cluster.submit("job", 3, run_ms=1000)
    daemon.run(5000)


def double_takeover(trace: list[str]) -> None:
    """A second daemon takes a cell over, then the first takes it back."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    first, second = cluster.daemon("d0", trace), cluster.daemon("d1")
    first.run(500)
    cluster.submit("job", 2, run_ms=20_000)
    first.run(1000)
    second.run(5000)
    first.run(5000)
    cluster.submit("next", 1, run_ms=500)
    first.run(3000)


def zone_out_in_outage(trace: list[str]) -> None:
    """A zone goes out of service during an outage of the log."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    daemon = cluster.daemon("d0", trace)
    daemon.run(500)
    cluster.submit("job", 2, run_ms=60_000)
    daemon.run(1000)
    cluster.submit("late", 2, run_ms=1000)
    cluster.log_available = False
    cluster.set_zone("zone-0", True)
    daemon.run(8000)
    cluster.log_available = True
    daemon.run(4000)


def silent_connections(trace: list[str]) -> None:
    """A worker is unreachable for longer than its task lease."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    daemon = cluster.daemon("d0", trace)
    daemon.run(500)
    cluster.submit("job", 1, run_ms=60_000)
    daemon.run(1000)
    ((worker, _),) = cluster.starts("job/0")
    cluster.cut_links.add(("d0", worker))
    daemon.run(10_000)
    cluster.cut_links.clear()
    daemon.run(2000)


def cancellation_wave(trace: list[str]) -> None:
    """Many jobs are cancelled at once, some running and some queued."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    daemon = cluster.daemon("d0", trace)
    daemon.run(500)
    for number in range(6):
        cluster.submit(f"job-{number}", 1, run_ms=60_000)
    daemon.run(1000)
    for number in range(5):
        cluster.append(Cancel(f"job-{number}"))
    daemon.run(3000)


def fail_everything(trace: list[str]) -> None:
    """All runs on one of two workers fail."""
    cluster = SteppedCluster(2, SIZE, PARAMS)
    cluster.workers["w0"].faults.fail_everything = True
    daemon = cluster.daemon("d0", trace)
    daemon.run(500)
    cluster.submit("job", 12, run_ms=1500, max_attempts=100)
    daemon.run(20_000)


def _each_task_once(result: ReplayResult) -> bool:
    return (
        len(result.ended) == 3 == len(set(result.placed)) == len(result.placed)
    )


# Properties that each outcome must have, besides equality with the stored one.
OUTCOME_CHECKS = {
    lost_answer: _each_task_once,
    double_takeover: lambda result: (
        result.claims == [1, 3]
        and sum(p.startswith("job/") for p in result.placed) == 2
        and any(p.startswith("next/") for p in result.placed)
    ),
    zone_out_in_outage: lambda result: (
        any(s.endswith("on w0") for s in result.stopped)
        and not any(
            s.startswith("late/") and s.endswith("on w0")
            for s in result.started
        )
    ),
    silent_connections: lambda result: (
        len(result.placed) == 2 and result.ended == ["job/0@1 lose"]
    ),
    cancellation_wave: lambda result: (
        len(result.stopped) == 4 - sum("job-5" in p for p in result.placed[:4])
        and all("job-5" not in e for e in result.ended)
    ),
    fail_everything: lambda result: (
        sum(e.endswith("finish") for e in result.ended) == 12
        and sum(e.endswith("fail") for e in result.ended) < 12
    ),
}


class TraceTest(unittest.TestCase):
    """Tests of all committed traces."""

    def test_replay_gives_the_stored_outcome(self):
        """The decisions equal those stored next to the trace."""
        for scenario, check in OUTCOME_CHECKS.items():
            with self.subTest(trace=scenario.__name__):
                result = replay(
                    _path(scenario, "jsonl").read_text().splitlines()
                )
                stored = msgspec.json.decode(
                    _path(scenario, "outcome.json").read_bytes(),
                    type=ReplayResult,
                )
                self.assertEqual(result, stored)
                self.assertTrue(check(result), result)

    def test_changed_decisions_are_detected(self):
        """A replay without the sync replies differs from the outcome."""
        for scenario in OUTCOME_CHECKS:
            lines = _path(scenario, "jsonl").read_text().splitlines()
            kept = [line for line in lines if '"type":"sync"' not in line]
            stored = msgspec.json.decode(
                _path(scenario, "outcome.json").read_bytes(), type=ReplayResult
            )
            self.assertNotEqual(replay(kept), stored)


def _path(scenario, suffix: str) -> Path:
    return FOLDER / f"{scenario.__name__}.{suffix}"


def record() -> int:
    """Records all traces; returns 1 if the check of any outcome fails."""
    failed = 0
    for scenario, check in OUTCOME_CHECKS.items():
        lines: list[str] = []
        scenario(lines)
        result = replay(lines)
        print(scenario.__name__, len(lines), "lines", check(result))
        failed += not check(result)
        _path(scenario, "jsonl").write_text("\n".join(lines) + "\n")
        text = msgspec.json.format(msgspec.json.encode(result), indent=1)
        _path(scenario, "outcome.json").write_bytes(text + b"\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(record())
