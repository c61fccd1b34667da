"""Copies of flow records, sent batch by batch, and their recovery."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Address,
    FlowCopyAck,
    Identity,
    Member,
    Profile,
    Removed,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.continuity import ReturnedRecords
from fulmarshore.routing.copysender import CopySender
from fulmarshore.routing.copystream import (
    BATCH_INTERVAL_S,
    MAX_BATCH_BYTES,
    make_record,
)
from fulmarshore.routing.flowrecords import Recovery, split_records
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.heldcopies import HeldCopies
from fulmarshore.routing.table import Table

CALLER = Address("10.0.0.1", 7)
VERSION = 5
MAX_BATCHES = 100
HEAD_BYTES = 60


def make_member(name, incarnation=1):
    return Member(name, incarnation, "s", "z", "127.0.0.1", 100 + ord(name))


def make_view(names="abc", incarnation=1):
    items = [
        Profile("p", TrafficKind.FEED),
        Service("s", "p", "127.0.0.9", 80),
        Zone("z"),
    ]
    items += [make_member(name, incarnation) for name in names]
    return change_view(View(), VERSION, items, [])


class CopySenderCase(TestCase):
    def setUp(self):
        self.now = 0.0
        self.flows = {}
        self.copy_sender = CopySender(Identity("a", 1), "s")
        self.holders = {"b": HeldCopies(), "c": HeldCopies()}
        self.update(make_view())

    def update(self, view):
        return self.copy_sender.update(Table(view).services["s"], self.flows)

    def open(self, *numbers, port=0):
        for number in numbers:
            key = bytes([number]) * 16
            flow = Flow(key, CALLER, "entry", None, 1, 0.0)
            flow.local_port = port or 1000 + number
            self.flows[key] = flow
            self.copy_sender.record_opened(key)

    def end(self, number):
        """End a flow; return whether its report is deferred."""
        return self.copy_sender.record_ended(self.flows.pop(bytes([number]) * 16))

    def list_due(self):
        self.now += BATCH_INTERVAL_S
        return self.copy_sender.list_due(VERSION, self.flows, self.now)

    def acknowledge(self, batch, holder, is_applied=True):
        head = ("s", holder, 1, VERSION, batch.number)
        return self.copy_sender.handle_ack(
            FlowCopyAck(*head, not is_applied), self.flows
        )

    def run_round(self, holders="bc"):
        """Deliver the batches that are due; return the ended flows to report."""
        reportable = []
        for member, batch in self.list_due():
            if member.name not in holders:
                continue
            is_applied = self.holders[member.name].apply(batch)
            if is_applied is not None:
                reportable += self.acknowledge(batch, member.name, is_applied)
        return [flow.key[0] for flow in reportable]

    def run_all(self):
        for _ in range(MAX_BATCHES):
            if not self.run_round() and not self.list_due():
                return
        raise AssertionError("the batches do not end")

    def list_copied(self, holder, view=None, previous_incarnation=1):
        copy = self.holders[holder].find("a", previous_incarnation, view or make_view())
        records = copy.records.values() if copy is not None else ()
        return sorted((record.flow[0], record.local_port) for record in records)


class BatchTest(CopySenderCase):
    def test_holder_has_open_flows_and_no_ended_ones(self):
        self.open(*range(1, 30))
        self.run_all()
        for number in range(1, 20):
            self.end(number)
        self.open(40)
        self.run_all()
        expected = [(number, 1000 + number) for number in (*range(20, 30), 40)]
        self.assertEqual(self.list_copied("b"), expected)
        self.assertEqual(self.list_copied("c"), expected)

    def test_batch_is_bounded_and_ends_go_first(self):
        self.open(*range(1, 81))
        self.run_all()
        self.open(*range(100, 200))
        for number in range(1, 81):
            self.end(number)
        batches = []
        for _ in range(MAX_BATCHES):
            batches += [batch for _, batch in self.list_due()]
            self.run_round()
        sizes = [len(encode(batch)) for batch in batches]
        self.assertLess(max(sizes), MAX_BATCH_BYTES + HEAD_BYTES)
        self.assertEqual((len(batches[0].ended), batches[0].opened), (50, []))
        self.assertEqual(len(self.list_copied("b")), 100)

    def test_lost_duplicated_late_and_reordered_batches(self):
        self.open(1, 2)
        first = self.list_due()
        again = self.list_due()
        self.assertEqual([b for _, b in first], [b for _, b in again])
        holder = self.holders["b"]
        batch = first[0][1]
        self.assertTrue(holder.apply(batch))
        self.assertTrue(holder.apply(batch))
        self.acknowledge(batch, "b")
        self.end(1)
        (later,) = [b for m, b in self.list_due() if m.name == "b"]
        self.acknowledge(batch, "b")
        self.assertEqual(self.list_due()[0][1], later, "a late ack has no effect")
        self.assertTrue(holder.apply(later))
        self.assertTrue(holder.apply(later))
        self.assertIsNone(holder.apply(batch))
        self.assertFalse(holder.apply(replace(later, number=9, previous=8)))
        self.assertEqual(self.list_copied("b"), [(2, 1002)])

    def test_batch_without_its_copy_is_reported_lost_and_all_is_resent(self):
        self.open(1)
        self.run_all()
        self.holders["b"] = HeldCopies()
        self.open(2)
        self.run_round()
        self.assertEqual(self.list_copied("b"), [])
        self.run_all()
        self.assertEqual(self.list_copied("b"), [(1, 1001), (2, 1002)])

    def test_reopened_flow_is_copied_with_its_new_port(self):
        self.open(1)
        self.run_all()
        self.end(1)
        for port in (4000, 5000):
            self.open(1, port=port)
            self.run_all()
            self.assertEqual(self.list_copied("b"), [(1, port)])

    def test_peer_that_joins_or_restarts_gets_all_records(self):
        self.open(1, 2)
        self.run_all()
        for title, view in (
            ("the other holder is lost", make_view("abd")),
            ("a new incarnation", make_view("abd", 2)),
        ):
            with self.subTest(title):
                self.holders = {"b": self.holders["b"], "d": HeldCopies()}
                view = replace(view, version=VERSION)
                self.copy_sender.update(Table(view).services["s"], self.flows)
                for _ in range(4):
                    for member, batch in self.list_due():
                        self.assertEqual(batch.holder_incarnation, member.incarnation)
                        self.holders[member.name].apply(batch)
                        head = ("s", member.name, member.incarnation, VERSION)
                        ack = FlowCopyAck(*head, batch.number)
                        self.copy_sender.handle_ack(ack, self.flows)
                self.assertEqual(self.list_copied("d"), [(1, 1001), (2, 1002)])


class ResumeTest(CopySenderCase):
    def test_only_changes_since_the_returned_records_are_sent(self):
        self.open(1, 2, 3)
        records = [make_record(flow) for flow in self.flows.values()]
        returned = ReturnedRecords(1, 5, records)
        del self.flows[records[2].flow]
        self.flows[records[1].flow].local_port = 4000
        self.copy_sender = CopySender(Identity("a", 1), "s")
        self.holders["b"].record_returned("a", returned)
        service = Table(make_view()).services["s"]
        self.copy_sender.update(service, self.flows, {"b": returned})
        (first,) = [b for m, b in self.list_due() if m.name == "b"]
        self.assertEqual([record.flow for record in first.opened], [records[1].flow])
        self.run_all()
        for holder in ("b", "c"):
            self.assertEqual(self.list_copied(holder), [(1, 1001), (2, 4000)])


class EndTest(CopySenderCase):
    def test_end_is_reported_once_no_holder_has_the_record(self):
        self.open(1)
        self.assertFalse(self.end(1), "no holder was sent its record")
        self.open(1, 2)
        self.run_all()
        self.assertTrue(self.end(1))
        self.assertTrue(self.copy_sender.is_ending(bytes([1]) * 16))
        self.assertEqual([flow.key[0] for flow in self.copy_sender.ending], [1])
        self.assertEqual(self.run_round("b"), [])
        self.assertEqual(self.run_round("bc"), [1])
        self.assertFalse(self.copy_sender.is_ending(bytes([1]) * 16))

    def test_end_waits_for_a_record_in_flight(self):
        self.open(1)
        batches = self.list_due()
        self.assertTrue(self.end(1))
        for member, batch in batches:
            self.holders[member.name].apply(batch)
            self.assertEqual(self.acknowledge(batch, member.name), [])
        self.assertEqual(self.run_round("b"), [])
        self.assertEqual(self.run_round("c"), [1])

    def test_lost_holder_does_not_defer_reports(self):
        self.open(1)
        self.run_all()
        self.end(1)
        self.run_round("b")
        reportable = self.update(make_view("ab"))
        self.assertEqual([flow.key[0] for flow in reportable], [1])

    def test_nothing_is_reported_once_the_agent_hands_over(self):
        self.open(1)
        self.copy_sender.freeze()
        self.assertTrue(self.end(1))
        self.assertEqual(self.list_due(), [])


class HolderTest(CopySenderCase):
    def test_copy_is_valid_only_for_a_continuous_membership(self):
        self.open(1)
        self.run_all()
        view = make_view()
        gone = [Removed(0, "Member", "a")]
        evicted = change_view(view, 6, [], gone)
        rejoined = change_view(evicted, 7, [make_member("a", 2)], [])
        out = change_view(view, 6, [Zone("z", True)], [])
        back = change_view(out, 7, [Zone("z")], [])
        table = [
            ("replaced in time", change_view(view, 6, [make_member("a", 2)], []), 1),
            ("too late", rejoined, 0),
            ("zone out and in", back, 0),
            ("removals no longer listed", View(6, view.items, (), 6), 0),
        ]
        for title, held, count in table:
            with self.subTest(title):
                self.assertEqual(len(self.list_copied("b", held)), count)
        self.assertEqual(
            self.list_copied("b", previous_incarnation=2),
            [],
            "another incarnation in between",
        )

    def test_holder_that_was_gone_itself_ignores_late_batches(self):
        self.open(1)
        (_, late), *_ = self.list_due()
        holder = self.holders["b"]
        holder.apply(late)
        holder.clear(VERSION + 1)
        self.assertIsNone(holder.apply(late))
        self.assertEqual(self.list_copied("b"), [])


class RecoveryTest(CopySenderCase):
    def make_parts(self, sender, last_batch, ports, incarnation=1):
        self.flows = {}
        self.open(*ports)
        records = [self.record(number, port) for number, port in ports.items()]
        head = ("s", "a", incarnation, VERSION, 0.0)
        return split_records(*head, records, sender, last_batch)

    def record(self, number, port):
        flow = self.flows[bytes([number]) * 16]
        flow.local_port = port
        return make_record(flow)

    def test_which_records_are_recovered(self):
        older = self.make_parts("b", 3, {1: 10, 2: 20})
        newer = self.make_parts("c", 4, {2: 21, 3: 30})
        handed_over = self.make_parts("c", 0, {2: 22})
        no_records = [replace(older[0], sender="c", incarnation=0, parts=0, flows=[])]
        later = [replace(no_records[0], incarnation=2)]
        table = [
            ("both copies", [older, newer], 0.1, {1: 10, 2: 21, 3: 30}),
            ("the same in another order", [newer, older], 0.1, {1: 10, 2: 21, 3: 30}),
            ("one holder is new", [older, no_records], 0.1, {1: 10, 2: 20}),
            ("an incarnation in between", [older, later], 0.1, {}),
            ("one does not answer", [older], 5.0, {}),
            ("whole hand-over", [older, handed_over], 0.1, {2: 22}),
            ("whole hand-over, one does not answer", [handed_over], 1.1, {2: 22}),
        ]
        for title, answers, now, expected in table:
            with self.subTest(title):
                recovery = Recovery({"b", "c"}, 0.0)
                for parts in answers:
                    for part in parts:
                        recovery.add_part(part.sender, part)
                self.assertTrue(recovery.is_done(now))
                found = {r.flow[0]: r.local_port for r in recovery.list_records()}
                self.assertEqual(found, expected)

    def test_unresponsive_peer_is_waited_for_until_it_is_no_member(self):
        recovery = Recovery({"b", "c"}, 0.0)
        for part in self.make_parts("b", 3, {1: 10}):
            recovery.add_part("b", part)
        self.assertFalse(recovery.is_done(2.9))
        recovery.update({"a", "b"})
        self.assertTrue(recovery.is_done(2.9))
        self.assertEqual(len(recovery.list_records()), 1)
