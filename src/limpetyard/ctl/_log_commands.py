"""Commands that read logs; they need no daemon."""

import dataclasses
import itertools
from typing import Annotated

import cappa

from limpetyard._clock import MS_PER_SECOND
from limpetyard.ctl._api import CallError, Exit
from limpetyard.ctl._tables import show_text
from limpetyard.ctl._tool import Tool
from limpetyard.logbook import Fate, Line, find_fate, read_day, read_logs


@cappa.command(
    help="Tell the fate of one job from logs.",
    description="Example: limpetyardctl explain 5f8425b77689ff45 node-*.log",
)
@dataclasses.dataclass(slots=True)
class Explain:
    """Tells the fate of one job."""

    job: Annotated[str, cappa.Arg(help="id of the job")]
    logs: Annotated[list[str], cappa.Arg(num_args=-1, help="logs of all nodes")]
    all: Annotated[
        bool, cappa.Arg(long=True, help="show each line, not only counts")
    ] = False

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        fate = find_fate(read_logs(self.logs), self.job)
        if not fate.own:
            raise CallError(Exit.NOT_FOUND, f"no line names {self.job}")
        rows = _rows(fate, self.all)
        if not tool.json:
            for cause in fate.causes():
                show_text(f"- {cause}\n")
        tool.show(
            {"causes": fate.causes(), "lines": rows},
            ("second", "node", "event", "number", "of the first"),
            rows,
        )


def _rows(fate: Fate, each: bool) -> list[list]:
    """Returns a row for each line, or for equal events in sequence."""
    lines = fate.lines
    first_ms = lines[0].at_ms

    def key(entry: tuple[int, Line]) -> tuple:
        number, line = entry
        return (number if each else 0, line.node, line.event)

    rows = []
    for _, group in itertools.groupby(enumerate(lines), key=key):
        same = [line for _, line in group]
        line = same[0]
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        at_s = (line.at_ms - first_ms) / MS_PER_SECOND
        rows.append([at_s, line.node, line.event, len(same), fields])
    return rows


@cappa.command(
    help="Plot a day from logs.",
    description=(
        "Example: limpetyardctl report --out day.svg node-*.log\n\n"
        "Needs matplotlib: pip install limpetyard[report]"
    ),
)
@dataclasses.dataclass(slots=True)
class Report:
    """Plots a day."""

    logs: Annotated[list[str], cappa.Arg(num_args=-1, help="logs of all nodes")]
    out: Annotated[
        str, cappa.Arg(long=True, help="file to write: .svg, .png or .pdf")
    ] = "report.svg"

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        try:
            from limpetyard.logbook._plots import draw
        except ImportError as exc:
            raise CallError(
                Exit.FAILED,
                f"matplotlib is not installed ({exc}):"
                " pip install limpetyard[report]",
            ) from exc
        draw(read_day(read_logs(self.logs)), self.out)
        show_text(f"written: {self.out}\n")
