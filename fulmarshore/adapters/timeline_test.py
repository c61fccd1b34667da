from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from fulmarshore.adapters.timeline import Timeline, get_rotated_path
from fulmarshore.core.clock import make_value
from fulmarshore.core.records import TimelineEvent
from fulmarshore.timeline.merging import read_file


def read(path):
    problems = Counter()
    entries = list(read_file(path, problems))
    return entries, problems["malformed"]


class TimelineTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "new" / "m.jsonl"

    def test_files_are_bounded_and_rotated(self):
        bound = 1000
        timeline = Timeline("m", "agent", self.path, 64, bound, 3)
        for number in range(100):
            timeline.record(TimelineEvent("k", detail=str(number)))
            timeline.flush()
        files = sorted(self.path.parent.iterdir())
        self.assertEqual(len(files), 3)
        for file in files:
            self.assertLessEqual(file.stat().st_size, bound)
        details = []
        for number in (2, 1, 0):
            for entry in read(get_rotated_path(self.path, number))[0]:
                details.append(int(entry.detail))
        self.assertEqual(details, list(range(details[0], 100)))

    def test_events_stay_in_the_ring_while_the_file_cannot_be_written(self):
        self.path.parent.write_text("in the way")
        timeline = Timeline("m", "agent", self.path, ring_events=8)
        for _ in range(10):
            timeline.record(TimelineEvent("k"))
            timeline.flush()
        self.assertEqual((timeline.failed_writes, timeline.overwritten), (10, 2))
        self.path.parent.unlink()
        timeline.flush()
        self.assertEqual(len(read(self.path)[0]), 8)

    def test_clock_continues_after_a_restart(self):
        first = Timeline("m", "agent", self.path)
        first.clock.value = ahead = make_value(4e9)
        first.record(TimelineEvent("k"))
        first.flush()
        with open(self.path, "ab") as file:
            file.write(b'\n{"clock": 1')
        second = Timeline("m", "agent", self.path)
        entry = second.record(TimelineEvent("k"))
        self.assertGreater(entry.clock, ahead + 1)
        second.flush()
        entries, malformed = read(self.path)
        self.assertEqual((entries[-1], malformed), (entry, 1))

    def test_events_follow_the_messages_that_caused_them(self):
        control = Timeline("c", "control")
        agent = Timeline("m", "agent")
        agent.observe(control.stamp() + make_value(1.0))
        cause = control.stamp()
        self.assertGreater(agent.record(TimelineEvent("k")).clock, cause)
