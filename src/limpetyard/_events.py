"""Structured logs: one line of key=value pairs for each event."""

import sys

from loguru import logger

_FORMAT = (
    "ts={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}{extra[pairs]}"
)


def configure(level: str, node: str) -> None:
    """Sends events of at least `level` to standard error.

    Args:
        level: Name of a loguru level.
        node: Id of this VM, part of every line.
    """
    logger.remove()
    logger.configure(extra={"node": node, "pairs": ""})
    logger.add(sys.stderr, level=level, format=_FORMAT, backtrace=False)


def event(name: str, level: str = "INFO", **fields: object) -> None:
    """Logs one event.

    Args:
        name: Name of the event in snake case.
        level: Name of a loguru level.
        **fields: Values of the event, written in the order given.
    """
    pairs = "".join(f" {key}={_quote(value)}" for key, value in fields.items())
    logger.bind(pairs=pairs).log(level, f"event={name}")


def _quote(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and not any(c in text for c in ' "=\n')
    if plain:
        return text
    escaped = text.replace('"', "'").replace("\n", " ")
    return f'"{escaped}"'
