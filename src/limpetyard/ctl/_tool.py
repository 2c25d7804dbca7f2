"""What all commands of limpetyardctl share."""

import dataclasses

from limpetyard.ctl._api import Api
from limpetyard.ctl._tables import show_json, show_table


@dataclasses.dataclass(slots=True)
class Tool:
    """A daemon to ask and a way to show its answers.

    Attributes:
        url: URL of the daemon's administration API.
        token: Token of the operators.
        json: Whether to print JSON.
    """

    url: str
    token: str
    json: bool

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
