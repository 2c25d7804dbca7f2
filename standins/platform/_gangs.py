"""Gangs: runs on several workers that work only together."""

import asyncio
from typing import Protocol

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import RunEndKind
from limpetyard.jobs import StepSpec, TaskKey

# A member waits this long for the others.
GANG_TIMEOUT_MS = 3000

# The end of one member reaches the others after this.
BROKEN_MS = 20


class Member(Protocol):
    """One run of a gang at a worker."""

    task: TaskKey
    run: int
    step: StepSpec

    def end(self, how: str) -> None:
        """Ends the run at its worker."""


class Gangs:
    """All gangs of a site, whichever workers their members run on."""

    def __init__(self):
        self._members: dict[tuple, dict[int, Member]] = {}

    def join(self, member: Member, how: str) -> None:
        """Takes a member in; the last one sets all to work.

        Args:
            member: Its run.
            how: How the gang is to end once it is whole.
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
                how,
            )
        else:
            loop.call_later(
                GANG_TIMEOUT_MS / MS_PER_SECOND, self._give_up, key, member
            )

    def leave(self, member: Member, how: str) -> None:
        """Takes in that a member's run has ended."""
        members = self._members.get(_key(member), {})
        if members.get(member.task.index) is not member:
            return
        del members[member.task.index]
        if how != RunEndKind.DONE.value:
            for other in members.values():
                asyncio.get_running_loop().call_later(
                    BROKEN_MS / MS_PER_SECOND,
                    other.end,
                    RunEndKind.BROKEN.value,
                )

    def _finish(self, whole: dict[int, Member], key: tuple, how: str) -> None:
        if self._members.get(key) == whole:
            for member in whole.values():
                member.end(how)

    def _give_up(self, key: tuple, member: Member) -> None:
        members = self._members.get(key, {})
        waits = members.get(member.task.index) is member
        if waits and len(members) < member.step.count:
            member.end(RunEndKind.ALONE.value)


def _key(member: Member) -> tuple:
    return (*member.task[:3], member.run)
