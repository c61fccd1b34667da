"""A few SYN+ACKs are lost on their way, and later an entry host is restarted."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, Client, Server, make_configuration, run, wait_for

ADDRESS, PORT = "198.18.0.1", 8443
FLOWS = 60
LOSS_INTERVAL = 6
"""Every sixth flow loses one datagram, its first SYN+ACK."""


def play(deployment, record, trouble):
    for number, zone in enumerate(deployment.zones):
        deployment.start("control", deployment.controls[number], zone, bootstrap=True)
    entries = [deployment.address("a", 10), deployment.address("a", 11)]
    for entry in entries:
        deployment.start("entry", entry, "a", bootstrap=True)
    hosts = [deployment.address("a", 32), deployment.address("a", 33)]
    for host in hosts:
        deployment.start(
            "agent", host, "a", bootstrap=True, service="permit-desk",
            app=f"{host}:{deployment.app_port}",
        )
    body = make_configuration(
        3, [("status", ADDRESS, PORT, "safe", "permit-desk")], ["permit-desk"]
    )
    if deployment.order("PUT", "/v1/config", body, limit_s=20)[0] != 200:
        return NOT_RUN
    time.sleep(1.0)
    servers = [Server(deployment, host, "a", "permit-desk", slots=8) for host in hosts]
    client = Client(deployment, deployment.address("a", 200), entries)
    if not wait_for(lambda: len(client.ready) == len(entries), 20):
        return NOT_RUN
    time.sleep(1.5 + BOUNDS["contactMs"] / 1000)
    flows = [client.open_flow(ADDRESS, PORT) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if trouble and number % LOSS_INTERVAL == 0:
            flow.openings_to_lose = 1
        if not flow.connect() or flow.request(f"first-{number}") is None:
            return NOT_RUN
    time.sleep(3.0)
    for flow in flows:
        flow.request(f"second-{flow.name}")
    moved = [flow for flow in flows if client.route(flow.key) == entries[0]]
    restart = threading.Thread(target=deployment.terminate, args=["entry", entries[0]])
    restart.start()
    wait_for(lambda: entries[0] not in client.ready, 5)
    record.write(f"router: {entries[0]} is out of rotation, {len(moved)} flows move")
    for flow in flows:
        flow.request(f"third-{flow.name}")
    restart.join()
    broken = []
    for flow in flows:
        holders = [server.host for server in servers if flow.key in server.open]
        if flow.reset_at is not None and flow.was_open and holders:
            broken.append(flow.name)
            record.write(f"client {flow.name}: was reset, its flow is open at {holders}")
    record.write(f"{len(broken)} of {len(flows)} open flows were reset")
    return BROKEN if broken else HELD


run(Path(__file__).parent, play)
