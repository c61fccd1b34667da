"""Checks of addresses that come from other processes.

An address is used only in numeric form: a name would make the sender look it
up, which blocks.
"""

from __future__ import annotations

import ipaddress
from functools import lru_cache

from fulmarshore.core.records import Address

MAX_PORT = 65_535
_CACHED_HOSTS = 65_536


@lru_cache(maxsize=_CACHED_HOSTS)
def is_numeric(host: str) -> bool:
    """Return whether a host is an IP address in numeric form."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_address(host: str, port: int) -> bool:
    """Return whether a host and a port are an address as sockets take it."""
    return 0 <= port <= MAX_PORT and is_numeric(host)


def format_address(address: Address) -> str:
    """Return an address as flags take it."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
