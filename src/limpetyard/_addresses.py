"""Addresses in settings."""

import ipaddress

from limpetyard.errors import SettingError


def parse_host_port(name: str, value: str) -> tuple[str, int]:
    """Returns the parts of an IP:port setting.

    Raises:
        SettingError: If it is not of that form.
    """
    host, _, port = value.rpartition(":")
    allowed = "an IP number, a colon and a port from 0 to 65535"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        raise SettingError(name, value, allowed) from exc
    if not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise SettingError(name, value, allowed)
    return host.strip("[]"), int(port)
