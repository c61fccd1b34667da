"""Validation and formatting of network addresses.

Addresses received from other processes are accepted in numeric form only: a
host name would need a DNS lookup when it is used, which blocks.
"""

from __future__ import annotations

import ipaddress
from functools import lru_cache

from fulmarshore.core.records import Address

MAX_PORT = 65_535
_CACHED_HOSTS = 65_536


@lru_cache(maxsize=_CACHED_HOSTS)
def is_numeric(host: str) -> bool:
    """Return whether a host is a numeric IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_address(host: str, port: int) -> bool:
    """Return whether a host is numeric and a port is within 0 to ``MAX_PORT``."""
    return 0 <= port <= MAX_PORT and is_numeric(host)


def format_address(address: Address) -> str:
    """Return an address as ``host:port``, with brackets around an IPv6 host."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
