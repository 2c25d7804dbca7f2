"""State of a worker and of the runs on it, as known to the owner."""

import enum
import math
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from limpetyard.engine._load import WorkerLoad
from limpetyard.engine._step_worker_client import RunReport, WorkerEntry
from limpetyard.engine._strain import Strain
from limpetyard.jobs import Resources, StepSpec, TaskKey

# Number of incarnations of a worker that fencing tokens of one epoch can tell
# apart.
MAX_INCARNATIONS = 1 << 12

# Lowest rate, relative to real time, of the monotonic clock of a worker.
MIN_CLOCK_RATE = 0.98

# Added to every bound on a worker's lease: the clock reading in a reply is
# older than the arrival of the reply.
LEASE_SLACK_MS = 100

# Readings of a worker's clock are rounded down to this.
CLOCK_UNIT_MS = 1

# Longest time after which an order without a reply is still carried out.
MAX_ORDER_DELAY_MS = 12_000

# Failed runs, without a healthy one in between, that put a worker on probation.
PROBATION_FAILURES = 2

# Exponential backoff of a worker on probation: it gets its next probe this long
# after its last failed run. The maximum is below 3 s, since a long-running task
# must not wait that long for the only worker with room.
INITIAL_PROBE_BACKOFF_MS = 100
MAX_PROBE_BACKOFF_MS = 1600

# A probe that has neither failed nor shown the worker to be healthy by then,
# such as a best-effort run that is slowed, does not hold back the next one.
MAX_PROBE_MS = 2000

# Exponential backoff of a worker that left a start order without a reply. The
# maximum is that of probation, for the same reason.
INITIAL_SILENT_BACKOFF_MS = 400

# Exponential backoff of a worker whose trial had to be stopped. The first is
# longer than it takes until reports show the serving tasks alone. See
# `limpetyard.engine._trials`.
INITIAL_TRIAL_BACKOFF_MS = 2500
MAX_TRIAL_BACKOFF_MS = 20_000

# A run that is at full speed more than this long after its placement shows that
# its worker is healthy.
HEALTHY_RUN_MS = 1000

# A run that is reported this long after the worker acknowledged its start is
# proven not to crash its worker, and so is one whose worker is known to have
# been up for that long. Tasks that crash workers do so at the start.
PROVEN_RUN_MS = 500

# A poll whose connection is closed sooner may have been sent to a worker that
# had crashed before.
MIN_POLL_MS = 50

# A worker that has not replied for this long gets no new work, and its lease
# is no longer renewed: it may receive orders although its replies are lost.
RESPONSIVE_WITHIN_MS = 1600

# Run number of pending starts that an earlier owner sent. No run has it.
INHERITED_RUN = 0

# Time-out of a poll beyond the time that the worker may delay its reply. A
# worker counts as responsive at least until then.
REPLY_MARGIN_MS = 600


def lease_bound_ms(lease_ms: float) -> float:
    """Returns the longest time that a lease may last on this process's clock.

    Args:
        lease_ms: Duration of the lease on the clock of the worker.
    """
    return lease_ms / MIN_CLOCK_RATE + LEASE_SLACK_MS


