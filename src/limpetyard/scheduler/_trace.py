"""Recording what came in to a controller, and replaying it.

A trace is a file of JSON lines. The first tells how the controller was made;
the others are what it was told, in order. A replay makes the same decisions.
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
    """How the controller was made."""

    cell: str
    owner: str
    policy: str
    terms: SchedulerParams


class RecordRead(msgspec.Struct, tag="record", frozen=True):
    """A record of the stream was folded."""

    record: Record


class ConfigSet(msgspec.Struct, tag="config", frozen=True):
    """The configuration was handed over."""

    state: msgspec.Raw
    confirmed_ms: float | None


class VmsSet(msgspec.Struct, tag="vms", frozen=True):
    """The VM list was handed over."""

    vms: list[Vm]


class SyncHeard(msgspec.Struct, tag="sync", frozen=True):
    """A worker answered a sync."""

    worker: str
    order: SyncOrder
    reply: SyncReply
    now_ms: float


class StartHeard(msgspec.Struct, tag="start", frozen=True):
    """A worker answered start orders."""

    worker: str
    orders: list[StartOrder]
    reply: StartReply


class Stepped(msgspec.Struct, tag="step", frozen=True):
    """The controller was asked what is due."""

    now_ms: float
    confirmed_ms: float | None
    claim_extra_ms: float


TraceEvent = (
    TraceHeader
    | RecordRead
    | ConfigSet
    | VmsSet
    | SyncHeard
    | StartHeard
    | Stepped
)
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(TraceEvent)


class TraceRecorder:
    """Writes down what a controller is told, and tells it.

    It has the controller's own methods, so that it can stand in its place.
    """

    __slots__ = ("_config", "_vms", "_write", "controller")

    def __init__(
        self,
        controller: CellController,
        begun: TraceHeader,
        write: Callable[[str], None],
    ):
        self.controller = controller
        self._write = write
        self._config: tuple | None = None
        self._vms: list[Vm] | None = None
        self._note(begun)

    def on_record(self, record: Record) -> None:
        """Notes a record of the stream before it is folded."""
        self._note(RecordRead(record))

    def set_config(self, cfg: ConfigState, confirmed_ms: float | None) -> None:
        """See `CellController.set_config`."""
        self._note(ConfigSet(cfg.dump(), confirmed_ms))
        self.controller.set_config(cfg, confirmed_ms)

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """See `CellController.set_vms`; an unchanged list is not noted."""
        vms = list(vms)
        if vms != self._vms:
            self._vms = vms
            self._note(VmsSet(vms))
        self.controller.set_vms(vms)

    def on_sync_reply(
        self, worker_id: str, order: SyncOrder, reply: SyncReply, now_ms: float
    ) -> None:
        """See `CellController.on_sync_reply`."""
        self._note(SyncHeard(worker_id, order, reply, now_ms))
        self.controller.on_sync_reply(worker_id, order, reply, now_ms)

    def on_start_reply(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """See `CellController.on_start_reply`."""
        self._note(StartHeard(worker_id, orders, reply))
        self.controller.on_start_reply(worker_id, orders, reply)

    def step(
        self, now_ms: float, confirmed_ms: float | None, claim_extra_ms: float
    ) -> list[Effect]:
        """See `CellController.step`."""
        self._note(Stepped(now_ms, confirmed_ms, claim_extra_ms))
        return self.controller.step(now_ms, confirmed_ms, claim_extra_ms)

    def _note(self, event: TraceEvent) -> None:
        self._write(_ENCODER.encode(event).decode())


class ReplayResult(msgspec.Struct):
    """What a controller decided in a replay, in order.

    Attributes:
        claims: Epochs that it claimed.
        placed: Placements as "task@attempt on worker".
        ended: Ended runs as "task@attempt outcome".
        rejected: Jobs that can never run.
        started: Starts that were ordered, as "task@attempt on worker".
        stopped: Stops that were ordered, likewise.
    """

    claims: list[int] = []
    placed: list[str] = []
    ended: list[str] = []
    rejected: list[str] = []
    started: list[str] = []
    stopped: list[str] = []


def replay(lines: Iterable[str]) -> ReplayResult:
    """Runs the real decisions on a trace.

    Raises:
        msgspec.MsgspecError: If a line is no event of a trace.
    """
    events = (_DECODER.decode(line) for line in lines)
    player = _Player(next(events))
    for event in events:
        player.play(event)
    return player.found


class _Player:
    def __init__(self, begun: TraceHeader):
        self.found = ReplayResult()
        self._controller = CellController(
            begun.cell, begun.owner, begun.terms, new_policy(begun.policy, 0)
        )
        self._projector = StreamProjector(CellState(), CellRecord, CellSnapshot)
        self._controller.set_state(self._projector.projection)

    def play(self, event: TraceEvent) -> None:
        self._PLAY[type(event)](self, event)

    def _play_record(self, event: RecordRead) -> None:
        if event.record.offset > self._projector.next_offset:
            self._projector.restart(event.record.offset)
        self._projector.feed(Page(0, 0, [event.record]))

    def _play_config(self, event: ConfigSet) -> None:
        cfg = ConfigState()
        cfg.load(event.state)
        self._controller.set_config(cfg, event.confirmed_ms)

    def _play_vms(self, event: VmsSet) -> None:
        self._controller.set_vms(event.vms)

    def _play_sync(self, event: SyncHeard) -> None:
        self._controller.on_sync_reply(
            event.worker, event.order, event.reply, event.now_ms
        )

    def _play_start(self, event: StartHeard) -> None:
        self._controller.on_start_reply(event.worker, event.orders, event.reply)

    def _play_step(self, event: Stepped) -> None:
        effects = self._controller.step(
            event.now_ms, event.confirmed_ms, event.claim_extra_ms
        )
        for effect in effects:
            self._note(effect)

    def _note(self, effect: Effect) -> None:
        found = self.found
        if isinstance(effect, StartRuns):
            found.started += _runs(effect)
        elif isinstance(effect, StopRuns):
            found.stopped += _runs(effect)
        elif isinstance(effect, Append):
            self._note_record(effect.record)

    def _note_record(self, record: object) -> None:
        if isinstance(record, Claim):
            self.found.claims.append(record.epoch)
        if not isinstance(record, Write):
            return
        for entry in record.entries:
            self._NOTE[type(entry)](self.found, entry)

    _PLAY = {
        RecordRead: _play_record,
        ConfigSet: _play_config,
        VmsSet: _play_vms,
        SyncHeard: _play_sync,
        StartHeard: _play_start,
        Stepped: _play_step,
    }
    _NOTE = {
        Placed: lambda found, e: found.placed.append(
            f"{e.task}@{e.attempt} on {e.worker}"
        ),
        Ended: lambda found, e: found.ended.append(
            f"{e.task}@{e.attempt} {e.outcome.value}"
        ),
        Rejected: lambda found, e: found.rejected.append(e.job),
    }


def _runs(effect: StartRuns | StopRuns) -> list[str]:
    return [f"{o.task}@{o.attempt} on {effect.worker}" for o in effect.orders]
