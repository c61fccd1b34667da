"""Reads the platform's settings file and translates it into host settings."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import msgspec
from msgspec import Struct, field

from fulmarshore.core.ranges import DECODE_ERRORS, MAX_COUNT, Count, Port, parse_port
from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.settings import (
    INTERNAL_PORTS,
    PLACEMENTS,
    Endpoint,
    HostSettings,
    SettingsProblem,
)
from fulmarshore.platform.problems import describe_decode_error

SETTINGS_PATH_VARIABLE = "FULMARSHORE_CONFIG"
BIND_HOST_VARIABLE = "FULMARSHORE_BIND_HOST"
METRICS_PORT_VARIABLE = "FULMARSHORE_METRICS_PORT"
PLACEMENT_VARIABLE = "FULMARSHORE_PLACEMENT"
UPLOAD_LIMIT_VARIABLE = "FULMARSHORE_UPLOAD_LIMIT"
LOST_FLOW_NOTICE_VARIABLE = "FULMARSHORE_LOST_FLOW_NOTICE"
SWITCH_VALUES = ("on", "off")
BYTES_PER_MEGABIT = 125_000
READY_PATH = "/v1/ready"
DEFAULT_SETTINGS_PATH = "/etc/fulmarshore/local.json"


EMPTY_ENVIRONMENT: Mapping[str, str] = MappingProxyType({})


class Listen(Struct, frozen=True):
    """Endpoints that the process listens on, each as ``address:port``."""

    packets: str = field(default="", name="udpListen")
    readiness: str = ""
    # Operators' orders on a control host, heartbeats of the upstream on an agent.
    control: str = ""
    outbound: str = ""


class FaultTolerance(Struct, frozen=True):
    """Failures that must be survived at the same time."""

    # Hosts that may lose their disks.
    machines: Count = 0


class Bounds(Struct, frozen=True):
    """Limits on flows to cold upstreams, and times that the platform keeps."""

    cold_overshoot: float = field(default=1.0, name="coldOvershoot")
    cold_slack: float = field(default=2.0, name="coldSlack")
    # Time from the request to stop until the platform kills the process.
    grace_s: float = field(default=6.0, name="graceS")
    # Time after an upstream's end from which another may have its address.
    reuse_s: float = field(default=2.0, name="addrReuseS")


class Limits(Struct, frozen=True):
    """Resources of the host."""

    # Rate of the host's own link, megabits a second.
    link_mbps: float = field(default=0.0, name="linkMbps")


class SettingsFile(Struct, frozen=True):
    """The settings file; fields that are not listed here are ignored."""

    # Name of the host, for logs.
    node: str
    ip: str
    zone: str
    listen: Listen
    # Endpoints of control hosts.
    seeds: list[str]
    internal_ports: tuple[Port, Port] = field(name="internalPorts")
    # Region of each availability zone.
    zones: dict[str, str] = {}
    bootstrap: bool = False
    data_dir: str | None = field(default=None, name="dataDir")
    # Endpoint of the upstream on this host, ``address:port``.
    app: str | None = None
    service: str | None = None
    tolerance: FaultTolerance = field(default=FaultTolerance(), name="faultTolerance")
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    # Interval of the upstream's heartbeats.
    heartbeat_ms: float = field(default=1000.0, name="heartbeatMs")


class SettingsReader:
    """Reads the settings file and reports whether it has changed since."""

    __slots__ = ("_path", "_content")

    def __init__(self) -> None:
        self._path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))
        self._content = b""

    def load(self) -> HostSettings | list[SettingsProblem] | None:
        """Return the settings, their problems, or None if the file is unchanged."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            return [SettingsProblem(str(self._path), str(error), "a readable file")]
        if content == self._content:
            return None
        self._content = content
        return parse_settings(content, os.environ)


