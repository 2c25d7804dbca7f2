"""What is done with answers that cannot be read."""

import functools
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")

# What decoding an answer of another form raises.
UNREADABLE = (
    msgspec.MsgspecError,
    struct.error,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


def unreadable_is(
    error: type[Exception],
) -> Callable[[Callable[..., Awaitable[T]]], Callable[..., Awaitable[T]]]:
    """Has a call raise `error` for an answer that cannot be read.

    Args:
        error: Says that the outcome is not known.
    """

    def wrap(call: Callable[..., Awaitable[T]]) -> Callable[..., Awaitable[T]]:
        @functools.wraps(call)
        async def guarded(*args, **kwargs) -> T:
            try:
                return await call(*args, **kwargs)
            except UNREADABLE as exc:
                raise error(f"unreadable answer: {exc!r}") from exc

        return guarded

    return wrap