class RunState(enum.Enum):
    """State of a run, as far as the owner knows it."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class StaleLeases(enum.Enum):
    """Leases by orders to an earlier incarnation that the current one accepted.

    POSSIBLE means that it may still accept such orders, BOUNDED that their
    leases may last, and EXPIRED that they have expired.
    """

    POSSIBLE = "possible"
    BOUNDED = "bounded"
    EXPIRED = "expired"


class WorkerRecord(WorkerEntry, frozen=True):
    """Stored state of a worker, from which a later owner knows of it.

    Attributes:
        stale_leases: Stale leases of this incarnation.
    """

    stale_leases: StaleLeases = StaleLeases.POSSIBLE

    def to_entry(self) -> WorkerEntry:
        """Returns the directory entry that was recorded."""
        fields = WorkerEntry.__struct_fields__
        return WorkerEntry(*(getattr(self, name) for name in fields))


class RecordedState(NamedTuple):
    """What of a `WorkerRecord` is compared to see whether it is up to date."""

    born: int
    draining: bool
    stale_leases: StaleLeases


class WorkerRun:
    """A run that may exist on a worker.

    Attributes:
        task: Key of the task.
        run: Number of the run.
        step: Specification of the task's step.
        state: State of the run, as far as the owner knows it.
        acked_ms: When the worker acknowledged an order for the run or reported
            it, whichever was first; None before that. The reply to a poll that
            is sent later shows whether the run exists.
        began: Whether the worker has accepted a start order for the run or
            reported it. An order without a reply may have met a worker that was
            down, and a stop order is acknowledged for any run.
        began_in_doubt: Whether the only acknowledgement arrived while the
            worker might have restarted, so that a later incarnation may have
            accepted the start.
        start_expires_ms: Time on the worker's clock from which it rejects all
            start orders that this owner sent; infinite if it sent none.
        start_sent_ms: When the last start order was sent or, if an earlier
            owner sent it, before when.
        starts_sent: Number of start orders that this owner sent.
        start_in_flight: Whether a start order waits for its reply. The worker
            may carry it out after a stop that it has acknowledged, in its next
            incarnation.
        unanswered_start: Whether a start order got no reply.
        reported: Whether the worker has reported the run, or its end.
        reported_ms: When the worker last reported the run, or None.
        answered_here: Whether the reply to a start order is known to be one of
            the present incarnation; see `Worker.shows_clock`.
        checkpoint: Latest checkpoint that was reported.
        speed_percent: Share of its full speed that the run was last given.
        at_full_speed: Whether the last report showed 100 %, which a run that
            lasts reaches once it has started up.
        measurement: Measurement in the last report.
        strain: The time on end for which reports have shown the tail latency
            over the target, or None.
        pace_failed: Whether the worker may not have the order for its speed:
            the last one got no reply, or none was sent yet.
        paused_since_ms: Since when the run has been given 0 % speed, or None.
        placed_ms: When the run was placed.
        proven: Whether the run was reported at least `PROVEN_RUN_MS` after its
            start, so that a crash of the worker does not count against the
            task. See also `is_proven`.
        crash_counted: Whether such a crash was counted.
        last_stop_ms: When the last stop order was planned; infinite once a
            stop order was acknowledged.
    """

    __slots__ = (
        "acked_ms",
        "answered_here",
        "at_full_speed",
        "began",
        "began_in_doubt",
        "checkpoint",
        "crash_counted",
        "last_stop_ms",
        "measurement",
        "pace_failed",
        "paused_since_ms",
        "placed_ms",
        "proven",
        "reported",
        "reported_ms",
        "run",
        "speed_percent",
        "start_expires_ms",
        "start_in_flight",
        "start_sent_ms",
        "starts_sent",
        "state",
        "step",
        "strain",
        "task",
        "unanswered_start",
    )

    def __init__(self, task: TaskKey, run: int, step: StepSpec, now_ms: float):
        self.task = task
        self.run = run
        self.step = step
        self.state = RunState.ORDERED
        self.acked_ms: float | None = None
        self.began = False
        self.began_in_doubt = False
        self.start_expires_ms = float("inf")
        self.start_sent_ms = now_ms
        self.starts_sent = 0
        self.start_in_flight = False
        self.unanswered_start = False
        self.reported = False
        self.reported_ms: float | None = None
        self.answered_here = False
        self.checkpoint = ""
        self.speed_percent = 100
        self.at_full_speed = False
        self.measurement = 0.0
        self.strain: Strain | None = None
        self.pace_failed = False
        self.paused_since_ms: float | None = None
        self.placed_ms = now_ms
        self.proven = False
        self.crash_counted = False
        self.last_stop_ms = float("-inf")

    @property
    def may_exist(self) -> bool:
        """Whether a start order was sent, or a worker reported the run."""
        return self.acked_ms is not None or math.isfinite(self.start_expires_ms)

    def may_outlast_incarnation(self, now_ms: float) -> bool:
        """Returns whether the worker's next incarnation may have the run.

        It may have accepted, or may still accept, a start order that the
        present one has not answered. An answered one counts once the present
        one has reported the run, or by the clock in the reply, as that does not
        tell the incarnation.
        """
        if not (self.reported or self.answered_here):
            return self.may_exist
        return (
            self.unanswered_start
            and now_ms - self.start_sent_ms < MAX_ORDER_DELAY_MS
        )

    def is_proven(self, alive_ms: float) -> bool:
        """Returns whether a crash of the worker does not count.

        Args:
            alive_ms: Time until which the worker is known to have been up.
        """
        return self.proven or (
            self.acked_ms is not None
            and alive_ms - self.acked_ms >= PROVEN_RUN_MS
        )

    def add_start_expiry(self, until_ms: float, now_ms: float = 0.0) -> None:
        """Records a start order and when it expires on the worker's clock."""
        self.start_sent_ms = max(self.start_sent_ms, now_ms)
        self.starts_sent += 1
        if math.isinf(self.start_expires_ms):
            self.start_expires_ms = until_ms
        self.start_expires_ms = max(self.start_expires_ms, until_ms)

    def apply_report(self, report: RunReport, now_ms: float) -> None:
        """Updates the run from a report of the worker that arrived now."""
        if self.acked_ms is None:
            self.acked_ms = now_ms
        self.began_in_doubt = False
        self.reported = True
        self.reported_ms = now_ms
        if self.state is RunState.ORDERED:
            self.state = RunState.RUNNING
        self.checkpoint = report.checkpoint or self.checkpoint
        self.at_full_speed = report.percent >= 100
        self.measurement = report.measurement


