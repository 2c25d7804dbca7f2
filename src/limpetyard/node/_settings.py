"""Settings of a node, whatever form they were given in."""

import msgspec

from limpetyard._addresses import parse_host_port
from limpetyard.errors import SettingError


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of a node.

    Attributes:
        node: Name of this VM.
        availability_zone: Where it stands.
        callers: IP:port for callers.
        readiness: IP:port for the balancer's checks.
        peers: IP:port for other nodes.
        store: IP:port of the store.
        advice: IP:port of the advice service, or "".
        group_ttl_ms: How long a member of a group may be silent.
        longest_lease_ms: Longest lease that workers grant.
        remote_factor: How many times as long a task takes off its data's rack.
        gang_timeout_ms: How long a member of a gang waits for the others.
        state_kept_ms: How long the state of an ended job is told.
        leave_ms: Time between the order to leave and the kill.
        metrics: IP:port for metrics, or "".
    """

    node: str
    availability_zone: str
    callers: str
    readiness: str
    peers: str
    store: str
    advice: str = ""
    group_ttl_ms: int = 1000
    longest_lease_ms: int = 6000
    remote_factor: float = 1.5
    gang_timeout_ms: float = 3000.0
    state_kept_ms: float = 120_000.0
    leave_ms: float = 6000.0
    metrics: str = ""

    def check(self) -> None:
        """Checks every setting.

        Raises:
            SettingError: Names the first one that is not allowed.
        """
        for name in ("callers", "readiness", "peers", "store"):
            parse_host_port(name, getattr(self, name))
        for name in ("advice", "metrics"):
            if getattr(self, name):
                parse_host_port(name, getattr(self, name))
        if not self.node:
            raise SettingError("node", self.node, "a name")
        positive = (
            "group_ttl_ms",
            "longest_lease_ms",
            "state_kept_ms",
            "leave_ms",
        )
        for name in positive:
            if getattr(self, name) <= 0:
                raise SettingError(name, getattr(self, name), "more than 0")
