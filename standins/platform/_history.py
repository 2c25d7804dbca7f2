"""History of what workers did and what clients observed."""

import collections
import contextlib
from collections.abc import Iterator

import msgspec

from limpetyard._clock import Clock
from limpetyard.jobs import JobSpec, TaskKey
from standins.platform._virtual_time import START_WALL_MS


class RunStarted(msgspec.Struct, frozen=True):
    """A worker started a run.

    Attributes:
        at_ms: Time of the simulation.
        worker: Id of the worker.
        born: Incarnation of the worker.
        task: The task.
        run: Number of the run.
        over_capacity: Whether the worker's runs now exceed its capacity.
        late_delivery: Whether the order arrived after its sender's time-out.
        sender: Name of the node that sent it, or "" if that is not known.
        payload: Payload in the order, or None if that is not known.
    """

    at_ms: float
    worker: str
    born: int
    task: TaskKey
    run: int
    over_capacity: bool
    late_delivery: bool = False
    sender: str = ""
    payload: str | None = None


class RunEnded(msgspec.Struct, frozen=True):
    """A run ended.

    Attributes:
        at_ms: Time of the simulation.
        worker: Id of the worker.
        born: Incarnation of the worker.
        number: Number of the end, counted up by the incarnation.
        task: The task.
        run: Number of the run.
        end_kind: A value of `RunEndKind`, or "crashed".
    """

    at_ms: float
    worker: str
    born: int
    number: int
    task: TaskKey
    run: int
    end_kind: str


class EndsAcknowledged(msgspec.Struct, frozen=True):
    """An owner acknowledged a worker's ended runs up to `number`."""

    at_ms: float
    worker: str
    born: int
    number: int


class LeaseExpired(msgspec.Struct, frozen=True):
    """A worker's lease expired."""

    at_ms: float
    worker: str
    born: int


class DrainAnnounced(msgspec.Struct, frozen=True):
    """A worker announced in its directory entry that it will leave."""

    at_ms: float
    worker: str
    born: int


class ZoneChanged(msgspec.Struct, frozen=True):
    """An availability zone was taken out of service or returned to it."""

    at_ms: float
    zone: str
    out: bool


class JobAccepted(msgspec.Struct, frozen=True):
    """A client received the acceptance of its job, which is then stored."""

    at_ms: float
    spec: JobSpec


class JobCancelled(msgspec.Struct, frozen=True):
    """A client received the confirmation that its job is cancelled."""

    at_ms: float
    job: str


class StateReturned(msgspec.Struct, frozen=True):
    """A client received the state of a job; "" if the job is unknown."""

    at_ms: float
    job: str
    state: str


class RequestSent(msgspec.Struct, frozen=True):
    """A client sent a request about a job.

    Attributes:
        at_ms: Time of the simulation.
        job: Id of the job.
        method: HTTP method.
        node: Number of the node, as drawn by the client.
    """

    at_ms: float
    job: str
    method: str
    node: int


class ReplyReceived(msgspec.Struct, frozen=True):
    """A client received the reply to a request, or stopped waiting for it.

    Attributes:
        at_ms: Time of the simulation.
        job: Id of the job.
        method: HTTP method.
        node: Number of the node, as drawn by the client.
        sent_ms: When the request was sent.
        status: HTTP status, or 0 without a reply.
        state: State in the reply, or "".
        sender: Name of the node that replied, or "" if that is not known.
    """

    at_ms: float
    job: str
    method: str
    node: int
    sent_ms: float
    status: int
    state: str = ""
    sender: str = ""


class PendingReturned(msgspec.Struct, frozen=True):
    """A client received the number of pending jobs of a queue.

    Attributes:
        at_ms: Time of the simulation.
        queue: Name of the queue.
        sent_ms: When the request was sent.
        pending: The number.
        sender: Name of the node that replied, or "" if that is not known.
    """

    at_ms: float
    queue: str
    sent_ms: float
    pending: int
    sender: str = ""


class TaskIdle(msgspec.Struct, frozen=True):
    """A long-running task waited too long although a worker had room.

    Attributes:
        at_ms: Time of the simulation.
        task: The task.
        idle_since_ms: When its last run ended or its job was accepted.
        worker: A worker that had room.
    """

    at_ms: float
    task: TaskKey
    idle_since_ms: float
    worker: str


HistoryEntry = (
    RunStarted
    | RunEnded
    | EndsAcknowledged
    | LeaseExpired
    | DrainAnnounced
    | ZoneChanged
    | JobAccepted
    | JobCancelled
    | StateReturned
    | RequestSent
    | ReplyReceived
    | PendingReturned
    | TaskIdle
)


