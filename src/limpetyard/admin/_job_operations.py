"""Submission, cancellation and inspection of jobs via the cells' streams."""

import asyncio
from collections.abc import Callable

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ErrorKind
from limpetyard.admin._messages import JobView, ShareRow, SubmitRequest
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
READ_BACK_TIMEOUT_MS = 3000
_ID_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-_.")
_ID_LENGTH = 100


class JobOperations:
    """Operations on jobs for operators; every daemon can perform them."""

    __slots__ = ("_clock", "_find_loaded_reader", "_log")

    def __init__(
        self,
        log: Log,
        clock: Clock,
        find_loaded_reader: Callable[[str], StreamReader | None],
    ):
        """Creates the operations.

        Args:
            log: Log that holds the cells' streams.
            clock: Clock of this process.
            find_loaded_reader: Returns the reader with which this daemon
                follows a stream, or None if it does not follow the stream or
                has not loaded its state yet.
        """
        self._log = log
        self._clock = clock
        self._find_loaded_reader = find_loaded_reader

    async def submit(
        self, request: SubmitRequest, config: ConfigState
    ) -> JobView:
        """Submits a job and returns it once it has been read back.

        Raises:
            RequestError: If the request is not valid.
            LogUnavailableError: If the log did not respond. Submitting the
                same id again is safe.
            TimeoutError: If the job was not read back in time.
        """
        spec = _new_job_spec(request, config)
        return await self._append_and_read(spec.id, Submit(spec), config)

    async def cancel(self, job_id: str, config: ConfigState) -> JobView:
        """Cancels a job and returns it once that has been read back.

        Raises:
            RequestError: If the cell does not know the job.
            LogUnavailableError: If the log did not respond.
            TimeoutError: If the cancellation was not read back in time.
        """
        await self.inspect(job_id, config)
        return await self._append_and_read(job_id, Cancel(job_id), config)

    async def inspect(self, job_id: str, config: ConfigState) -> JobView:
        """Returns a job.

        Raises:
            RequestError: If the cell does not know the job.
        """
        cell = cell_index(job_id, config.cfg.parameters.cells)
        return _job_view(await self._read(cell_stream_name(cell)), job_id, cell)

    async def shares(self, config: ConfigState) -> list[ShareRow]:
        """Computes every partner's share from the records of all cells."""
        parameters = config.cfg.parameters
        totals: dict[str, ResourceUsage] = {
            name: ResourceUsage() for name in parameters.partner
        }
        for stream in cell_stream_names(parameters.cells):
            state = await self._read(stream)
            for partner, usage in state.ledger.items():
                _add_usage(totals.setdefault(partner, ResourceUsage()), usage)
        return _share_rows(totals, config)

    async def _append_and_read(
        self, job_id: str, record: Submit | Cancel, config: ConfigState
    ) -> JobView:
        cell = cell_index(job_id, config.cfg.parameters.cells)
        text = msgspec.json.encode(record).decode()
        offset = await self._log.append(cell_stream_name(cell), text)
        state = await self._read(cell_stream_name(cell), offset)
        return _job_view(state, job_id, cell)

    async def _read(self, stream: str, offset: int = -1) -> CellState:
        """Returns the state of a cell that includes the record at `offset`.

        Uses this daemon's own reader if that has read past `offset`, else
        reads the stream up to its end; -1 always reads the stream.
        """
        reader = self._find_loaded_reader(stream)
        if reader is not None and reader.projector.next_offset > offset >= 0:
            return reader.projector.projection
        reader = StreamReader(
            self._log,
            stream,
            lambda: StreamProjector(CellState(), CellRecord, CellSnapshot),
            self._clock,
        )
        await asyncio.wait_for(
            reader.bootstrap(), READ_BACK_TIMEOUT_MS / MS_PER_SECOND
        )
        return reader.projector.projection


def _new_job_spec(request: SubmitRequest, config: ConfigState) -> JobSpec:
    task_class = config.cfg.template.task.get(request.class_name)
    if task_class is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"class_name {request.class_name!r} is unknown",
        )
    if request.partner not in config.cfg.parameters.partner:
        raise RequestError(ErrorKind.UNKNOWN_PARTNER, repr(request.partner))
    if not 1 <= request.count <= MAX_TASKS:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"count {request.count} is not from 1 to {MAX_TASKS}",
        )
    id_is_valid = 1 <= len(request.id) <= _ID_LENGTH and _ID_CHARS.issuperset(
        request.id
    )
    if not id_is_valid:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"id {request.id!r} is not 1 to {_ID_LENGTH} characters of"
            " a-z 0-9 - _ .",
        )
    return JobSpec(
        request.id,
        request.partner,
        request.class_name,
        request.count,
        ResourceVector(
            task_class.cores, task_class.memory_mb, task_class.accelerators
        ),
        task_class.run_ms,
        task_class.latency_critical,
        task_class.max_attempts,
    )


def _job_view(state: CellState, job_id: str, cell: int) -> JobView:
    job = state.jobs.get(job_id)
    if job is None:
        if not state.has_job(job_id):
            raise RequestError(ErrorKind.NOT_FOUND, f"no job {job_id!r}")
        return JobView(job_id, "over", cell)
    waiting = sum(state.tasks[i].job == job_id for i in state.queued)
    job_state = "open"
    if job.cancelled:
        job_state = "cancelled"
    elif job.rejected:
        job_state = "rejected"
    return JobView(
        job_id,
        job_state,
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


def _add_usage(total: ResourceUsage, usage: ResourceUsage) -> None:
    total.core_ms += usage.core_ms
    total.memory_mb_ms += usage.memory_mb_ms
    total.accelerator_ms += usage.accelerator_ms
    total.runs += usage.runs


def _share_rows(
    totals: dict[str, ResourceUsage], config: ConfigState
) -> list[ShareRow]:
    partners = config.cfg.parameters.partner
    all_cores = sum(usage.core_ms for usage in totals.values()) or 1.0
    all_weights = sum(p.weight for p in partners.values()) or 1.0
    rows = []
    for name, usage in sorted(totals.items()):
        weight = partners[name].weight if name in partners else 0.0
        rows.append(
            ShareRow(
                name,
                weight,
                usage,
                usage.core_ms / all_cores,
                weight / all_weights,
            )
        )
    return rows
