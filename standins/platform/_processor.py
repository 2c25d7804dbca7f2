"""Model of the processor of one node, in virtual time.

The callbacks of a node run one after the other, as in a process with one event
loop. Each takes the time that it charges; until then all others of the node
wait in the order in which they became ready, timers and time-outs among them.
Messages on their way and the other parties do not wait.
"""

import asyncio
import collections
import contextlib
import contextvars
import functools
from collections.abc import Callable, Coroutine, Iterator
from unittest import mock

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.engine import Engine
from limpetyard.engine._candidate import Candidate
from limpetyard.jobs import Resources

# Cost of sending one call, of handling its reply, of receiving one call and of
# replying to it.
CALL_MS = 0.5

# Cost of one evaluation of a candidate, and of one planned effect.
EVALUATION_MS = 0.01
EFFECT_MS = 0.1

# Shortest time for which the processor counts as busy.
RESOLUTION_MS = 0.01

# Methods whose calls count as one evaluation each.
EVALUATIONS = (
    (Resources, "fits"),
    (Candidate, "__init__"),
    (Candidate, "allows"),
    (Candidate, "headroom_with"),
    (Candidate, "reserve"),
)

_CURRENT: contextvars.ContextVar["Processor | None"] = contextvars.ContextVar(
    "processor", default=None
)


class Processor:
    """The processor of one node.

    Attributes:
        call_ms: Cost of sending or of receiving one message.
        slowdown: Factor on all costs.
        used_ms: Sum of all costs so far.
    """

    def __init__(self, clock: Clock, call_ms: float = CALL_MS):
        self.call_ms = call_ms
        self.slowdown = 1.0
        self.used_ms = 0.0
        self._clock = clock
        self._free_ms = 0.0
        self._waiting: collections.deque[_Callback] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._context = contextvars.copy_context()
        self._context.run(_CURRENT.set, self)

    def charge(self, cost_ms: float) -> None:
        """Adds to the time that the current callback takes."""
        cost_ms *= self.slowdown
        self.used_ms += cost_ms
        self._free_ms = max(self._clock.now_ms(), self._free_ms) + cost_ms

    async def run(self, work: Coroutine) -> object:
        """Runs a coroutine, and all tasks that it starts, on this processor."""
        loop = asyncio.get_running_loop()
        context = self._context.copy()
        return await loop.create_task(work, context=context)

    async def serve(self, work: Coroutine) -> object:
        """Serves a call: receives it, does the work and sends the reply."""

        async def receive_and_reply() -> object:
            self.charge(self.call_ms)
            try:
                return await work
            finally:
                self.charge(self.call_ms)

        try:
            reply = await self.run(receive_and_reply())
        finally:
            work.close()
        await self._until_free()
        return reply

    async def call(self, exchange: Coroutine) -> object:
        """Sends a call, which leaves after its cost, and handles the reply."""
        self.charge(self.call_ms)

        async def send() -> object:
            await self._until_free()
            return await exchange

        context = contextvars.copy_context()
        context.run(_CURRENT.set, None)
        loop = asyncio.get_running_loop()
        sent = loop.create_task(send(), context=context)
        try:
            return await sent
        finally:
            exchange.close()
            self.charge(self.call_ms)

    def reset(self) -> None:
        """Drops the costs that are not worked off, as the node is killed."""
        self._free_ms = 0.0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._set_timer()

    async def _until_free(self) -> None:
        left_ms = self._free_ms - self._clock.now_ms()
        if left_ms > 0:
            await asyncio.sleep(left_ms / MS_PER_SECOND)

    def _is_busy(self) -> bool:
        return self._clock.now_ms() < self._free_ms - RESOLUTION_MS

    def take_turn(self, callback: "_Callback") -> None:
        """Runs a callback now, or in its turn if the processor is busy."""
        if self._waiting or self._is_busy():
            self._waiting.append(callback)
            self._set_timer()
        else:
            callback.run()

    def _set_timer(self) -> None:
        if self._timer is None:
            left_ms = max(0.0, self._free_ms - self._clock.now_ms())
            self._timer = asyncio.get_running_loop().call_later(
                left_ms / MS_PER_SECOND,
                self._on_timer,
                context=contextvars.Context(),
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._work_off()

    def _work_off(self) -> None:
        while self._waiting and not self._is_busy():
            self._waiting.popleft().run_in_context()
        if self._waiting:
            self._set_timer()


class _Callback:
    """A callback of a node that is ready to run."""

    __slots__ = ("_args", "_callback", "_context", "handle")

    def __init__(self, callback: Callable, args: tuple, context):
        self._callback = callback
        self._args = args
        self._context = context
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Runs the callback in the current context, unless cancelled."""
        if not self.handle.cancelled():
            self._callback(*self._args)

    def run_in_context(self) -> None:
        """Runs the callback in its own context, unless cancelled."""
        self._context.run(self.run)


def schedule(
    call: Callable, callback: Callable, args: tuple, context
) -> asyncio.Handle:
    """Schedules a callback, which takes turns if a node's processor runs it.

    Args:
        call: Schedules a callback, as `call_soon` does.
        callback: The callback.
        args: Its arguments.
        context: Its context, or None for the current one.
    """
    if context is None:
        context = contextvars.copy_context()
    processor = context.get(_CURRENT)
    if processor is None:
        return call(callback, *args, context=context)
    entry = _Callback(callback, args, context)
    entry.handle = call(processor.take_turn, entry, context=context)
    return entry.handle


@contextlib.contextmanager
def planning_charged() -> Iterator[None]:
    """Charges each `Engine.plan` to the processor of its node.

    The cost is `EVALUATION_MS` for each call of a method in `EVALUATIONS`
    during the round, plus `EFFECT_MS` for each effect. `Resources.fits` is
    called for each worker and step that are compared, however the planner
    enumerates them; a planner that compares fewer is charged less.
    """
    evaluations = 0

    def counted(method: Callable) -> Callable:
        @functools.wraps(method)
        def count_and_call(*args, **kwargs):
            nonlocal evaluations
            evaluations += 1
            return method(*args, **kwargs)

        return count_and_call

    plan = Engine.plan

    @functools.wraps(plan)
    def charged_plan(*args, **kwargs):
        nonlocal evaluations
        evaluations = 0
        effects = plan(*args, **kwargs)
        processor = _CURRENT.get()
        if processor is not None:
            processor.charge(
                evaluations * EVALUATION_MS + len(effects) * EFFECT_MS
            )
        return effects

    with contextlib.ExitStack() as stack:
        for owner, name in EVALUATIONS:
            method = counted(getattr(owner, name))
            stack.enter_context(mock.patch.object(owner, name, method))
        stack.enter_context(mock.patch.object(Engine, "plan", charged_plan))
        yield
