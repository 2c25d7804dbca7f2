"""Settings of the daemon: flags and environment variables, all checked."""

import dataclasses
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

import cappa

from limpetyard._addresses import parse_host_port
from limpetyard.errors import SettingError

_PREFIX = "LIMPETYARD_"


def _setting(name: str, default: object, text: str) -> cappa.Arg:
    env = cappa.Env(_PREFIX + name.upper().replace("-", "_"), default=default)
    return cappa.Arg(long=f"--{name}", default=env, help=text)


@cappa.command(
    name="limpetyardd",
    help="The daemon that every entry VM runs.",
    description=(
        "Every flag can be set by an environment variable instead:"
        " --log-url by LIMPETYARD_LOG_URL, and so on. A flag goes first."
    ),
)
@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a daemon.

    Attributes:
        node: Id of this VM in the VM list.
        availability_zone: Where this VM stands.
        listen: Where callers connect.
        admin_listen: Where operators connect.
        peer_listen: Where other daemons' datagrams arrive.
        log_url: Base URL of the platform's log.
        vms_url: Base URL of the VM list.
        admin_token: What operators must present.
        policy: Placement policy.
        slot_policy: How targets' slots are divided between entry VMs.
        lease_ms: Length of a cell's lease; equal on all daemons.
        task_lease_ms: Length of a run's lease; equal on all daemons.
        outage_ms: How long runs are renewed while the log is down; equal on
            all daemons.
        commit_ms: Shortest time between two appends of decisions.
        sync_ms: How often a worker is asked for news.
        platform_timeout_ms: Longest wait for the log, the VM list or a worker.
        snapshot_ms: Longest time between two snapshots of a stream; less than
            half of the log's retention.
        drain_ms: How long a leaving daemon goes on accepting after it has
            told the balancer.
        record_dir: Folder for traces of what came in, or "" for none.
        log_level: Lowest level of events that are logged.
    """

    node: Annotated[str, _setting("node", "", "id of this VM")]
    availability_zone: Annotated[
        str, _setting("availability-zone", "", "where this VM stands")
    ]
    listen: Annotated[
        str, _setting("listen", "127.0.0.1:8080", "IP:port for callers")
    ]
    admin_listen: Annotated[
        str, _setting("admin-listen", "127.0.0.1:8081", "IP:port for operators")
    ]
    peer_listen: Annotated[
        str, _setting("peer-listen", "127.0.0.1:8082", "IP:port for daemons")
    ]
    log_url: Annotated[str, _setting("log-url", "", "URL of the log")]
    vms_url: Annotated[str, _setting("vms-url", "", "URL of the VM list")]
    admin_token: Annotated[
        str, _setting("admin-token", "", "token of the operators")
    ]
    policy: Annotated[str, _setting("policy", "learned", "placement policy")]
    slot_policy: Annotated[
        str, _setting("slot-policy", "dealt", "division of targets' slots")
    ]
    lease_ms: Annotated[int, _setting("lease-ms", 3000, "cell lease, ms")]
    task_lease_ms: Annotated[
        int, _setting("task-lease-ms", 10_000, "run lease, ms")
    ]
    outage_ms: Annotated[
        int, _setting("outage-ms", 45_000, "renewals in a log outage, ms")
    ]
    commit_ms: Annotated[
        int, _setting("commit-ms", 100, "pause between appends, ms")
    ]
    sync_ms: Annotated[
        int, _setting("sync-ms", 500, "pause between a worker's syncs, ms")
    ]
    platform_timeout_ms: Annotated[
        int, _setting("platform-timeout-ms", 1000, "wait for the platform, ms")
    ]
    snapshot_ms: Annotated[
        int, _setting("snapshot-ms", 600_000, "pause between snapshots, ms")
    ]
    drain_ms: Annotated[
        int, _setting("drain-ms", 1000, "accepting while leaving, ms")
    ]
    record_dir: Annotated[
        str, _setting("record-dir", "", "folder for traces; none if empty")
    ]
    log_level: Annotated[
        str, _setting("log-level", "INFO", "DEBUG, INFO, WARNING or ERROR")
    ]

    def check(self) -> None:
        """Checks every setting.

        Raises:
            SettingError: Names the first one that is not allowed.
        """
        for name in ("node", "availability_zone", "admin_token"):
            _check_filled(name, getattr(self, name))
        for name in ("listen", "admin_listen", "peer_listen"):
            parse_host_port(name, getattr(self, name))
        for name in ("log_url", "vms_url"):
            _check_url(name, getattr(self, name))
        for name, (low, high) in _RANGES.items():
            _check_range(name, getattr(self, name), low, high)
        if self.record_dir and not Path(self.record_dir).is_dir():
            raise SettingError("record_dir", self.record_dir, "a folder")
        _check_one_of("policy", self.policy, _policies())
        _check_one_of("slot_policy", self.slot_policy, _slot_policies())
        _check_one_of("log_level", self.log_level, _LEVELS)


_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_RANGES = {
    "lease_ms": (1000, 60_000),
    "task_lease_ms": (2000, 600_000),
    "outage_ms": (0, 3_600_000),
    "commit_ms": (10, 2000),
    "sync_ms": (50, 10_000),
    "platform_timeout_ms": (50, 30_000),
    "snapshot_ms": (1000, 86_400_000),
    "drain_ms": (0, 600_000),
}


def _check_filled(name: str, value: str) -> None:
    if not value or not value.isprintable() or " " in value:
        raise SettingError(name, value, "a text without spaces")


def _check_url(name: str, value: str) -> None:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingError(name, value, "an http or https URL")


def _check_range(name: str, value: int, low: int, high: int) -> None:
    if not low <= value <= high:
        raise SettingError(name, value, f"{low} to {high}")


def _check_one_of(name: str, value: str, allowed) -> None:
    if value not in allowed:
        raise SettingError(name, value, "one of " + ", ".join(allowed))


def _policies() -> tuple[str, ...]:
    from limpetyard.placement import POLICIES

    return tuple(POLICIES)


def _slot_policies() -> tuple[str, ...]:
    from limpetyard.requests import SLOT_POLICIES

    return tuple(SLOT_POLICIES)
