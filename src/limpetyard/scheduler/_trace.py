"""Recording and replay of a controller's inputs.

A trace is a file of JSON lines. The first line holds the controller's
construction parameters, the others the records of the stream and the calls of
`set_config`, `set_vms`, `on_sync_reply`, `on_start_reply` and `step`, in the
order in which they took place. A replay projects the records itself and makes
the calls on a new controller, whose policy has seed 0 as in the daemon.

`release` and `claims_enabled` are not recorded, so a replay can differ from the
recorded decisions once the daemon drains.
"""

from collections.abc import Callable, Iterable

import msgspec

from limpetyard.cell import (
    CellRecord,
    CellSnapshot,
    CellState,
    Claim,
    Ended,
    Placed,
    Rejected,
    Write,
)
from limpetyard.config import ConfigState
from limpetyard.fleet import StartOrder, StartReply, SyncOrder, SyncReply, Vm
from limpetyard.log import Page, Record, StreamProjector
from limpetyard.placement import new_policy
from limpetyard.scheduler._controller import CellController
from limpetyard.scheduler._effects import (
    Append,
    Effect,
    StartRuns,
    StopRuns,
)
from limpetyard.scheduler._params import SchedulerParams


class TraceHeader(msgspec.Struct, tag="begun", frozen=True):
    """Construction parameters of the controller; the first line of a trace."""

    cell: str
    owner: str
    policy: str
    terms: SchedulerParams


class RecordRead(msgspec.Struct, tag="record", frozen=True):
    """A record of the stream, written before it is projected."""

    record: Record


class ConfigSet(msgspec.Struct, tag="config", frozen=True):
    """A call of `CellController.set_config`."""

    state: msgspec.Raw
    confirmed_ms: float | None


class VmsSet(msgspec.Struct, tag="vms", frozen=True):
    """A call of `CellController.set_vms`."""

    vms: list[Vm]


class SyncReplyReceived(msgspec.Struct, tag="sync", frozen=True):
    """A worker's reply to a sync."""

    worker: str
    order: SyncOrder
    reply: SyncReply
    now_ms: float


class StartReplyReceived(msgspec.Struct, tag="start", frozen=True):
    """A worker's reply to start orders."""

    worker: str
    orders: list[StartOrder]
    reply: StartReply


class StepCalled(msgspec.Struct, tag="step", frozen=True):
    """A call of `CellController.step`."""

    now_ms: float
    confirmed_ms: float | None
    claim_extra_ms: float


TraceEvent = (
    TraceHeader
    | RecordRead
    | ConfigSet
    | VmsSet
    | SyncReplyReceived
    | StartReplyReceived
    | StepCalled
)
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(TraceEvent)


