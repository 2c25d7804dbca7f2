"""Messages of the administration API."""

import msgspec

from limpetyard.cell import ResourceUsage, ResourceVector
from limpetyard.fleet import Vm
from limpetyard.scheduler import Decision


class PublishRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks to replace the documents; see `Publish`."""

    expected: int
    author: str
    template: str
    parameters: str


class SetZoneRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks to take an availability zone out or to bring it back."""

    expected: int
    author: str
    out: bool


class SubmitRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks to run a job.

    Attributes:
        id: Name of the job; repeating it submits nothing new.
        partner: Whom it runs for.
        class_name: Class of its tasks in the template.
        count: Number of tasks.
    """

    id: str
    partner: str
    class_name: str
    count: int = 1


class AcceptedVersion(msgspec.Struct, frozen=True):
    """An act that is in force."""

    version: int


class ConfigView(msgspec.Struct, frozen=True):
    """The configuration at one daemon.

    Attributes:
        version: Newest accepted version that the daemon has read.
        in_force: Version that its request path and cells work with.
        template: Text of the template.
        parameters: Text of the parameters.
        zones_out: Availability zones that are out of service.
        age_ms: Time since the stream's end was last read.
    """

    version: int
    in_force: int
    template: str
    parameters: str
    zones_out: list[str]
    age_ms: float


class JobView(msgspec.Struct, frozen=True):
    """A job and how far it has come.

    Attributes:
        id: Name of the job.
        state: "open", "over" for one that ended lately, or "cancelled" and
            "rejected" while some of its tasks still run.
        cell: Cell that it belongs to.
        partner: Whom it runs for.
        class_name: Class of its tasks.
        count: Number of its tasks.
        waiting: Tasks that wait.
        placed: Tasks that are placed.
        finished: Tasks that ran to their end.
        failed: Tasks that were given up.
        reason: Why it can never run, or "".
    """

    id: str
    state: str
    cell: int
    partner: str = ""
    class_name: str = ""
    count: int = 0
    waiting: int = 0
    placed: int = 0
    finished: int = 0
    failed: int = 0
    reason: str = ""


class WorkerRow(msgspec.Struct, frozen=True):
    """One worker as this daemon sees it.

    Attributes:
        vm: Its entry in the VM list.
        cell: Cell that it belongs to.
        zone_out: Whether its availability zone is out of service.
        tasks: Tasks placed there, or -1 where this daemon does not follow.
        reserved: What is set aside there.
    """

    vm: Vm
    cell: int
    zone_out: bool
    tasks: int
    reserved: ResourceVector


class TargetRow(msgspec.Struct, frozen=True):
    """One target as this daemon uses it."""

    id: str
    service: str
    availability_zone: str
    allowed: int
    in_flight: int
    failures: int
    latency_ms: float


class CellRow(msgspec.Struct, frozen=True):
    """One cell as this daemon follows it."""

    cell: str
    status: str
    owner: str
    epoch: int
    jobs: int
    queued: int
    placed: int
    records: int


class Status(msgspec.Struct, frozen=True):
    """One daemon."""

    node: str
    state: str
    config_version: int
    members: list[str]
    cells: list[CellRow]


class ShareRow(msgspec.Struct, frozen=True):
    """One partner's part, recomputed from the records of the streams.

    Attributes:
        partner: The partner.
        weight: Its weight in the parameters.
        use: What its ended runs used.
        share: Its fraction of all core time.
        due: Its weight's fraction of all weights.
    """

    partner: str
    weight: float
    use: ResourceUsage
    share: float
    due: float


class DecisionPage(msgspec.Struct, frozen=True):
    """The newest decisions."""

    decisions: list[Decision]


class ErrorView(msgspec.Struct, frozen=True):
    """Why a call failed."""

    kind: str
    ran: str
    detail: str
