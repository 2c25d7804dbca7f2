"""Submitting, cancelling and inspecting jobs through the cells' streams."""

import asyncio
from collections.abc import Callable

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ErrorKind
from limpetyard.admin._messages import JobOrder, JobView, ShareRow
from limpetyard.cell import (
    Cancel,
    CellRecord,
    CellSnapshot,
    CellState,
    JobSpec,
    ResourceUsage,
    ResourceVector,
    Submit,
    cell_index,
    cell_stream_name,
    cell_stream_names,
)
from limpetyard.config import ConfigState
from limpetyard.errors import RequestError
from limpetyard.log import Log, StreamProjector, StreamReader

MAX_TASKS = 10_000
READ_BACK_MS = 3000
_ID_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-_.")
_ID_LENGTH = 100


class JobOperations:
    """Operators' acts on jobs. Any daemon can carry them out."""

    __slots__ = ("_clock", "_log", "_open_readers")

    def __init__(
        self,
        log: Log,
        clock: Clock,
        open_readers: Callable[[str], StreamReader | None],
    ):
        self._log = log
        self._clock = clock
        self._open_readers = open_readers

    async def submit(self, order: JobOrder, cfg: ConfigState) -> JobView:
        """Submits a job and returns it once it was read back.

        Raises:
            RequestError: If the order is not valid.
            LogUnavailableError: If the log did not answer; the same id may be
                submitted again.
        """
        spec = _spec(order, cfg)
        return await self._act(spec.id, Submit(spec), cfg)

    async def cancel(self, job_id: str, cfg: ConfigState) -> JobView:
        """Cancels a job and returns it once that was read back."""
        await self.inspect(job_id, cfg)
        return await self._act(job_id, Cancel(job_id), cfg)

    async def inspect(self, job_id: str, cfg: ConfigState) -> JobView:
        """Returns a job.

        Raises:
            RequestError: If the cell knows no such job.
        """
        cell = cell_index(job_id, cfg.cfg.parameters.cells)
        return _view(await self._read(cell_stream_name(cell)), job_id, cell)

    async def shares(self, cfg: ConfigState) -> list[ShareRow]:
        """Recomputes every partner's share from the records of all cells."""
        parameters = cfg.cfg.parameters
        total: dict[str, ResourceUsage] = {
            name: ResourceUsage() for name in parameters.partner
        }
        for stream in cell_stream_names(parameters.cells):
            state = await self._read(stream)
            for partner, use in state.ledger.items():
                _add(total.setdefault(partner, ResourceUsage()), use)
        return _share_rows(total, cfg)

    async def _act(
        self, job_id: str, record: Submit | Cancel, cfg: ConfigState
    ) -> JobView:
        cell = cell_index(job_id, cfg.cfg.parameters.cells)
        text = msgspec.json.encode(record).decode()
        offset = await self._log.append(cell_stream_name(cell), text)
        state = await self._read(cell_stream_name(cell), offset)
        return _view(state, job_id, cell)

    async def _read(self, stream: str, offset: int = -1) -> CellState:
        """Returns a cell's state at a point not before `offset`."""
        reader = self._open_readers(stream)
        if reader is not None and reader.projector.next_offset > offset >= 0:
            return reader.projector.projection
        reader = StreamReader(
            self._log,
            stream,
            lambda: StreamProjector(CellState(), CellRecord, CellSnapshot),
            self._clock,
        )
        await asyncio.wait_for(reader.bootstrap(), READ_BACK_MS / MS_PER_SECOND)
        return reader.projector.projection


def _spec(order: JobOrder, cfg: ConfigState) -> JobSpec:
    task_class = cfg.cfg.template.task.get(order.class_name)
    if task_class is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"class_name {order.class_name!r} is unknown"
        )
    if order.partner not in cfg.cfg.parameters.partner:
        raise RequestError(ErrorKind.UNKNOWN_PARTNER, repr(order.partner))
    if not 1 <= order.count <= MAX_TASKS:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"count {order.count}: 1 to {MAX_TASKS}"
        )
    fine = 1 <= len(order.id) <= _ID_LENGTH and _ID_CHARS.issuperset(order.id)
    if not fine:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"id {order.id!r}: up to {_ID_LENGTH} of a-z 0-9 - _ .",
        )
    return JobSpec(
        order.id,
        order.partner,
        order.class_name,
        order.count,
        ResourceVector(
            task_class.cores, task_class.memory_mb, task_class.accelerators
        ),
        task_class.run_ms,
        task_class.latency_critical,
        task_class.max_attempts,
    )


def _view(state: CellState, job_id: str, cell: int) -> JobView:
    job = state.jobs.get(job_id)
    if job is None:
        if not state.has_job(job_id):
            raise RequestError(ErrorKind.NOT_FOUND, f"job {job_id!r}")
        return JobView(job_id, "over", cell)
    waiting = sum(state.tasks[i].job == job_id for i in state.queued)
    label = "open"
    if job.cancelled:
        label = "cancelled"
    elif job.rejected:
        label = "rejected"
    return JobView(
        job_id,
        label,
        cell,
        job.spec.partner,
        job.spec.class_name,
        job.spec.count,
        waiting,
        job.open - waiting,
        job.finished,
        job.failed,
        job.rejected,
    )


def _add(total: ResourceUsage, use: ResourceUsage) -> None:
    total.core_ms += use.core_ms
    total.memory_mb_ms += use.memory_mb_ms
    total.accelerator_ms += use.accelerator_ms
    total.runs += use.runs


def _share_rows(
    total: dict[str, ResourceUsage], cfg: ConfigState
) -> list[ShareRow]:
    partners = cfg.cfg.parameters.partner
    all_cores = sum(use.core_ms for use in total.values()) or 1.0
    all_weights = sum(p.weight for p in partners.values()) or 1.0
    rows = []
    for name, use in sorted(total.items()):
        weight = partners[name].weight if name in partners else 0.0
        rows.append(
            ShareRow(
                name,
                weight,
                use,
                use.core_ms / all_cores,
                weight / all_weights,
            )
        )
    return rows
