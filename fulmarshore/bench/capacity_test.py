from unittest import TestCase

from fulmarshore.bench.capacity import list_items, measure_region
from fulmarshore.core.records import EntryHost, Member, Service


class CapacityTest(TestCase):
    def test_region_has_the_requested_size(self):
        items = list_items(100)
        table = [(Member, 100), (Service, 25), (EntryHost, 9)]
        for kind, count in table:
            with self.subTest(kind=kind.__name__):
                found = [item for item in items if isinstance(item, kind)]
                self.assertEqual(len(found), count)

    def test_state_grows_with_endpoints(self):
        small, large = measure_region(8), measure_region(40)
        self.assertEqual((small.services, large.services), (2, 10))
        self.assertGreater(large.snapshot_bytes, small.snapshot_bytes)
        self.assertGreater(large.rows_bytes, small.rows_bytes)
