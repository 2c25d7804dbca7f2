"""Command line of limpetyardctl."""

import dataclasses
import sys
from typing import Annotated

import cappa

from limpetyard.ctl._admin_client import CommandError, ExitStatus
from limpetyard.ctl._config_commands import Diff, Publish, Validate, Zone
from limpetyard.ctl._context import CommandContext
from limpetyard.ctl._job_commands import Cancel, Inspect, Submit
from limpetyard.ctl._log_commands import Explain, Report
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
    help="Command-line tool for operators of limpetyard.",
    description=(
        "Exit status: 0 success, 1 failure, 2 usage error, 3 invalid document,"
        " 4 version conflict, 5 daemon or log unreachable, 6 not found,"
        " 7 invalid token."
    ),
)
@dataclasses.dataclass(slots=True)
class Options:
    """Options that precede the command."""

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
            help="token of the administration API",
        ),
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False


def main() -> None:
    """Entry point of limpetyardctl."""
    options = cappa.parse(Options)
    context = CommandContext(options.url, options.token, options.json)
    try:
        options.command.run(context)
    except CommandError as exc:
        _fail(str(exc), exc.status)
    except DocumentError as exc:
        _fail(str(exc), ExitStatus.INVALID)
    except (OSError, UnicodeDecodeError) as exc:
        _fail(str(exc), ExitStatus.USAGE)


def _fail(text: str, status: ExitStatus) -> None:
    print(f"limpetyardctl: {text}", file=sys.stderr)
    sys.exit(int(status))
