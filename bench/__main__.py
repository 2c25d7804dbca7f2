"""Runs the benchmarks and checks their bounds.

    python -m bench [SECTION ...] [--write]

With --write, the tables are written to docs/MEASUREMENTS.md. The exit status
is 1 if a bound is not met, unless KNOWN-RED.txt lists it as "bench: NAME".
"""

import argparse
import sys
from pathlib import Path

from bench import (
    colocation,
    decisions,
    path,
    planning,
    recovery,
    scale,
    shares,
    slots,
)
from bench.report import Section

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "MEASUREMENTS.md"
KNOWN_RED = ROOT / "KNOWN-RED.txt"

SECTIONS = {
    "decisions": decisions.measure_section,
    "slots": slots.measure_section,
    "shares": shares.measure_section,
    "path": path.measure_section,
    "scale": scale.measure_section,
    "planning": planning.measure_section,
    "recovery": recovery.measure_section,
    "colocation": colocation.measure_section,
}


def main() -> int:
    """Runs the sections given as arguments, or all, and returns the status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sections", nargs="*", metavar="SECTION")
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    failed = 0
    for name in args.sections or SECTIONS:
        section = SECTIONS[name]()
        print(f"\n# {section.title}\n\n{section.body}\n", flush=True)
        for bound in section.bounds:
            print(bound.text())
        if args.write:
            _write_section(section)
        failed += sum(
            not _met_or_known_red(bound.name, bound.met)
            for bound in section.bounds
        )
    print(f"\nbench bounds_broken={failed}")
    return 1 if failed else 0


def _met_or_known_red(name: str, met: bool) -> bool:
    """Returns whether a bound is met or listed in KNOWN-RED.txt."""
    return met or f"bench: {name}" in KNOWN_RED.read_text().splitlines()


def _write_section(section: Section) -> None:
    """Replaces the section between its markers in the page."""
    begin = f"<!-- {section.name} -->"
    end = f"<!-- /{section.name} -->"
    text = PAGE.read_text()
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    bounds = "\n".join(f"- {bound.text()}" for bound in section.bounds)
    body = f"{begin}\n{section.body}\n\n{bounds}\n{end}"
    PAGE.write_text(f"{head}{body}{tail}")


if __name__ == "__main__":
    sys.exit(main())
