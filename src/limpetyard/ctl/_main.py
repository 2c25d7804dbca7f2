"""The command line of limpetyardctl."""

import dataclasses
import sys
from typing import Annotated

import cappa

from limpetyard.ctl._api import CallError, Exit
from limpetyard.ctl._config_commands import Diff, Publish, Validate, Zone
from limpetyard.ctl._job_commands import Cancel, Inspect, Submit
from limpetyard.ctl._log_commands import Explain, Report
from limpetyard.ctl._tool import Tool
from limpetyard.ctl._view_commands import (
    Decisions,
    Shares,
    Status,
    Targets,
    Tasks,
    Workers,
)
from limpetyard.errors import DocumentError

Command = (
    Validate
    | Publish
    | Diff
    | Zone
    | Submit
    | Cancel
    | Inspect
    | Status
    | Workers
    | Targets
    | Tasks
    | Shares
    | Decisions
    | Explain
    | Report
)


@cappa.command(
    name="limpetyardctl",
    help="The operators' tool of limpetyard.",
    description=(
        "Exit status: 0 done, 1 failed, 2 wrong use, 3 invalid document,"
        " 4 version conflict, 5 daemon or log unreachable, 6 not found,"
        " 7 wrong token."
    ),
)
@dataclasses.dataclass(slots=True)
class Options:
    """Options that stand before every command."""

    command: cappa.Subcommands[Command]
    url: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(
                "LIMPETYARD_ADMIN_URL", default="http://127.0.0.1:8081"
            ),
            help="URL of a daemon's administration API",
        ),
    ] = ""
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("LIMPETYARD_ADMIN_TOKEN", default=""),
            help="token of the operators",
        ),
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False


def main() -> None:
    """Entry point of limpetyardctl."""
    options = cappa.parse(Options)
    tool = Tool(options.url, options.token, options.json)
    try:
        options.command.run(tool)
    except CallError as exc:
        _fail(str(exc), exc.status)
    except DocumentError as exc:
        _fail(str(exc), Exit.INVALID)
    except (OSError, UnicodeDecodeError) as exc:
        _fail(str(exc), Exit.USAGE)


def _fail(text: str, status: Exit) -> None:
    print(f"limpetyardctl: {text}", file=sys.stderr)
    sys.exit(int(status))
