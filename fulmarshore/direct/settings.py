"""Settings of the daemons of the direct data path."""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.direct.gate import UpstreamBounds

CONTROL_OFFSET = 0
ENTRY_OFFSET = 1
AGENT_OFFSET = 2
RETURN_OFFSET = 3
"""Offsets from the first internal port of the ports for control hosts, entry hosts,
agents and returned packets."""
INTERNAL_PORTS = 4
"""Number of internal ports."""
PLACEMENTS = ("auto", "cost", "flows")
"""What new flows are placed by: their expected completion, or the number of open flows.
With ``auto`` the configuration decides."""


class Endpoint(Struct, frozen=True):
    """An IPv4 address and a port."""

    host: str
    port: int


class HostSettings(Struct, frozen=True, kw_only=True):
    """Settings of one process.

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
        First of the ports for traffic among hosts.
    control_port : int
        Port of the operator's interface on every control host.
    seeds : tuple of str
        Addresses of control hosts.
    readiness : Endpoint or None
        Where to serve readiness probes.
    orders : Endpoint or None
        Where to receive orders, or on an agent's host announcements of the upstream.
    outbound : Endpoint or None
        Where to receive packets of the upstream.
    upstream : Endpoint or None
        Endpoint of the upstream.
    ready_path : str
        Path of the readiness probe.
    data_folder : str
        Folder of the replicated log; empty on hosts without a disk.
    bootstrap : bool
        Whether this is the first start of the whole system.
    lost_disks : int
        Disks that may be lost at once.
    service : str
        Service of the upstream on this host; empty if there is none.
    upstreams : UpstreamBounds
        Bounds that the platform states for upstreams.
    grace_s : float
        Seconds between the stop signal and the kill of the process.
    bind_host : str
        Local address to listen at; empty if it is ``host``, the address at which
        others reach this host.
    metrics_port : int
        Port for metrics alone, 0 for none; metrics are also served at the
        endpoints for readiness, orders and announcements.
    link_bytes_per_s : float
        Rate of the host's own link, bytes a second; 0 if not known.
    placement : str
        One of ``PLACEMENTS``: what new flows are placed by.
    limits_uploads : bool
        Whether an entry host limits the uploads in progress to what its link bears.
    notifies_lost_flows : bool
        Whether callers are notified of kept flows whose upstream has ended.
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
    link_bytes_per_s: float = 0.0
    placement: str = "auto"
    limits_uploads: bool = True
    notifies_lost_flows: bool = True

    @property
    def local_host(self) -> str:
        """Address to listen at."""
        return self.bind_host or self.host

    def localize(self, endpoint: Endpoint) -> Endpoint:
        """Return the local endpoint to listen at for a public endpoint."""
        if endpoint.host != self.host:
            return endpoint
        return Endpoint(self.local_host, endpoint.port)


class SettingsProblem(Struct, frozen=True):
    """A field of the settings with an invalid value.

    Parameters
    ----------
    field : str
        Name of the field, prefixed by its parents.
    value : str
        Its value.
    allowed : str
        Which values are allowed.
    """

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value} is not allowed, needs {self.allowed}"
