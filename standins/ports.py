"""Loopback ports of test processes, and who listens on them."""

import itertools
import os
import socket
from collections.abc import Iterator
from pathlib import Path

# Ranges below the ephemeral ports.
FIRST_PORT = 20_000
PORTS_PER_RANGE = 200
RANGE_COUNT = 60

# State of a socket that others can reach, by the table in /proc/net.
_BOUND = {"tcp": "0A", "tcp6": "0A", "udp": "07", "udp6": "07"}


class PortRange:
    """Range of ports that no other process on this machine takes ports from.

    The first port stays bound as long as the object exists, and reserves the
    others.
    """

    def __init__(self):
        """Reserves a range.

        Raises:
            RuntimeError: If all are reserved.
        """
        self._reservation, first = _reserve()
        self._ports = itertools.cycle(range(first + 1, first + PORTS_PER_RANGE))

    def close(self) -> None:
        """Gives the range back."""
        self._reservation.close()

    def free_port(self) -> int:
        """Returns a port that is free for TCP and UDP now.

        Raises:
            RuntimeError: If there is none.
        """
        for port in itertools.islice(self._ports, PORTS_PER_RANGE):
            if _is_free(port, socket.SOCK_STREAM) and _is_free(
                port, socket.SOCK_DGRAM
            ):
                return port
        raise RuntimeError("no port in this process's range is free")


def _reserve() -> tuple[socket.socket, int]:
    for number in range(RANGE_COUNT):
        first = FIRST_PORT + number * PORTS_PER_RANGE
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind(("127.0.0.1", first))
        except OSError:
            sock.close()
            continue
        return sock, first
    raise RuntimeError("all ranges of ports are reserved")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def describe_listener(port: int, pid: int) -> str:
    """Describes who listens on a port, for TCP or UDP.

    Args:
        port: The port.
        pid: Id of the process that the port was given to.
    """
    bound = set(_bound_sockets(port))
    if not bound:
        return "nobody listens"
    if bound <= set(_sockets(pid)):
        return "listens"
    return "taken by another process"


def _bound_sockets(port: int) -> Iterator[str]:
    """Yields the inodes of the sockets that are bound to a port."""
    for table, state in _BOUND.items():
        path = Path("/proc/net", table)
        for line in path.read_text().splitlines()[1:] if path.exists() else ():
            fields = line.split()
            local = int(fields[1].rpartition(":")[2], 16)
            if local == port and fields[3] == state:
                yield fields[9]


def _sockets(pid: int) -> Iterator[str]:
    """Yields the inodes of the sockets of a process, none once it has ended."""
    try:
        paths = list(Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return
    for path in paths:
        try:
            target = os.readlink(path)
        except OSError:
            continue
        if target.startswith("socket:["):
            yield target[len("socket:[") : -1]
