"""What every process gets when an availability zone is lost after its zone out."""

from unittest import TestCase

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Heartbeat, Identity, Member, Removed, Zone
from fulmarshore.membership.leases import LEASE_S, Leases
from fulmarshore.membership.view import View, change_view, make_delta

MEMBERS = 765
"""Processes of an availability zone at the size that the design is made for."""
OTHERS = 40
CONTROL_BYTES_PER_S = 5000
SCAN_S = 0.25
ALIVE = Member("alive", 1_700_000_000_000_000, "s", "b", "10.0.0.1", 1)


def make_members(zone, count):
    stamp = 1_700_000_000_000_000
    for number in range(count):
        name = f"host-{zone}-{number:05d}"
        yield Member(name, stamp, f"service-{number}", zone, "10.1.2.3", 1024 + number)


class LostZoneTest(TestCase):
    def lose(self, zone_out, back_at=float("inf")):
        """Return at which times how many of a zone left, and the bytes of it."""
        lost = list(make_members("a", MEMBERS))
        others = list(make_members("b", OTHERS))
        items = [Zone("a", zone_out), ALIVE, *lost, *others]
        view = change_view(View(), 1, items, [])
        leases = Leases()
        leases.reset(view, 0.0)
        gone = {"a": [], "b": []}
        sizes = []
        now = 0.0
        while now < LEASE_S + 15.0:
            now += SCAN_S
            version = view.version
            if now >= back_at and view.items["Zone", "a"].item.out:
                view = change_view(view, view.version + 1, [Zone("a", False)], [])
            leases.hear(Heartbeat(Identity(ALIVE.name, ALIVE.incarnation), 1), now)
            expired = leases.list_expired(view, view.version, now)
            removed = []
            for command in expired:
                name = command.identity.name
                zone = view.items["Member", name].item.zone
                gone[zone].append(now)
                removed.append(Removed(0, "Member", name))
            if removed:
                view = change_view(view, view.version + 1, [], removed)
            if view.version > version:
                sizes.append((now, len(encode(make_delta(view, version)))))
        self.assertEqual(len(gone["a"]), MEMBERS)
        self.assertEqual(len(gone["b"]), OTHERS)
        return gone, sizes

    def find_peak(self, sizes):
        """Return the most bytes within a second."""
        peaks = []
        for start, _ in sizes:
            within = [size for at, size in sizes if start <= at < start + 1.0]
            peaks.append(sum(within))
        return max(peaks)

    def test_members_of_a_zone_that_is_out_leave_at_a_pace(self):
        gone, sizes = self.lose(zone_out=True)
        others = sum(size for at, size in sizes if at == gone["b"][0])
        self.assertLessEqual(gone["b"][-1], LEASE_S + SCAN_S, "others leave at once")
        self.assertLessEqual(gone["a"][-1], LEASE_S + 7.0)
        paced = [(at, size) for at, size in sizes if at > gone["b"][0]]
        self.assertLessEqual(self.find_peak(paced), CONTROL_BYTES_PER_S)
        self.assertLessEqual(others, CONTROL_BYTES_PER_S + 30 * OTHERS)

    def test_members_of_a_zone_that_is_in_leave_at_once(self):
        gone, sizes = self.lose(zone_out=False)
        self.assertLessEqual(gone["a"][-1], LEASE_S + SCAN_S)
        self.assertGreater(self.find_peak(sizes), 4 * CONTROL_BYTES_PER_S)

    def test_nobody_who_is_gone_comes_back_with_the_zone(self):
        back = LEASE_S + 2.0
        gone, _ = self.lose(zone_out=True, back_at=back)
        self.assertLessEqual(gone["a"][-1], back + SCAN_S)
