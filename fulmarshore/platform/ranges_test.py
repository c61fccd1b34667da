"""Values of any size in any field that comes from outside.

Guards against a value that is accepted, or in the log already, and then ends the
process that encodes or applies it.
"""

import copy
import json
import unittest
import zlib
from random import Random

import msgspec

from fulmarshore.adapters.httpserver import HttpRequest
from fulmarshore.core.ranges import DECODE_ERRORS, MAX_COUNT
from fulmarshore.core.records import (
    PutConfiguration,
    ReplicaId,
    VoteReply,
    VoteRequest,
)
from fulmarshore.daemons import directcontrol
from fulmarshore.direct.agent import AgentCore
from fulmarshore.direct.control import ControlCore
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import (
    AgentReport,
    KeptFlows,
    Poll,
    UpstreamAnnounced,
    decode_table,
    encode_table,
)
from fulmarshore.platform.configuration import make_table, read_configuration
from fulmarshore.platform.configuration_test import VALID
from fulmarshore.platform.heartbeats import read_heartbeat
from fulmarshore.platform.settings import parse_settings
from fulmarshore.platform.settings_test import VALID as VALID_SETTINGS

HUGE = 99_999_999_999_999_999_999
NUMBERS = [HUGE, -HUGE, 2**64, 2**64 - 1, 2**63, 2**63 - 1, -1, 0, 0.5, 1e308, -1e308]
TEXTS = ["", "\0", "\n", "x" * 70_000, "9" * 5000, "/" + "9" * 5000 + "/", "عربي", "²"]
OTHERS = [None, True, [], {}, [[[1]]]]
RAW = [
    b"1e400",
    b"9" * 400,
    b"9" * 5000,
    b"-" + b"9" * 30,
    b'"\\ud800"',
    b'"\xff"',
    b"[" * 3000 + b"]" * 3000,
    b'{"a":' * 3000 + b"1" + b"}" * 3000,
]
HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
REPORT = AgentReport("10.0.2.1", 7, 1, "a", "desk", True, False, 3, 0, 0)
MARK = "replaced-value"


def list_paths(content, path=()):
    """Return the paths of all fields of a JSON value, and of fields not there."""
    found = [path] if path else []
    if isinstance(content, dict):
        for key, value in content.items():
            found += list_paths(value, (*path, key))
        found.append((*path, "unknown"))
    if isinstance(content, list):
        for number, value in enumerate(content):
            found += list_paths(value, (*path, number))
    return found


def list_variants(valid):
    """Yield path and body of a valid body with each field replaced by each value."""
    values = [json.dumps(value).encode() for value in NUMBERS + TEXTS + OTHERS] + RAW
    for path in list_paths(valid):
        changed = copy.deepcopy(valid)
        container = changed
        for key in path[:-1]:
            container = container[key]
        container[path[-1]] = MARK
        template = json.dumps(changed).encode()
        for value in values:
            yield path, template.replace(json.dumps(MARK).encode(), value)


class ConfigurationRangesTest(unittest.TestCase):
    def test_each_value_is_refused_or_reaches_a_table(self):
        accepted = 0
        for path, body in list_variants({**VALID, "limits": {"idleTimeoutMs": 15000}}):
            with self.subTest(path, value=body[-60:]):
                command = read_configuration(body)
                if isinstance(command, list):
                    "; ".join(command).encode()
                    continue
                accepted += 1
                msgspec.msgpack.encode(command)
                state = OrderState(command.version, command.content, (), 1)
                table = make_table(state)
                self.assertEqual(decode_table(encode_table(table)), table)
        self.assertGreater(accepted, 100)

    def test_number_meant_as_no_limit_is_accepted(self):
        changed = copy.deepcopy(VALID)
        changed["services"][0]["maxConnections"] = HUGE
        changed["routes"][0]["backends"][0]["weight"] = HUGE
        command = read_configuration(json.dumps(changed).encode())
        self.assertIsInstance(command, PutConfiguration)

    def test_version_that_no_message_can_hold_is_refused_with_its_value(self):
        body = json.dumps({**VALID, "version": HUGE}).encode()
        self.assertIn(f"version: {HUGE}", "; ".join(read_configuration(body)))

    def test_routes_that_differ_only_in_how_the_port_is_written(self):
        changed = copy.deepcopy(VALID)
        changed["routes"][1]["pathPrefix"] = "/08443/"
        found = read_configuration(json.dumps(changed).encode())
        self.assertIn("same address and port", "; ".join(found))


class LogEntryTest(unittest.TestCase):
    def test_unreadable_entry_in_the_log_keeps_the_former_table(self):
        """As written by another version of the program, or damaged."""
        bodies = [b"", b"{}", b"[" * 3000, zlib.compress(b"[" * 3000), b"\xff"]
        for content in bodies:
            with self.subTest(content[:10]):
                core = self.make_core()
                before = core.table
                core.state = OrderState(9, content, (), 5)
                core._is_table_due = True
                core._publish(1.0)
                self.assertEqual(core.table, before)
                self.assertEqual(core.counters["tables_unreadable"], 1)

    def make_core(self):
        recovered = directcontrol.make_new_replica("10.0.0.1")
        replica = directcontrol.Replica(recovered, [], Random(1))
        return ControlCore(replica, 1, 1, make_table)


