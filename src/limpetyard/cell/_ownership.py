"""One daemon's part in the ownership of one cell.

The order of the stream alone decides who owns a cell. What is decided here is
only when to claim and until when the own lease may be relied on. It counts
from the moment before a record was first sent that has since been read back,
so that it ends before any claimant's wait does.
"""

import dataclasses
from typing import TypeVar

from limpetyard._chart import Chart, Machine
from limpetyard.cell._records import Claim, Entry, Release, Write
from limpetyard.cell._state import NO_OWNER, CellState

_CHART = Chart.load("ownership")

R = TypeVar("R", Claim, Write, Release)


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseParams:
    """Lengths that all daemons share.

    Attributes:
        lease_ms: How long a claimant waits for a silent owner.
        margin_ms: How much earlier the owner stops; covers clock drift.
        retry_ms: After this long an unanswered append is sent again.
    """

    lease_ms: int = 3000
    margin_ms: int = 500
    retry_ms: int = 1000

    @property
    def renew_ms(self) -> int:
        """How often an owner with nothing to say renews its lease."""
        return self.lease_ms // 3


@dataclasses.dataclass(slots=True)
class _Pending:
    record: Claim | Write | Release
    first_sent_ms: float
    sent_ms: float


class Ownership:
    """Claims, keeps and gives up one cell.

    Attributes:
        owner: Name of this run of this daemon in the cell's records.
        state: The state folded from the cell's stream.
        acquired_ms: When the present ownership was first read, or None.
    """

    __slots__ = (
        "_lease_until_ms",
        "_machine",
        "_pending",
        "_seen_offset",
        "_seen_since_ms",
        "_terms",
        "epoch",
        "owner",
        "state",
        "acquired_ms",
    )

    def __init__(self, owner: str, state: CellState, params: LeaseParams):
        self.owner = owner
        self.state = state
        self.epoch = 0
        self.acquired_ms: float | None = None
        self._terms = params
        self._machine = Machine(_CHART)
        self._pending: _Pending | None = None
        self._lease_until_ms = float("-inf")
        self._seen_offset: int | None = None
        self._seen_since_ms = 0.0

    @property
    def status(self) -> str:
        """State in the ownership chart."""
        return self._machine.state

    @property
    def is_owner(self) -> bool:
        """Whether the stream, as far as it was read, names this daemon."""
        return self.status == "owning"

    @property
    def idle(self) -> bool:
        """Whether no record is under way."""
        return self._pending is None

    @property
    def lease_until_ms(self) -> float:
        """Reading of the clock at which the lease can be relied on no more."""
        return self._lease_until_ms

    def lease_is_valid(self, now_ms: float) -> bool:
        """Returns whether decisions may take effect now."""
        return self.is_owner and now_ms < self._lease_until_ms

    def observe(self, now_ms: float) -> None:
        """Takes in what was folded since the last call."""
        if self.state.owner_offset != self._seen_offset:
            self._seen_offset = self.state.owner_offset
            self._seen_since_ms = now_ms
        self._OBSERVE[self.status](self, now_ms)

    def may_claim(self, confirmed_ms: float | None, extra_ms: float) -> bool:
        """Returns whether the present owner may be taken for gone.

        Args:
            confirmed_ms: Clock before the newest read that reached the end of
                the stream.
            extra_ms: Additional wait of a daemon that is not the first choice.
        """
        if self.status != "following" or confirmed_ms is None:
            return False
        if self._seen_offset is None:
            return False
        waited_ms = confirmed_ms - self._seen_since_ms
        free = self.state.owner == NO_OWNER
        needed_ms = extra_ms if free else self._terms.lease_ms + extra_ms
        return waited_ms >= needed_ms

    def claim(self, now_ms: float) -> Claim:
        """Returns the claim to append now."""
        self._machine.fire("claim")
        record = Claim(self.owner, self.state.epoch + 1, self._seen_offset)
        return self._send(record, now_ms)

    def write(self, now_ms: float, entries: list[Entry]) -> Write:
        """Returns the record to append now; none may be under way."""
        record = Write(self.owner, self.epoch, self.state.last_seq + 1, entries)
        return self._send(record, now_ms)

    def release(self, now_ms: float) -> Release:
        """Returns the record that gives the cell up; nothing is under way."""
        self._machine.fire("release")
        self._lease_until_ms = float("-inf")
        return self._send(Release(self.owner, self.epoch), now_ms)

    def renewal_due(self, now_ms: float) -> bool:
        """Returns whether the lease should be renewed even without entries."""
        full_ms = self._terms.lease_ms - self._terms.margin_ms
        renewed_ms = self._lease_until_ms - full_ms
        return now_ms - renewed_ms >= self._terms.renew_ms

    def resend(self, now_ms: float) -> Claim | Write | Release | None:
        """Returns the record under way if it is time to send it again.

        The same record goes out, so that the copies count once wherever they
        end up.
        """
        pending = self._pending
        if pending is None or now_ms - pending.sent_ms < self._terms.retry_ms:
            return None
        pending.sent_ms = now_ms
        return pending.record

    def _send(self, record: R, now_ms: float) -> R:
        self._pending = _Pending(record, now_ms, now_ms)
        return record

    def _renew(self) -> None:
        span_ms = self._terms.lease_ms - self._terms.margin_ms
        self._lease_until_ms = self._pending.first_sent_ms + span_ms
        self._pending = None

    def _lose(self) -> None:
        self._machine.fire("lost")
        self._pending = None
        self._lease_until_ms = float("-inf")
        self.acquired_ms = None

    def _observe_following(self, now_ms: float) -> None:
        del now_ms

    def _observe_claiming(self, now_ms: float) -> None:
        claim = self._pending.record
        if self.state.owner_offset <= claim.seen:
            return
        won = self.state.owner == self.owner and self.state.epoch == claim.epoch
        if not won:
            self._lose()
            return
        self._machine.fire("won")
        self.epoch = claim.epoch
        self.acquired_ms = now_ms
        self._renew()

    def _observe_owning(self, now_ms: float) -> None:
        del now_ms
        if self.state.owner != self.owner or self.state.epoch != self.epoch:
            self._lose()
            return
        pending = self._pending
        if pending and self.state.last_seq >= pending.record.seq:
            self._renew()

    def _observe_releasing(self, now_ms: float) -> None:
        del now_ms
        if self.state.owner != self.owner or self.state.epoch != self.epoch:
            self._lose()

    _OBSERVE = {
        "following": _observe_following,
        "claiming": _observe_claiming,
        "owning": _observe_owning,
        "releasing": _observe_releasing,
    }
