"""Effects: actions that the engine decides on and its caller carries out."""

import msgspec

from limpetyard.jobs import TaskKey


class Start(msgspec.Struct, frozen=True):
    """Start a run on a worker.

    Attributes:
        worker: Id of the worker.
        task: Key of the task.
        run: Number of the run.
        payload: Payload of the job.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Ticket of the advice service, or "".
        reason: Name of the placer that chose the worker.
    """

    worker: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str
    reason: str


class Stop(msgspec.Struct, frozen=True):
    """Stop a run, or prevent it from starting later."""

    worker: str
    task: TaskKey
    run: int


class Pace(msgspec.Struct, frozen=True):
    """Limit the share of its full speed that a run may use."""

    worker: str
    task: TaskKey
    run: int
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask the advice service which of some workers may run a step."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


Effect = Start | Stop | Pace | RequestAdvice
