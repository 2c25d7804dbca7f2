"""What workers did, in order."""

import msgspec

from limpetyard.jobs import JobSpec, TaskKey


class Started(msgspec.Struct, frozen=True):
    """A worker started a run.

    Attributes:
        at_ms: Time of the simulation.
        worker: Id of the worker.
        born: Incarnation of the worker.
        task: The task.
        run: Number of the run.
        over_capacity: Whether the worker's runs now exceed its capacity.
        late_delivery: Whether the order arrived after its sender's time-out.
    """

    at_ms: float
    worker: str
    born: int
    task: TaskKey
    run: int
    over_capacity: bool
    late_delivery: bool = False


class RunEnded(msgspec.Struct, frozen=True):
    """A run ended."""

    at_ms: float
    worker: str
    born: int
    number: int
    task: TaskKey
    run: int
    end_kind: str


class EndsAcknowledged(msgspec.Struct, frozen=True):
    """A worker was told to forget its ends up to `number`."""

    at_ms: float
    worker: str
    born: int
    number: int


class LeaseExpired(msgspec.Struct, frozen=True):
    """A worker's lease ran out."""

    at_ms: float
    worker: str
    born: int


class DrainAnnounced(msgspec.Struct, frozen=True):
    """A worker has told the store that it is about to leave."""

    at_ms: float
    worker: str
    born: int


class ZoneChanged(msgspec.Struct, frozen=True):
    """An availability zone was taken out, or back."""

    at_ms: float
    zone: str
    out: bool


class JobAccepted(msgspec.Struct, frozen=True):
    """A client was told that its job is stored."""

    at_ms: float
    spec: JobSpec


class JobCancelled(msgspec.Struct, frozen=True):
    """A client was told that its job is cancelled."""

    at_ms: float
    job: str


class StateReturned(msgspec.Struct, frozen=True):
    """A client was told the state of a job; "" for one that is gone."""

    at_ms: float
    job: str
    state: str


HistoryEntry = (
    Started
    | RunEnded
    | EndsAcknowledged
    | LeaseExpired
    | DrainAnnounced
    | ZoneChanged
    | JobAccepted
    | JobCancelled
    | StateReturned
)


class Record:
    """Everything that checks count from.

    Attributes:
        entries: What happened, in order.
        sent: Jobs that clients sent, accepted or not.
        refused: Jobs whose every sending was refused as "not accepted".
        cancel_requests: Jobs that clients asked to cancel, answered or not.
        labels: Labels of workers, by id.
        zones: Availability zones of workers, by id.
        troubles: When anything was disturbed: first and last moment.
        store_troubles: When the store was disturbed: first and last moment.
    """

    def __init__(self):
        self.entries: list[HistoryEntry] = []
        self.sent: dict[str, JobSpec] = {}
        self.refused: set[str] = set()
        self.cancel_requests: set[str] = set()
        self.labels: dict[str, tuple[str, ...]] = {}
        self.zones: dict[str, str] = {}
        self.troubles: list[tuple[float, float]] = []
        self.store_troubles: list[tuple[float, float]] = []

    def add(self, entry: HistoryEntry) -> None:
        """Adds an entry."""
        self.entries.append(entry)

    def of(self, kind: type) -> list:
        """Returns the entries of one kind."""
        return [entry for entry in self.entries if isinstance(entry, kind)]

    def store_undisturbed_ms(self, at_ms: float) -> float:
        """Returns how long before `at_ms` the store was undisturbed."""
        return _undisturbed_ms(self.store_troubles, at_ms)

    def undisturbed_for_ms(self, at_ms: float) -> float:
        """Returns how long before `at_ms` nothing at all was disturbed."""
        return _undisturbed_ms(self.troubles, at_ms)


def _undisturbed_ms(troubles: list[tuple[float, float]], at_ms: float) -> float:
    calm_ms = at_ms
    for begun_ms, ended_ms in troubles:
        if begun_ms <= at_ms:
            calm_ms = min(calm_ms, max(0.0, at_ms - ended_ms))
    return calm_ms
