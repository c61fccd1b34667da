"""What follows case 1: all processes are killed, as in a final fault; who is served?

An addition to the case: run with python3, exit codes as for run.sh; TROUBLE=0 leaves out
the lost disk.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import (
    BOUNDS, BROKEN, HELD, NOT_RUN, Client, Server, make_configuration, run, wait_for,
)

ADDRESS, PORT = "198.18.0.1", 8443
FLOWS = 10


def configure(version):
    return make_configuration(
        version, [("status", ADDRESS, PORT, "safe", "permit-desk")], ["permit-desk"]
    )


def count_served(client, name):
    served = 0
    for number in range(FLOWS):
        flow = client.open_flow(ADDRESS, PORT)
        served += bool(flow.connect() and flow.request(f"{name}-{number}"))
    return served


def play(deployment, record, trouble):
    zones = deployment.zones[:2]
    for number, host in enumerate(deployment.controls):
        deployment.start("control", host, deployment.zones[number], bootstrap=True)
    entries = [deployment.address(zone, 10) for zone in zones]
    hosts = [deployment.address(zone, 32) for zone in zones]
    for zone, entry, host in zip(zones, entries, hosts):
        deployment.start("entry", entry, zone, bootstrap=True)
        deployment.start(
            "agent", host, zone, bootstrap=True, service="permit-desk",
            app=f"{host}:{deployment.app_port}",
        )
    if deployment.order("PUT", "/v1/config", configure(7), limit_s=20)[0] != 200:
        return NOT_RUN
    time.sleep(1.0)
    for zone, host in zip(zones, hosts):
        Server(deployment, host, zone, "permit-desk")
    client = Client(deployment, deployment.address("a", 200), entries)
    if not wait_for(lambda: len(client.ready) == len(entries), 20):
        return NOT_RUN
    before = count_served(client, "before")
    successor, leaving = deployment.address("c", 11), deployment.controls[2]
    deployment.start("control", successor, "c")
    time.sleep(BOUNDS["catchUpS"] + 1.0)
    deployment.remove("control", leaving)
    deployment.controls[2] = successor
    if deployment.order("PUT", "/v1/config", configure(9), limit_s=10)[0] != 200:
        return NOT_RUN
    if trouble:
        deployment.lose_disk(deployment.controls[1], 1.0)
    time.sleep(8.0)
    deployment.kill_all(except_for=("control", leaving))
    time.sleep(BOUNDS["recoveryS"])
    after = count_served(client, "after")
    record.write(f"of {FLOWS} requests each: {before} served before, {after} after recoveryS")
    return HELD if 4 * after >= FLOWS else BROKEN


run(Path(__file__).parent / "outage", play)
