"""Commands that show the state of a daemon."""

import dataclasses
from typing import Annotated

import cappa

from limpetyard.ctl._context import CommandContext
from limpetyard.ctl._tables import show_text


@cappa.command(
    help="Show the daemon, the members and the cells that it follows.",
    description="Example: limpetyardctl --json status",
)
@dataclasses.dataclass(slots=True)
class Status:
    """Shows the state of the daemon."""

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        status = context.get("/api/status")
        columns = ("cell", "status", "owner", "epoch", "queued", "placed")
        rows = [[c[key] for key in columns] for c in status["cells"]]
        if not context.json:
            show_text(
                f"node {status['node']} is {status['state']}, configuration"
                f" {status['config_version']}, members:"
                f" {', '.join(status['members'])}\n"
            )
        context.show(status, columns, rows)


@cappa.command(
    help="Show the workers.", description="Example: limpetyardctl workers"
)
@dataclasses.dataclass(slots=True)
class Workers:
    """Shows the workers."""

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        items = context.get("/api/workers")
        columns = ("worker", "zone", "rack", "state", "out", "cell", "tasks")
        rows = [
            [
                item["vm"]["id"],
                item["vm"]["availability_zone"],
                item["vm"]["rack"],
                item["vm"]["state"],
                item["zone_out"],
                item["cell"],
                item["tasks"],
                item["reserved"]["cores"],
            ]
            for item in items
        ]
        context.show(items, (*columns, "reserved cores"), rows)


@cappa.command(
    help="Show the targets as this daemon uses them.",
    description="Example: limpetyardctl targets",
)
@dataclasses.dataclass(slots=True)
class Targets:
    """Shows the targets."""

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        columns = (
            "id",
            "service",
            "availability_zone",
            "allowed",
            "in_flight",
            "failures",
            "latency_ms",
        )
        context.show_list("/api/targets", columns)


@cappa.command(
    help="Show the tasks of the cells that this daemon follows.",
    description="Example: limpetyardctl tasks",
)
@dataclasses.dataclass(slots=True)
class Tasks:
    """Shows the tasks."""

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        context.show_list(
            "/api/tasks",
            ("id", "state", "worker", "attempt", "failures", "evictions"),
        )


@cappa.command(
    help="Show the share of each partner, recomputed from the log.",
    description="Example: limpetyardctl shares",
)
@dataclasses.dataclass(slots=True)
class Shares:
    """Shows the shares of the partners."""

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        items = context.get("/api/shares")
        rows = [
            [
                item["partner"],
                item["weight"],
                item["use"]["core_ms"] / 3_600_000,
                item["use"]["runs"],
                item["share"],
                item["due"],
            ]
            for item in items
        ]
        columns = ("partner", "weight", "core hours", "runs", "share", "due")
        context.show(items, columns, rows)


@cappa.command(
    help="Show the newest decisions with their reasons.",
    description="Example: limpetyardctl decisions --count 20",
)
@dataclasses.dataclass(slots=True)
class Decisions:
    """Shows the newest decisions."""

    count: Annotated[int, cappa.Arg(long=True, help="number of decisions")] = 50

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        page = context.get(f"/api/decisions?count={self.count}")
        rows = [_decision_row(d) for d in page["decisions"]]
        columns = ("cell", "offset", "what", "subject", "detail", "reason")
        context.show(page, columns, rows)


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
