"""Formats records as the platform's settings files and bodies, for soaks and tests."""

from __future__ import annotations

import socket

import msgspec

from fulmarshore.direct.records import Route, Table, UpstreamAnnounced
from fulmarshore.direct.settings import INTERNAL_PORTS, Endpoint, HostSettings
from fulmarshore.platform.configuration import (
    NON_IDEMPOTENT_KIND,
    REPEATABLE_KINDS,
    UPLOAD_KIND,
)


def format_settings(settings: HostSettings) -> bytes:
    """Return the settings file that is read back as these settings."""
    host = settings.host
    listen = {"udpListen": f"{host}:{settings.packet_port}"}
    for name, endpoint in (
        ("readiness", settings.readiness),
        ("control", settings.orders),
        ("outbound", settings.outbound),
    ):
        if endpoint is not None:
            listen[name] = _format_endpoint(endpoint)
    upstream = settings.upstream
    fields = {
        "node": settings.name,
        "ip": host,
        "zone": settings.zone,
        "zones": dict.fromkeys(settings.zones, "region"),
        "listen": listen,
        "internalPorts": [
            settings.internal_port,
            settings.internal_port + INTERNAL_PORTS - 1,
        ],
        "seeds": [f"{seed}:{settings.control_port}" for seed in settings.seeds],
        "bootstrap": settings.bootstrap,
        "faultTolerance": {"machines": settings.lost_disks},
        "dataDir": settings.data_folder or None,
        "app": _format_endpoint(upstream) if upstream is not None else None,
        "service": settings.service,
        "heartbeatMs": settings.upstreams.interval_s * 1000,
        "bounds": {
            "coldOvershoot": settings.upstreams.overshoot,
            "coldSlack": settings.upstreams.slack,
            "addrReuseS": settings.upstreams.reuse_s,
            "graceS": settings.grace_s,
        },
    }
    return msgspec.json.encode(fields)


def format_table(table: Table) -> bytes:
    """Return the configuration body of a table; only the first service of a route."""
    routes = []
    for number, route in enumerate(table.routes):
        routes.append(
            {
                "name": f"r-{number}",
                "hostname": socket.inet_ntoa(route.address[:4]),
                "pathPrefix": f"/{int.from_bytes(route.address[4:])}/",
                "type": _format_kind(route),
                "timeoutMs": 3000,
                "service": route.backends[0].service,
            }
        )
    services = [
        {
            "name": policy.name,
            "maxConnections": policy.max_flows,
            "coldPerS": policy.cold_per_s,
        }
        for policy in table.services
    ]
    limits = {"idleTimeoutMs": table.idle_timeout_s * 1000}
    fields = {"version": table.version, "routes": routes, "services": services}
    return msgspec.json.encode({**fields, "limits": limits})


def _format_kind(route: Route) -> str:
    if route.is_upload:
        return UPLOAD_KIND
    return REPEATABLE_KINDS[0] if route.is_repeatable else NON_IDEMPOTENT_KIND


def format_announcement(announced: UpstreamAnnounced, endpoint: Endpoint) -> bytes:
    """Return the heartbeat body that is read back as this announcement."""
    fields = {
        "service": announced.service,
        "address": _format_endpoint(endpoint),
        "zone": announced.zone,
        "version": "v1",
        "slots": announced.slots,
        "state": "ready" if announced.is_ready else "draining",
        "coldRemainingMs": announced.cold_s * 1000,
        "sequence": announced.sequence,
        "born": announced.born_ms,
    }
    return msgspec.json.encode(fields)


def _format_endpoint(endpoint: Endpoint) -> str:
    return f"{endpoint.host}:{endpoint.port}"
