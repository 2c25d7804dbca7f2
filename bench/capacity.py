"""Slopes of each role's cost, and the page that is worked out from them.

    python -m bench.capacity [--write | --check]

--check compares counts and bytes on docs/CAPACITY.md with a new measurement;
they do not depend on the machine. Times and memory are printed only.
"""

import argparse
import dataclasses
import json
import re
import sys
from pathlib import Path

from bench.report import table
from bench.scale import CELL_WORKERS
from bench.slopes import counts, times
from limpetyard.config._service import FOLLOW_WAIT_MS

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MARGIN = 0.10
SYNC_S = 3.0
PEAK_STARTS = 330.0
CHANGES_A_DAY = 2000
DAY_S = 86_400
LIST_CHANGES_A_DAY = 2 * (12 + 86)
CONFIG_POLLS = 1000 / FOLLOW_WAIT_MS
CELL_POLLS = 2.0
VM_POLLS = 1.0

# Reports of a run that are news, for each second.
NEWS_A_TASK = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Counts of one workspace.

    Attributes:
        name: The workspace.
        workers: Workers.
        tasks: Running tasks.
        starts: Task starts a second at the peak.
        partners: Partners with quotas.
        entries: Entry VMs.
        listed: VMs of the VM list.
    """

    name: str
    workers: int
    tasks: int
    starts: float
    partners: int
    entries: int
    listed: int

    @property
    def cells(self) -> int:
        """Cells of the workspace."""
        return -(-self.workers // CELL_WORKERS)


SIZES = (
    Workspace("Ukili", 24, 450, 5.0, 10, 8, 65),
    Workspace("Valdorso", 33, 630, 5.0, 10, 8, 65),
    Workspace("two years", 1300, 25_000, PEAK_STARTS, 570, 130, 12_400),
)


def page_tables(slopes: dict[str, float], spent: dict[str, float]) -> str:
    """Returns the generated part of the page."""
    parts = ["### Slopes\n", table(("slope", "measured"), _rows(slopes))]
    parts += ["\n### Slopes of this machine\n"]
    parts += [table(("slope", "measured"), _rows(spent))]
    parts += ["\n### Roles\n", _roles(slopes, spent)]
    data = json.dumps({k: round(v, 3) for k, v in slopes.items()})
    return "\n".join([*parts, f"\n<!-- counts {data} -->"])


def _rows(slopes: dict[str, float]) -> list[list]:
    return [[name, f"{value:.4g}"] for name, value in slopes.items()]


def _roles(slopes: dict[str, float], spent: dict[str, float]) -> str:
    columns = (
        "workspace",
        "cells",
        "entry VMs",
        "owner: syncs/s a VM",
        "control KB/s a VM",
        "control % of a core a VM",
        "log appends/s, all",
        "log KB/s, all",
        "state MB a VM",
        "of which KB/s",
    )
    rows = [_role_row(size, slopes, spent) for size in SIZES]
    return table(columns, rows)


def _role_row(size: Workspace, slopes: dict, spent: dict) -> list:
    followed = 2 * size.cells / size.entries
    syncs = size.workers / SYNC_S / size.entries
    starts = size.starts / size.entries
    probes = slopes["probe: datagrams a second"]
    large = size.starts >= PEAK_STARTS
    part = "at its part of the peak" if large else "today at 5 starts/s"
    appends = size.cells * slopes[f"cell: appends a second, {part}"]
    placement = slopes["placement: bytes in the stream"]
    stream = size.starts * 2 * placement
    stream += appends * slopes["renewal: bytes in the stream"]
    polls = CONFIG_POLLS + VM_POLLS + followed * CELL_POLLS
    sent = {
        "syncs": syncs * slopes["sync: bytes sent and received"],
        "news": size.tasks
        / size.entries
        * NEWS_A_TASK
        * slopes["sync: bytes more for a run with news"],
        "starts": starts * slopes["start: bytes of order and answer"],
        "probes": 2 * probes * slopes["probe: bytes of a datagram"],
        "streams": followed / size.cells * stream,
        "polls": polls * slopes["poll: bytes of a read without news"],
        "configuration": CHANGES_A_DAY
        / DAY_S
        * slopes["configuration: bytes for 570 partners"]
        * size.partners
        / 570,
        "VM list": LIST_CHANGES_A_DAY
        / DAY_S
        * size.listed
        * slopes["VM list: bytes a VM"],
    }
    core_ms = syncs * spent["time: a sync at the owner, ms"]
    core_ms += starts * spent["time: a decision, ms"]
    core_ms += probes * spent["time: a probe, ms"]
    core_ms += polls * spent["time: a sync at the owner, ms"]
    state = followed * size.tasks / size.cells
    state_mb = state * spent["memory: a placed task, bytes"] / 1e6
    state_mb += size.listed * spent["memory: a worker, bytes"] / 1e6
    parts = ", ".join(f"{k} {v / 1000:.2f}" for k, v in sent.items())
    return [
        size.name,
        size.cells,
        size.entries,
        f"{syncs:.1f}",
        f"{sum(sent.values()) / 1000:.1f}",
        f"{core_ms / 10:.2f}",
        f"{appends:.0f}",
        f"{stream / 1000:.1f}",
        f"{state_mb:.1f}",
        parts,
    ]


def _check(slopes: dict[str, float]) -> int:
    found = re.search(r"<!-- counts (.*) -->", PAGE.read_text())
    stated = json.loads(found.group(1))
    bad = [
        f"{name}: page {stated.get(name)}, measured {value:.3f}"
        for name, value in slopes.items()
        if abs(value - stated.get(name, 0)) > MARGIN * max(abs(value), 1e-9)
    ]
    for line in bad:
        print(f"docs/CAPACITY.md is out of date: {line}")
    print(f"capacity slopes={len(slopes)} disagree={len(bad)}")
    return 1 if bad else 0


def main() -> int:
    """Prints all slopes; writes or checks the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    parser.add_argument("--check", action="store_true")
    args = parser.parse_args()
    slopes = counts()
    if args.check:
        return _check(slopes)
    text = page_tables(slopes, times())
    print(text)
    if args.write:
        begin, end = "<!-- capacity -->", "<!-- /capacity -->"
        page = PAGE.read_text()
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        PAGE.write_text(f"{head}{begin}\n{text}\n{end}{tail}")
    return _check(slopes)


if __name__ == "__main__":
    sys.exit(main())
