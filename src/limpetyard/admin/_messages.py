"""Requests and responses of the administration API."""

import msgspec

from limpetyard.cell import ResourceUsage, ResourceVector
from limpetyard.fleet import Vm
from limpetyard.scheduler import Decision


class PublishRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replaces the configuration documents; see `limpetyard.config.Publish`.

    Attributes:
        expected: Version that the author saw.
        author: Name of the operator who makes the change.
        template: Text of the template.
        parameters: Text of the parameters.
    """

    expected: int
    author: str
    template: str
    parameters: str


class SetZoneRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Takes an availability zone out of service or back into service.

    Attributes:
        expected: Version that the author saw.
        author: Name of the operator who makes the change.
        out: Whether the zone is to be out of service.
    """

    expected: int
    author: str
    out: bool


class SubmitRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Submits a job.

    Attributes:
        id: Id of the job; submitting it again has no effect.
        partner: Partner that the job runs for.
        class_name: Class of its tasks in the template.
        count: Number of tasks.
    """

    id: str
    partner: str
    class_name: str
    count: int = 1


class AcceptedVersion(msgspec.Struct, frozen=True):
    """Response to a change that was accepted.

    Attributes:
        version: Version of the configuration that the change produced.
    """

    version: int


class ConfigView(msgspec.Struct, frozen=True):
    """The configuration as known to one daemon.

    Attributes:
        version: Newest accepted version that the daemon has read.
        in_force: Version that the daemon's request path and cells use.
        template: Text of the template.
        parameters: Text of the parameters.
        zones_out: Availability zones that are out of service.
        age_ms: Time since the daemon last read up to the stream's end.
    """

    version: int
    in_force: int
    template: str
    parameters: str
    zones_out: list[str]
    age_ms: float


class JobView(msgspec.Struct, frozen=True):
    """State and progress of a job.

    Attributes:
        id: Id of the job.
        state: "open"; "over" if it ended recently; "cancelled" or "rejected"
            while some of its tasks are still running.
        cell: Number of the cell that the job belongs to.
        partner: Partner that the job runs for.
        class_name: Class of its tasks.
        count: Number of its tasks.
        waiting: Number of queued tasks.
        placed: Number of placed tasks.
        finished: Number of tasks that finished.
        failed: Number of tasks that were abandoned.
        reason: Reason why the job can never run, or "".
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
    """One worker as known to this daemon.

    Attributes:
        vm: VM of the worker as in the VM list.
        cell: Number of the cell that the worker belongs to.
        zone_out: Whether its availability zone is out of service.
        tasks: Number of tasks placed on the worker, or -1 if this daemon has
            not loaded the cell.
        reserved: Resources reserved on the worker, or 0 if this daemon has
            not loaded the cell.
    """

    vm: Vm
    cell: int
    zone_out: bool
    tasks: int
    reserved: ResourceVector


class TargetRow(msgspec.Struct, frozen=True):
    """One target as used by this daemon.

    Attributes:
        id: Id of the target's VM.
        service: Service that the target belongs to.
        availability_zone: Availability zone of the target.
        allowed: Number of slots that this daemon may use.
        in_flight: Number of slots that this daemon uses.
        failures: Failed attempts since the last response.
        latency_ms: Exponentially weighted moving average of the latency.
    """

    id: str
    service: str
    availability_zone: str
    allowed: int
    in_flight: int
    failures: int
    latency_ms: float


class CellRow(msgspec.Struct, frozen=True):
    """One cell as followed by this daemon.

    Attributes:
        cell: Name of the cell.
        status: Status of this daemon's ownership of the cell.
        owner: Owner according to the cell's stream.
        epoch: Epoch of the owner.
        jobs: Number of open jobs.
        queued: Number of queued tasks.
        placed: Number of placed tasks.
        records: Number of records read from the stream.
    """

    cell: str
    status: str
    owner: str
    epoch: int
    jobs: int
    queued: int
    placed: int
    records: int


class Status(msgspec.Struct, frozen=True):
    """State of one daemon.

    Attributes:
        node: Id of the daemon's VM.
        state: State of the daemon's state machine.
        config_version: Newest accepted version that the daemon has read, or 0.
        members: Ids of the members not considered dead.
        cells: Cells that the daemon follows.
    """

    node: str
    state: str
    config_version: int
    members: list[str]
    cells: list[CellRow]


class ShareRow(msgspec.Struct, frozen=True):
    """Share of one partner, recomputed from the records of the streams.

    Attributes:
        partner: Name of the partner.
        weight: Weight of the partner in the parameters.
        use: Resource usage of the partner's ended runs.
        share: Fraction of the core time of all ended runs that the partner
            used.
        due: Fair share: the weight divided by the sum of all weights.
    """

    partner: str
    weight: float
    use: ResourceUsage
    share: float
    due: float


class DecisionPage(msgspec.Struct, frozen=True):
    """The newest scheduling decisions."""

    decisions: list[Decision]


class ErrorView(msgspec.Struct, frozen=True):
    """Reason why a request failed.

    Attributes:
        kind: Value of the `ErrorKind`.
        ran: "no" if the request was not executed, else "unknown".
        detail: Message for operators.
    """

    kind: str
    ran: str
    detail: str
