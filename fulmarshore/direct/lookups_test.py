import unittest
from collections import Counter
from random import Random

from fulmarshore.direct.directory import MISSING_RETENTION_S
from fulmarshore.direct.flows import FlowCache
from fulmarshore.direct.lookups import FlowLookups
from fulmarshore.direct.packets import ACK, parse_packet
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import Backend, Route, SendToCaller, Table, Update
from fulmarshore.direct.tables import TableIndex
from fulmarshore.standins.directends import make_flow, make_packet

NONE = float("inf")
CASES = [
    ("no control host heard", [], False),
    ("one that misses none", [NONE], True),
    ("one that misses an agent", [2.0], False),
    ("one that missed an agent long ago", [MISSING_RETENTION_S + 1], True),
    ("one of two", [NONE, 2.0], False),
    ("one of three, it was down itself", [NONE, NONE, 2.0], True),
    ("two of three, one has a new disk", [NONE, 2.0, 3.0], False),
    ("one of four", [NONE, NONE, NONE, 2.0], True),
    ("two of four", [NONE, NONE, 2.0, 3.0], False),
]


def make_lookups():
    """Return lookups that know a route and no agent at all."""
    flow = make_flow(1, 443)
    placement = Placement("a", Random(1))
    counters = Counter()
    tables = TableIndex()
    tables.replace(Table(1, 1, (Route(flow[6:], (Backend("desk", 1),)),)))
    flows = FlowCache(placement, counters)
    return FlowLookups(b"\0\0\0\0", flows, placement, tables, counters), flow


def update(missing_s, directory=1):
    return Update((), "", 0, b"", directory, 0, 99.0, missing_s)


class LookupsTest(unittest.TestCase):
    def test_half_of_the_control_hosts_decide_whether_an_agent_is_missing(self):
        for name, told, expected in CASES:
            with self.subTest(name):
                lookups, flow = make_lookups()
                for number, missing_s in enumerate(told):
                    lookups.handle_update(f"c{number}", update(missing_s), 20.0)
                packet = parse_packet(make_packet(flow[:6], flow[6:], ACK, 5, 5))
                effects = lookups._finish_search(packet, 20.0)
                found = any(isinstance(effect, SendToCaller) for effect in effects)
                self.assertEqual(found, expected)

    def test_hosts_without_a_directory_and_silent_ones_do_not_count(self):
        lookups, flow = make_lookups()
        packet = parse_packet(make_packet(flow[:6], flow[6:], ACK, 5, 5))
        lookups.handle_update("c0", update(2.0), 20.0)
        lookups.handle_update("c1", update(NONE, directory=0), 20.0)
        lookups.handle_update("c2", update(NONE, directory=0), 20.0)
        self.assertNotIsInstance(lookups._finish_search(packet, 20.0)[0], SendToCaller)
        lookups.handle_update("c3", update(NONE), 20.0)
        lookups.discard_control("c0")
        self.assertIsInstance(lookups._finish_search(packet, 20.0)[0], SendToCaller)


if __name__ == "__main__":
    unittest.main()
