"""Workers on which best-effort tasks raise the tail latencies of serving tasks.

Drives the engine without a network, in steps of simulated time. A worker's
utilization is the load of its serving tasks, which swings with a phase for each
job, plus the pressure of its best-effort tasks; tail latencies grow with the
inverse of the rest, as in a queue. Best-effort tasks share the cores that the
serving tasks leave idle.
"""

import collections
import dataclasses
import math
import random

from limpetyard.engine import (
    Engine,
    EngineParams,
    Pace,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunReport,
    Start,
    StartResult,
    Stop,
    WorkerEntry,
)
from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec

STEP_MS = 100
LEASE_MS = 4000

# Time that a reported tail latency covers.
WINDOW_MS = 500

# Time from a pace order to its effect.
PACE_DELAY_MS = 100

BASE_TAIL_MS = 10.0

SERVING_JOB_CORES = 12
SERVING_TASKS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load of serving and best-effort work.

    Attributes:
        workers: Number of workers.
        cores: Cores of each.
        serving_share: Share of the cores that serving tasks reserve.
        serving_load: Mean share of them that is in use.
        swing: Amplitude of that use as a share of its mean.
        swing_s: Period of the swing.
        target_factor: Target of serving tasks as a multiple of `BASE_TAIL_MS`.
        jobs_per_s: Best-effort jobs that arrive.
        burst: Factor on that during the second quarter of the time.
        pressure: Utilization that best-effort tasks add if they use all cores.
        images: Number of best-effort images; their pressures vary by three.
        tasks_per_job: Tasks of a best-effort job.
        task_ms: Length of each on cores of its own.
        task_cores: Cores that each uses.
        duration_s: Time that is played.
        report_ms: Time between two reports of a worker.
        noise: Standard deviation of a reported tail, relative to it.
    """

    workers: int = 12
    cores: int = 16
    serving_share: float = 0.8
    serving_load: float = 0.45
    swing: float = 0.5
    swing_s: float = 14.0
    target_factor: float = 5.0
    jobs_per_s: float = 1.2
    burst: float = 1.5
    pressure: float = 0.6
    images: int = 9
    tasks_per_job: int = 8
    task_ms: float = 2200.0
    task_cores: float = 1.8
    duration_s: float = 48.0
    report_ms: int = 500
    noise: float = 0.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What users of both kinds of work saw.

    Attributes:
        in_time: Share of the best-effort jobs that ended within twice their
            length and a second.
        over_target: Share of the time of serving tasks over their target.
        longest_over_ms: Longest time on end for which a serving task was over
            its target because of best-effort tasks that worked on.
        pace_orders: Number of orders for a speed.
        stops: Number of best-effort runs that were stopped.
        run_ms: Times from arrival to end of the best-effort jobs, sorted.
    """

    in_time: float
    over_target: float
    longest_over_ms: float
    pace_orders: int
    stops: int
    run_ms: list[float]

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of `run_ms`; infinite for jobs without an end."""
        return self.run_ms[
            min(len(self.run_ms) - 1, int(share * len(self.run_ms)))
        ]


class ColocationModel:
    """Plays one pattern with one pacer."""

    def __init__(
        self,
        pattern: Pattern,
        pacer: str,
        seed: int,
        lost_pace_share: float = 0.0,
    ):
        """Initializes the workers and their serving tasks.

        Args:
            pattern: The load.
            pacer: Name of the pacer.
            seed: Seed of arrivals, pressures and phases.
            lost_pace_share: Share of the pace orders that are not carried out.
        """
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._lost_pace_share = lost_pace_share
        self.now_ms = 1000.0
        self.engine = Engine(1, EngineParams(LEASE_MS, 5000, pacer=pacer))
        self._phases: dict[str, float] = {}
        self._pressures = {
            f"f{number}": self._rng.uniform(0.5, 1.5) * pattern.pressure
            for number in range(pattern.images)
        }
        # Actual state of each run, by worker, task and run.
        self._speeds: dict[tuple, float] = {}
        self._work_left_ms: dict[tuple, float] = {}
        self._tails: dict[tuple, collections.deque[float]] = {}
        # Separate, so that noise leaves the load as it is.
        self._noise_rng = random.Random(f"noise {seed}")
        self._due_paces: list[tuple[float, tuple, int]] = []
        self._ended: dict[str, list[tuple]] = {}
        self._end_numbers: dict[str, int] = {}
        self._over_since_ms: dict[tuple, float] = {}
        self._arrived_ms: dict[str, float] = {}
        self._serving_ms = 0.0
        self._over_ms = 0.0
        self._longest_over_ms = 0.0
        self._pace_orders = 0
        self._stops = 0
        self._jobs = 0
        self._add_workers()

    def play(self) -> Outcome:
        """Plays the pattern and returns the outcome."""
        pattern = self._pattern
        end_ms = self.now_ms + pattern.duration_s * 1000
        reserved = pattern.workers * pattern.cores * pattern.serving_share
        serving_jobs = max(1, round(reserved / SERVING_JOB_CORES))
        for _ in range(serving_jobs):
            step = StepSpec(
                SERVING_TASKS,
                Resources(SERVING_JOB_CORES // SERVING_TASKS * 1000, 1, 0),
                long_running=True,
                image=f"s{self._rng.randrange(5)}",
                target_ms=BASE_TAIL_MS * pattern.target_factor,
            )
            job_id = self._submit(step)
            self._phases[job_id] = self._rng.uniform(0, 2 * math.pi)
        # Serving tasks settle before best-effort work arrives.
        for _ in range(40):
            self._advance(arrivals=False)
        while self.now_ms < end_ms:
            self._advance(arrivals=True)
        return self._outcome()

    def _add_workers(self) -> None:
        pattern = self._pattern
        for number in range(pattern.workers):
            entry = WorkerEntry(
                f"w-{number}",
                "pool",
                "",
                "z",
                f"r-{number // 8}",
                (),
                Resources(pattern.cores * 1000, 1 << 20, 0),
                1,
            )
            worker = self.engine.set_entry(entry, self.now_ms)
            reply = PollReply(1, self.now_ms, [], [])
            self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        self.engine.set_recorded_workers(
            dict.fromkeys(self.engine.workers, (1, False))
        )

    def _submit(self, step: StepSpec) -> str:
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        queue = QueueParams(
            "q", "pool", max_attempts=9, stretch=2.0, objective_ms=1000.0
        )
        spec = JobSpec(job_id, queue, "", (step,))
        self.engine.add_job(spec, self.now_ms, loaded=False)
        return job_id

    def _advance(self, arrivals: bool) -> None:
        """Plays one step of time."""
        if arrivals:
            self._arrive()
        for effect in self.engine.plan(self.now_ms, 0.0, 48):
            self._execute(effect)
        self.now_ms += STEP_MS
        self._apply_paces()
        for number, worker in enumerate(self.engine.workers.values()):
            self._work(worker)
            steps = self._pattern.report_ms // STEP_MS
            if (self.now_ms // STEP_MS + number) % steps == 0:
                self._poll(worker)

    def _arrive(self) -> None:
        pattern = self._pattern
        share = self.now_ms / (pattern.duration_s * 1000)
        rate = pattern.jobs_per_s
        if 0.25 <= share < 0.5:
            rate *= pattern.burst
        # Work stops arriving early enough to end in time.
        if share < 0.75 and self._rng.random() < rate * STEP_MS / 1000:
            step = StepSpec(
                pattern.tasks_per_job,
                Resources(round(pattern.task_cores * 1000), 1, 0),
                round(pattern.task_ms),
                image=f"f{self._rng.randrange(pattern.images)}",
                fills=True,
                checkpoints=True,
            )
            self._arrived_ms[self._submit(step)] = self.now_ms

    def _execute(self, effect) -> None:
        key = (effect.worker, effect.task, effect.run)
        if isinstance(effect, Start):
            self._speeds[key] = 1.0
            checkpoint = float(effect.checkpoint or self._pattern.task_ms)
            self._work_left_ms[key] = checkpoint
            result = StartResult.STARTED
            self.engine.on_start_reply(effect, result, self.now_ms)
        elif isinstance(effect, Stop):
            self._stops += 1
            left_ms = self._work_left_ms.pop(key, None)
            if left_ms is not None:
                self._end(key, RunEndKind.STOPPED, f"{left_ms:.0f}")
            self.engine.on_stop_reply(effect, self.now_ms)
        elif isinstance(effect, Pace):
            self._pace_orders += 1
            if self._rng.random() >= self._lost_pace_share:
                due_ms = self.now_ms + PACE_DELAY_MS
                self._due_paces.append((due_ms, key, effect.percent))

    def _apply_paces(self) -> None:
        due = [pace for pace in self._due_paces if pace[0] <= self.now_ms]
        self._due_paces = [p for p in self._due_paces if p[0] > self.now_ms]
        for _, key, percent in due:
            self._speeds[key] = percent / 100

    def _end(self, key: tuple, kind: RunEndKind, checkpoint: str) -> None:
        worker, task, run = key
        number = self._end_numbers.get(worker, 0) + 1
        self._end_numbers[worker] = number
        report = RunEndReport(number, task, run, kind, checkpoint)
        self._ended.setdefault(worker, []).append(report)

    def _work(self, worker) -> None:
        """Lets the runs of a worker work for one step of time."""
        cores = self._pattern.cores
        keys = {
            (worker.id, run.task, run.run): run for run in worker.runs.values()
        }
        serving = {k: r for k, r in keys.items() if r.step.target_ms}
        fillers = {
            k: r
            for k, r in keys.items()
            if r.step.fills and k in self._work_left_ms
        }
        load = sum(
            self._load(run.task.job) * run.step.need.cores_milli / 1000
            for run in serving.values()
        )
        wanted = sum(
            self._speeds[k] * r.step.need.cores_milli / 1000
            for k, r in fillers.items()
        )
        rate = min(1.0, max(0.0, cores - load) / wanted) if wanted else 1.0
        pressure = sum(
            self._pressures[r.step.image]
            * self._speeds[k]
            * rate
            * r.step.need.cores_milli
            / 1000
            / cores
            for k, r in fillers.items()
        )
        for key, run in serving.items():
            own = self._load(run.task.job)
            tail_ms = _tail_ms(own + pressure)
            self._tails.setdefault(
                key, collections.deque(maxlen=WINDOW_MS // STEP_MS)
            ).append(tail_ms)
            self._count(key, run, tail_ms, _tail_ms(own), pressure)
        for key in list(fillers):
            self._work_left_ms[key] -= STEP_MS * rate * self._speeds[key]
            if self._work_left_ms[key] <= 0:
                del self._work_left_ms[key]
                self._end(key, RunEndKind.DONE, "")

    def _load(self, job_id: str) -> float:
        pattern = self._pattern
        angle = 2 * math.pi * self.now_ms / 1000 / pattern.swing_s
        swing = math.sin(angle + self._phases.get(job_id, 0.0))
        return pattern.serving_load * (1 + pattern.swing * swing)

    def _count(
        self, key: tuple, run, tail_ms: float, alone_ms: float, pressure: float
    ) -> None:
        self._serving_ms += STEP_MS
        target_ms = run.step.target_ms
        if tail_ms <= target_ms:
            self._over_since_ms.pop(key, None)
            return
        self._over_ms += STEP_MS
        if alone_ms > target_ms or not pressure:
            self._over_since_ms.pop(key, None)
            return
        since_ms = self._over_since_ms.setdefault(key, self.now_ms - STEP_MS)
        self._longest_over_ms = max(
            self._longest_over_ms, self.now_ms - since_ms
        )

    def _poll(self, worker) -> None:
        reports = []
        for run in worker.runs.values():
            key = (worker.id, run.task, run.run)
            if run.step.target_ms:
                tails = self._tails.get(key) or [BASE_TAIL_MS]
                tail_ms = sum(tails) / len(tails)
                if self._pattern.noise:
                    tail_ms *= self._noise_rng.gauss(1.0, self._pattern.noise)
                value = float(round(tail_ms))
                reports.append(RunReport(run.task, run.run, "", 100, value))
            elif key in self._work_left_ms:
                speed = self._speeds[key]
                reports.append(
                    RunReport(
                        run.task,
                        run.run,
                        f"{self._work_left_ms[key]:.0f}",
                        round(100 * speed),
                        run.step.need.cores_milli * speed,
                    )
                )
        ends = self._ended.pop(worker.id, [])
        reply = PollReply(1, self.now_ms, reports, ends)
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def _outcome(self) -> Outcome:
        limit_ms = 2 * self._pattern.task_ms + 1000
        run_ms = []
        for job_id, arrived_ms in self._arrived_ms.items():
            ended_ms = self.engine.jobs[job_id].ended_ms
            run_ms.append(
                math.inf if ended_ms is None else ended_ms - arrived_ms
            )
        run_ms.sort()
        in_time = sum(time_ms <= limit_ms for time_ms in run_ms) / len(run_ms)
        return Outcome(
            in_time,
            self._over_ms / self._serving_ms,
            self._longest_over_ms,
            self._pace_orders,
            self._stops,
            run_ms,
        )


def _tail_ms(utilization: float) -> float:
    return BASE_TAIL_MS / max(0.02, 1 - utilization)
