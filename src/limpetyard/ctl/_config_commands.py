"""Commands that publish the configuration and take zones out."""

import dataclasses
import difflib
import getpass
from pathlib import Path
from typing import Annotated

import cappa

from limpetyard.config import parse_parameters, parse_template
from limpetyard.ctl._api import CallError, Exit
from limpetyard.ctl._tables import show_json, show_text
from limpetyard.ctl._tool import Tool

_TEMPLATE = Annotated[str, cappa.Arg(help="file of the template")]
_PARAMETERS = Annotated[str, cappa.Arg(help="file of the parameters")]


@cappa.command(
    help="Check a template and parameters without publishing them.",
    description="Example: limpetyardctl validate site.toml north.toml",
)
@dataclasses.dataclass(slots=True)
class Validate:
    """Checks documents."""

    template: _TEMPLATE
    parameters: _PARAMETERS

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        parse_template(_read(self.template))
        parse_parameters(_read(self.parameters))
        tool.show({"valid": True}, ["valid"], [["yes"]])


@cappa.command(
    help="Publish a template and parameters.",
    description=(
        "Returns once the change was read back from the log. With --expect the"
        " change is void unless that version is in force. Example:"
        " limpetyardctl publish site.toml north.toml --expect 7"
    ),
)
@dataclasses.dataclass(slots=True)
class Publish:
    """Publishes documents."""

    template: _TEMPLATE
    parameters: _PARAMETERS
    expect: Annotated[
        int, cappa.Arg(long=True, help="version that must be in force")
    ] = -1

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        template, parameters = _read(self.template), _read(self.parameters)
        parse_template(template)
        parse_parameters(parameters)
        tool.accept(
            "/api/config",
            {
                "expected": tool.expected(self.expect),
                "author": getpass.getuser(),
                "template": template,
                "parameters": parameters,
            },
        )


@cappa.command(
    help="Show how documents differ from those in force.",
    description=(
        "Exit status 1 if they differ. Example:"
        " limpetyardctl diff site.toml north.toml"
    ),
)
@dataclasses.dataclass(slots=True)
class Diff:
    """Compares documents with those in force."""

    template: _TEMPLATE
    parameters: _PARAMETERS

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        config = tool.get("/api/config")
        lines = _diff("template", config["template"], self.template)
        lines += _diff("parameters", config["parameters"], self.parameters)
        if tool.json:
            show_json({"differs": bool(lines), "lines": lines})
        else:
            show_text("".join(lines))
        if lines:
            raise CallError(Exit.FAILED, "the documents differ")


@cappa.command(
    help="Take an availability zone out of service, or bring it back.",
    description=(
        "Examples: limpetyardctl zone zone-1 out; limpetyardctl zone zone-1 in"
    ),
)
@dataclasses.dataclass(slots=True)
class Zone:
    """Takes a zone out or brings it back."""

    availability_zone: Annotated[str, cappa.Arg(help="its name")]
    state: Annotated[str, cappa.Arg(help="out or in")]
    expect: Annotated[
        int, cappa.Arg(long=True, help="version that must be in force")
    ] = -1

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        if self.state not in ("out", "in"):
            raise CallError(Exit.USAGE, f"state={self.state!r}: out or in")
        tool.accept(
            f"/api/zones/{self.availability_zone}",
            {
                "expected": tool.expected(self.expect),
                "author": getpass.getuser(),
                "out": self.state == "out",
            },
        )


def _read(path: str) -> str:
    return Path(path).read_text(encoding="utf-8")


def _diff(what: str, in_force: str, path: str) -> list[str]:
    return list(
        difflib.unified_diff(
            in_force.splitlines(keepends=True),
            _read(path).splitlines(keepends=True),
            f"{what} in force",
            path,
        )
    )
