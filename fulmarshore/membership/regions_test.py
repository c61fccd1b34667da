"""Processes and control hosts that contact another region by a wrong address."""

from collections import Counter
from random import Random
from unittest import TestCase

import msgspec

from fulmarshore.agreement.joining import BOOTSTRAP_WAIT_S
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Change,
    ChangeStatus,
    Heartbeat,
    HeartbeatReport,
    Identity,
    JoinReply,
    LinkMessage,
    LogBase,
    Member,
    Recovered,
    Relay,
    ReplicaId,
    Subscribe,
    TermVote,
    Tick,
    Zone,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.control_test import Listener
from fulmarshore.membership.regions import MAX_REPORTED_SENDERS, RegionGuard
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.standins.region import Region

JOIN_BOUND_S = 3.0
OWN, OTHER = "khomas", "accra"
MEMBER = Member("m", 1, "s", "a", "m", 1)


class Process:
    """A subscriber without a role on the data path."""

    def __init__(self, controls, region, member=MEMBER):
        identity = Identity(member.name, member.incarnation)
        self.subscriber = Subscriber(identity, member, controls, Random(1), region)

    def handle(self, event, now):
        if isinstance(event, Tick):
            return self.subscriber.tick(now)
        return self.subscriber.handle(event, now)


def list_refusals(region, name):
    """Return the refusals that a node reported."""
    reported = []
    for _, node, effect in region.network.outbox:
        if node == name and getattr(effect, "kind", "") == "region_refused":
            reported.append((effect.peer, effect.detail))
    return reported


