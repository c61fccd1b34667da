"""Bytes sent to each process when an availability zone is lost after a zone out."""

from unittest import TestCase

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Heartbeat, Identity, Member, Removed, Zone
from fulmarshore.membership.leases import LEASE_S, LeaseTable
from fulmarshore.membership.view import View, change_view, make_delta

MEMBERS = 765
"""Processes of an availability zone at the design size."""
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
        """Lose a zone; return the expiry times by zone and the sizes of the deltas."""
        lost = list(make_members("a", MEMBERS))
        others = list(make_members("b", OTHERS))
        items = [Zone("a", zone_out), ALIVE, *lost, *others]
        view = change_view(View(), 1, items, [])
        leases = LeaseTable()
        leases.reset(view, 0.0)
        expiries = {"a": [], "b": []}
        sizes = []
        now = 0.0
        while now < LEASE_S + 15.0:
            now += SCAN_S
            version = view.version
            if now >= back_at and view.items["Zone", "a"].item.out:
                view = change_view(view, view.version + 1, [Zone("a", False)], [])
            leases.record_heartbeat(
                Heartbeat(Identity(ALIVE.name, ALIVE.incarnation), 1), now
            )
            expired = leases.list_expired(view, view.version, now)
            removed = []
            for command in expired:
                name = command.identity.name
                zone = view.items["Member", name].item.zone
                expiries[zone].append(now)
                removed.append(Removed(0, "Member", name))
            if removed:
                view = change_view(view, view.version + 1, [], removed)
            if view.version > version:
                sizes.append((now, len(encode(make_delta(view, version)))))
        self.assertEqual(len(expiries["a"]), MEMBERS)
        self.assertEqual(len(expiries["b"]), OTHERS)
        return expiries, sizes

    def find_peak_bytes(self, sizes):
        """Return the largest number of bytes within one second."""
        peaks = []
        for start, _ in sizes:
            within = [size for at, size in sizes if start <= at < start + 1.0]
            peaks.append(sum(within))
        return max(peaks)

    def test_members_of_a_zone_that_is_out_expire_at_a_limited_rate(self):
        expiries, sizes = self.lose(zone_out=True)
        others = sum(size for at, size in sizes if at == expiries["b"][0])
        self.assertLessEqual(
            expiries["b"][-1], LEASE_S + SCAN_S, "others expire at once"
        )
        self.assertLessEqual(expiries["a"][-1], LEASE_S + 7.0)
        limited = [(at, size) for at, size in sizes if at > expiries["b"][0]]
        self.assertLessEqual(self.find_peak_bytes(limited), CONTROL_BYTES_PER_S)
        self.assertLessEqual(others, CONTROL_BYTES_PER_S + 30 * OTHERS)

    def test_members_of_a_zone_that_is_in_expire_at_once(self):
        expiries, sizes = self.lose(zone_out=False)
        self.assertLessEqual(expiries["a"][-1], LEASE_S + SCAN_S)
        self.assertGreater(self.find_peak_bytes(sizes), 4 * CONTROL_BYTES_PER_S)

    def test_lost_members_expire_when_their_zone_is_put_back_in(self):
        back = LEASE_S + 2.0
        expiries, _ = self.lose(zone_out=True, back_at=back)
        self.assertLessEqual(expiries["a"][-1], back + SCAN_S)
