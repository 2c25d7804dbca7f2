"""Parsing of addresses in settings."""

import ipaddress

from limpetyard.errors import SettingError


def parse_host_port(name: str, value: str) -> tuple[str, int]:
    """Returns the IP address and the port of an IP:port setting.

    Brackets around an IPv6 address are removed.

    Args:
        name: Name of the setting, for the error message.
        value: Value of the setting.

    Raises:
        SettingError: If the value does not have that form.
    """
    host, _, port = value.rpartition(":")
    allowed = "an IP address, a colon and a port from 0 to 65535"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        raise SettingError(name, value, allowed) from exc
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or int(port) > 65_535:
        raise SettingError(name, value, allowed)
    return host.strip("[]"), int(port)
