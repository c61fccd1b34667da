from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.agreement.storage import encode_record, read_log, read_mark
from fulmarshore.core.records import (
    DamagedFile,
    FileHeader,
    LogBase,
    LogEntry,
    Noop,
    Recovered,
    ReplicaId,
    Store,
    TermVote,
    Truncation,
)
from fulmarshore.standins.disk import FakeDisk

REPLICA = ReplicaId("c0", "d")
START = [FileHeader(REPLICA, 1), TermVote("g", 1, None), LogBase(0, 0)]
ENTRIES = [LogEntry(index, 1, Noop()) for index in range(1, 6)]


def make_disk(synced, pending=0):
    disk = FakeDisk("c0", Random(1))
    disk.submit(Store(1, START, True))
    disk.sync()
    for number, entry in enumerate(ENTRIES[: synced + pending]):
        disk.submit(Store(2 + number, [entry]))
        if number < synced:
            disk.sync()
    return disk


class StorageTest(TestCase):
    @given(st.integers(0, 4), st.integers(0, 200), st.integers(0, 1 << 30))
    def test_torn_tail_is_cut_and_synced_entries_survive(self, synced, tail, seed):
        disk = make_disk(synced)
        rest = b"".join(encode_record(entry) for entry in ENTRIES[synced:])
        disk.content += rest[:tail] + Random(seed).randbytes(seed % 3)
        outcome = disk.read()
        self.assertIsInstance(outcome, Recovered)
        self.assertEqual(outcome.entries[:synced], ENTRIES[:synced])
        self.assertEqual(outcome.entries, ENTRIES[: len(outcome.entries)])
        count = len(outcome.entries)
        disk.submit(Store(99, [LogEntry(count + 1, 2, Noop())]))
        disk.sync()
        again = disk.read()
        self.assertIsInstance(again, Recovered, "the truncated file accepts appends")
        self.assertEqual(len(again.entries), count + 1)

    def test_any_damaged_byte_before_the_mark_is_detected(self):
        size = len(make_disk(5).content)
        for offset in range(size):
            with self.subTest(offset=offset):
                disk = make_disk(5)
                disk.damage(offset)
                outcome = disk.read()
                self.assertIsInstance(outcome, DamagedFile)
                self.assertEqual((outcome.step, outcome.peer), ("read_log", "c0"))
                self.assertLessEqual(outcome.offset, offset)

    def test_missing_and_outdated_files_are_reported(self):
        disk = make_disk(5)
        mark = read_mark(bytes(disk.mark))
        table = [
            ("log missing", b"", mark, "log"),
            ("log cut short", disk.content[:-1], mark, "log"),
            ("mark missing", disk.content, None, "mark"),
            ("older file", disk.content, (2, 10), "log"),
        ]
        for label, content, mark_read, file in table:
            with self.subTest(label):
                outcome = read_log(content, mark_read, "c0")
                self.assertIsInstance(outcome, DamagedFile)
                self.assertEqual(outcome.file, file)

    def test_truncation_is_replayed(self):
        disk = make_disk(5)
        newer = LogEntry(3, 2, Noop())
        disk.submit(Store(9, [Truncation(3), newer]))
        disk.sync()
        self.assertEqual(disk.read().entries, [*ENTRIES[:2], newer])

    def test_replaced_file_newer_than_its_mark_must_be_complete(self):
        content = b"".join(
            encode_record(record) for record in [FileHeader(REPLICA, 2), *START[1:]]
        )
        self.assertIsInstance(read_log(content, (1, 9999), "c0"), Recovered)
        self.assertIsInstance(read_log(content[:-1], (1, 9999), "c0"), DamagedFile)
