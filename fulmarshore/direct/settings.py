"""Settings of the daemons of the direct data path."""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.direct.gate import UpstreamBounds

CONTROL_OFFSET = 0
ENTRY_OFFSET = 1
AGENT_OFFSET = 2
RETURN_OFFSET = 3
"""Ports for our own hosts, counted from the first internal one."""
INTERNAL_PORTS = 4


class Endpoint(Struct, frozen=True):
    """An IPv4 address and a port."""

    host: str
    port: int


class HostSettings(Struct, frozen=True, kw_only=True):
    """What one process is told about itself.

    Parameters
    ----------
    name : str
        Name of the host, for logs.
    host : str
        Address of the host.
    zone : str
        Its availability zone.
    zones : tuple of str
        All availability zones.
    packet_port : int
        Port for packets on every host: of callers, entry hosts and agents.
    internal_port : int
        First of the ports for our own hosts.
    control_port : int
        Port of the operator's interface on every control host.
    seeds : tuple of str
        Addresses of control hosts.
    readiness, orders, outbound, upstream : Endpoint or None
        Where probes ask, where orders or announcements come, where the
        upstream's packets come, and where the upstream takes packets.
    ready_path : str
        Path of the probe of readiness.
    data_folder : str
        Where the log lives; empty on hosts without a disk.
    bootstrap : bool
        Whether the whole system starts for the first time.
    lost_disks : int
        Disks that may be lost at once.
    service : str
        Service of the upstream on this host; empty if there is none.
    upstreams : UpstreamBounds
        What the platform says of upstreams.
    grace_s : float
        Time from the order to stop until the process is killed.
    bind_host : str
        Address to listen at where others reach this host at ``host`` but it has
        another one itself; empty where both are the same.
    metrics_port : int
        Port for metrics alone, 0 for none; they are also told at the addresses
        for readiness, orders and announcements.
    """

    name: str
    host: str
    zone: str
    zones: tuple[str, ...]
    packet_port: int
    internal_port: int
    control_port: int
    seeds: tuple[str, ...]
    readiness: Endpoint | None = None
    orders: Endpoint | None = None
    outbound: Endpoint | None = None
    upstream: Endpoint | None = None
    ready_path: str = "/ready"
    data_folder: str = ""
    bootstrap: bool = False
    lost_disks: int = 0
    service: str = ""
    upstreams: UpstreamBounds = UpstreamBounds()
    grace_s: float = 6.0
    bind_host: str = ""
    metrics_port: int = 0

    @property
    def local_host(self) -> str:
        """Address to listen at."""
        return self.bind_host or self.host

    def localize(self, endpoint: Endpoint) -> Endpoint:
        """Return where to listen for what others send to an endpoint."""
        if endpoint.host != self.host:
            return endpoint
        return Endpoint(self.local_host, endpoint.port)


class SettingsProblem(Struct, frozen=True):
    """A field of the settings that cannot be used.

    Parameters
    ----------
    field : str
        Name of the field, with those above it.
    value : str
        What it holds.
    allowed : str
        What it may hold.
    """

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value} is not allowed, needs {self.allowed}"