class TraceRecorder:
    """Writes calls of a controller to a trace and passes them on.

    It has only the methods of the controller that are recorded. The others,
    such as `set_state` and `release`, are called on the controller itself.

    Attributes:
        controller: The controller that receives the calls.
    """

    __slots__ = ("_config", "_vms", "_write", "controller")

    def __init__(
        self,
        controller: CellController,
        header: TraceHeader,
        write: Callable[[str], None],
    ):
        self.controller = controller
        self._write = write
        self._config: tuple | None = None
        self._vms: list[Vm] | None = None
        self._write_event(header)

    def on_record(self, record: Record) -> None:
        """Writes a record of the stream to the trace before it is projected."""
        self._write_event(RecordRead(record))

    def set_config(self, cfg: ConfigState, confirmed_ms: float | None) -> None:
        """See `CellController.set_config`."""
        self._write_event(ConfigSet(cfg.dump(), confirmed_ms))
        self.controller.set_config(cfg, confirmed_ms)

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """See `CellController.set_vms`; an unchanged list is not written."""
        vms = list(vms)
        if vms != self._vms:
            self._vms = vms
            self._write_event(VmsSet(vms))
        self.controller.set_vms(vms)

    def on_sync_reply(
        self, worker_id: str, order: SyncOrder, reply: SyncReply, now_ms: float
    ) -> None:
        """See `CellController.on_sync_reply`."""
        self._write_event(SyncReplyReceived(worker_id, order, reply, now_ms))
        self.controller.on_sync_reply(worker_id, order, reply, now_ms)

    def on_start_reply(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """See `CellController.on_start_reply`."""
        self._write_event(StartReplyReceived(worker_id, orders, reply))
        self.controller.on_start_reply(worker_id, orders, reply)

    def step(
        self, now_ms: float, confirmed_ms: float | None, claim_extra_ms: float
    ) -> list[Effect]:
        """See `CellController.step`."""
        self._write_event(StepCalled(now_ms, confirmed_ms, claim_extra_ms))
        return self.controller.step(now_ms, confirmed_ms, claim_extra_ms)

    def _write_event(self, event: TraceEvent) -> None:
        self._write(_ENCODER.encode(event).decode())


class ReplayResult(msgspec.Struct):
    """Decisions of a controller in a replay.

    Each list is in order; the order across lists is not kept. Syncs, throttles
    and releases are not included.

    Attributes:
        claims: Epochs of its claims.
        placed: Placements as "task@attempt on worker".
        ended: Ended runs as "task@attempt outcome".
        rejected: Jobs that fit on no worker.
        started: Start orders as "task@attempt on worker".
        stopped: Stop orders as "task@attempt on worker".
    """

    claims: list[int] = []
    placed: list[str] = []
    ended: list[str] = []
    rejected: list[str] = []
    started: list[str] = []
    stopped: list[str] = []


def replay(lines: Iterable[str]) -> ReplayResult:
    """Replays a trace with a new controller and returns its decisions.

    Raises:
        msgspec.MsgspecError: If a line is not a valid trace event.
    """
    events = (_DECODER.decode(line) for line in lines)
    replayer = _Replayer(next(events))
    for event in events:
        replayer.apply(event)
    return replayer.result


class _Replayer:
    def __init__(self, header: TraceHeader):
        self.result = ReplayResult()
        self._controller = CellController(
            header.cell,
            header.owner,
            header.terms,
            new_policy(header.policy, 0),
        )
        self._projector = StreamProjector(CellState(), CellRecord, CellSnapshot)
        self._controller.set_state(self._projector.projection)

    def apply(self, event: TraceEvent) -> None:
        self._APPLY[type(event)](self, event)

    def _apply_record(self, event: RecordRead) -> None:
        # A gap means that the recorded reader started at a later offset.
        if event.record.offset > self._projector.next_offset:
            self._projector.restart(event.record.offset)
        self._projector.apply_page(Page(0, 0, [event.record]))

    def _apply_config(self, event: ConfigSet) -> None:
        cfg = ConfigState()
        cfg.load(event.state)
        self._controller.set_config(cfg, event.confirmed_ms)

    def _apply_vms(self, event: VmsSet) -> None:
        self._controller.set_vms(event.vms)

    def _apply_sync_reply(self, event: SyncReplyReceived) -> None:
        self._controller.on_sync_reply(
            event.worker, event.order, event.reply, event.now_ms
        )

    def _apply_start_reply(self, event: StartReplyReceived) -> None:
        self._controller.on_start_reply(event.worker, event.orders, event.reply)

    def _apply_step(self, event: StepCalled) -> None:
        effects = self._controller.step(
            event.now_ms, event.confirmed_ms, event.claim_extra_ms
        )
        for effect in effects:
            self._record_effect(effect)

    def _record_effect(self, effect: Effect) -> None:
        """Adds an effect to the result; syncs and throttles are left out."""
        result = self.result
        if isinstance(effect, StartRuns):
            result.started += _format_runs(effect)
        elif isinstance(effect, StopRuns):
            result.stopped += _format_runs(effect)
        elif isinstance(effect, Append):
            self._record_append(effect.record)

    def _record_append(self, record: object) -> None:
        if isinstance(record, Claim):
            self.result.claims.append(record.epoch)
        if not isinstance(record, Write):
            return
        for entry in record.entries:
            self._RECORD_ENTRY[type(entry)](self.result, entry)

    _APPLY = {
        RecordRead: _apply_record,
        ConfigSet: _apply_config,
        VmsSet: _apply_vms,
        SyncReplyReceived: _apply_sync_reply,
        StartReplyReceived: _apply_start_reply,
        StepCalled: _apply_step,
    }
    _RECORD_ENTRY = {
        Placed: lambda result, e: result.placed.append(
            f"{e.task}@{e.attempt} on {e.worker}"
        ),
        Ended: lambda result, e: result.ended.append(
            f"{e.task}@{e.attempt} {e.outcome.value}"
        ),
        Rejected: lambda result, e: result.rejected.append(e.job),
    }


def _format_runs(effect: StartRuns | StopRuns) -> list[str]:
    return [f"{o.task}@{o.attempt} on {effect.worker}" for o in effect.orders]
