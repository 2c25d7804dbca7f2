"""Commands that submit, cancel and show jobs."""

import dataclasses
from typing import Annotated

import cappa

from limpetyard.ctl._context import CommandContext


@cappa.command(
    help="Submit a batch job.",
    description=(
        "Submitting an existing id again has no effect. Example:"
        " limpetyardctl submit season-7 --partner north"
        " --class reconciliation --count 20"
    ),
)
@dataclasses.dataclass(slots=True)
class Submit:
    """Submits a job."""

    id: Annotated[str, cappa.Arg(help="id of the job")]
    partner: Annotated[
        str, cappa.Arg(long=True, help="partner that the job runs for")
    ]
    class_name: Annotated[
        str, cappa.Arg(long="--class", help="class of its tasks")
    ]
    count: Annotated[int, cappa.Arg(long=True, help="number of tasks")] = 1

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        body = {
            "id": self.id,
            "partner": self.partner,
            "class_name": self.class_name,
            "count": self.count,
        }
        context.show_job(context.client.call("POST", "/api/jobs", body))


@cappa.command(
    help="Cancel a job.", description="Example: limpetyardctl cancel season-7"
)
@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancels a job."""

    id: Annotated[str, cappa.Arg(help="id of the job")]

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        context.show_job(context.client.call("DELETE", f"/api/jobs/{self.id}"))


@cappa.command(
    help="Show a job.", description="Example: limpetyardctl inspect season-7"
)
@dataclasses.dataclass(slots=True)
class Inspect:
    """Shows a job."""

    id: Annotated[str, cappa.Arg(help="id of the job")]

    def run(self, context: CommandContext) -> None:
        """Runs the command."""
        context.show_job(context.get(f"/api/jobs/{self.id}"))