class RegionsTest(TestCase):
    def test_process_of_another_region_does_not_join(self):
        cases = [
            (OWN, OTHER, False),
            (OWN, OWN, True),
            (OWN, "", True),
            ("", OWN, True),
        ]
        for named, stated, joins in cases:
            with self.subTest(control=named, process=stated):
                region = Region(1, region=named)
                process = Process(region.names, stated)
                region.network.add("m", process, observe=region._observe)
                region.network.run(JOIN_BOUND_S)
                self.assertEqual(process.subscriber.is_member, joins)
                state = region.find_leader().state
                self.assertEqual(("Member", "m") in state.view.items, joins)
                refused = process.subscriber.counters["region_refused"]
                self.assertEqual(refused > 0, not joins)
                if joins:
                    continue
                allowed = f"--region {OTHER}: allowed is {OWN}"
                for name in region.names:
                    self.assertEqual(list_refusals(region, name), [("m", allowed)])
                reported = list_refusals(region, "m")
                self.assertEqual(reported, [(name, allowed) for name, _ in reported])
                self.assertEqual({name for name, _ in reported}, set(region.names))
                bound = JOIN_BOUND_S / 0.5 + 2 * len(region.names)
                self.assertLessEqual(
                    refused, bound, "requests keep to the usual interval"
                )

    def test_one_wrong_address_does_not_cost_the_membership(self):
        region = Region(1, region=OWN)
        other = Region(2, network=region.network, region=OTHER, prefix="d")
        process = Process(["d0", *region.names], OWN)
        region.network.add("m", process, observe=region._observe)
        for cut in (*region.names, ""):
            region.network.run(JOIN_BOUND_S)
            self.assertTrue(process.subscriber.is_member)
            self.assertNotIn(("Member", "m"), other.find_leader().state.view.items)
            region.network.heal()
            if cut:
                region.network.partition([cut], ["m"])
        # The membership survives every switch of the control host.
        region.network.run(LEASE_S)
        member = region.find_leader().state.view.items[("Member", "m")]
        self.assertEqual(member.item, MEMBER)

    def test_control_host_of_another_region_gets_no_vote(self):
        for stated, votes in ((OTHER, False), (OWN, True), ("", True)):
            with self.subTest(stated):
                region = Region(1, region=OWN)
                leader = region.find_leader().name
                name = next(name for name in region.names if name != leader)
                region.crash(name)
                region.disks[name].wipe()
                region.region = stated
                region.start(name)
                region.network.run(3 * JOIN_BOUND_S)
                new = region.get(name).replica.identity
                voters = region.find_leader().replica.current_voters
                self.assertEqual(new in voters, votes)
                reported = f"--region {OTHER}: allowed is {OWN}"
                self.assertEqual(
                    (name, reported) in list_refusals(region, leader), not votes
                )

    def test_bootstrap_ignores_the_group_of_another_region(self):
        for stated, starts in ((OTHER, True), (OWN, False), ("", False)):
            with self.subTest(stated):
                disk = ReplicaId("c0", "d")
                vote = TermVote("", 0, None)
                new = Recovered(disk, 0, vote, LogBase(0, 0), None, [], 0)
                replica = Replica(new, ["c1"], Random(1), True, OWN)
                core = ControlCore("c0", replica)
                core.handle(Tick(), 0.0)
                reply = JoinReply("g", ReplicaId("c1", "x"), False, stated)
                core.handle(LinkMessage("c1", reply), 0.1)
                core.handle(Tick(), BOOTSTRAP_WAIT_S + 0.1)
                self.assertEqual(bool(replica.group), starts)

    def test_messages_of_a_control_host_of_another_region_are_refused(self):
        """A wrong ``--peer`` address sends a region's messages to another leader."""
        region = Region(1, region=OWN)
        process = Process(region.names, OWN)
        region.network.add("m", process)
        alive = Member("alive", 1, "s", "a", "alive", 1)
        region.network.add("alive", Process(region.names, OWN, alive))
        region.network.add("rival", Listener())
        region.network.run(JOIN_BOUND_S)
        leader = region.find_leader()
        number = leader.state.next_number
        region.network.stop("m")
        rival = Identity("rival-member", 1)
        member = Member(rival.name, rival.incarnation, "s", "a", "rival", 1)
        messages = [
            Relay("op", Change(number, "op", [Zone("a", True)], []), OTHER),
            Relay("", Subscribe(rival, member, 0, region=OTHER)),
            Relay("", Subscribe(rival, member, 0), OTHER),
            HeartbeatReport("c1", [Heartbeat(process.subscriber.identity, 0)], OTHER),
        ]
        for _ in range(10):
            for message in messages:
                region.network.inject(leader.name, LinkMessage("rival", message))
            region.network.run(LEASE_S / 5)
        items = region.find_leader().state.view.items
        expected = [("Member", "alive")]
        self.assertEqual(
            list(items), expected, "nothing is kept alive, changed or added"
        )
        answer = region.network.nodes["rival"].core.answers[0].message
        self.assertEqual(answer.status, ChangeStatus.INVALID)
        self.assertEqual(answer.errors, [f"--region {OTHER}: allowed is {OWN}"])

    def test_each_sender_is_reported_once_and_memory_is_bounded(self):
        counters = Counter()
        guard = RegionGuard("c0", OWN, counters)
        reported = 0
        for number in [
            *range(MAX_REPORTED_SENDERS + 8),
            MAX_REPORTED_SENDERS,
            MAX_REPORTED_SENDERS,
        ]:
            identity = Identity(f"m{number}", 1)
            message = Subscribe(identity, MEMBER, 0, region=OTHER)
            answer, *events = guard.check(LinkMessage("p", message))
            self.assertEqual(answer.message.allowed, OWN)
            reported += len(events)
        self.assertEqual(reported, MAX_REPORTED_SENDERS + 8)
        self.assertEqual(counters["region_refused"], MAX_REPORTED_SENDERS + 10)
        self.assertLessEqual(len(guard._reported), MAX_REPORTED_SENDERS)

    def test_records_of_older_and_newer_releases_are_decoded(self):
        subscribe = Subscribe(Identity("m", 1), MEMBER, 3, 4, OWN)
        fields = msgspec.msgpack.decode(encode(subscribe))
        before = msgspec.msgpack.encode(fields[:-1])
        after = msgspec.msgpack.encode([*fields, "later"])
        self.assertEqual(decode_control(before, "p").region, "")
        self.assertEqual(decode_control(after, "p"), subscribe)
