"""Clients that open a flow and pause before their first request."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BROKEN, HELD, NOT_RUN, Client, Server, make_configuration, run, wait_for

ADDRESS, PORT = "198.18.0.1", 8443
PAUSE_S = 6.0
"""Less than half of idleTimeoutMs, 15 s."""
FLOWS = 6


def play(deployment, record, trouble):
    servers, entries = [], []
    for number, zone in enumerate(deployment.zones):
        deployment.start("control", deployment.controls[number], zone, bootstrap=True)
        entries.append(deployment.address(zone, 10))
        deployment.start("entry", entries[-1], zone, bootstrap=True)
    for zone in deployment.zones:
        host = deployment.address(zone, 32)
        deployment.start(
            "agent", host, zone, bootstrap=True, service="permit-desk",
            app=f"{host}:{deployment.app_port}",
        )
    body = make_configuration(
        3, [("status", ADDRESS, PORT, "safe", "permit-desk")], ["permit-desk"]
    )
    if deployment.order("PUT", "/v1/config", body, limit_s=20)[0] != 200:
        return NOT_RUN
    time.sleep(1.0)
    for zone in deployment.zones:
        servers.append(Server(deployment, deployment.address(zone, 32), zone, "permit-desk"))
    client = Client(deployment, deployment.address("a", 200), entries)
    if not wait_for(lambda: len(client.ready) == len(entries), 20):
        return NOT_RUN
    time.sleep(4.0)  # all machines are in touch
    flows = []
    for number in range(FLOWS):
        flow = client.open_flow(ADDRESS, PORT)
        if not flow.connect():
            return NOT_RUN
        flow.acknowledge_opening()
        if not wait_for(lambda flow=flow: any(flow.key in server.open for server in servers), 2):
            return NOT_RUN
        flows.append(flow)
        if not trouble and flow.request(f"request-{number}") is None:
            return NOT_RUN
    time.sleep(PAUSE_S)
    for number, flow in enumerate(flows):
        flow.request(f"request-{number}-after-the-pause")
    holders = [sum(flow.key in server.open for server in servers) for flow in flows]
    broken = [
        flow.name for flow, held in zip(flows, holders)
        if flow.reset_at is not None and flow.was_open and held
    ]
    record.write(f"flows that are open at their living server, by flow: {holders}")
    record.write(f"flows whose client got a reset that the server did not send: {broken}")
    return BROKEN if broken else HELD


run(Path(__file__).parent, play)
