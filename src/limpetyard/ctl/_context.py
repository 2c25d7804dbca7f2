"""Context that all commands of limpetyardctl share."""

import dataclasses

from limpetyard.ctl._admin_client import AdminClient
from limpetyard.ctl._tables import show_json, show_table


@dataclasses.dataclass(slots=True)
class CommandContext:
    """Access to a daemon and output in the selected format.

    Attributes:
        url: URL of the daemon's administration API.
        token: Token of the administration API.
        json: Whether to print JSON.
    """

    url: str
    token: str
    json: bool

    @property
    def client(self) -> AdminClient:
        """Client of the administration API."""
        return AdminClient(self.url, self.token)

    def get(self, path: str):
        """Returns the decoded response to a GET request."""
        return self.client.call("GET", path)

    def base_version(self, expect: int) -> int:
        """Returns the configuration version that a change is based on.

        Args:
            expect: Version that the user gave, or -1 for the current one.
        """
        return expect if expect >= 0 else self.get("/api/config")["version"]

    def submit_change(self, path: str, body: dict) -> None:
        """Submits a configuration change and shows the new version."""
        response = self.client.call("POST", path, body)
        rows = [[response["version"]]]
        self.show(response, ["accepted as version"], rows)

    def show_list(self, path: str, columns: tuple[str, ...]) -> None:
        """Shows a list of objects with one column for each named field."""
        items = self.get(path)
        rows = [[item[column] for column in columns] for item in items]
        self.show(items, columns, rows)

    def show_job(self, job: dict) -> None:
        """Shows a job."""
        self.show(job, list(job), [list(job.values())])

    def show(self, value: object, columns, rows) -> None:
        """Shows a value as JSON, or columns and rows as a table."""
        if self.json:
            show_json(value)
        else:
            show_table(columns, rows)
