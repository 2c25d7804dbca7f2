"""Claiming, renewing and releasing the ownership of one cell by one daemon.

The order of the stream's records alone decides who owns a cell. This module
decides only when to claim and how long this daemon's lease is valid. The lease
is counted from the time just before a record was first sent, and only for
records that were read back, so that it expires before any claimant's wait ends.
"""

import dataclasses
from typing import TypeVar

from limpetyard._chart import StateChart, StateMachine
from limpetyard.cell._records import Claim, Entry, Release, Write
from limpetyard.cell._state import NO_OWNER, CellState

_CHART = StateChart.load("ownership")

_RecordT = TypeVar("_RecordT", Claim, Write, Release)


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseParams:
    """Durations that must be the same on all daemons.

    Attributes:
        lease_ms: Time without a record of the owner before others may claim.
        margin_ms: How much earlier the owner's lease expires; covers drift
            between the clocks.
        retry_ms: Time after which an unconfirmed append is sent again.
    """

    lease_ms: int = 3000
    margin_ms: int = 500
    retry_ms: int = 1000

    @property
    def renew_interval_ms(self) -> int:
        """Interval at which an owner without new entries renews its lease."""
        return self.lease_ms // 3


@dataclasses.dataclass(slots=True)
class _Pending:
    record: Claim | Write | Release
    first_sent_ms: float
    sent_ms: float


class Ownership:
    """Claims, renews and releases the ownership of one cell.

    The caller appends the returned records to the cell's stream. At most one
    record is pending, i.e. sent but not read back, at any time.

    Attributes:
        owner: Owner id of this daemon, unique to this run of its process.
        state: State of the cell, as applied from its stream.
        epoch: Epoch of this daemon's newest ownership; 0 before the first.
        acquired_ms: Clock reading when this daemon's claim was read back, or
            None if it is not the owner.
    """

    __slots__ = (
        "_lease_until_ms",
        "_params",
        "_pending",
        "_seen_at_ms",
        "_seen_offset",
        "_state_machine",
        "acquired_ms",
        "epoch",
        "owner",
        "state",
    )

    def __init__(self, owner: str, state: CellState, params: LeaseParams):
        self.owner = owner
        self.state = state
        self.epoch = 0
        self.acquired_ms: float | None = None
        self._params = params
        self._state_machine = StateMachine(_CHART)
        self._pending: _Pending | None = None
        self._lease_until_ms = float("-inf")
        self._seen_offset: int | None = None
        self._seen_at_ms = 0.0

    @property
    def status(self) -> str:
        """Name of the current state in the ownership chart."""
        return self._state_machine.state

    @property
    def is_owner(self) -> bool:
        """Whether the stream, as far as read, names this daemon as owner."""
        return self.status == "owning"

    @property
    def may_append(self) -> bool:
        """Whether a new record may be appended, i.e. none is pending."""
        return self._pending is None

    @property
    def lease_until_ms(self) -> float:
        """Clock reading at which the lease expires."""
        return self._lease_until_ms

    def lease_is_valid(self, now_ms: float) -> bool:
        """Returns whether this daemon is the owner and its lease is valid."""
        return self.is_owner and now_ms < self._lease_until_ms

    def observe(self, now_ms: float) -> None:
        """Updates the ownership from the records read since the last call."""
        if self.state.owner_offset != self._seen_offset:
            self._seen_offset = self.state.owner_offset
            self._seen_at_ms = now_ms
        self._OBSERVE[self.status](self, now_ms)

    def may_claim(self, confirmed_ms: float | None, extra_ms: float) -> bool:
        """Returns whether this daemon may claim the cell now.

        It may if the stream held no newer record of an owner for the lease
        duration plus `extra_ms`. A cell without an owner can be claimed after
        `extra_ms` alone.

        Args:
            confirmed_ms: Clock reading before the newest read that reached
                the end of the stream, or None without such a read.
            extra_ms: Additional wait, for a daemon that is not the preferred
                owner.
        """
        if self.status != "following" or confirmed_ms is None:
            return False
        if self._seen_offset is None:
            return False
        waited_ms = confirmed_ms - self._seen_at_ms
        unowned = self.state.owner == NO_OWNER
        needed_ms = extra_ms if unowned else self._params.lease_ms + extra_ms
        return waited_ms >= needed_ms

    def claim(self, now_ms: float) -> Claim:
        """Starts a claim and returns the record to append."""
        self._state_machine.fire("claim")
        record = Claim(self.owner, self.state.epoch + 1, self._seen_offset)
        return self._set_pending(record, now_ms)

    def write(self, now_ms: float, entries: list[Entry]) -> Write:
        """Returns the record to append now; no record may be pending."""
        record = Write(self.owner, self.epoch, self.state.last_seq + 1, entries)
        return self._set_pending(record, now_ms)

    def release(self, now_ms: float) -> Release:
        """Ends the lease and returns the record that releases the cell.

        No record may be pending.
        """
        self._state_machine.fire("release")
        self._lease_until_ms = float("-inf")
        return self._set_pending(Release(self.owner, self.epoch), now_ms)

    def renewal_due(self, now_ms: float) -> bool:
        """Returns whether to renew the lease even without new entries."""
        validity_ms = self._params.lease_ms - self._params.margin_ms
        renewed_ms = self._lease_until_ms - validity_ms
        return now_ms - renewed_ms >= self._params.renew_interval_ms

    def resend(self, now_ms: float) -> Claim | Write | Release | None:
        """Returns the pending record if it is time to send it again.

        The record is unchanged, so that duplicates in the stream have no
        further effect.
        """
        pending = self._pending
        if pending is None or now_ms - pending.sent_ms < self._params.retry_ms:
            return None
        pending.sent_ms = now_ms
        return pending.record

    def _set_pending(self, record: _RecordT, now_ms: float) -> _RecordT:
        self._pending = _Pending(record, now_ms, now_ms)
        return record

    def _renew(self) -> None:
        """Extends the lease after the pending record was read back.

        The lease counts from the time just before the record was first sent.
        """
        validity_ms = self._params.lease_ms - self._params.margin_ms
        self._lease_until_ms = self._pending.first_sent_ms + validity_ms
        self._pending = None

    def _lose_ownership(self) -> None:
        self._state_machine.fire("lost")
        self._pending = None
        self._lease_until_ms = float("-inf")
        self.acquired_ms = None

    def _observe_following(self, now_ms: float) -> None:
        del now_ms

    def _observe_claiming(self, now_ms: float) -> None:
        """Ends the claim once a newer record of an owner was read."""
        claim = self._pending.record
        if self.state.owner_offset <= claim.seen:
            return
        won = self.state.owner == self.owner and self.state.epoch == claim.epoch
        if not won:
            self._lose_ownership()
            return
        self._state_machine.fire("won")
        self.epoch = claim.epoch
        self.acquired_ms = now_ms
        self._renew()

    def _observe_owning(self, now_ms: float) -> None:
        del now_ms
        if self.state.owner != self.owner or self.state.epoch != self.epoch:
            self._lose_ownership()
            return
        pending = self._pending
        if pending and self.state.last_seq >= pending.record.seq:
            self._renew()

    def _observe_releasing(self, now_ms: float) -> None:
        del now_ms
        if self.state.owner != self.owner or self.state.epoch != self.epoch:
            self._lose_ownership()

    _OBSERVE = {
        "following": _observe_following,
        "claiming": _observe_claiming,
        "owning": _observe_owning,
        "releasing": _observe_releasing,
    }
