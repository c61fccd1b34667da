"""Processes that start with a lower incarnation than an earlier process."""

from random import Random
from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.records import (
    Identity,
    IncarnationOutdated,
    LinkMessage,
    Member,
    MemberState,
    Tick,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.standins.region import Region

JOIN_BOUND_S = 3.0


class Process:
    """A process that restarts when its incarnation is outdated, as daemons do."""

    def __init__(self, name, incarnation, host, controls):
        self.name = name
        self.host = host
        self.controls = controls
        self.restart(incarnation)

    def restart(self, incarnation):
        identity = Identity(self.name, incarnation)
        member = Member(self.name, incarnation, "s", "a", self.host, 1)
        random = Random(self.name)
        self.subscriber = Subscriber(identity, member, self.controls, random)

    def handle(self, event, now):
        if isinstance(event, Tick):
            return self.subscriber.tick(now)
        effects = self.subscriber.handle(event, now)
        for effect in effects:
            if isinstance(effect, IncarnationOutdated):
                self.restart(effect.newest + 1)
                return []
        return effects


class SubscriberTest(TestCase):
    def start(self, region, name, incarnation, host):
        process = Process(name, incarnation, host, region.names)
        region.network.add(name, process)
        return process

    def list_members(self, region):
        items = region.find_leader().state.view.items.values()
        return [
            (stamped.item.name, stamped.item.incarnation)
            for stamped in items
            if isinstance(stamped.item, Member)
        ]

    def test_process_can_join_after_its_clock_was_set_back(self):
        cases = [
            ("the same host, before its lease has ended", "m", "m", 0.1, 8),
            ("the same host, after its lease has ended", "m", "m", 2 * LEASE_S, 8),
            ("a new host at the address of one just lost", "n", "m", 0.1, 8),
            ("a new host elsewhere", "n", "n", 2 * LEASE_S, 3),
        ]
        for case, name, host, pause, incarnation in cases:
            with self.subTest(case):
                region = Region(1)
                self.start(region, "m", 7, "m")
                region.network.run(JOIN_BOUND_S)
                self.assertEqual(self.list_members(region), [("m", 7)])
                region.network.stop("m")
                region.network.run(pause)
                process = self.start(region, name, 3, host)
                region.network.run(LEASE_S + JOIN_BOUND_S)
                self.assertEqual(self.list_members(region), [(name, incarnation)])
                self.assertTrue(process.subscriber.is_member)

    def test_lost_announcement_is_repeated(self):
        region = Region(1)
        process = self.start(region, "m", 3, "m")
        region.network.run(JOIN_BOUND_S)
        lost = []

        def handle(event, now):
            # The reply to an earlier heartbeat is still in flight.
            if isinstance(event, LinkMessage) and not lost:
                member = process.subscriber.announcement
                drained = replace(member, state=MemberState.DRAINING)
                lost.extend(process.subscriber.announce(drained))
            return Process.handle(process, event, now)

        process.handle = handle
        region.network.run(JOIN_BOUND_S)
        self.assertEqual(len(lost), 1)
        item = region.find_leader().state.view.items["Member", "m"].item
        self.assertEqual(item.state, MemberState.DRAINING)

    def test_newer_of_two_processes_with_one_name_stays_member(self):
        region = Region(1)
        older = self.start(region, "m", 3, "m")
        region.network.run(JOIN_BOUND_S)
        region.network.add("twin", Process("m", 7, "elsewhere", region.names))
        region.network.run(JOIN_BOUND_S)
        renewed = older.subscriber.lease_renewed_at
        region.network.run(3 * LEASE_S)
        self.assertEqual(self.list_members(region), [("m", 7)])
        self.assertEqual(older.subscriber.identity.incarnation, 3)
        self.assertEqual(older.subscriber.lease_renewed_at, renewed)
