"""Settings of a node, independent of their source."""

import math

import msgspec

from limpetyard._addresses import parse_host_port
from limpetyard.engine import DEFAULT_PACER, PACERS
from limpetyard.errors import SettingError

# Enough for a wide task on every few workers.
DEFAULT_RESERVED_SHARE = 0.05
MAX_RESERVED_SHARE = 0.5

# Largest number of any setting. Calls to the store have numbers of 64 bits, and
# no time can be NaN or infinite.
MAX_SETTING = 1 << 53


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of a node.

    Attributes:
        node: Name of this VM.
        availability_zone: Availability zone of this VM.
        callers: IP:port on which callers are served.
        readiness: IP:port on which the load balancer's checks are served.
        peers: IP:port on which other nodes are served.
        store: IP:port of the store.
        advice: IP:port of the advice service, or "" for none.
        group_ttl_ms: Time after which the group removes a member that has not
            joined again.
        longest_lease_ms: Maximum lease that workers accept.
        remote_factor: Factor by which a task takes longer outside the rack of
            its data.
        gang_timeout_ms: Maximum time that a task of a gang waits for the
            others.
        state_kept_ms: Time for which the state of an ended job is retained.
        leave_ms: Time between the signal to leave and the kill.
        metrics: IP:port on which metrics are served, or "" for none.
        strain_limit_ms: Longest time for which best-effort tasks may keep a
            serving task over its latency target.
        reserved_share: Share of the cores of a service that new long-running
            tasks leave for tasks that end, also if none has arrived yet.
        pacer: Name of the policy that paces best-effort tasks.
        processor_cores: Processor capacity of this VM in cores of normal speed,
            0 if unknown.
        max_record_bytes: Largest record that the store accepts.
        max_append_bytes: Largest append that the store accepts.
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
    strain_limit_ms: float = 4000.0
    reserved_share: float = DEFAULT_RESERVED_SHARE
    pacer: str = DEFAULT_PACER
    processor_cores: float = 0.0
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152

    def check(self) -> None:
        """Checks every setting.

        Raises:
            SettingError: If a setting is invalid; names the first one.
        """
        for name in ("callers", "readiness", "peers", "store"):
            parse_host_port(name, getattr(self, name))
        for name in ("advice", "metrics"):
            if getattr(self, name):
                parse_host_port(name, getattr(self, name))
        if not self.node or not self.node.isprintable():
            raise SettingError("node", self.node, "a printable name")
        positive = (
            "group_ttl_ms",
            "longest_lease_ms",
            "state_kept_ms",
            "leave_ms",
            "strain_limit_ms",
            "max_record_bytes",
            "max_append_bytes",
        )
        for name in positive:
            if getattr(self, name) <= 0:
                raise SettingError(name, getattr(self, name), "more than 0")
        if not 0 <= self.reserved_share <= MAX_RESERVED_SHARE:
            raise SettingError(
                "reserved_share",
                self.reserved_share,
                f"0 to {MAX_RESERVED_SHARE}",
            )
        if self.pacer not in set(PACERS):
            known = "one of " + ", ".join(PACERS)
            raise SettingError("pacer", self.pacer, known)
        cores = self.processor_cores
        if not (math.isfinite(cores) and cores >= 0):
            raise SettingError("processor_cores", cores, "0 or more, finite")
        for name, value in msgspec.structs.asdict(self).items():
            is_number = isinstance(value, int | float)
            if is_number and not abs(value) <= MAX_SETTING:
                raise SettingError(name, value, f"at most {MAX_SETTING}")
