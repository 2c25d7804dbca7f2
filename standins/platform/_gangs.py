"""Gangs: runs on several workers that make progress only together."""

import asyncio
from typing import Protocol

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import RunEndKind
from limpetyard.jobs import StepSpec, TaskKey

# How long a member waits for the other members to start.
GANG_TIMEOUT_MS = 3000

# Delay until the end of one member ends the others.
BREAK_DELAY_MS = 20


class Member(Protocol):
    """A run that belongs to a gang."""

    task: TaskKey
    run: int
    step: StepSpec

    def end(self, end_kind: str) -> None:
        """Ends the run on its worker."""


class Gangs:
    """All gangs of a site, across its workers."""

    def __init__(self):
        self._members: dict[tuple, dict[int, Member]] = {}

    def join(self, member: Member, end_kind: str) -> None:
        """Adds a member; the gang starts to work once it is complete.

        Args:
            member: The run that joins.
            end_kind: How the gang ends after its run time, a value of
                `RunEndKind`.
        """
        key = _key(member)
        members = self._members.setdefault(key, {})
        members[member.task.index] = member
        loop = asyncio.get_running_loop()
        if len(members) == member.step.count:
            loop.call_later(
                max(member.step.run_ms, 1) / MS_PER_SECOND,
                self._finish,
                dict(members),
                key,
                end_kind,
            )
        else:
            loop.call_later(
                GANG_TIMEOUT_MS / MS_PER_SECOND, self._expire_wait, key, member
            )

    def leave(self, member: Member, end_kind: str) -> None:
        """Removes a member whose run has ended.

        Unless it is done, the other members end as broken after
        `BREAK_DELAY_MS`.
        """
        members = self._members.get(_key(member), {})
        if members.get(member.task.index) is not member:
            return
        del members[member.task.index]
        if end_kind != RunEndKind.DONE.value:
            for other in members.values():
                asyncio.get_running_loop().call_later(
                    BREAK_DELAY_MS / MS_PER_SECOND,
                    other.end,
                    RunEndKind.BROKEN.value,
                )

    def _finish(
        self, complete: dict[int, Member], key: tuple, end_kind: str
    ) -> None:
        if self._members.get(key) == complete:
            for member in complete.values():
                member.end(end_kind)

    def _expire_wait(self, key: tuple, member: Member) -> None:
        members = self._members.get(key, {})
        waiting = members.get(member.task.index) is member
        if waiting and len(members) < member.step.count:
            member.end(RunEndKind.ALONE.value)


def _key(member: Member) -> tuple:
    return (*member.task[:3], member.run)
