from types import SimpleNamespace
from unittest import TestCase

from fulmarshore.admission.queue import FairQueue


def make_item(caller, start_by):
    return SimpleNamespace(caller=caller, start_by=start_by)


class FairQueueTest(TestCase):
    def test_serves_callers_in_turn_and_each_by_deadline(self):
        table = [
            ("one caller", [("a", 3), ("a", 1), ("a", 2)], "a1 a2 a3"),
            ("in turn", [("a", 1), ("a", 2), ("b", 9), ("a", 3)], "a1 b9 a2 a3"),
            ("three", [("a", 1), ("b", 1), ("c", 1), ("a", 2)], "a1 b1 c1 a2"),
        ]
        for title, items, expected in table:
            with self.subTest(title):
                queue = FairQueue(10)
                for caller, start_by in items:
                    self.assertIsNone(queue.push(make_item(caller, start_by)))
                served = []
                while (item := queue.pop()) is not None:
                    served.append(f"{item.caller}{item.start_by}")
                self.assertEqual(" ".join(served), expected)

    def test_full_queue_displaces_an_item_of_the_largest_caller(self):
        table = [
            ("item of the flooding caller itself", "aaaa", ("a", 9), "a9"),
            ("item of another caller", "aaaa", ("b", 9), "a3"),
            ("callers with equally many items", "aabb", ("b", 9), "b9"),
        ]
        for title, queued, (caller, start_by), displaced in table:
            with self.subTest(title):
                queue = FairQueue(4)
                for number, other in enumerate(queued):
                    queue.push(make_item(other, number))
                item = queue.push(make_item(caller, start_by))
                self.assertEqual(f"{item.caller}{item.start_by}", displaced)
                self.assertEqual(len(queue), 4)

    def test_pops_expired_items_in_order(self):
        queue = FairQueue(10)
        for start_by in (5, 1, 3):
            queue.push(make_item("a", start_by))
        self.assertEqual([i.start_by for i in queue.pop_expired(3)], [1, 3])
        self.assertEqual(len(queue), 1)
        self.assertEqual(queue.count_ahead("b"), 1)
