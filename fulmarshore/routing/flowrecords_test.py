"""Records of a planned restart are valid only while the agent is a member."""

from unittest import TestCase

from fulmarshore.core.records import (
    Address,
    FlowRecord,
    FlowRecords,
    FlowRecordsRequest,
    Identity,
    LinkMessage,
    Member,
    Removed,
    SendPeer,
)
from fulmarshore.membership.view import View, change_view, make_delta
from fulmarshore.routing.agent_test import (
    AgentCase,
    get_address,
    make_member,
    make_view,
)
from fulmarshore.routing.flowrecords import RecordStore
from fulmarshore.routing.recordtransfer import RecordTransfer

MEMBER = Member("a", 1, "s", "z", "127.0.0.1", 7)
ADDRESS = Address("127.0.0.1", 7)
RECORD = FlowRecord(b"k" * 16, "10.0.0.1", 7, "entry", 4000, 1)
VERSION = 5
LEASE_LEFT_S = 2.5


def make_records():
    return FlowRecords("s", "a", 1, VERSION, "a", 0, 1, [RECORD], LEASE_LEFT_S)


class RecordStoreTest(TestCase):
    def test_records_are_valid_while_the_agent_is_a_member(self):
        view = change_view(View(), VERSION, [MEMBER], [])
        evicted = change_view(view, 6, [], [Removed(6, "Member", "a")])
        snapshot = View(6, view.items, (), 6)
        table = [
            ("always a member", view, 10.0, True),
            ("not certain after a snapshot", snapshot, 10.0, False),
            ("a lease that runs on", snapshot, 1.4, True),
            ("a lease that may be over", snapshot, 1.6, False),
            ("evicted after the records were made", evicted, 1.6, False),
        ]
        for title, held, now, is_valid in table:
            with self.subTest(title):
                holder = RecordStore()
                holder.store(make_records(), 0.0)
                self.assertEqual(bool(holder.find("a", 1, held, now)), is_valid)

    def test_holder_with_an_older_view_answers_later(self):
        view = change_view(View(), VERSION, [MEMBER], [])
        for version, parts in ((VERSION, [1]), (VERSION + 1, [])):
            with self.subTest(version=version):
                peer = RecordTransfer(Identity("b", 1), "s")
                peer.handle(make_records(), ADDRESS, view, 0.0)
                request = FlowRecordsRequest("s", "a", 2, version)
                effects = peer.handle(request, ADDRESS, view, 0.5)
                sent = [e.message.parts for e in effects if isinstance(e, SendPeer)]
                self.assertEqual(sent, parts)


class OlderViewTest(AgentCase):
    def test_holder_does_not_request_the_view_of_the_successor(self):
        core = self.start("b")
        record = FlowRecord(b"k" * 16, "10.0.0.1", 7, "entry", 4000, 1)
        kept = FlowRecords("s", "a", 1, 3, "a", 0, 1, [record], LEASE_LEFT_S)
        self.send(core, kept, get_address("a"), 2.0)
        request = FlowRecordsRequest("s", "a", 2, 4)
        self.assertEqual(self.send(core, request, get_address("a"), 2.1), [])
        view = change_view(make_view(), 4, [make_member("a", incarnation=2)], [])
        core.handle(LinkMessage("x", make_delta(view, 3)), 2.2)
        effects = self.send(core, request, get_address("a"), 9.0)
        parts = [found.parts for found in self.list_sent(effects, FlowRecords)]
        self.assertEqual(parts, [1])