class HeartbeatRangesTest(unittest.TestCase):
    def test_each_heartbeat_is_refused_or_can_be_reported(self):
        for path, body in list_variants(HEARTBEAT):
            with self.subTest(path, value=body[-60:]):
                request = HttpRequest("PUT", "/v1/instances/i-1", body)
                found = read_heartbeat(request)
                if isinstance(found, str):
                    found.encode()
                    continue
                self.assertIsInstance(found, UpstreamAnnounced)
                incarnation = f"{found.upstream}@{found.born_ms}"
                report = msgspec.structs.replace(
                    REPORT,
                    service=found.service,
                    zone=found.zone,
                    slots=found.slots,
                    incarnation=incarnation,
                )
                poll = Poll(0, 0, 0, False, False, report)
                encoded = msgspec.msgpack.encode(poll)
                self.assertEqual(msgspec.msgpack.decode(encoded, type=Poll), poll)

    def test_refusal_names_field_and_value(self):
        body = json.dumps({**HEARTBEAT, "slots": HUGE}).encode()
        found = read_heartbeat(HttpRequest("PUT", "/v1/instances/i-1", body))
        self.assertIn("slots", found)
        self.assertIn(str(HUGE), found)

    def test_entry_of_another_writer_is_refused(self):
        """One odd entry among those of upstreams; the others hold."""
        odd = [
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:-1"},
            {"address": "10.0.0.1:" + "9" * 5000},
            {"address": "10.0.0.1"},
            {"address": "desk.example:80"},
            {"address": "10.0.0.256:80"},
            {"state": "resting"},
            {"slots": 0},
            {"slots": HUGE},
            {"sequence": -1},
            {"born": 0.5},
            {"zone": None},
        ]
        for fields in odd:
            with self.subTest(fields):
                body = json.dumps({**HEARTBEAT, **fields}).encode()
                found = read_heartbeat(HttpRequest("PUT", "/v1/instances/i-1", body))
                self.assertIsInstance(found, str)
                self.assertIn(next(iter(fields)), found)

    def test_longest_name_of_an_upstream(self):
        body = json.dumps(HEARTBEAT).encode()
        for size, is_accepted in ((200, True), (100_000, False)):
            path = "/v1/instances/" + "i" * size
            found = read_heartbeat(HttpRequest("PUT", path, body))
            self.assertEqual(isinstance(found, UpstreamAnnounced), is_accepted)


class SettingsRangesTest(unittest.TestCase):
    def test_each_file_is_refused_or_starts_a_host(self):
        stated = {
            **VALID_SETTINGS,
            "bounds": {"coldOvershoot": 1.5, "coldSlack": 5, "addrReuseS": 2},
            "limits": {"linkMbps": 1000.0},
        }
        accepted = 0
        for path, body in list_variants(stated):
            with self.subTest(path, value=body[-60:]):
                settings = parse_settings(body, {})
                if isinstance(settings, list):
                    "; ".join(map(str, settings)).encode()
                    continue
                accepted += 1
                settings.upstreams.count_cold_flows(MAX_COUNT)
                common = (settings.host, settings.zone, list(settings.seeds))
                EntryCore(
                    *common, Random(1), upload_bytes_per_s=settings.link_bytes_per_s
                )
                AgentCore(*common, 1, settings.upstreams, settings.grace_s)
        self.assertGreater(accepted, 100)


class MessageRangesTest(unittest.TestCase):
    def test_messages_with_values_out_of_range_are_refused(self):
        replace = msgspec.structs.replace
        number = 2**64 - 1
        reports = [
            replace(REPORT, host="nowhere"),
            replace(REPORT, host="10.0.0.1\0"),
            replace(REPORT, host="10.0.0.999"),
            replace(REPORT, host="é" * 80),
            replace(REPORT, slots=number),
            replace(REPORT, slots=-1),
            replace(REPORT, packet_port=65_536),
            replace(REPORT, process=number),
            replace(REPORT, revision=number),
            replace(REPORT, work_ms=number),
            replace(REPORT, load_level=11),
            replace(REPORT, service="x" * 70_000),
            replace(REPORT, incarnation="x" * 70_000),
        ]
        messages = [Poll(0, 0, 0, False, False, report) for report in reports]
        messages += [
            Poll(number, 0, 0, False),
            Poll(-1, 0, 0, False),
            KeptFlows("nowhere", 1, "", 1, True),
            KeptFlows("10.0.0.1", number, "", 1, True),
            # A voter that grants the last term there is could not begin another.
            VoteRequest(
                "g", ReplicaId("a", "d"), ReplicaId("b", "d"), number, 1, 1, True
            ),
            VoteReply("g", ReplicaId("a", "d"), number, False, True),
        ]
        for message in messages:
            with self.subTest(message):
                content = msgspec.msgpack.encode(message)
                with self.assertRaises(DECODE_ERRORS):
                    directcontrol.decode_message(content)

    def test_deeply_nested_messages_are_refused(self):
        for content in (b"\x91" * 100_000, b"\x81\x01" * 50_000):
            with self.assertRaises(DECODE_ERRORS):
                directcontrol.decode_message(content)


if __name__ == "__main__":
    unittest.main()
