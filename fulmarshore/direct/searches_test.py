"""Searches for the agent that holds a flow: encoding, coordination and cost."""

import socket
import unittest

from fulmarshore.direct.packets import (
    ACK,
    MARK_HELD,
    MARK_NOT_FOUND,
    MARK_NOT_HELD,
    MARK_PROBE,
    make_notice,
    parse_packet,
)
from fulmarshore.direct.records import SendToAgent, SendToEntry
from fulmarshore.direct.searches import (
    MAX_SEARCHED_AGENTS,
    SEARCH_TIMEOUT_S,
    SearchCoordinator,
    make_search,
    split_search,
)
from fulmarshore.standins.directends import is_sealed, make_flow, make_packet
from fulmarshore.standins.directworld import World

FLOW = make_flow(7, 443)
PACKET = parse_packet(make_packet(FLOW[:6], FLOW[6:], ACK, 5, 6, b"request"))
ENTRY = socket.inet_aton("10.0.1.1")
HOSTS = ["10.0.2.1", "10.0.2.2", "10.0.2.3"]


def make_answer(host, mark):
    """Return an agent's notice about the flow."""
    return make_notice(PACKET, mark, socket.inet_aton(host))


class SearchesTest(unittest.TestCase):
    def test_search_carries_packet_and_agents(self):
        packet, hosts = split_search(make_search(PACKET, HOSTS, ENTRY))
        self.assertEqual(hosts, HOSTS)
        self.assertEqual(packet.return_host, ENTRY)
        self.assertTrue(is_sealed(packet.content))

    def test_list_of_agents_fits_a_datagram(self):
        many = [f"10.{n // 65536}.{n // 256 % 256}.{n % 256}" for n in range(9000)]
        content = make_search(PACKET, many, ENTRY)
        self.assertLess(len(content), 65_507)
        self.assertEqual(len(split_search(content)[1]), MAX_SEARCHED_AGENTS)

    def test_malformed_searches_are_rejected(self):
        content = make_search(PACKET, HOSTS, ENTRY)
        for bad in (b"", content[:30], content[:-1], PACKET.content, b"\xff" * 90):
            self.assertIsNone(split_search(bad))

    def test_result_of_a_search(self):
        cases = [
            (
                "the last one holds it",
                [MARK_NOT_HELD, MARK_NOT_HELD, MARK_HELD],
                MARK_HELD,
            ),
            ("the first one holds it", [MARK_HELD, MARK_NOT_HELD], MARK_HELD),
            ("no agent holds it", [MARK_NOT_HELD] * 3, MARK_NOT_FOUND),
            ("one does not answer", [MARK_NOT_HELD] * 2, None),
        ]
        for name, answers, expected in cases:
            with self.subTest(name):
                coordinator = SearchCoordinator(socket.inet_aton(HOSTS[0]))
                packet, hosts = split_search(make_search(PACKET, HOSTS, ENTRY))
                probes = coordinator.start_search(packet, hosts, 0.0)
                self.assertEqual([effect.host for effect in probes], HOSTS)
                for effect in probes:
                    self.assertIsInstance(effect, SendToAgent)
                    self.assertEqual(parse_packet(effect.content).mark, MARK_PROBE)
                sent_back = []
                for host, mark in zip(HOSTS, answers, strict=False):
                    sent_back += coordinator.handle_notice(make_answer(host, mark))
                if expected is None:
                    self.assertEqual(sent_back, [])
                    continue
                self.assertEqual(len(sent_back), 1)
                self.assertIsInstance(sent_back[0], SendToEntry)
                self.assertEqual(sent_back[0].host, ENTRY)
                self.assertEqual(parse_packet(sent_back[0].content).mark, expected)

    def test_repeated_answer_of_one_agent_counts_once(self):
        coordinator = SearchCoordinator(socket.inet_aton(HOSTS[0]))
        coordinator.start_search(PACKET, HOSTS[:2], 0.0)
        for _ in range(3):
            self.assertEqual(
                coordinator.handle_notice(make_answer(HOSTS[0], MARK_NOT_HELD)), []
            )

    def test_search_expires(self):
        coordinator = SearchCoordinator(socket.inet_aton(HOSTS[0]))
        coordinator.start_search(PACKET, HOSTS, 0.0)
        flow = make_flow(8, 443)
        other = parse_packet(make_packet(flow[:6], flow[6:], ACK, 5, 6, b"x"))
        coordinator.start_search(other, HOSTS, SEARCH_TIMEOUT_S + 0.1)
        self.assertEqual(
            coordinator.handle_notice(make_answer(HOSTS[0], MARK_HELD)), []
        )
        self.assertEqual(coordinator.handle_notice(b"no note"), [])

    def test_search_costs_the_entry_host_one_packet(self):
        world = World(agents={"desk": 40})
        call = world.put(1, {443: [("desk", 1)]})
        world.run_until(lambda: call.is_accepted)
        world.run(2.0)
        callers = [world.call(number, 443) for number in range(10)]
        world.run(1.0)
        for host in world.entry_hosts:
            world.crash(host)
            world.start_entry(host)
        world.run(1.0)
        sent = world.packets_by_host.copy()
        for number, caller in enumerate(callers):
            caller.request(b"again-%d" % number)
        world.run(0.1)
        self.assertEqual([c.calls[-1].outcome for c in callers], ["answered"] * 10)
        for host in world.entry_hosts:
            self.assertLess(world.packets_by_host[host] - sent[host], 40)


if __name__ == "__main__":
    unittest.main()
