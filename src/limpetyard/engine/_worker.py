"""What the owner believes of one worker."""

import enum

from limpetyard.engine._step_worker_client import RunReport, WorkerEntry
from limpetyard.jobs import Resources, StepSpec, TaskKey

# Lives of a worker that one ownership can tell apart by token.
MAX_INCARNATIONS = 1 << 12

# A worker's steady clock may be this much slow.
MIN_CLOCK_RATE = 0.98

# Added to every bound on a worker's lease, for the time that a reply's clock
# reading is older than its arrival.
LEASE_SLACK_MS = 100

# Failed runs without a sound one after which a worker is on probation.
PROBATION_FAILURES = 2

# A worker on probation is tried with one task this long after its last failed
# run, twice as long with each, up to the longest: a lasting task may not wait
# three seconds for the only room there is.
PROBE_FIRST_MS = 100
PROBE_LONGEST_MS = 1600

# A run that has been at work for this long shows that its worker is sound.
SOUND_MS = 1000

# A worker that has not answered for this long gets no new work, and its lease
# is left to run out, since orders may reach it whose answers do not come back.
ANSWERS_WITHIN_MS = 1600


def lease_bound_ms(lease_ms: float) -> float:
    """Returns the longest time, by this process's clock, of such a lease."""
    return lease_ms / MIN_CLOCK_RATE + LEASE_SLACK_MS


class RunState(enum.Enum):
    """What is known of a run at its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class WorkerRun:
    """One run that may exist at a worker.

    Attributes:
        task: Its task.
        run: Its number.
        step: What the task was asked for.
        state: What is known of it.
        settled_ms: When the worker last answered an order on it; a list asked
            for later tells whether it is there. None without an answer.
        checkpoint: Newest progress seen.
        wanted_percent: Share of its speed that it was last given.
        working: Whether its last row showed it at full work.
        measurement: Newest figure of its row.
        held_since_ms: Since when it was given no speed, or None.
        placed_ms: When it was ordered.
        order_ms: When its last stop or pace order was sent.
    """

    __slots__ = (
        "checkpoint",
        "measurement",
        "held_since_ms",
        "order_ms",
        "placed_ms",
        "run",
        "settled_ms",
        "state",
        "step",
        "task",
        "wanted_percent",
        "working",
    )

    def __init__(self, task: TaskKey, run: int, step: StepSpec, now_ms: float):
        self.task = task
        self.run = run
        self.step = step
        self.state = RunState.ORDERED
        self.settled_ms: float | None = None
        self.checkpoint = ""
        self.wanted_percent = 100
        self.working = False
        self.measurement = 0.0
        self.held_since_ms: float | None = None
        self.placed_ms = now_ms
        self.order_ms = float("-inf")

    def refresh(self, row: RunReport) -> None:
        """Takes a row of the worker's list in."""
        if self.state is RunState.ORDERED:
            self.state = RunState.RUNNING
        self.checkpoint = row.checkpoint or self.checkpoint
        self.working = row.percent >= 100
        self.measurement = row.measurement