def parse_settings(
    content: bytes, environment: Mapping[str, str] = EMPTY_ENVIRONMENT
) -> HostSettings | list[SettingsProblem]:
    """Translate a settings file and the process's environment variables.

    Returns a list of all problems if any field or variable is invalid.
    """
    try:
        file = msgspec.json.decode(content, type=SettingsFile)
    except DECODE_ERRORS as error:
        problem = describe_decode_error(content, error)
        return [SettingsProblem("settings", problem, "the documented fields")]
    problems: list[SettingsProblem] = []
    packets = _parse_endpoint("listen.udpListen", file.listen.packets, problems)
    control = _parse_endpoint("listen.control", file.listen.control, problems)
    readiness = _parse_endpoint("listen.readiness", file.listen.readiness, problems)
    outbound = _parse_endpoint("listen.outbound", file.listen.outbound, problems)
    upstream = _parse_endpoint("app", file.app or "", problems)
    seeds = [_parse_endpoint("seeds", seed, problems) for seed in file.seeds]
    first, last = file.internal_ports
    if not first or last - first + 1 < INTERNAL_PORTS:
        allowed = f"{INTERNAL_PORTS} ports or more"
        problems.append(SettingsProblem("internalPorts", f"{first} to {last}", allowed))
    if not _is_ipv4_address(file.ip):
        problems.append(SettingsProblem("ip", repr(file.ip), "an IPv4 address"))
    if not 0 < file.heartbeat_ms <= MAX_COUNT:
        value = str(file.heartbeat_ms)
        allowed = f"more than 0, at most {MAX_COUNT}"
        problems.append(SettingsProblem("heartbeatMs", value, allowed))
    bind_host = environment.get(BIND_HOST_VARIABLE, "")
    if bind_host and not _is_ipv4_address(bind_host):
        problems.append(
            SettingsProblem(BIND_HOST_VARIABLE, bind_host, "an IPv4 address")
        )
    metrics_port = environment.get(METRICS_PORT_VARIABLE) or "0"
    if metrics_port != "0" and parse_port(metrics_port) is None:
        allowed = "a port, or 0 for none"
        problems.append(SettingsProblem(METRICS_PORT_VARIABLE, metrics_port, allowed))
    if "\0" in (file.data_dir or ""):
        value = repr(file.data_dir)
        problems.append(SettingsProblem("dataDir", value, "a path without NUL"))
    for name, value in (
        ("bounds.coldOvershoot", file.bounds.cold_overshoot),
        ("bounds.coldSlack", file.bounds.cold_slack),
        ("bounds.graceS", file.bounds.grace_s),
        ("bounds.addrReuseS", file.bounds.reuse_s),
        ("limits.linkMbps", file.limits.link_mbps),
    ):
        if not 0 <= value <= MAX_COUNT:
            problems.append(SettingsProblem(name, str(value), f"0 to {MAX_COUNT}"))
    placement = _read_choice(environment, PLACEMENT_VARIABLE, PLACEMENTS, problems)
    upload_limit = _read_choice(
        environment, UPLOAD_LIMIT_VARIABLE, SWITCH_VALUES, problems
    )
    lost_flow_notice = _read_choice(
        environment, LOST_FLOW_NOTICE_VARIABLE, SWITCH_VALUES, problems
    )
    if problems:
        return problems
    valid_seeds = [seed for seed in seeds if seed is not None]
    return HostSettings(
        name=file.node,
        host=file.ip,
        zone=file.zone,
        zones=tuple(file.zones),
        packet_port=packets.port if packets is not None else 0,
        internal_port=first,
        control_port=_get_control_port(control, valid_seeds),
        seeds=tuple(seed.host for seed in valid_seeds),
        readiness=readiness,
        orders=control,
        outbound=outbound,
        upstream=upstream,
        ready_path=READY_PATH,
        data_folder=file.data_dir or "",
        bootstrap=file.bootstrap,
        lost_disks=file.tolerance.machines,
        service=file.service or "",
        upstreams=UpstreamBounds(
            file.bounds.cold_overshoot,
            file.bounds.cold_slack,
            file.heartbeat_ms / 1000,
            file.bounds.reuse_s,
        ),
        grace_s=file.bounds.grace_s,
        bind_host=bind_host,
        metrics_port=int(metrics_port),
        link_bytes_per_s=file.limits.link_mbps * BYTES_PER_MEGABIT,
        placement=placement,
        limits_uploads=upload_limit == "on",
        notifies_lost_flows=lost_flow_notice == "on",
    )


def _read_choice(
    environment: Mapping[str, str],
    variable: str,
    allowed: tuple[str, ...],
    problems: list[SettingsProblem],
) -> str:
    """Return the value of a variable with fixed values; the first is the default."""
    value = environment.get(variable) or allowed[0]
    if value not in allowed:
        problems.append(
            SettingsProblem(variable, repr(value), f"one of {', '.join(allowed)}")
        )
    return value


def _get_control_port(control: Endpoint | None, seeds: list[Endpoint]) -> int:
    """Return the control port, which is the same on every host."""
    if control is not None:
        return control.port
    return seeds[0].port if seeds else 0


def _is_ipv4_address(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _parse_endpoint(
    name: str, text: str, problems: list[SettingsProblem]
) -> Endpoint | None:
    """Parse ``address:port``; return None and add a problem if it is invalid.

    Returns None without a problem for an empty text.
    """
    if not text:
        return None
    host, _, port = text.rpartition(":")
    number = parse_port(port)
    if number is None or not _is_ipv4_address(host):
        problems.append(SettingsProblem(name, repr(text), "ADDRESS:PORT"))
        return None
    return Endpoint(host, number)
