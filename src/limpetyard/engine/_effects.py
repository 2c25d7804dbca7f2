"""Effects: actions that the engine plans and its caller executes."""

import msgspec

from limpetyard.jobs import TaskKey


class Start(msgspec.Struct, frozen=True):
    """Starts a run on a worker.

    Attributes:
        worker: Id of the worker.
        task: Key of the task.
        run: Number of the run.
        payload: Payload of the job.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Ticket of the advice service, or "".
        placer: Name of the placer that chose the worker.
    """

    worker: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str
    placer: str


class Stop(msgspec.Struct, frozen=True):
    """Stops a run, or prevents it from starting later."""

    worker: str
    task: TaskKey
    run: int


class Pace(msgspec.Struct, frozen=True):
    """Limits a run to a percentage of its full speed."""

    worker: str
    task: TaskKey
    run: int
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Requests tickets for the workers that may run a step.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        workers: Ids of the workers to choose from.
    """

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


Effect = Start | Stop | Pace | RequestAdvice
