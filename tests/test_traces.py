"""Recorded traces are replayed and compared with their stated outcomes.

`python -m tests.test_traces` records the traces anew and writes what the
replay decides next to them; the meaning of each is stated in MEANINGS.
"""

import sys
import unittest
from pathlib import Path

import msgspec

from limpetyard.cell import Cancel, LeaseParams, ResourceVector
from limpetyard.scheduler import Append, ReplayResult, SchedulerParams, replay
from standins.driven import Stage

FOLDER = Path(__file__).resolve().parent / "traces"
TERMS = SchedulerParams(
    lease=LeaseParams(lease_ms=3000), task_lease_ms=6000, outage_ms=12_000
)
SIZE = ResourceVector(8.0, 8000)


def lost_answer(trace: list[str]) -> None:
    """Appends take effect and are sent again; each counts once."""
    stage = Stage(2, SIZE, TERMS)
    daemon = stage.daemon("d0", trace)
    perform = daemon.perform

    def twice(effect) -> None:
        perform(effect)
        if isinstance(effect, Append):
            perform(effect)

    daemon.perform = twice
    stage.submit("job", 3, run_ms=1000)
    daemon.run(5000)


def double_takeover(trace: list[str]) -> None:
    """A cell goes to a second daemon and back to the first."""
    stage = Stage(2, SIZE, TERMS)
    first, second = stage.daemon("d0", trace), stage.daemon("d1")
    first.run(500)
    stage.submit("job", 2, run_ms=20_000)
    first.run(1000)
    second.run(5000)
    first.run(5000)
    stage.submit("next", 1, run_ms=500)
    first.run(3000)


def zone_out_in_outage(trace: list[str]) -> None:
    """A zone goes out while the log is down."""
    stage = Stage(2, SIZE, TERMS)
    daemon = stage.daemon("d0", trace)
    daemon.run(500)
    stage.submit("job", 2, run_ms=60_000)
    daemon.run(1000)
    stage.submit("late", 2, run_ms=1000)
    stage.log_up = False
    stage.set_zone("zone-0", True)
    daemon.run(8000)
    stage.log_up = True
    daemon.run(4000)


def silent_connections(trace: list[str]) -> None:
    """A worker is out of reach for longer than its lease."""
    stage = Stage(2, SIZE, TERMS)
    daemon = stage.daemon("d0", trace)
    daemon.run(500)
    stage.submit("job", 1, run_ms=60_000)
    daemon.run(1000)
    ((place, _),) = stage.starts("job/0")
    stage.cut.add(("d0", place))
    daemon.run(10_000)
    stage.cut.clear()
    daemon.run(2000)


def cancellation_wave(trace: list[str]) -> None:
    """Many jobs are cancelled at once, some running and some waiting."""
    stage = Stage(2, SIZE, TERMS)
    daemon = stage.daemon("d0", trace)
    daemon.run(500)
    for number in range(6):
        stage.submit(f"job-{number}", 1, run_ms=60_000)
    daemon.run(1000)
    for number in range(5):
        stage.append(Cancel(f"job-{number}"))
    daemon.run(3000)


def fail_everything(trace: list[str]) -> None:
    """One of two workers fails all that it starts."""
    stage = Stage(2, SIZE, TERMS)
    stage.workers["w0"].faults.fail_everything = True
    daemon = stage.daemon("d0", trace)
    daemon.run(500)
    stage.submit("job", 12, run_ms=1500, max_attempts=100)
    daemon.run(20_000)


def _once(found: ReplayResult) -> bool:
    return len(found.ended) == 3 == len(set(found.placed)) == len(found.placed)


# What must be true of each outcome, whatever else it holds.
MEANINGS = {
    lost_answer: _once,
    double_takeover: lambda found: (
        found.claims == [1, 3]
        and sum(p.startswith("job/") for p in found.placed) == 2
        and any(p.startswith("next/") for p in found.placed)
    ),
    zone_out_in_outage: lambda found: (
        any(s.endswith("on w0") for s in found.stopped)
        and not any(
            s.startswith("late/") and s.endswith("on w0") for s in found.started
        )
    ),
    silent_connections: lambda found: (
        len(found.placed) == 2 and found.ended == ["job/0@1 lose"]
    ),
    cancellation_wave: lambda found: (
        len(found.stopped) == 4 - sum("job-5" in p for p in found.placed[:4])
        and all("job-5" not in e for e in found.ended)
    ),
    fail_everything: lambda found: (
        sum(e.endswith("finish") for e in found.ended) == 12
        and sum(e.endswith("fail") for e in found.ended) < 12
    ),
}


class TraceTest(unittest.TestCase):
    """Every committed trace."""

    def test_replay_gives_the_stated_outcome(self):
        """The decisions are those stated next to the trace."""
        for make, meaning in MEANINGS.items():
            with self.subTest(trace=make.__name__):
                found = replay(_path(make, "jsonl").read_text().splitlines())
                stated = msgspec.json.decode(
                    _path(make, "outcome.json").read_bytes(), type=ReplayResult
                )
                self.assertEqual(found, stated)
                self.assertTrue(meaning(found), found)

    def test_changed_decisions_are_seen(self):
        """A replay that decides otherwise differs from the outcome."""
        for make in MEANINGS:
            lines = _path(make, "jsonl").read_text().splitlines()
            kept = [line for line in lines if '"type":"sync"' not in line]
            stated = msgspec.json.decode(
                _path(make, "outcome.json").read_bytes(), type=ReplayResult
            )
            self.assertNotEqual(replay(kept), stated)


def _path(make, ending: str) -> Path:
    return FOLDER / f"{make.__name__}.{ending}"


def record() -> int:
    """Records all traces; returns 1 if one does not mean what it should."""
    bad = 0
    for make, meaning in MEANINGS.items():
        lines: list[str] = []
        make(lines)
        found = replay(lines)
        print(make.__name__, len(lines), "lines", meaning(found))
        bad += not meaning(found)
        _path(make, "jsonl").write_text("\n".join(lines) + "\n")
        text = msgspec.json.format(msgspec.json.encode(found), indent=1)
        _path(make, "outcome.json").write_bytes(text + b"\n")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(record())
