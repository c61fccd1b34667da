from unittest import TestCase

from fulmarshore.bench import timeline


class TimelineTest(TestCase):
    def test_merged_output_holds_every_event_in_order(self):
        report = timeline.run(events=500, files=7)
        found = (report.events, report.lines, report.unordered)
        self.assertEqual(found, (500, 500, 0))
