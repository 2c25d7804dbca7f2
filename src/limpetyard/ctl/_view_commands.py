"""Commands that show what daemons know."""

import dataclasses
from typing import Annotated

import cappa

from limpetyard.ctl._tables import show_text
from limpetyard.ctl._tool import Tool


@cappa.command(
    help="Show the daemon, its members and the cells that it follows.",
    description="Example: limpetyardctl --json status",
)
@dataclasses.dataclass(slots=True)
class Status:
    """Shows the daemon."""

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        page = tool.get(f"/api/decisions?count={self.count}")
        rows = [_decision_row(d) for d in page["decisions"]]
        columns = ("cell", "offset", "what", "subject", "detail", "reason")
        tool.show(page, columns, rows)


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
