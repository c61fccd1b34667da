"""A core machine is replaced as planned; right after, another one loses its disk."""

import os
import shutil
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, make_configuration, run

ADDRESS = "198.18.0.1"
ROUTES = [
    ("status", ADDRESS, 8443, "safe", "permit-desk"),
    ("proof", ADDRESS, 8081, "download", "proof-store"),
]
SERVICES = ["permit-desk", "proof-store"]
CATCH_UP_S = BOUNDS["catchUpS"]
DOWN_S = 1.0
"""Time until the machine is back with an empty disk, the shortest of the site."""
READ_S = 40.0
"""How long the operator reads: more than recoverS, maxStretchMs and ackTimeoutMs together."""


def play(deployment, record, trouble):
    only = os.environ.get("ONLY", "")
    is_replaced = trouble and only != "wipe"
    is_wiped = trouble and only != "replace"
    for number, host in enumerate(deployment.controls):
        deployment.start("control", host, deployment.zones[number], bootstrap=True)
    first = make_configuration(7, ROUTES, SERVICES)
    if deployment.order("PUT", "/v1/config", first, limit_s=20)[0] != 200:
        return NOT_RUN
    time.sleep(BOUNDS["contactMs"] / 1000)
    leaving, losing = deployment.controls[2], deployment.controls[1]
    if is_replaced:
        successor = deployment.address("c", 11)
        started = time.monotonic()
        deployment.start("control", successor, "c")
        time.sleep(CATCH_UP_S + 1.0)
        record.write(f"{successor} has run for {time.monotonic() - started:.1f} s, more than catchUpS")
        deployment.remove("control", leaving)
        deployment.controls[2] = successor
    newest = make_configuration(9, ROUTES, SERVICES)
    if deployment.order("PUT", "/v1/config", newest, limit_s=10)[0] != 200:
        return NOT_RUN
    if is_wiped:
        deployment.lose_disk(losing, DOWN_S)
    time.sleep(0.5)
    started = time.monotonic()
    status, body = deployment.order("GET", "/v1/config", limit_s=READ_S if is_wiped else 10)
    record.write(f"read back: {status or 'no answer'} after {time.monotonic() - started:.1f} s")
    if status != 200:
        status, _ = deployment.order("PUT", "/v1/config", make_configuration(11, ROUTES, SERVICES), limit_s=10)
        record.write(f"a further change: {status or 'no clear answer'}")
        for host in deployment.controls:
            record.write(f"{host}: {deployment.processes['control', host].poll() or 'runs'}")
        return BROKEN
    return HELD if body == newest else BROKEN


run(Path(__file__).parent, play)
