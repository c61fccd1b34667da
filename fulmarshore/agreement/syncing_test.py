from unittest import TestCase

from fulmarshore.agreement.progress import OwnVote
from fulmarshore.agreement.syncing import DiskQueue
from fulmarshore.core.records import TermVote

FIRST, SECOND, THIRD = OwnVote(1), OwnVote(2), OwnVote(3)
RECORD = TermVote("group", 1, None)


class DiskQueueTest(TestCase):
    def setUp(self):
        self.queue = DiskQueue()

    def pop_all(self):
        found = []
        while (effect := self.queue.pop_ready()) is not None:
            found.append(effect)
        return found

    def test_without_records_nothing_waits(self):
        self.queue.hold(FIRST)
        self.assertEqual(self.pop_all(), [FIRST])
        self.assertIsNone(self.queue.make_store())

    def test_effects_wait_for_the_records_before_them(self):
        self.queue.write(RECORD)
        self.queue.hold(FIRST)
        self.assertEqual(self.pop_all(), [])
        self.assertEqual(self.queue.make_store().sequence, 1)
        self.queue.hold(SECOND)
        self.queue.write(RECORD)
        self.queue.make_store()
        self.queue.hold(THIRD)
        for stored, wanted in ((0, []), (1, [FIRST]), (1, []), (2, [SECOND, THIRD])):
            with self.subTest(stored=stored):
                self.queue.note_stored(stored)
                self.assertEqual(self.pop_all(), wanted)

    def test_an_effect_after_a_record_that_is_not_written_yet_waits(self):
        self.queue.hold(FIRST)
        self.queue.write(RECORD)
        self.queue.hold(SECOND)
        self.assertEqual(self.pop_all(), [])

    def test_replacing_drops_what_was_not_written(self):
        self.queue.write(RECORD)
        self.queue.replace([])
        store = self.queue.make_store()
        self.assertEqual((store.records, store.replace), ([], True))

    def test_a_copy_goes_its_own_way(self):
        self.queue.write(RECORD)
        self.queue.hold(FIRST)
        twin = self.queue.copy()
        twin.make_store()
        twin.note_stored(1)
        self.assertEqual(twin.pop_ready(), FIRST)
        self.assertEqual(self.pop_all(), [])
        self.assertEqual(self.queue.make_store().records, [RECORD])

    def test_only_what_was_asked_for_is_stored(self):
        with self.assertRaises(AssertionError):
            self.queue.note_stored(1)
