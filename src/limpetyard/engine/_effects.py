"""What the engine wants done."""

import msgspec

from limpetyard.jobs import TaskKey


class Start(msgspec.Struct, frozen=True):
    """Start a run on a worker."""

    worker: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str
    reason: str


class Stop(msgspec.Struct, frozen=True):
    """Stop a run, or keep it from ever starting."""

    worker: str
    task: TaskKey
    run: int


class Pace(msgspec.Struct, frozen=True):
    """Limit the share of its speed that a run may use."""

    worker: str
    task: TaskKey
    run: int
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask which workers may run a step."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


Effect = Start | Stop | Pace | RequestAdvice
