"""The commands of limpetyardctl."""

import dataclasses
import difflib
import getpass
import sys
from pathlib import Path
from typing import Annotated

import cappa

from limpetyard.config import parse_parameters, parse_template
from limpetyard.ctl._api import Api, CallError, Exit
from limpetyard.ctl._tables import show_json, show_table, show_text
from limpetyard.errors import DocumentError

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

    def run(self, tool: "Tool") -> None:
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

    def run(self, tool: "Tool") -> None:
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

    def run(self, tool: "Tool") -> None:
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

    def run(self, tool: "Tool") -> None:
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


@cappa.command(
    help="Submit a batch job.",
    description=(
        "Submitting the same id again changes nothing. Example:"
        " limpetyardctl submit season-7 --partner north"
        " --class reconciliation --count 20"
    ),
)
@dataclasses.dataclass(slots=True)
class Submit:
    """Submits a job."""

    id: Annotated[str, cappa.Arg(help="name of the job")]
    partner: Annotated[str, cappa.Arg(long=True, help="whom it runs for")]
    class_name: Annotated[
        str, cappa.Arg(long="--class", help="class of its tasks")
    ]
    count: Annotated[int, cappa.Arg(long=True, help="number of tasks")] = 1

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        order = {
            "id": self.id,
            "partner": self.partner,
            "class_name": self.class_name,
            "count": self.count,
        }
        tool.show_job(tool.api.call("POST", "/api/jobs", order))


@cappa.command(
    help="Cancel a job.", description="Example: limpetyardctl cancel season-7"
)
@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancels a job."""

    id: Annotated[str, cappa.Arg(help="name of the job")]

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        tool.show_job(tool.api.call("DELETE", f"/api/jobs/{self.id}"))


@cappa.command(
    help="Show a job.", description="Example: limpetyardctl inspect season-7"
)
@dataclasses.dataclass(slots=True)
class Inspect:
    """Shows a job."""

    id: Annotated[str, cappa.Arg(help="name of the job")]

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        tool.show_job(tool.get(f"/api/jobs/{self.id}"))


@cappa.command(
    help="Show the daemon, its members and the cells that it follows.",
    description="Example: limpetyardctl --json status",
)
@dataclasses.dataclass(slots=True)
class Status:
    """Shows the daemon."""

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        status = tool.get("/api/status")
        columns = ("cell", "status", "owner", "epoch", "queued", "placed")
        rows = [[c[key] for key in columns] for c in status["cells"]]
        if not tool.json:
            show_text(
                f"node {status['node']} is {status['state']}, configuration"
                f" {status['config_version']}, members:"
                f" {', '.join(status['members'])}\n"
            )
        tool.show(status, columns, rows)


@cappa.command(
    help="Show the workers.", description="Example: limpetyardctl workers"
)
@dataclasses.dataclass(slots=True)
class Workers:
    """Shows the workers."""

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        found = tool.get("/api/workers")
        columns = ("worker", "zone", "rack", "state", "out", "cell", "tasks")
        rows = [
            [
                row["vm"]["id"],
                row["vm"]["availability_zone"],
                row["vm"]["rack"],
                row["vm"]["state"],
                row["zone_out"],
                row["cell"],
                row["tasks"],
                row["reserved"]["cores"],
            ]
            for row in found
        ]
        tool.show(found, (*columns, "cores set aside"), rows)


@cappa.command(
    help="Show the targets as this daemon uses them.",
    description="Example: limpetyardctl targets",
)
@dataclasses.dataclass(slots=True)
class Targets:
    """Shows the targets."""

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        columns = (
            "id",
            "service",
            "availability_zone",
            "allowed",
            "in_flight",
            "failures",
            "latency_ms",
        )
        tool.list("/api/targets", columns)


@cappa.command(
    help="Show the tasks of the cells that this daemon follows.",
    description="Example: limpetyardctl tasks",
)
@dataclasses.dataclass(slots=True)
class Tasks:
    """Shows the tasks."""

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        tool.list(
            "/api/tasks",
            ("id", "state", "worker", "attempt", "failures", "evictions"),
        )


@cappa.command(
    help="Show each partner's share, recomputed from the log's records.",
    description="Example: limpetyardctl shares",
)
@dataclasses.dataclass(slots=True)
class Shares:
    """Shows the shares."""

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        found = tool.get("/api/shares")
        rows = [
            [
                row["partner"],
                row["weight"],
                row["use"]["core_ms"] / 3_600_000,
                row["use"]["runs"],
                row["share"],
                row["due"],
            ]
            for row in found
        ]
        columns = ("partner", "weight", "core hours", "runs", "share", "due")
        tool.show(found, columns, rows)


@cappa.command(
    help="Show the newest decisions with their reasons.",
    description="Example: limpetyardctl decisions --count 20",
)
@dataclasses.dataclass(slots=True)
class Decisions:
    """Shows decisions."""

    count: Annotated[int, cappa.Arg(long=True, help="how many")] = 50

    def run(self, tool: "Tool") -> None:
        """Carries the command out."""
        page = tool.get(f"/api/decisions?count={self.count}")
        rows = [_decision_row(d) for d in page["decisions"]]
        columns = ("cell", "offset", "what", "subject", "detail", "reason")
        tool.show(page, columns, rows)


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
class Tool:
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

    @property
    def api(self) -> Api:
        """The daemon that is asked."""
        return Api(self.url, self.token)

    def get(self, path: str):
        """Returns the answer to a reading call."""
        return self.api.call("GET", path)

    def expected(self, given: int) -> int:
        """Returns the version that a change builds on."""
        return given if given >= 0 else self.get("/api/config")["version"]

    def accept(self, path: str, order: dict) -> None:
        """Sends a change and shows the version that it led to."""
        answer = self.api.call("POST", path, order)
        rows = [[answer["version"]]]
        self.show(answer, ["accepted as version"], rows)

    def list(self, path: str, columns: tuple[str, ...]) -> None:
        """Shows a list of rows by the names of their fields."""
        found = self.get(path)
        rows = [[row[column] for column in columns] for row in found]
        self.show(found, columns, rows)

    def show_job(self, job: dict) -> None:
        """Shows a job."""
        self.show(job, list(job), [list(job.values())])

    def show(self, value: object, columns, rows) -> None:
        """Shows a value as JSON or as a table."""
        if self.json:
            show_json(value)
        else:
            show_table(columns, rows)


def main() -> None:
    """Entry point of limpetyardctl."""
    tool = cappa.parse(Tool)
    try:
        tool.command.run(tool)
    except CallError as exc:
        _fail(str(exc), exc.status)
    except DocumentError as exc:
        _fail(str(exc), Exit.INVALID)
    except (OSError, UnicodeDecodeError) as exc:
        _fail(str(exc), Exit.USAGE)


def _fail(text: str, status: Exit) -> None:
    print(f"limpetyardctl: {text}", file=sys.stderr)
    sys.exit(int(status))


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


def _decision_row(decision: dict) -> list:
    entry = decision["entry"]
    subject = entry.get("task") or entry.get("job")
    detail = entry.get("worker") or entry.get("outcome") or ""
    return [
        decision["cell"],
        decision["offset"],
        entry["type"],
        subject,
        detail,
        entry.get("reason", ""),
    ]
