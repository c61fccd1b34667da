"""The platform's settings file, translated into our own settings."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import msgspec
from msgspec import Struct, field

from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.settings import (
    INTERNAL_PORTS,
    Endpoint,
    HostSettings,
    SettingsProblem,
)

PATH_VARIABLE = "FULMARSHORE_CONFIG"
BIND_VARIABLE = "FULMARSHORE_BIND_HOST"
METRICS_VARIABLE = "FULMARSHORE_METRICS_PORT"
READY_PATH = "/v1/ready"
DEFAULT_PATH = "/etc/fulmarshore/local.json"


NO_ENVIRONMENT: Mapping[str, str] = MappingProxyType({})


class Listen(Struct, frozen=True):
    """Addresses that the process listens on."""

    packets: str = field(default="", name="udpListen")
    readiness: str = ""
    control: str = ""
    outbound: str = ""


class Tolerance(Struct, frozen=True):
    """What may be lost at once."""

    machines: int = 0


class Bounds(Struct, frozen=True):
    """Bounds of the rules that the processes keep themselves."""

    cold_overshoot: float = field(default=1.0, name="coldOvershoot")
    cold_slack: float = field(default=2.0, name="coldSlack")
    grace_s: float = field(default=6.0, name="graceS")
    reuse_s: float = field(default=2.0, name="addrReuseS")


class SettingsFile(Struct, frozen=True):
    """The fields of the settings file that are used."""

    node: str
    ip: str
    zone: str
    listen: Listen
    seeds: list[str]
    internal_ports: tuple[int, int] = field(name="internalPorts")
    zones: dict[str, str] = {}
    bootstrap: bool = False
    data_dir: str | None = field(default=None, name="dataDir")
    app: str | None = None
    service: str | None = None
    tolerance: Tolerance = field(default=Tolerance(), name="faultTolerance")
    bounds: Bounds = Bounds()
    heartbeat_ms: float = field(default=1000.0, name="heartbeatMs")


class SettingsReader:
    """Reads the settings file, and reads it again when it has changed."""

    __slots__ = ("_path", "_content")

    def __init__(self) -> None:
        self._path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
        self._content = b""

    def load(self) -> HostSettings | list[SettingsProblem] | None:
        """Return the settings, what is wrong, or None where nothing changed."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            return [SettingsProblem(str(self._path), str(error), "a readable file")]
        if content == self._content:
            return None
        self._content = content
        return parse_settings(content, os.environ)


def parse_settings(
    content: bytes, environment: Mapping[str, str] = NO_ENVIRONMENT
) -> HostSettings | list[SettingsProblem]:
    """Translate the content of a settings file, and the process's variables."""
    try:
        found = msgspec.json.decode(content, type=SettingsFile)
    except (msgspec.MsgspecError, ValueError) as error:
        return [SettingsProblem("settings", str(error), "the documented fields")]
    problems: list[SettingsProblem] = []
    packets = _parse_endpoint("listen.udpListen", found.listen.packets, problems)
    control = _parse_endpoint("listen.control", found.listen.control, problems)
    readiness = _parse_endpoint("listen.readiness", found.listen.readiness, problems)
    outbound = _parse_endpoint("listen.outbound", found.listen.outbound, problems)
    upstream = _parse_endpoint("app", found.app or "", problems)
    seeds = [_parse_endpoint("seeds", seed, problems) for seed in found.seeds]
    first, last = found.internal_ports
    if last - first + 1 < INTERNAL_PORTS:
        allowed = f"{INTERNAL_PORTS} ports or more"
        problems.append(SettingsProblem("internalPorts", f"{first} to {last}", allowed))
    if not _is_address(found.ip):
        problems.append(SettingsProblem("ip", repr(found.ip), "an IPv4 address"))
    if not found.heartbeat_ms > 0:
        value = str(found.heartbeat_ms)
        problems.append(SettingsProblem("heartbeatMs", value, "more than 0"))
    bind_host = environment.get(BIND_VARIABLE, "")
    if bind_host and not _is_address(bind_host):
        problems.append(SettingsProblem(BIND_VARIABLE, bind_host, "an IPv4 address"))
    metrics_port = environment.get(METRICS_VARIABLE) or "0"
    if not (
        metrics_port.isascii() and metrics_port.isdigit() and int(metrics_port) < 65536
    ):
        allowed = "a port, or 0 for none"
        problems.append(SettingsProblem(METRICS_VARIABLE, metrics_port, allowed))
    if problems:
        return problems
    known = [seed for seed in seeds if seed is not None]
    return HostSettings(
        name=found.node,
        host=found.ip,
        zone=found.zone,
        zones=tuple(found.zones),
        packet_port=packets.port if packets is not None else 0,
        internal_port=first,
        control_port=_find_control_port(control, known),
        seeds=tuple(seed.host for seed in known),
        readiness=readiness,
        orders=control,
        outbound=outbound,
        upstream=upstream,
        ready_path=READY_PATH,
        data_folder=found.data_dir or "",
        bootstrap=found.bootstrap,
        lost_disks=found.tolerance.machines,
        service=found.service or "",
        upstreams=UpstreamBounds(
            found.bounds.cold_overshoot,
            found.bounds.cold_slack,
            found.heartbeat_ms / 1000,
            found.bounds.reuse_s,
        ),
        grace_s=found.bounds.grace_s,
        bind_host=bind_host,
        metrics_port=int(metrics_port),
    )


def _find_control_port(control: Endpoint | None, seeds: list[Endpoint]) -> int:
    if control is not None:
        return control.port
    return seeds[0].port if seeds else 0


def _is_address(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _parse_endpoint(
    name: str, text: str, problems: list[SettingsProblem]
) -> Endpoint | None:
    """Parse ``address:port``; an empty text is no endpoint."""
    if not text:
        return None
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    if not is_port or not _is_address(host):
        problems.append(SettingsProblem(name, repr(text), "ADDRESS:PORT"))
        return None
    return Endpoint(host, int(port))
