"""Commands that publish the configuration and take zones out of service."""

import dataclasses
import difflib
import getpass
from pathlib import Path
from typing import Annotated

import cappa

from limpetyard.config import parse_parameters, parse_template
from limpetyard.ctl._admin_client import CommandError, ExitStatus
from limpetyard.ctl._context import CommandContext
from limpetyard.ctl._tables import show_json, show_text

_TEMPLATE = Annotated[str, cappa.Arg(help="template file")]
_PARAMETERS = Annotated[str, cappa.Arg(help="parameter file")]


@cappa.command(
    help="Check a template and parameters without publishing them.",
    description="Example: limpetyardctl validate site.toml north.toml",
)
@dataclasses.dataclass(slots=True)
class Validate:
    """Validates documents locally."""

    template: _TEMPLATE
    parameters: _PARAMETERS

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        parse_template(_read(self.template))
        parse_parameters(_read(self.parameters))
        context.show({"valid": True}, ["valid"], [["yes"]])


@cappa.command(
    help="Publish a template and parameters.",
    description=(
        "Returns after the change was read back from the log. With --expect,"
        " the change is rejected unless that version is in force. Example:"
        " limpetyardctl publish site.toml north.toml --expect 7"
    ),
)
@dataclasses.dataclass(slots=True)
class Publish:
    """Publishes a template and parameters."""

    template: _TEMPLATE
    parameters: _PARAMETERS
    expect: Annotated[
        int, cappa.Arg(long=True, help="version that must be in force")
    ] = -1

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        template, parameters = _read(self.template), _read(self.parameters)
        parse_template(template)
        parse_parameters(parameters)
        context.submit_change(
            "/api/config",
            {
                "expected": context.base_version(self.expect),
                "author": getpass.getuser(),
                "template": template,
                "parameters": parameters,
            },
        )


@cappa.command(
    help="Show differences between documents and the ones in force.",
    description=(
        "Exits with status 1 if they differ. Example:"
        " limpetyardctl diff site.toml north.toml"
    ),
)
@dataclasses.dataclass(slots=True)
class Diff:
    """Compares documents with the ones in force."""

    template: _TEMPLATE
    parameters: _PARAMETERS

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        config = context.get("/api/config")
        lines = _diff_lines("template", config["template"], self.template)
        lines += _diff_lines(
            "parameters", config["parameters"], self.parameters
        )
        if context.json:
            show_json({"differs": bool(lines), "lines": lines})
        else:
            show_text("".join(lines))
        if lines:
            raise CommandError(ExitStatus.FAILED, "the documents differ")


@cappa.command(
    help="Take an availability zone out of service or back into service.",
    description=(
        "Examples: limpetyardctl zone zone-1 out; limpetyardctl zone zone-1 in"
    ),
)
@dataclasses.dataclass(slots=True)
class Zone:
    """Takes a zone out of service or back into service."""

    availability_zone: Annotated[str, cappa.Arg(help="name of the zone")]
    state: Annotated[str, cappa.Arg(help="out or in")]
    expect: Annotated[
        int, cappa.Arg(long=True, help="version that must be in force")
    ] = -1

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        if self.state not in ("out", "in"):
            raise CommandError(
                ExitStatus.USAGE, f"state={self.state!r}: must be out or in"
            )
        context.submit_change(
            f"/api/zones/{self.availability_zone}",
            {
                "expected": context.base_version(self.expect),
                "author": getpass.getuser(),
                "out": self.state == "out",
            },
        )


def _read(path: str) -> str:
    return Path(path).read_text(encoding="utf-8")


def _diff_lines(label: str, in_force: str, path: str) -> list[str]:
    return list(
        difflib.unified_diff(
            in_force.splitlines(keepends=True),
            _read(path).splitlines(keepends=True),
            f"{label} in force",
            path,
        )
    )
