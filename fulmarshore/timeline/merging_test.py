import json
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

import msgspec
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.bench.timeline import run
from fulmarshore.commands.main import cli
from fulmarshore.core.clock import make_value
from fulmarshore.core.records import TimelineEntry
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.timeline.merging import Filter, list_files, merge_files

START = 1_700_000_000


def make_entry(second, host, **fields):
    fields = {"role": "agent", "kind": "k", **fields}
    return TimelineEntry(clock=make_value(START + second), host=host, **fields)


def write(path, entries, tail=b""):
    path.write_bytes(b"".join(msgspec.json.encode(e) + b"\n" for e in entries) + tail)


class MergingTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_all_files_and_generations_are_merged_in_order(self):
        random = Random(1)
        expected = []
        for name in ("a.jsonl", "a.jsonl.1", "b.jsonl"):
            seconds = sorted(random.sample(range(1000), 50))
            entries = [make_entry(second, name) for second in seconds]
            expected += entries
            write(self.folder / name, entries)
        expected.sort(key=lambda entry: (entry.clock, entry.host))
        both = [self.folder / "a.jsonl", self.folder / "b.jsonl"]
        for paths in ([self.folder], both):
            with self.subTest(paths=paths):
                merged = merge_files(list_files(paths), Filter(), Counter())
                self.assertEqual(list(merged), expected)

    def test_invalid_lines_are_counted_and_skipped(self):
        table = [
            (b'{"clock": 1', "malformed"),
            (b"\xff\xfe\n", "malformed"),
            (b'{"x":' + b"[" * 60_000 + b"\n", "malformed"),
            (msgspec.json.encode(make_entry(0, "a")) + b"\n", "out_of_order"),
        ]
        path = self.folder / "a.jsonl"
        for tail, problem in table:
            with self.subTest(tail=tail[:20]):
                write(path, [make_entry(1, "a"), make_entry(2, "a")], tail)
                problems = Counter()
                merged = list(merge_files([path], Filter(), problems))
                self.assertEqual(len(merged), 2)
                self.assertEqual(problems, {problem: 1})

    @given(st.binary(max_size=300))
    def test_any_content_is_read_without_an_error(self, content):
        path = self.folder / "f.jsonl"
        path.write_bytes(content)
        list(merge_files([path], Filter(), Counter()))

    def test_filters(self):
        entries = [
            make_entry(1, "a", service="s", kind="x"),
            make_entry(2, "b", flow="f1", peer="a"),
            make_entry(3, "c", service="t", detail="d"),
        ]
        path = self.folder / "all.jsonl"
        write(path, entries)
        table = [
            ([], [1, 2, 3]),
            (["--host", "a"], [1, 2]),
            (["--host", "a", "--host", "c"], [1, 2, 3]),
            (["--service", "t"], [3]),
            (["--flow", "f1"], [2]),
            (["--kind", "x"], [1]),
            (["--since", str(START + 2)], [2, 3]),
            (["--until", "2023-11-14T22:13:22"], [1]),
            (["--since", "2023-11-14T23:13:23+01:00"], [3]),
        ]
        for flags, seconds in table:
            with self.subTest(flags=flags):
                arguments = ["timeline", str(path), "--json", *flags]
                result = CliRunner().invoke(cli, arguments)
                self.assertEqual(result.exit_code, 0, result.output)
                clocks = [json.loads(x)["clock"] for x in result.output.splitlines()]
                self.assertEqual(clocks, [make_value(START + s) for s in seconds])
        result = CliRunner().invoke(cli, ["timeline", str(path), "--since", "noon"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("'noon'", result.output)

    def test_text_and_picture(self):
        path = self.folder / "all.jsonl"
        write(path, [make_entry(0.5, "a", service="s", detail="<b>bold</b>")])
        result = CliRunner().invoke(cli, ["timeline", str(path)])
        expected = "2023-11-14T22:13:20.500000Z a k service=s <b>bold</b>\n"
        self.assertEqual(result.output, expected)
        page = self.folder / "page.html"
        result = CliRunner().invoke(
            cli, ["timeline", str(path), "--picture", str(page)]
        )
        self.assertIn("1 events", result.output)
        text = page.read_text()
        self.assertIn("1 events of 1 hosts", text)
        self.assertNotIn('script src="http', text)

    def test_bench(self):
        report = run(events=2000, files=7)
        self.assertEqual((report.lines, report.unordered), (2000, 0))
