"""Description of a child process for the report of a failed test."""

from collections.abc import Iterable
from pathlib import Path

from standins.ports import describe_listener

# Number of lines of output, and the most bytes that are read for them.
TAIL_LINES = 20
TAIL_BYTES = 16_384


def describe(
    name: str,
    pid: int | None,
    status: int | None,
    ports: Iterable[int],
    output: Path,
) -> str:
    """Describes a process: its state, its ports and its last lines of output.

    Args:
        name: Name of the process.
        pid: Its id, or None if it was never started.
        status: Its exit status, or None while it runs.
        ports: Ports that it was given.
        output: File with its output.
    """
    state = "not started"
    if pid is not None:
        state = "runs" if status is None else f"ended with status {status}"
    lines = [f"{name}: {state}"]
    lines += [
        f"  port {port}: {describe_listener(port, pid or 0)}" for port in ports
    ]
    lines += [f"  | {line}" for line in _tail(output)]
    return "\n".join(lines)


def _tail(path: Path) -> list[str]:
    try:
        with path.open("rb") as file:
            file.seek(max(0, path.stat().st_size - TAIL_BYTES))
            data = file.read()
    except OSError:
        return []
    return data.decode(errors="replace").splitlines()[-TAIL_LINES:]
