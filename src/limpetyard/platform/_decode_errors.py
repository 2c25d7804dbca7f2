"""Error handling for data that cannot be decoded."""

import functools
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")

# Exceptions raised by decoding data of an unexpected form. Deep nesting raises
# `RecursionError`, and numbers too large for a float or a socket
# `OverflowError`.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    struct.error,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


def translate_decode_errors(
    error: type[Exception],
) -> Callable[[Callable[..., Awaitable[T]]], Callable[..., Awaitable[T]]]:
    """Returns a decorator that raises `error` if a reply cannot be decoded.

    Args:
        error: Exception that means that the outcome of the call is unknown.
    """

    def decorate(
        call: Callable[..., Awaitable[T]],
    ) -> Callable[..., Awaitable[T]]:
        @functools.wraps(call)
        async def wrapper(*args, **kwargs) -> T:
            try:
                return await call(*args, **kwargs)
            except DECODE_ERRORS as exc:
                raise error(f"undecodable reply: {exc!r}") from exc

        return wrapper

    return decorate