class Worker:
    """One worker, as the owner knows it.

    All times are on this process's clock.

    Attributes:
        entry: Latest directory entry of the worker, which may be that of an
            earlier incarnation; see `entry_is_current`.
        services: Services in this and earlier directory entries of the worker.
        token: Fencing token of orders to the current incarnation.
        born: Current incarnation, as the Unix milliseconds of its start.
        incarnations: Number of incarnations that this owner has counted.
        token_confirmed: Whether the current incarnation replied to a poll with
            `token`, so that it rejects orders of earlier owners.
        runs: Runs that may exist on the worker, by task and run number.
        latest_load: What `worker_load` returned last, or None.
        slowed_ms: When the speed of a best-effort task was last lowered.
        trial: Latest trial that was placed on the worker, or None; see
            `limpetyard.engine._trials`.
        stopped_trials: Number of trials that had to be stopped.
        trial_backoff_until_ms: Time before which the worker gets no trial.
        best_effort_seen_ms: When a best-effort run last existed on the worker,
            or None if that is not known.
        strain_counts_from_ms: Time before which serving tasks were over their
            targets without best-effort tasks.
        last_received_end: Number of the last ended run that was processed.
        last_acked_end: Number of the last ended run that is stored, and that
            the worker therefore need not report again.
        unacked_ends: Number and task of each ended run that was processed after
            that one, in order.
        pending_starts: When the last start order without a reply was sent that
            may yet be carried out, by task and run.
        held_ends: Number of each ended run that must not be acknowledged yet,
            and until when, in order.
        first_listed_end: Number of the first ended run in the last reply, or 0
            if there was none.
        has_all_ends: Whether the last reply listed all ends that are not
            acknowledged.
        lease_end_ms: Time by which every lease granted by this owner has
            expired; 0 if none was granted.
        prior_lease_end_ms: Time until which a run of an earlier owner or
            incarnation may exist.
        accepts_stale_orders: Whether orders to an earlier incarnation may reach
            the current one and be accepted, as no owner is known to have
            confirmed a token of the current one.
        stale_lease_end_ms: Time by which every lease has expired that such
            orders may have granted. They give the end of the lease on another
            clock, so that it is limited by the worker alone.
        late_run_end_ms: Time until which a run may exist that the current
            incarnation has started by an order of this owner to an earlier one;
            0 once it has confirmed its token.
        has_restarted: Whether owners are known to have sent orders to an
            earlier incarnation.
        replied_ms: When the worker last replied to a poll, or None.
        polled_ms: When the last poll was sent that the incarnation known then
            answered.
        granted_ms: When an order that may grant a lease was last sent.
        poll_wait_ms: Time that the worker may delay its reply to the latest
            poll.
        may_have_restarted: Whether a poll or a start order got no reply since
            the last poll that the current incarnation answered.
        missing_since_ms: Since when the worker has had no directory entry, or
            None.
        ended: Whether another worker was the last to reply at the address.
        crashed: Whether the worker is known to have crashed.
        alive_ms: Latest time at which the worker is known to have been up.
        lapsed_ms: When the lease last expired with runs on the worker.
        lost_runs: Unproven runs that were dropped at that time.
        isolated_run: Latest run of a suspect that was placed on the worker, or
            None; see `limpetyard.engine._crashes`.
        failures: Number of failed runs of this incarnation since the last run
            that was healthy or, unless long-running, ended as DONE.
        last_failure_ms: When the last run failed.
        recorded: Whether the current incarnation is stored, so that a later
            owner will know of it.
        silent_starts: Number of start orders without a reply since the last
            one that was answered.
        backoff_until_ms: Time before which the worker gets no new work.
        departure_ms: Earliest time at which a draining worker departs; infinite
            for others.
    """

    __slots__ = (
        "_clock_ms",
        "_clock_read_ms",
        "_epoch",
        "_last_grant",
        "accepts_stale_orders",
        "alive_ms",
        "backoff_until_ms",
        "best_effort_seen_ms",
        "born",
        "crashed",
        "departure_ms",
        "ended",
        "entry",
        "failures",
        "first_listed_end",
        "granted_ms",
        "has_all_ends",
        "has_restarted",
        "held_ends",
        "incarnations",
        "isolated_run",
        "lapsed_ms",
        "last_acked_end",
        "last_failure_ms",
        "last_received_end",
        "late_run_end_ms",
        "latest_load",
        "lease_end_ms",
        "lost_runs",
        "may_have_restarted",
        "missing_since_ms",
        "pending_starts",
        "polled_ms",
        "poll_wait_ms",
        "prior_lease_end_ms",
        "recorded",
        "replied_ms",
        "runs",
        "services",
        "silent_starts",
        "slowed_ms",
        "stale_lease_end_ms",
        "stopped_trials",
        "strain_counts_from_ms",
        "token_confirmed",
        "trial",
        "trial_backoff_until_ms",
        "unacked_ends",
    )

    def __init__(self, entry: WorkerEntry, epoch: int, incarnations: int = 0):
        """Initializes a worker without an incarnation.

        Args:
            entry: Directory entry of the worker.
            epoch: Epoch of the owner.
            incarnations: Value of `incarnations` of the worker when this owner
                dropped it before, or 0.
        """
        self.entry = entry
        self.services = frozenset((entry.service,))
        self._epoch = epoch
        self.incarnations = incarnations
        self.born = 0
        self.token_confirmed = False
        self.recorded = False
        self.runs: dict[tuple[TaskKey, int], WorkerRun] = {}
        self.latest_load: WorkerLoad | None = None
        self.slowed_ms = float("-inf")
        self.trial: WorkerRun | None = None
        self.stopped_trials = 0
        self.trial_backoff_until_ms = float("-inf")
        self.best_effort_seen_ms: float | None = None
        self.strain_counts_from_ms = float("-inf")
        self.last_received_end = 0
        self.last_acked_end = 0
        self.unacked_ends: list[tuple[int, TaskKey]] = []
        self.pending_starts: dict[tuple[TaskKey, int], float] = {}
        self.held_ends: list[tuple[int, float]] = []
        self.first_listed_end = 0
        self.has_all_ends = False
        self.lease_end_ms = 0.0
        self.prior_lease_end_ms = 0.0
        self.accepts_stale_orders = True
        self.stale_lease_end_ms = 0.0
        self.late_run_end_ms = 0.0
        self.has_restarted = incarnations > 0
        self.replied_ms: float | None = None
        self.polled_ms = float("-inf")
        self.granted_ms = float("-inf")
        self.poll_wait_ms = 0
        self.may_have_restarted = False
        self.missing_since_ms: float | None = None
        self.ended = False
        self.crashed = False
        self.alive_ms = 0.0
        self.lapsed_ms = 0.0
        self.lost_runs: list[WorkerRun] = []
        self.isolated_run: WorkerRun | None = None
        self.failures = 0
        self.last_failure_ms = float("-inf")
        self.silent_starts = 0
        self.backoff_until_ms = 0.0
        self.departure_ms = float("inf")
        self._clock_ms = 0.0
        self._clock_read_ms: float | None = None
        # End of the last granted lease on the worker's clock, and
        # `lease_end_ms` before that.
        self._last_grant: tuple[int, float] | None = None

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.entry.id

    @property
    def entry_is_current(self) -> bool:
        """Whether the directory entry is that of the current incarnation.

        A poll may show an incarnation before its entry is read. Capacity,
        labels, rack, zone and service of the one before then say nothing.
        """
        return self.entry.born == self.born

    @property
    def token(self) -> int:
        """Fencing token of orders to the current incarnation.

        Rises with the epoch, then with each incarnation. All incarnations from
        number `MAX_INCARNATIONS` - 1 on share the last token of the epoch.
        """
        return self._epoch * MAX_INCARNATIONS + min(
            self.incarnations, MAX_INCARNATIONS - 1
        )

    def end_to_acknowledge(self, now_ms: float) -> int:
        """Returns the last ended run to acknowledge in the next poll, or 0.

        A later incarnation that executes the poll drops its own ends up to this
        number. So it is 0 unless the current one still lists such ends, and if
        the worker may have restarted.
        """
        if self.may_have_restarted or not self.first_listed_end:
            return 0
        last = self.last_acked_end
        if self.holds_ends(now_ms):
            last = min(last, self.held_ends[0][0] - 1)
        return last if self.first_listed_end <= last else 0

    def holds_ends(self, now_ms: float) -> bool:
        """Returns whether an end is not acknowledged though it may be stored.

        None is held back while the worker has more ends than fit in a reply.
        """
        while self.held_ends and self.held_ends[0][1] <= now_ms:
            del self.held_ends[0]
        return bool(self.held_ends) and self.has_all_ends

    def record_pending_start(self, run: WorkerRun, now_ms: float) -> None:
        """Records that the last start order of a run got no reply.

        It has been carried out if the worker has reported the run, unless it
        was not the only one.
        """
        if run.reported and run.starts_sent == 1:
            return
        self.pending_starts = {
            key: sent_ms
            for key, sent_ms in self.pending_starts.items()
            if now_ms - sent_ms < MAX_ORDER_DELAY_MS
        }
        self.pending_starts[run.task, run.run] = run.start_sent_ms

    def has_pending_start(self, task: TaskKey, now_ms: float) -> bool:
        """Returns whether a start of a task may yet be carried out here.

        Of any run: a later incarnation does not know which one is outdated.
        """
        return any(
            key == task and now_ms - sent_ms < MAX_ORDER_DELAY_MS
            for (key, _), sent_ms in self.pending_starts.items()
        )

    def inherit_pending_start(self, task: TaskKey, sent_ms: float) -> None:
        """Records that an earlier owner had no reply to a start of a task.

        Holds back its ends that are not stored yet.
        """
        key = task, INHERITED_RUN
        self.pending_starts[key] = max(
            self.pending_starts.get(key, -math.inf), sent_ms
        )
        held = dict(self.held_ends)
        for number, other in self.unacked_ends:
            if other == task:
                until_ms = self.pending_starts[key] + MAX_ORDER_DELAY_MS
                held[number] = max(held.get(number, -math.inf), until_ms)
        self.held_ends = sorted(held.items())

    def settle_start(self, run: WorkerRun) -> None:
        """Records that the worker reports a run, or its end."""
        run.reported = True
        if run.starts_sent == 1:
            self.pending_starts.pop((run.task, run.run), None)

    def hold_end(
        self,
        number: int,
        task: TaskKey,
        now_ms: float,
        least_ms: float = 0.0,
    ) -> None:
        """Holds back an end while a start of its task may yet be carried out.

        Only a later incarnation would do so, and an end that was not
        acknowledged before does not count.

        Args:
            number: Number of the end.
            task: Key of the task.
            now_ms: Current time.
            least_ms: Time for which it is held back in any case.
        """
        sent = [ms for key, ms in self.pending_starts.items() if key[0] == task]
        until_ms = max(sent, default=-math.inf) + MAX_ORDER_DELAY_MS
        until_ms = max(until_ms, now_ms + least_ms)
        if now_ms < until_ms:
            self.held_ends.append((number, until_ms))

    @property
    def is_idle(self) -> bool:
        """Whether no run of any owner can exist, and all ends are stored."""
        return (
            self.token_confirmed
            and not self.runs
            and self.has_all_ends
            and self.last_received_end <= self.last_acked_end
        )

    @property
    def is_drained(self) -> bool:
        """Whether the worker drains and can run nothing any more."""
        return self.entry.draining and self.is_idle

    @property
    def runs_until_ms(self) -> float:
        """Time until which a run may exist whose end no later owner knows."""
        if self.is_idle:
            return 0.0
        return self._longest_lease_end_ms

    @property
    def _longest_lease_end_ms(self) -> float:
        return max(
            self.lease_end_ms,
            self.prior_lease_end_ms,
            self.stale_lease_end_ms,
            self.late_run_end_ms,
        )

    def lease_left_ms(self, now_ms: float) -> float:
        """Returns for how long runs may exist that are reported no more."""
        return max(0.0, self._longest_lease_end_ms - now_ms)

    @property
    def on_probation(self) -> bool:
        """Whether the worker is on probation because of recent failures.

        A worker on probation gets one new task at a time, the probe. The
        backoff before the next probe doubles with each further failure, up to
        a maximum. Probation ends when `failures` is reset.
        """
        return self.failures >= PROBATION_FAILURES

    @property
    def hosts_suspect(self) -> bool:
        """Whether a run of a suspect exists that is not proven."""
        run = self.isolated_run
        return (
            run is not None
            and not run.is_proven(self.alive_ms)
            and (run.task, run.run) in self.runs
        )

    @property
    def has_trial(self) -> bool:
        """Whether a trial may exist on the worker."""
        run = self.trial
        return run is not None and (run.task, run.run) in self.runs

    def back_off_trials(self, now_ms: float) -> None:
        """Begins a backoff, as a trial has to be stopped.

        It doubles with each further trial that is, and starts anew after a time
        without any.
        """
        if now_ms - self.trial_backoff_until_ms > 2 * MAX_TRIAL_BACKOFF_MS:
            self.stopped_trials = 0
        # Limits the size of the shift; the backoff has its maximum by then.
        doublings = min(self.stopped_trials, 10)
        self.stopped_trials += 1
        self.trial_backoff_until_ms = now_ms + min(
            INITIAL_TRIAL_BACKOFF_MS << doublings, MAX_TRIAL_BACKOFF_MS
        )

    @property
    def is_likely_gone(self) -> bool:
        """Whether the worker is polled only to confirm that it has ended."""
        return self.ended or bool(
            self.lost_runs
            and not self.runs
            and self.missing_since_ms is not None
        )

    def unproven_runs(self) -> list[WorkerRun]:
        """Returns the runs that may have crashed the worker if it crashes now.

        Includes runs that may never have begun.
        """
        runs = [*self.runs.values(), *self.lost_runs]
        return [
            run
            for run in runs
            if not run.crash_counted and not run.is_proven(self.alive_ms)
        ]

    def record_reply(self, now_ms: float) -> None:
        """Records that the current incarnation replied to a poll."""
        self.replied_ms = now_ms
        self.may_have_restarted = False
        self.ended = False
        self.crashed = False
        self.alive_ms = now_ms
        self.lost_runs = []

    def record_disconnect(self, sent_ms: float, now_ms: float) -> None:
        """Records that the connection of a poll was closed.

        If the poll was under way, the worker was up until then.
        """
        if now_ms - sent_ms >= MIN_POLL_MS:
            self.alive_ms = now_ms

    def record_unanswered(self, token: int) -> None:
        """Records that an order or a poll with a token got no reply."""
        if token == self.token:
            self.may_have_restarted = True

    def record_failure(self, now_ms: float) -> None:
        """Records that a run failed on the worker."""
        self.failures += 1
        self.last_failure_ms = now_ms

    def record_silent_start(self, now_ms: float) -> None:
        """Records that a start order got no reply; begins a backoff."""
        # Limits the size of the shift; the backoff has its maximum by then.
        doublings = min(self.silent_starts, 10)
        self.silent_starts += 1
        self.backoff_until_ms = now_ms + min(
            INITIAL_SILENT_BACKOFF_MS << doublings, MAX_PROBE_BACKOFF_MS
        )

    def reset_failures_if_healthy(self, now_ms: float) -> None:
        """Resets the failure count if a run has shown the worker to be healthy.

        Such a run was placed after the last failure and more than
        `HEALTHY_RUN_MS` ago, and was last reported at full speed.
        """
        if self.failures and any(
            run.at_full_speed
            and run.placed_ms > self.last_failure_ms
            and now_ms - run.placed_ms > HEALTHY_RUN_MS
            for run in self.runs.values()
        ):
            self.failures = 0

    def accepts_task(self, now_ms: float) -> bool:
        """Returns whether the worker may get a task.

        A worker on probation may get one if the backoff is over and no run
        placed after the last failure, the probe, exists that is younger than
        `MAX_PROBE_MS`. A worker with an unproven run of a suspect may get none.
        """
        if self.hosts_suspect:
            return False
        if not self.on_probation:
            return True
        # Limits the size of the shift; the backoff has its maximum by then.
        doublings = min(self.failures - PROBATION_FAILURES, 10)
        backoff_ms = min(
            INITIAL_PROBE_BACKOFF_MS << doublings, MAX_PROBE_BACKOFF_MS
        )
        has_probe = any(
            run.placed_ms > self.last_failure_ms
            and now_ms - run.placed_ms < MAX_PROBE_MS
            for run in self.runs.values()
        )
        return not has_probe and now_ms - self.last_failure_ms >= backoff_ms

    def acknowledge_ends(self, last: int, held_jobs: Collection[str]) -> None:
        """Acknowledges ended runs, up to the first one of certain jobs.

        Args:
            last: Number of the last end that may be acknowledged.
            held_jobs: Ids of the jobs whose progress is not stored.
        """
        for number, task in self.unacked_ends:
            if task.job in held_jobs:
                last = min(last, number - 1)
                break
        self.last_acked_end = max(self.last_acked_end, last)
        self.unacked_ends = [
            end for end in self.unacked_ends if end[0] > self.last_acked_end
        ]

    def start_incarnation(self, born: int) -> None:
        """Resets the state for a new incarnation."""
        self.born = born
        self.incarnations += 1
        self.token_confirmed = False
        self.recorded = False
        self.runs.clear()
        self.last_received_end = 0
        self.last_acked_end = 0
        self.unacked_ends.clear()
        self.held_ends.clear()
        self.first_listed_end = 0
        self.may_have_restarted = False
        self.lease_end_ms = 0.0
        self.accepts_stale_orders = True
        self.stale_lease_end_ms = 0.0
        self.ended = False
        self.crashed = False
        self.alive_ms = 0.0
        self.lost_runs = []
        self.isolated_run = None
        self.trial = None
        self.best_effort_seen_ms = None
        self.failures = 0
        self.silent_starts = 0
        self._clock_read_ms = None
        self._last_grant = None

    def stale_leases(self, now_ms: float) -> StaleLeases:
        """Returns the stale leases of the current incarnation.

        For later owners they are possible until its entry has been read, as
        they know only the incarnation of the entry.
        """
        if self.accepts_stale_orders or not self.entry_is_current:
            return StaleLeases.POSSIBLE
        if now_ms < self.stale_lease_end_ms:
            return StaleLeases.BOUNDED
        return StaleLeases.EXPIRED

    def recorded_state(self, now_ms: float) -> RecordedState:
        """Returns what a record of the worker must have now."""
        return RecordedState(
            self.entry.born, self.entry.draining, self.stale_leases(now_ms)
        )

    def record(self, now_ms: float) -> WorkerRecord:
        """Returns a record of the worker."""
        return WorkerRecord(
            **msgspec.structs.asdict(self.entry),
            stale_leases=self.stale_leases(now_ms),
        )

    def set_entry(self, entry: WorkerEntry, now_ms: float) -> None:
        """Sets a new directory entry."""
        self.entry = entry
        self.services |= {entry.service}
        self.departure_ms = float("inf")
        if entry.draining:
            self.departure_ms = now_ms + entry.remaining_ms

    @property
    def last_clock_ms(self) -> float | None:
        """Last reading of the current incarnation's clock, or None."""
        return None if self._clock_read_ms is None else self._clock_ms

    def set_clock(self, clock_ms: float, at_ms: float) -> None:
        """Sets a reading of the worker's clock.

        Args:
            clock_ms: The reading.
            at_ms: When the reading arrived, on this process's clock.
        """
        newer = self._clock_read_ms is None or at_ms > self._clock_read_ms
        if newer:
            self._clock_ms = clock_ms
            self._clock_read_ms = at_ms

    def shows_clock(
        self, clock_ms: float, sent_ms: float, now_ms: float
    ) -> bool:
        """Returns whether a reading can be one of this incarnation's clock.

        The clock of each incarnation starts anew. A reading that arrives late
        counts as one of another incarnation.

        Args:
            clock_ms: The reading, in the reply to an order.
            sent_ms: When the order was sent.
            now_ms: When the reply arrived.
        """
        if self._clock_read_ms is None:
            return False
        since_ms = sent_ms - self._clock_read_ms
        slowest = MIN_CLOCK_RATE if since_ms > 0 else 1 / MIN_CLOCK_RATE
        earliest_ms = self._clock_ms + since_ms * slowest - CLOCK_UNIT_MS
        latest_ms = self._clock_ms + now_ms - self._clock_read_ms
        return earliest_ms <= clock_ms <= latest_ms + LEASE_SLACK_MS

    def is_responsive(self, now_ms: float) -> bool:
        """Returns whether the worker replied to a poll recently."""
        if self.replied_ms is None:
            return False
        within_ms = max(
            RESPONSIVE_WITHIN_MS, self.poll_wait_ms + REPLY_MARGIN_MS
        )
        return now_ms - self.replied_ms < within_ms

    def grant_lease(self, now_ms: float, lease_ms: float) -> int | None:
        """Grants a lease that starts now, and returns its end.

        Extends `lease_end_ms` at once, since the order may take effect even if
        no reply arrives.

        Returns:
            The end on the worker's clock, or None if that clock is not known.
        """
        if self._clock_read_ms is None:
            return None
        self.granted_ms = now_ms
        until_ms = int(
            self._clock_ms + (now_ms - self._clock_read_ms) + lease_ms
        )
        left_ms = (until_ms - self._clock_ms) / MIN_CLOCK_RATE
        self._last_grant = (until_ms, self.lease_end_ms)
        self.lease_end_ms = max(
            self.lease_end_ms, self._clock_read_ms + left_ms + LEASE_SLACK_MS
        )
        return until_ms

    def revoke_lease(self, token: int, until_ms: int | None) -> None:
        """Takes back a grant that was not sent, unless another one followed.

        Args:
            token: Fencing token at that time; the clock of a later incarnation
                may show any time.
            until_ms: What `grant_lease` returned for it.
        """
        if token != self.token:
            return
        if self._last_grant is not None and self._last_grant[0] == until_ms:
            self.lease_end_ms = self._last_grant[1]
            self._last_grant = None

    @property
    def is_overcommitted(self) -> bool:
        """Whether the runs reserve more than the capacity, which may shrink."""
        return not Resources().fits(self.free_resources())

    def free_resources(self) -> Resources:
        """Returns the resources that are not reserved by runs."""
        capacity = self.entry.capacity
        cores, memory, accelerators = 0, 0, 0
        for run in self.runs.values():
            reserved = run.step.reserved
            cores += reserved.cores_milli
            memory += reserved.memory_mb
            accelerators += reserved.accelerators
        return Resources(
            capacity.cores_milli - cores,
            capacity.memory_mb - memory,
            capacity.accelerators - accelerators,
        )