class Worker:
    """One worker.

    Attributes:
        entry: What it last said of itself.
        token: Fencing token of orders to its present life.
        born: Life that was last looked at, or 0.
        token_confirmed: Whether its present life answered a look under `token`.
        runs: Runs that may exist there, by task and number.
        received_end: Number of the last end that was taken in.
        acked_end: Number of the last end that is stored.
        lease_end_ms: When everything there has surely lapsed, on this
            process's clock; 0 if nothing was ordered.
        prior_lease_end_ms: Until then a run of an earlier owner may exist
            there.
        replied_ms: When it last answered, or None.
        missing_since_ms: Since when no entry names it, or None.
        failures: Failed runs since the last sound one.
        failed_ms: When the last run failed.
        recorded: Whether a later owner will know of its present life.
        refused_until_ms: Gets no new work until then.
        leaves_ms: When it leaves at the earliest, on this process's clock.
    """

    __slots__ = (
        "_clock_at_ms",
        "_clock_ms",
        "_epoch",
        "_lives",
        "born",
        "entry",
        "failed_ms",
        "failures",
        "lease_end_ms",
        "leaves_ms",
        "missing_since_ms",
        "acked_end",
        "recorded",
        "refused_until_ms",
        "replied_ms",
        "runs",
        "received_end",
        "token_confirmed",
        "prior_lease_end_ms",
    )

    def __init__(self, entry: WorkerEntry, epoch: int):
        self.entry = entry
        self._epoch = epoch
        self._lives = 0
        self.born = 0
        self.token_confirmed = False
        self.recorded = False
        self.runs: dict[tuple[TaskKey, int], WorkerRun] = {}
        self.received_end = 0
        self.acked_end = 0
        self.lease_end_ms = 0.0
        self.prior_lease_end_ms = 0.0
        self.replied_ms: float | None = None
        self.missing_since_ms: float | None = None
        self.failures = 0
        self.failed_ms = float("-inf")
        self.refused_until_ms = 0.0
        self.leaves_ms = float("inf")
        self._clock_ms = 0.0
        self._clock_at_ms: float | None = None

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.entry.id

    @property
    def token(self) -> int:
        """Fencing token of orders to its present life."""
        return self._epoch * MAX_INCARNATIONS + min(
            self._lives, MAX_INCARNATIONS - 1
        )

    @property
    def runs_until_ms(self) -> float:
        """Until when a run may exist there, whoever ordered it."""
        return max(self.lease_end_ms, self.prior_lease_end_ms)

    @property
    def on_probation(self) -> bool:
        """Whether it failed too often to be trusted with much work."""
        return self.failures >= PROBATION_FAILURES

    def note_failure(self, now_ms: float) -> None:
        """Notes that a run failed there."""
        self.failures += 1
        self.failed_ms = now_ms

    def note_sound_runs(self, now_ms: float) -> None:
        """Ends a probation once a run that began in it has worked."""
        if self.failures and any(
            run.working
            and run.placed_ms > self.failed_ms
            and now_ms - run.placed_ms > SOUND_MS
            for run in self.runs.values()
        ):
            self.failures = 0

    def may_be_tried(self, now_ms: float) -> bool:
        """Returns whether it may get work, or on probation one task."""
        if not self.on_probation:
            return True
        doublings = min(self.failures - PROBATION_FAILURES, 10)
        pause_ms = min(PROBE_FIRST_MS << doublings, PROBE_LONGEST_MS)
        tried = any(
            run.placed_ms > self.failed_ms for run in self.runs.values()
        )
        return not tried and now_ms - self.failed_ms >= pause_ms

    def begin_life(self, born: int) -> None:
        """Forgets all that was known of an earlier life."""
        self.born = born
        self._lives += 1
        self.token_confirmed = False
        self.recorded = False
        self.runs.clear()
        self.received_end = 0
        self.acked_end = 0
        self.lease_end_ms = 0.0
        self.failures = 0
        self._clock_at_ms = None

    def set_entry(self, entry: WorkerEntry, now_ms: float) -> None:
        """Takes in what it says of itself."""
        self.entry = entry
        self.leaves_ms = float("inf")
        if entry.draining:
            self.leaves_ms = now_ms + entry.remaining_ms

    def set_clock(self, clock_ms: float, at_ms: float) -> None:
        """Takes in a reading of its clock that arrived at `at_ms`."""
        newer = self._clock_at_ms is None or at_ms > self._clock_at_ms
        if newer:
            self._clock_ms = clock_ms
            self._clock_at_ms = at_ms

    def is_responsive(self, now_ms: float) -> bool:
        """Returns whether it has answered lately."""
        if self.replied_ms is None:
            return False
        return now_ms - self.replied_ms < ANSWERS_WITHIN_MS

    def grant_lease(self, now_ms: float, lease_ms: float) -> int | None:
        """Returns the end of a lease that begins now, on its clock.

        Accounts for the lease as granted, since the order may arrive.

        Returns:
            A reading of its clock, or None if its clock is not known.
        """
        if self._clock_at_ms is None:
            return None
        until = int(self._clock_ms + (now_ms - self._clock_at_ms) + lease_ms)
        left_ms = (until - self._clock_ms) / MIN_CLOCK_RATE
        self.lease_end_ms = max(
            self.lease_end_ms, self._clock_at_ms + left_ms + LEASE_SLACK_MS
        )
        return until

    def room(self) -> Resources:
        """Returns what is not set aside."""
        has = self.entry.capacity
        cores, memory, accelerators = 0, 0, 0
        for run in self.runs.values():
            reserved = run.step.reserved
            cores += reserved.cores_milli
            memory += reserved.memory_mb
            accelerators += reserved.accelerators
        return Resources(
            has.cores_milli - cores,
            has.memory_mb - memory,
            has.accelerators - accelerators,
        )

    def count_of(self, job: str, occurrence: int, step: int) -> int:
        """Returns how many runs of one step may exist there."""
        return sum(
            1 for key, _ in self.runs if key[:3] == (job, occurrence, step)
        )
