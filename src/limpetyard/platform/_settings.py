"""Reads the settings file that the platform lays out."""

import tomllib
from pathlib import Path

import msgspec

from limpetyard.errors import SettingError
from limpetyard.node import NodeSettings

# Names the settings file.
SETTINGS_ENV = "LIMPETYARD_SETTINGS"

# Names the port for metrics, which the settings file does not tell.
METRICS_PORT_ENV = "LIMPETYARD_METRICS_PORT"


class _Addresses(msgspec.Struct, rename="camel"):
    frontend: str
    readiness: str
    # Spoken by nodes among themselves; operators do not call it.
    control_plane: str


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    # Longest lease that a minion grants.
    max_hold_ms: int = 6000
    remote_factor: float = 1.5
    gang_timeout_ms: float = 3000.0
    grace_s: float = msgspec.field(default=6.0, name="graceS")
    status_s: float = msgspec.field(default=120.0, name="status_s")


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    min_ttl_ms: int = 1000


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    zone: str
    listen_addrs: _Addresses
    platform: _Platform
    bounds: _Bounds = _Bounds()
    advice: str = ""


def load_settings(path: str, metrics_port: str = "") -> NodeSettings:
    """Reads and checks a settings file.

    Args:
        path: Where it is.
        metrics_port: Port for metrics, or "" for none.

    Raises:
        SettingError: Names the setting, its value and what is allowed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingError(
            SETTINGS_ENV, path, f"a readable file ({exc})"
        ) from exc
    try:
        file = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise SettingError(
            SETTINGS_ENV, path, f"valid settings ({exc})"
        ) from exc
    cfg = _settings(file, metrics_port)
    cfg.check()
    return cfg


def _settings(file: _File, metrics_port: str) -> NodeSettings:
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
    )
