"""Processor time of a planning round of the engine, by number of workers."""

import collections
import random
import statistics
import time

from loguru import logger

from bench.report import Bound, Section, markdown_table
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
    Worker,
    WorkerEntry,
)
from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec

WORKER_COUNTS = (30, 300, 1000)
WORKER_SIZE = Resources(16_000, 64_000, 0)
WORKERS_PER_RACK = 8
LEASE_MS = 4000

# Time between two rounds, and rounds between two polls of a worker.
STEP_MS = 100.0
ROUNDS_PER_POLL = 5

WARM_UP_ROUNDS = 20
ROUNDS = 60
MAX_STARTS = 48

# One of this many workers ends a run before a round, and as many tasks arrive.
WORKERS_PER_END = 30

TARGET_MS = 10.0
TAIL_MS = 5.0
SEED = 1

# Growth of the time for each worker from the smallest to the largest cell; 33
# if a round compared all workers with each other.
MAX_GROWTH = 3.0


class CellModel:
    """An engine whose workers are nearly full, and more tasks wait."""

    def __init__(self, workers: int):
        self._rng = random.Random(SEED)
        self.now_ms = 1000.0
        self.engine = Engine(1, EngineParams(LEASE_MS, 5000))
        self._jobs = 0
        self._ends: dict[str, list[RunEndReport]] = collections.defaultdict(
            list
        )
        self._end_numbers: collections.Counter[str] = collections.Counter()
        for number in range(workers):
            self._add_worker(number)
        recorded = dict.fromkeys(self.engine.workers, (1, False))
        self.engine.set_recorded_workers(recorded)
        for _ in range(workers // 3):
            self._submit_serving()
        for _ in range(3 * workers):
            self._submit_short()
        for _ in range(workers):
            self._submit_best_effort()

    @property
    def runs(self) -> int:
        """Number of runs on all workers."""
        return sum(len(w.runs) for w in self.engine.workers.values())

    def _add_worker(self, number: int) -> None:
        entry = WorkerEntry(
            f"w-{number}",
            "pool",
            "",
            f"z-{number % 3}",
            f"r-{number // WORKERS_PER_RACK}",
            ("plain", "fast") if number % 2 else ("plain",),
            WORKER_SIZE,
            1,
        )
        self._poll(self.engine.set_entry(entry, self.now_ms))

    def _submit(self, step: StepSpec) -> None:
        self._jobs += 1
        queue = QueueParams("q", "pool", self._jobs % 2, 9, 2.0, 1000.0)
        spec = JobSpec(f"{self._jobs:016x}", queue, "", (step,))
        self.engine.add_job(spec, self.now_ms, loaded=False)

    def _submit_serving(self) -> None:
        step = StepSpec(
            4,
            Resources(1000, 1000, 0),
            long_running=True,
            image=f"s{self._rng.randrange(5)}",
            target_ms=TARGET_MS,
        )
        self._submit(step)

    def _submit_short(self) -> None:
        need = Resources(self._rng.choice((500, 1000, 2000)), 1000, 0)
        label = self._rng.choice(("", "", "fast"))
        self._submit(
            StepSpec(
                self._rng.randint(2, 8),
                need,
                self._rng.choice((1000, 4000)),
                label=label,
                checkpoints=True,
            )
        )

    def _submit_best_effort(self) -> None:
        need = Resources(1000, 500, 0)
        image = f"f{self._rng.randrange(5)}"
        step = StepSpec(
            4, need, 4000, image=image, fills=True, checkpoints=True
        )
        self._submit(step)

    def play_round(
        self, max_starts: int | None = MAX_STARTS
    ) -> tuple[float, int]:
        """Plays a round; returns its processor time in ms and its effects."""
        began_s = time.process_time()
        effects = self.engine.plan(self.now_ms, 0.0, max_starts)
        took_ms = (time.process_time() - began_s) * 1000
        for effect in effects:
            self._execute(effect)
        self.now_ms += STEP_MS
        workers = list(self.engine.workers.values())
        for worker in self._rng.sample(
            workers, len(workers) // WORKERS_PER_END
        ):
            self._end_run(worker)
        step = int(self.now_ms / STEP_MS)
        for number, worker in enumerate(workers):
            if (number + step) % ROUNDS_PER_POLL == 0:
                self._poll(worker)
        return took_ms, len(effects)

    def _execute(self, effect: Start | Stop | Pace) -> None:
        if isinstance(effect, Start):
            started = StartResult.STARTED
            self.engine.on_start_reply(effect, started, self.now_ms)
        elif isinstance(effect, Stop):
            self._note_end(effect, RunEndKind.STOPPED)
            self.engine.on_stop_reply(effect, self.now_ms)

    def _end_run(self, worker: Worker) -> None:
        """Ends a run that is not long-running; a job arrives in its place."""
        ended = {(end.task, end.run) for end in self._ends[worker.id]}
        ending = [
            run
            for run in worker.runs.values()
            if not run.step.long_running and (run.task, run.run) not in ended
        ]
        if not ending:
            return
        run = self._rng.choice(ending)
        end = self._new_end(worker.id, run, RunEndKind.DONE)
        self._ends[worker.id].append(end)
        self._rng.choice((self._submit_short, self._submit_best_effort))()

    def _note_end(self, stop: Stop, kind: RunEndKind) -> None:
        ends = self._ends[stop.worker]
        if all((end.task, end.run) != (stop.task, stop.run) for end in ends):
            ends.append(self._new_end(stop.worker, stop, kind))

    def _new_end(self, worker_id: str, run, kind: RunEndKind) -> RunEndReport:
        self._end_numbers[worker_id] += 1
        number = self._end_numbers[worker_id]
        return RunEndReport(number, run.task, run.run, kind, "")

    def _poll(self, worker: Worker) -> None:
        ends = self._ends.pop(worker.id, [])
        ended = {(end.task, end.run) for end in ends}
        reports = [
            RunReport(run.task, run.run, "", 100, self._measured(run))
            for run in worker.runs.values()
            if (run.task, run.run) not in ended
        ]
        reply = PollReply(1, self.now_ms, reports, ends)
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)
        worker.grant_lease(self.now_ms, LEASE_MS)

    def _measured(self, run) -> float:
        """Returns a tail latency in ms, or the used thousandths of a core."""
        if run.step.target_ms:
            return TAIL_MS + self._rng.random()
        return run.step.need.cores_milli * run.speed_percent / 100


