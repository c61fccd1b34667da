"""Parameter types of the command line; their errors state the allowed values."""

from __future__ import annotations

import ipaddress
import re
from typing import NamedTuple
from urllib.parse import urlsplit

import click

from fulmarshore.core.records import Address

NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")
MAX_PORT = 65_535
ENDPOINT_PATTERN = re.compile(r"^http://[0-9a-fA-F.:\[\]]+/[!-~]*\Z")


class AddressType(click.ParamType):
    """``HOST:PORT`` with a numeric IP address."""

    name = "host:port"

    def convert(
        self,
        value: str | Address,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Return the address, or fail with the allowed form."""
        if isinstance(value, Address):
            return value
        address = parse_address(value)
        if address is None:
            self.fail(
                f"{value!r}: allowed is IP:PORT with a port of 0 to {MAX_PORT}",
                param,
                ctx,
            )
        return address


class HostType(click.ParamType):
    """An IP address in numeric form, without a port."""

    name = "ip"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Return the address in its canonical form, or fail with the allowed form."""
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            self.fail(f"{value!r}: allowed is a numeric IP address", param, ctx)


class NameType(click.ParamType):
    """A name of a host, an availability zone or a service."""

    name = "name"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Return the name, or fail with the allowed characters."""
        if not NAME_PATTERN.match(value):
            allowed = "lower-case letters, digits and '-', at most 63"
            self.fail(f"{value!r}: allowed are {allowed}", param, ctx)
        return value


class Peer(NamedTuple):
    """Another control host: its name and link address."""

    name: str
    address: Address


class PeerType(click.ParamType):
    """``NAME=HOST:PORT`` with a numeric IP address."""

    name = "name=host:port"

    def convert(
        self,
        value: str | Peer,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Peer:
        """Return the peer, or fail with the allowed form."""
        if isinstance(value, Peer):
            return value
        name, _, address = value.partition("=")
        return Peer(
            NAME.convert(name, param, ctx), ADDRESS.convert(address, param, ctx)
        )


class NamedRegion(NamedTuple):
    """A region's name and the link addresses of its control hosts."""

    name: str
    addresses: tuple[Address, ...]


class RegionType(click.ParamType):
    """``NAME=HOST:PORT,HOST:PORT`` with numeric IP addresses."""

    name = "name=host:port,..."

    def convert(
        self,
        value: str | NamedRegion,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> NamedRegion:
        """Return the region, or fail with the allowed form."""
        if isinstance(value, NamedRegion):
            return value
        name, _, listed = value.partition("=")
        addresses = []
        for address in listed.split(","):
            addresses.append(ADDRESS.convert(address, param, ctx))
        return NamedRegion(NAME.convert(name, param, ctx), tuple(addresses))


class EndpointType(click.ParamType):
    """``http://IP:PORT/path`` with a numeric IP address."""

    name = "url"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Return the URL, or fail with the allowed form."""
        if not is_endpoint(value):
            allowed = f"http://IP:PORT/path with a port of 1 to {MAX_PORT}"
            self.fail(f"{value!r}: allowed is {allowed}", param, ctx)
        return value


def is_endpoint(text: str) -> bool:
    """Return whether the whole text is the URL of an endpoint."""
    if not ENDPOINT_PATTERN.match(text):
        return False
    try:
        parts = urlsplit(text)
    except ValueError:
        return False
    address = parse_address(parts.netloc)
    return address is not None and address.port > 0


def parse_address(text: str) -> Address | None:
    """Parse ``HOST:PORT``; None unless it is a numeric IP address and a port."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return Address(host, int(port))


ADDRESS = AddressType()
HOST = HostType()
NAME = NameType()
PEER = PeerType()
REGION = RegionType()
ENDPOINT = EndpointType()
