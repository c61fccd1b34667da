"""A configuration with a limit of twenty digits is sent; then the configuration is read."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BROKEN, HELD, NOT_RUN, make_configuration, run, wait_for

ADDRESS = "198.18.0.1"
ROUTES = [
    ("status", ADDRESS, 8443, "safe", "permit-desk"),
    ("check", ADDRESS, 8080, "non_idempotent", "permit-desk"),
    ("proof", ADDRESS, 8081, "download", "proof-store"),
]
SERVICES = ["permit-desk", "proof-store"]
LARGEST = 99_999_999_999_999_999_999
CORE = 3
ENDS_OF_FAULT = 3
CALM_S = 15.0
"""After the operator has given up: more than maxStretchMs."""
READ_S = 15.0
"""How long the operator reads; at least contactMs."""


def play(deployment, record, trouble):
    for number, host in enumerate(deployment.controls):
        deployment.start("control", host, deployment.zones[number], bootstrap=True)
    first = make_configuration(7, ROUTES, SERVICES)
    if deployment.order("PUT", "/v1/config", first, limit_s=20)[0] != 200:
        return NOT_RUN
    if deployment.order("GET", "/v1/config", limit_s=5) != (200, first):
        return NOT_RUN
    changed = json.loads(make_configuration(9, ROUTES, SERVICES))
    if trouble:
        changed["services"][0]["maxConnections"] = LARGEST
    body = json.dumps(changed).encode()
    before = dict(deployment.own_ends)
    status, _ = deployment.order("PUT", "/v1/config", body, limit_s=10)
    record.write(f"change: {status or 'no clear answer'}")
    wait_for(lambda: False, CALM_S if trouble else 2.0)
    status, found = deployment.order("GET", "/v1/config", limit_s=READ_S)
    record.write(f"read back: {status or 'no answer in time'}")
    ends = {key: count - before.get(key, 0) for key, count in deployment.own_ends.items()}
    record.write(f"processes that ended by themselves: {ends}")
    at_fault = [key for key, count in ends.items() if count >= ENDS_OF_FAULT]
    if status != 200 or found not in (first, body) or 2 * len(at_fault) >= CORE:
        return BROKEN
    return HELD


run(Path(__file__).parent, play)
