"""Addresses of sockets, as settings and records spell them."""

from __future__ import annotations

from briarford.exceptions import SettingsError

__all__ = ["split_address"]

MAX_PORT = 65535
MAX_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` and drop the brackets of an IPv6 host.

    :raises SettingsError: if the port is out of range.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_DIGITS
    if not is_number or int(port) > MAX_PORT:
        raise SettingsError(
            f"'{address}' has no port from 0 to {MAX_PORT} at its end"
        )
    return host.strip("[]"), int(port)
