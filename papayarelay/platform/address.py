"""Parsing of addresses in store rows, which are untrusted input."""

from __future__ import annotations

import ipaddress
import re

PORT_PATTERN = re.compile("[0-9]{1,5}")
MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of ``host:port``.

    Raises ``ValueError`` for anything else.
    """
    host, _, port = text.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"invalid port: {port}")
    return str(ipaddress.IPv4Address(host)), int(port)
