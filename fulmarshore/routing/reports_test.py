"""Load reports stay within their bandwidth, however the load changes."""

from unittest import TestCase

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Member, Profile, Service, TrafficKind, Zone
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.reports import REPORT_BYTES_PER_S, SEAL_BYTES, LoadReporter
from fulmarshore.routing.table import Table

SECONDS = 30
TICK_S = 0.01


def make_service(members):
    items = [
        Profile("p", TrafficKind.FEED),
        Service("s", "p", "127.0.0.9", 80),
        Zone("z"),
    ]
    for number in range(members):
        items.append(Member(f"s-{number}", 1, "s", "z", "127.0.0.1", 9 + number))
    return Table(change_view(View(), 1, items, [])).services["s"]


class ReportBytesTest(TestCase):
    def test_reports_of_a_surge_stay_within_the_bandwidth(self):
        for members in (3, 4, 7, 60):
            with self.subTest(members=members):
                service = make_service(members)
                reporter = LoadReporter("s-0", 1)
                sizes = []
                for tick in range(int(SECONDS / TICK_S)):
                    # From 2000 to 8000 flows in three seconds, then a drop.
                    flows = 2000 + 20 * (tick % 300)
                    reports = reporter.list_due_reports(
                        service, 1, flows, 9000, 20 * tick, tick * TICK_S
                    )
                    size = sum(len(encode(one)) + SEAL_BYTES for _, one in reports)
                    sizes.append(size)
                largest = max(sizes)
                self.assertGreater(largest, 0)
                self.assertLessEqual(sum(sizes), SECONDS * REPORT_BYTES_PER_S + largest)
                self.assertGreater(sum(sizes), 0.5 * SECONDS * REPORT_BYTES_PER_S)
