"""A configuration with an unknown service, whose names are not all ASCII, is sent."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BROKEN, HELD, NOT_RUN, make_configuration, run, wait_for

ADDRESS = "198.18.0.1"
ROUTES = [
    ("قراءة-المحطة", ADDRESS, 8443, "safe", "محطات-مباشرة"),
    ("فحص-المعايرة", ADDRESS, 8080, "non_idempotent", "محطات-مباشرة"),
    ("تقرير-المرشحات", ADDRESS, 8081, "download", "أرشيف-المرشحات"),
]
SERVICES = ["محطات-مباشرة", "أرشيف-المرشحات"]
PLACES = ["مطرح", "السيب", "بوشر", "العامرات", "قريات", "روي", "الخوير", "القرم"]
"""Each of eight invalid configurations names an unknown service of one place."""
CORE = 3
ENDS_OF_FAULT = 3


def make_invalid(version, unknown):
    """The configuration with further routes to a service that it does not have."""
    more = [
        (f"قراءة-{number}", ADDRESS, 9000 + number, "safe", unknown)
        for number in range(6)
    ]
    return make_configuration(version, ROUTES + more, SERVICES)


def play(deployment, record, trouble):
    for number, host in enumerate(deployment.controls):
        deployment.start("control", host, deployment.zones[number], bootstrap=True)
    first = make_configuration(1, ROUTES, SERVICES)
    if deployment.order("PUT", "/v1/config", first, limit_s=20)[0] != 200:
        return NOT_RUN
    wait_for(lambda: deployment.order("GET", "/v1/config", limit_s=2)[0] == 200, 10)
    before = dict(deployment.own_ends)
    version = 1
    if trouble:
        for place in PLACES:
            unknown = f"محطة-{place}"
            body = make_invalid(version + 1, unknown)
            status, _ = deployment.order("PUT", "/v1/config", body, limit_s=8)
            record.write(f"invalid configuration with {unknown}: {status or 'no clear answer'}")
            if status == 200:
                return BROKEN
    else:
        for _ in PLACES:
            version += 1
            body = make_configuration(version, ROUTES, SERVICES)
            if deployment.order("PUT", "/v1/config", body, limit_s=8)[0] != 200:
                return NOT_RUN
    ends = {
        key: count - before.get(key, 0) for key, count in deployment.own_ends.items()
    }
    record.write(f"processes that ended by themselves: {ends}")
    at_fault = [key for key, count in ends.items() if count >= ENDS_OF_FAULT]
    return BROKEN if 2 * len(at_fault) >= CORE else HELD


run(Path(__file__).parent, play)
