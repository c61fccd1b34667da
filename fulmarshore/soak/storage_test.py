import os
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

from fulmarshore.soak.storage import (
    FaultyFiles,
    StorageFaults,
    discard_unsynced,
    write_faults,
)


class StorageTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.folder.mkdir()
        self.faults_path = Path(folder.name) / "faults.json"
        self.unsynced_path = Path(folder.name) / "notes.json"
        self.files = FaultyFiles(self.faults_path, self.unsynced_path)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self.log = os.open(self.folder / "log", flags)
        self.addCleanup(os.close, self.log)

    def test_full_disk_refuses_writes_until_it_has_room(self):
        write_faults(self.faults_path, StorageFaults(is_full=True))
        with self.assertRaises(OSError):
            self.files.append(self.log, b"one")
        write_faults(self.faults_path, StorageFaults())
        self.files.append(self.log, b"two")
        self.assertEqual((self.folder / "log").read_bytes(), b"two")

    def test_power_loss_removes_only_unsynced_bytes(self):
        self.files.append(self.log, b"synced")
        self.files.sync(self.log)
        self.files.append(self.log, b"and more")
        lengths = set()
        for seed in range(20):
            with self.subTest(seed=seed):
                (self.folder / "log").write_bytes(b"syncedand more")
                discard_unsynced(self.folder, self.unsynced_path, Random(seed))
                content = (self.folder / "log").read_bytes()
                self.assertTrue(content.startswith(b"synced"))
                self.assertTrue(b"syncedand more".startswith(content))
                lengths.add(len(content))
        self.assertGreater(len(lengths), 3)

    def test_two_threads_write_different_files(self):
        """A record renamed by the other thread failed the write, and so the process."""
        other = os.open(self.folder / "cache", os.O_RDWR | os.O_CREAT | os.O_APPEND)
        self.addCleanup(os.close, other)

        def write(descriptor):
            for _ in range(200):
                self.files.append(descriptor, b"x")
                self.files.sync(descriptor)

        with ThreadPoolExecutor(2) as pool:
            for written in [pool.submit(write, held) for held in (self.log, other)]:
                written.result()
        self.assertEqual((self.folder / "log").stat().st_size, 200)

    def test_overwritten_bytes_may_be_torn_until_synced(self):
        mark = os.open(self.folder / "mark", os.O_RDWR | os.O_CREAT)
        self.addCleanup(os.close, mark)
        self.files.truncate(mark, 8)
        self.files.sync_with_metadata(mark)
        self.files.write_at(mark, b"abcd", 4)
        losses = discard_unsynced(self.folder, self.unsynced_path, Random(1))
        self.assertEqual(losses, ["mark: bytes 4 to 8 torn"])
        content = (self.folder / "mark").read_bytes()
        self.assertEqual(content[:4], bytes(4))
        self.assertNotEqual(content[4:], b"abcd")
        self.files.write_at(mark, b"efgh", 4)
        self.files.sync(mark)
        self.assertEqual(
            discard_unsynced(self.folder, self.unsynced_path, Random(1)), []
        )

    def test_renamed_file_keeps_its_unsynced_record(self):
        self.files.append(self.log, b"synced")
        self.files.sync_with_metadata(self.log)
        self.files.rename(self.folder / "log", self.folder / "other")
        self.files.append(self.log, b"lost")
        discard_unsynced(self.folder, self.unsynced_path, Random(3))
        content = (self.folder / "other").read_bytes()
        self.assertTrue(content.startswith(b"synced"))

    def test_folder_without_unsynced_records_loses_nothing(self):
        self.assertEqual(
            discard_unsynced(self.folder, self.unsynced_path, Random(1)), []
        )


if __name__ == "__main__":
    unittest.main()
