"""Reads the settings file that the platform provides."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from limpetyard.engine import DEFAULT_PACER
from limpetyard.errors import SettingError
from limpetyard.node import DEFAULT_RESERVED_SHARE, NodeSettings
from limpetyard.platform._decode_errors import DECODE_ERRORS
from limpetyard.store import StoreLimits

# Environment variable that holds the path of the settings file.
SETTINGS_ENV = "LIMPETYARD_SETTINGS"

# Environment variable that holds the port for metrics; the settings file does
# not contain it.
METRICS_PORT_ENV = "LIMPETYARD_METRICS_PORT"

# Environment variable that holds the name of the policy that paces best-effort
# tasks.
PACER_ENV = "LIMPETYARD_PACER"

# Environment variable that holds the share of the cores that long-running tasks
# leave for tasks that end.
RESERVED_SHARE_ENV = "LIMPETYARD_RESERVED_SHARE"

# Limits of a store whose settings name none.
_STORE_LIMITS = StoreLimits()


class _ListenAddresses(msgspec.Struct, rename="camel"):
    frontend: str
    readiness: str
    # Address for calls between nodes; operators do not call it.
    control_plane: str


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    # Longest lease that a worker grants.
    max_hold_ms: int = 6000
    remote_factor: float = 1.5
    gang_timeout_ms: float = 3000.0
    grace_s: float = msgspec.field(default=6.0, name="graceS")
    harm_ms: Annotated[float, msgspec.Meta(gt=0)] = 4000.0
    status_s: float = msgspec.field(default=120.0, name="status_s")


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    min_ttl_ms: int = 1000
    max_record_bytes: int = _STORE_LIMITS.record_bytes
    max_call_bytes: int = _STORE_LIMITS.call_bytes


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    # Share of one core; 0 if unknown.
    cpu_quota: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Speed of that core, in cores of normal speed.
    cpu_cores: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _SettingsFile(msgspec.Struct, rename="camel"):
    node_name: str
    zone: str
    listen_addrs: _ListenAddresses
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    advice: str = ""


def load_settings(
    path: str, metrics_port: str = "", pacer: str = "", reserved: str = ""
) -> NodeSettings:
    """Reads and checks a settings file.

    Args:
        path: Path of the file.
        metrics_port: Port for metrics, or "" to serve none.
        pacer: Policy that paces best-effort tasks, or "" for the default.
        reserved: Share of the cores that long-running tasks leave for tasks
            that end, or "" for the default.

    Raises:
        SettingError: If the file cannot be read or a setting is not valid. The
            message names the setting, its value and the allowed values.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingError(
            SETTINGS_ENV, path, f"a readable file ({exc})"
        ) from exc
    try:
        file = msgspec.convert(tomllib.loads(text), _SettingsFile, strict=False)
    except DECODE_ERRORS as exc:
        raise SettingError(
            SETTINGS_ENV, path, f"valid settings ({exc})"
        ) from exc
    try:
        share = float(reserved) if reserved else DEFAULT_RESERVED_SHARE
    except ValueError as exc:
        raise SettingError(RESERVED_SHARE_ENV, reserved, "a number") from exc
    cfg = _to_node_settings(file, metrics_port, pacer, share)
    cfg.check()
    return cfg


def _to_node_settings(
    file: _SettingsFile, metrics_port: str, pacer: str, reserved_share: float
) -> NodeSettings:
    ip = file.listen_addrs.control_plane.rpartition(":")[0]
    return NodeSettings(
        file.node_name,
        file.zone,
        file.listen_addrs.frontend,
        file.listen_addrs.readiness,
        file.listen_addrs.control_plane,
        file.platform.address,
        file.advice,
        file.platform.min_ttl_ms,
        file.bounds.max_hold_ms,
        file.bounds.remote_factor,
        file.bounds.gang_timeout_ms,
        file.bounds.status_s * 1000,
        file.bounds.grace_s * 1000,
        f"{ip}:{metrics_port}" if metrics_port else "",
        file.bounds.harm_ms,
        reserved_share,
        pacer or DEFAULT_PACER,
        file.limits.cpu_quota * file.limits.cpu_cores,
        file.platform.max_record_bytes,
        file.platform.max_call_bytes,
    )
