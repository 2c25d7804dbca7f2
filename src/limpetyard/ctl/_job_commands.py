"""Commands on jobs."""

import dataclasses
from typing import Annotated

import cappa

from limpetyard.ctl._tool import Tool


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

    def run(self, tool: Tool) -> None:
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

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        tool.show_job(tool.api.call("DELETE", f"/api/jobs/{self.id}"))


@cappa.command(
    help="Show a job.", description="Example: limpetyardctl inspect season-7"
)
@dataclasses.dataclass(slots=True)
class Inspect:
    """Shows a job."""

    id: Annotated[str, cappa.Arg(help="name of the job")]

    def run(self, tool: Tool) -> None:
        """Carries the command out."""
        tool.show_job(tool.get(f"/api/jobs/{self.id}"))