class History:
    """History of a simulation, the only input of the checks.

    Attributes:
        entries: What happened, in order.
        submitted: Jobs that clients submitted, accepted or not, by id.
        refused: Jobs of which every submission was rejected with a response
            that rules out acceptance.
        cancel_requests: Jobs that clients cancelled, confirmed or not.
        deadly: Jobs whose tasks crash each worker that starts them.
        labels: Labels of workers, by id.
        zones: Availability zones of workers, by id.
        without_room: Jobs of which no task had room beside the long-running
            tasks as long as their end was waited for.
        fault_windows: Start and end of each fault, in ms of simulation time.
        store_fault_windows: Start and end of each fault of the store, likewise.
        node_fault_windows: Start and end of each fault of a node's way to the
            store, by the name of the node.
        node_pause_windows: Start and end of each pause of a node, likewise.
        start_wall_ms: Time of day at time 0 of the history, Unix milliseconds.
    """

    def __init__(self):
        self.entries: list[HistoryEntry] = []
        self.submitted: dict[str, JobSpec] = {}
        self.refused: set[str] = set()
        self.cancel_requests: set[str] = set()
        self.deadly: set[str] = set()
        self.without_room: set[str] = set()
        self.labels: dict[str, tuple[str, ...]] = {}
        self.zones: dict[str, str] = {}
        self.fault_windows: list[tuple[float, float]] = []
        self.store_fault_windows: list[tuple[float, float]] = []
        self.node_fault_windows: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.node_pause_windows: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.start_wall_ms = START_WALL_MS

    def add(self, entry: HistoryEntry) -> None:
        """Adds an entry."""
        self.entries.append(entry)

    def of(self, kind: type) -> list:
        """Returns the entries of one kind."""
        return [entry for entry in self.entries if isinstance(entry, kind)]

    @property
    def end_ms(self) -> float:
        """Time of the last entry."""
        return self.entries[-1].at_ms if self.entries else 0.0

    @contextlib.contextmanager
    def fault(self, clock: Clock) -> Iterator[None]:
        """Records a fault that lasts as long as the context."""
        with _window(self.fault_windows, clock):
            yield

    @contextlib.contextmanager
    def store_fault(self, clock: Clock) -> Iterator[None]:
        """Records a fault of the store that lasts as long as the context."""
        with _window(self.store_fault_windows, clock):
            yield

    @contextlib.contextmanager
    def node_fault(self, node: str, clock: Clock) -> Iterator[None]:
        """Records a fault of a node's way to the store, likewise."""
        with _window(self.node_fault_windows[node], clock):
            yield

    def node_undisturbed_ms(self, node: str, at_ms: float) -> float:
        """Returns the time from the last fault of a node's way to `at_ms`.

        It is 0 during a fault. For the unknown node "", any node counts.
        """
        return _node_undisturbed_ms(self.node_fault_windows, node, at_ms)

    def unpaused_ms(self, node: str, at_ms: float) -> float:
        """Returns the time from the last pause of a node, likewise."""
        return _node_undisturbed_ms(self.node_pause_windows, node, at_ms)

    def store_undisturbed_ms(self, at_ms: float) -> float:
        """Returns the time from the last fault of the store to `at_ms`.

        It is 0 during a fault.
        """
        return _undisturbed_ms(self.store_fault_windows, at_ms)

    def undisturbed_ms(self, at_ms: float) -> float:
        """Returns the time from the last fault of any kind to `at_ms`.

        It is 0 during a fault.
        """
        return _undisturbed_ms(self.fault_windows, at_ms)


@contextlib.contextmanager
def _window(windows: list[tuple[float, float]], clock: Clock) -> Iterator[None]:
    """Adds the time of the context to windows; endless while it lasts."""
    start_ms = clock.now_ms()
    windows.append((start_ms, float("inf")))
    try:
        yield
    finally:
        windows.remove((start_ms, float("inf")))
        windows.append((start_ms, clock.now_ms()))


def _node_undisturbed_ms(
    windows_by_node: dict[str, list[tuple[float, float]]],
    node: str,
    at_ms: float,
) -> float:
    names = [node] if node else windows_by_node
    windows = [
        window for name in names for window in windows_by_node.get(name, ())
    ]
    return _undisturbed_ms(windows, at_ms)


def _undisturbed_ms(
    fault_windows: list[tuple[float, float]], at_ms: float
) -> float:
    undisturbed_ms = at_ms
    for begin_ms, end_ms in fault_windows:
        if begin_ms <= at_ms:
            undisturbed_ms = min(undisturbed_ms, max(0.0, at_ms - end_ms))
    return undisturbed_ms