def measure_rounds(workers: int) -> tuple[list[float], int, CellModel]:
    """Plays rounds of a cell with some workers.

    Returns:
        The processor time of each in milliseconds, the number of effects, and
        the cell at the end.
    """
    cell = CellModel(workers)
    for _ in range(WARM_UP_ROUNDS):
        cell.play_round(max_starts=None)
    rounds = [cell.play_round() for _ in range(ROUNDS)]
    return [ms for ms, _ in rounds], sum(count for _, count in rounds), cell


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    logger.remove()
    rows = []
    worker_ms = []
    for workers in WORKER_COUNTS:
        times_ms, effects, cell = measure_rounds(workers)
        median_ms = statistics.median(times_ms)
        worker_ms.append(median_ms / workers)
        rows.append(
            [
                workers,
                cell.runs,
                len(cell.engine.open_jobs),
                effects,
                f"{median_ms:.2f}",
                f"{max(times_ms):.2f}",
                f"{1000 * median_ms / workers:.1f}",
            ]
        )
    columns = (
        "workers",
        "runs",
        "open jobs",
        "effects",
        "ms a round, median",
        "longest",
        "us a worker",
    )
    bound = Bound.at_most(
        "growth of a round's time for each worker",
        worker_ms[-1] / worker_ms[0],
        MAX_GROWTH,
    )
    return Section(
        "planning", "Planning rounds", markdown_table(columns, rows), [bound]
    )
