"""Measures cost slopes and derives the load of each role for docs/CAPACITY.md.

    python -m bench.capacity [--write | --check]

A slope is the cost of one unit, such as the bytes of one sync. --check compares
the counts and bytes on docs/CAPACITY.md with a new measurement; they do not
depend on the machine. Times and memory do, so they are not compared.
"""

import argparse
import dataclasses
import json
import re
import sys
from pathlib import Path

from bench.report import markdown_table
from bench.scale import WORKERS_PER_CELL
from bench.slopes import measure_machine_slopes, measure_portable_slopes
from limpetyard.config._service import FOLLOW_WAIT_MS

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"

# Largest accepted relative difference between the page and a measurement.
TOLERANCE = 0.10

SYNC_INTERVAL_S = 3.0
PEAK_STARTS_PER_S = 330.0
CONFIG_CHANGES_PER_DAY = 2000
DAY_S = 86_400
VM_LIST_CHANGES_PER_DAY = 2 * (12 + 86)
CONFIG_POLLS_PER_S = 1000 / FOLLOW_WAIT_MS
CELL_POLLS_PER_S = 2.0
VM_LIST_POLLS_PER_S = 1.0

# Run reports with a change, for each running task and second.
RUN_CHANGES_PER_TASK_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class WorkspaceSize:
    """Size of one workspace.

    Attributes:
        name: Name of the workspace.
        workers: Number of workers.
        tasks: Number of running tasks.
        starts_per_s: Task starts per second at the peak.
        partners: Number of partners with quotas.
        entry_vms: Number of entry VMs.
        listed_vms: Number of VMs on the VM list.
    """

    name: str
    workers: int
    tasks: int
    starts_per_s: float
    partners: int
    entry_vms: int
    listed_vms: int

    @property
    def cells(self) -> int:
        """Number of cells of the workspace."""
        return -(-self.workers // WORKERS_PER_CELL)


SIZES = (
    WorkspaceSize("Ukili", 24, 450, 5.0, 10, 8, 65),
    WorkspaceSize("Valdorso", 33, 630, 5.0, 10, 8, 65),
    WorkspaceSize(
        "two years", 1300, 25_000, PEAK_STARTS_PER_S, 570, 130, 12_400
    ),
)


def page_tables(
    slopes: dict[str, float], machine_slopes: dict[str, float]
) -> str:
    """Returns the generated part of the page.

    Args:
        slopes: Counts and bytes, which do not depend on the machine.
        machine_slopes: Times and memory, measured on this machine.
    """
    parts = [
        "### Slopes\n",
        markdown_table(("slope", "measured"), _slope_rows(slopes)),
    ]
    parts += ["\n### Slopes of this machine\n"]
    parts += [
        markdown_table(("slope", "measured"), _slope_rows(machine_slopes))
    ]
    parts += ["\n### Roles\n", _role_table(slopes, machine_slopes)]
    data = json.dumps({k: round(v, 3) for k, v in slopes.items()})
    return "\n".join([*parts, f"\n<!-- counts {data} -->"])


def _slope_rows(slopes: dict[str, float]) -> list[list]:
    return [[name, f"{value:.4g}"] for name, value in slopes.items()]


def _role_table(
    slopes: dict[str, float], machine_slopes: dict[str, float]
) -> str:
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
    rows = [_role_row(size, slopes, machine_slopes) for size in SIZES]
    return markdown_table(columns, rows)


def _role_row(size: WorkspaceSize, slopes: dict, machine_slopes: dict) -> list:
    """Returns the load of one entry VM in a workspace of the given size."""
    followed_cells = 2 * size.cells / size.entry_vms
    syncs = size.workers / SYNC_INTERVAL_S / size.entry_vms
    starts_per_s = size.starts_per_s / size.entry_vms
    probes = slopes["probe: datagrams a second"]
    large = size.starts_per_s >= PEAK_STARTS_PER_S
    start_rate = "at its part of the peak" if large else "today at 5 starts/s"
    appends = size.cells * slopes[f"cell: appends a second, {start_rate}"]
    placement = slopes["placement: bytes in the stream"]
    stream_bytes_per_s = size.starts_per_s * 2 * placement
    stream_bytes_per_s += appends * slopes["renewal: bytes in the stream"]
    polls = (
        CONFIG_POLLS_PER_S
        + VM_LIST_POLLS_PER_S
        + followed_cells * CELL_POLLS_PER_S
    )
    sent = {
        "syncs": syncs * slopes["sync: bytes sent and received"],
        "news": size.tasks
        / size.entry_vms
        * RUN_CHANGES_PER_TASK_S
        * slopes["sync: bytes more for a run with news"],
        "starts": starts_per_s * slopes["start: bytes of order and answer"],
        "probes": 2 * probes * slopes["probe: bytes of a datagram"],
        "streams": followed_cells / size.cells * stream_bytes_per_s,
        "polls": polls * slopes["poll: bytes of a read without news"],
        "configuration": CONFIG_CHANGES_PER_DAY
        / DAY_S
        * slopes["configuration: bytes for 570 partners"]
        * size.partners
        / 570,
        "VM list": VM_LIST_CHANGES_PER_DAY
        / DAY_S
        * size.listed_vms
        * slopes["VM list: bytes a VM"],
    }
    core_ms = syncs * machine_slopes["time: a sync at the owner, ms"]
    core_ms += starts_per_s * machine_slopes["time: a decision, ms"]
    core_ms += probes * machine_slopes["time: a probe, ms"]
    # A poll is assumed to cost as much CPU time as a sync.
    core_ms += polls * machine_slopes["time: a sync at the owner, ms"]
    followed_tasks = followed_cells * size.tasks / size.cells
    state_mb = (
        followed_tasks * machine_slopes["memory: a placed task, bytes"] / 1e6
    )
    state_mb += (
        size.listed_vms * machine_slopes["memory: a worker, bytes"] / 1e6
    )
    parts = ", ".join(f"{k} {v / 1000:.2f}" for k, v in sent.items())
    return [
        size.name,
        size.cells,
        size.entry_vms,
        f"{syncs:.1f}",
        f"{sum(sent.values()) / 1000:.1f}",
        f"{core_ms / 10:.2f}",
        f"{appends:.0f}",
        f"{stream_bytes_per_s / 1000:.1f}",
        f"{state_mb:.1f}",
        parts,
    ]


def _check_page(slopes: dict[str, float]) -> int:
    """Returns 1 if a slope on the page differs by more than the tolerance."""
    match = re.search(r"<!-- counts (.*) -->", PAGE.read_text())
    page_slopes = json.loads(match.group(1))
    outdated = [
        f"{name}: page {page_slopes.get(name)}, measured {value:.3f}"
        for name, value in slopes.items()
        if abs(value - page_slopes.get(name, 0))
        > TOLERANCE * max(abs(value), 1e-9)
    ]
    for line in outdated:
        print(f"docs/CAPACITY.md is out of date: {line}")
    print(f"capacity slopes={len(slopes)} disagree={len(outdated)}")
    return 1 if outdated else 0


def main() -> int:
    """Prints all slopes, and writes or checks the page.

    Returns:
        1 if a count on the page is out of date, otherwise 0.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    parser.add_argument("--check", action="store_true")
    args = parser.parse_args()
    slopes = measure_portable_slopes()
    if args.check:
        return _check_page(slopes)
    text = page_tables(slopes, measure_machine_slopes())
    print(text)
    if args.write:
        begin, end = "<!-- capacity -->", "<!-- /capacity -->"
        page = PAGE.read_text()
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        PAGE.write_text(f"{head}{begin}\n{text}\n{end}{tail}")
    return _check_page(slopes)


if __name__ == "__main__":
    sys.exit(main())
