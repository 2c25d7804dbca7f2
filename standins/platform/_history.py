"""What workers did, in order."""

import msgspec

from limpetyard.jobs import JobSpec, TaskKey


class RunStarted(msgspec.Struct, frozen=True):
    """A worker began a run; `over` its capacity, or on a `late` order."""

    at_ms: float
    worker: str
    born: int
    task: TaskKey
    run: int
    over: bool
    late: bool = False


class Ended(msgspec.Struct, frozen=True):
    """A run ended."""

    at_ms: float
    worker: str
    born: int
    number: int
    task: TaskKey
    run: int
    how: str


class Noted(msgspec.Struct, frozen=True):
    """A worker was told to forget its ends up to `number`."""

    at_ms: float
    worker: str
    born: int
    number: int


class Lapsed(msgspec.Struct, frozen=True):
    """A worker's lease ran out."""

    at_ms: float
    worker: str
    born: int


class Draining(msgspec.Struct, frozen=True):
    """A worker has told the store that it is about to leave."""

    at_ms: float
    worker: str
    born: int


class ZoneSet(msgspec.Struct, frozen=True):
    """An availability zone was taken out, or back."""

    at_ms: float
    zone: str
    out: bool


class Accepted(msgspec.Struct, frozen=True):
    """A client was told that its job is stored."""

    at_ms: float
    spec: JobSpec


class Cancelled(msgspec.Struct, frozen=True):
    """A client was told that its job is cancelled."""

    at_ms: float
    job: str


class Shown(msgspec.Struct, frozen=True):
    """A client was told the state of a job; "" for one that is gone."""

    at_ms: float
    job: str
    state: str


Entry = (
    RunStarted
    | Ended
    | Noted
    | Lapsed
    | Draining
    | ZoneSet
    | Accepted
    | Cancelled
    | Shown
)


class History:
    """Everything that checks count from.

    Attributes:
        entries: What happened, in order.
        submitted: Jobs that clients sent, accepted or not.
        refused: Jobs whose every sending was refused as "not accepted".
        cancels_sent: Jobs that clients asked to cancel, answered or not.
        labels: Labels of workers, by id.
        zones: Availability zones of workers, by id.
        fault_windows: When anything was disturbed: first and last moment.
        store_fault_windows: When the store was disturbed: first and last
            moment.
    """

    def __init__(self):
        self.entries: list[Entry] = []
        self.submitted: dict[str, JobSpec] = {}
        self.refused: set[str] = set()
        self.cancels_sent: set[str] = set()
        self.labels: dict[str, tuple[str, ...]] = {}
        self.zones: dict[str, str] = {}
        self.fault_windows: list[tuple[float, float]] = []
        self.store_fault_windows: list[tuple[float, float]] = []

    def add(self, entry: Entry) -> None:
        """Adds an entry."""
        self.entries.append(entry)

    def of(self, kind: type) -> list:
        """Returns the entries of one kind."""
        return [entry for entry in self.entries if isinstance(entry, kind)]

    def calm_for_ms(self, at_ms: float) -> float:
        """Returns how long before `at_ms` the store was undisturbed."""
        return _calm_for_ms(self.store_fault_windows, at_ms)

    def untroubled_for_ms(self, at_ms: float) -> float:
        """Returns how long before `at_ms` nothing at all was disturbed."""
        return _calm_for_ms(self.fault_windows, at_ms)


def _calm_for_ms(
    fault_windows: list[tuple[float, float]], at_ms: float
) -> float:
    calm_ms = at_ms
    for begun_ms, ended_ms in fault_windows:
        if begun_ms <= at_ms:
            calm_ms = min(calm_ms, max(0.0, at_ms - ended_ms))
    return calm_ms
