"""Commands that read log files; they need no daemon."""

import dataclasses
import itertools
from typing import Annotated

import cappa

from limpetyard._clock import MS_PER_SECOND
from limpetyard.ctl._admin_client import CommandError, ExitStatus
from limpetyard.ctl._context import CommandContext
from limpetyard.ctl._tables import show_text
from limpetyard.logbook import (
    JobHistory,
    LogLine,
    find_job_history,
    read_logs,
    read_series,
)


@cappa.command(
    help="Explain from logs what happened to a job.",
    description="Example: limpetyardctl explain 5f8425b77689ff45 node-*.log",
)
@dataclasses.dataclass(slots=True)
class Explain:
    """Explains what happened to a job."""

    job: Annotated[str, cappa.Arg(help="id of the job")]
    logs: Annotated[list[str], cappa.Arg(num_args=-1, help="logs of all nodes")]
    all: Annotated[
        bool, cappa.Arg(long=True, help="show every line instead of counts")
    ] = False

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        history = find_job_history(read_logs(self.logs), self.job)
        if not history.own_lines:
            raise CommandError(
                ExitStatus.NOT_FOUND, f"no log line mentions job {self.job}"
            )
        rows = _line_rows(history, self.all)
        if not context.json:
            for finding in history.findings():
                show_text(f"- {finding}\n")
        context.show(
            {"causes": history.findings(), "lines": rows},
            ("second", "node", "event", "number", "fields of first line"),
            rows,
        )


def _line_rows(history: JobHistory, show_all: bool) -> list[list]:
    """Returns a row for each line, or for each sequence of equal events."""
    lines = history.lines
    first_ms = lines[0].at_ms

    def key(entry: tuple[int, LogLine]) -> tuple:
        number, line = entry
        return (number if show_all else 0, line.node, line.event)

    rows = []
    for _, group in itertools.groupby(enumerate(lines), key=key):
        repeated = [line for _, line in group]
        line = repeated[0]
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        at_s = (line.at_ms - first_ms) / MS_PER_SECOND
        rows.append([at_s, line.node, line.event, len(repeated), fields])
    return rows


@cappa.command(
    help="Plot time series from logs.",
    description=(
        "Example: limpetyardctl report --out day.svg node-*.log\n\n"
        "Needs matplotlib: pip install limpetyard[report]"
    ),
)
@dataclasses.dataclass(slots=True)
class Report:
    """Plots time series."""

    logs: Annotated[list[str], cappa.Arg(num_args=-1, help="logs of all nodes")]
    out: Annotated[
        str, cappa.Arg(long=True, help="file to write: .svg, .png or .pdf")
    ] = "report.svg"

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        try:
            from limpetyard.logbook._plots import draw
        except ImportError as exc:
            raise CommandError(
                ExitStatus.FAILED,
                f"matplotlib is not installed ({exc}):"
                " pip install limpetyard[report]",
            ) from exc
        draw(read_series(read_logs(self.logs)), self.out)
        show_text(f"wrote {self.out}\n")
