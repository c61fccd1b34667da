"""Agent directories of control hosts, and their merge on entry hosts."""

import unittest

from fulmarshore.direct.directory import (
    AGENT_TIMEOUT_S,
    AgentDirectory,
    KnownAgents,
)
from fulmarshore.direct.records import AgentReport, Update


def make_report(host="h1", process=1, revision=1, **changes):
    """Return a report of an agent."""
    fields = {
        "zone": "a",
        "service": "desk",
        "is_accepting": True,
        "is_cold": False,
        "slots": 1,
        "flows": 0,
        "busy": 0,
    }
    return AgentReport(host, process, revision, **{**fields, **changes})


def make_update(directory, known, control="c"):
    """Return the update of a control host to an entry host with known agents."""
    found = directory.list_changes(*known.get_position(control))
    return Update(
        (), "", 0, b"", directory.process, directory.revision, 9.0, float("inf"), *found
    )


class DirectoryTest(unittest.TestCase):
    def test_reports_that_entry_hosts_need_to_know(self):
        cases = [
            ("first report", None, make_report(), True),
            ("unchanged", make_report(), make_report(revision=2), False),
            (
                "only its load changed",
                make_report(),
                make_report(revision=2, busy=3),
                False,
            ),
            (
                "stops accepting",
                make_report(),
                make_report(revision=2, is_accepting=False),
                True,
            ),
            ("turns cold", make_report(), make_report(revision=2, is_cold=True), True),
            (
                "other service",
                make_report(),
                make_report(revision=2, service="store"),
                True,
            ),
            (
                "delayed report",
                make_report(revision=5),
                make_report(revision=4, service="x"),
                False,
            ),
            (
                "new process",
                make_report(revision=5),
                make_report(process=2, service="x"),
                True,
            ),
        ]
        for name, stored, new, expected in cases:
            with self.subTest(name):
                directory = AgentDirectory(1)
                if stored is not None:
                    directory.record_report(stored, 0.0)
                self.assertEqual(directory.record_report(new, 1.0), expected)

    def test_agent_without_reports_is_removed_unless_all_stop(self):
        directory = AgentDirectory(1)
        directory.record_report(make_report("h1"), 0.0)
        directory.record_report(make_report("h2"), 0.0)
        directory.record_report(make_report("h2", revision=2), AGENT_TIMEOUT_S)
        self.assertEqual(directory.expire(AGENT_TIMEOUT_S + 0.1), ["h1"])
        self.assertEqual(directory.missing_at, AGENT_TIMEOUT_S + 0.1)
        self.assertEqual(directory.expire(60.0), [])
        directory.record_report(make_report("h1", revision=3), 60.0)
        self.assertEqual(directory.missing_at, float("-inf"))

    def test_agent_is_known_as_long_as_one_control_host_lists_it(self):
        first, second, known = AgentDirectory(1), AgentDirectory(2), KnownAgents()
        for directory in (first, second):
            directory.record_report(make_report("h1"), 0.0)
            directory.record_report(make_report("h2"), 0.0)
        known.apply_update("c1", make_update(first, known, "c1"))
        known.apply_update("c2", make_update(second, known, "c2"))
        first.record_report(make_report("h2", revision=2), 5.0)
        first.expire(5.0)
        self.assertEqual(known.apply_update("c1", make_update(first, known, "c1")), [])
        second.record_report(make_report("h2", revision=3), 5.0)
        second.expire(5.0)
        self.assertEqual(
            known.apply_update("c2", make_update(second, known, "c2")), ["h1"]
        )
        self.assertEqual([agent.host for agent in known.list_all()], ["h2"])

    def test_lost_and_delayed_updates_and_restarted_control_host(self):
        directory, known = AgentDirectory(1), KnownAgents()
        directory.record_report(make_report("h1"), 0.0)
        early = make_update(directory, known)
        known.apply_update("c", early)
        directory.record_report(make_report("h2"), 0.1)
        lost = make_update(directory, known)
        directory.record_report(make_report("h3"), 0.2)
        known.apply_update("c", make_update(directory, known))
        self.assertEqual(len(known), 3)
        self.assertEqual(known.apply_update("c", lost), [])
        self.assertEqual(len(known), 3)
        restarted = AgentDirectory(2)
        restarted.record_report(make_report("h1", revision=7), 0.3)
        changes = known.apply_update("c", make_update(restarted, known))
        self.assertEqual(
            {str(change) for change in changes if change != "h1"} >= {"h2"}, True
        )
        self.assertEqual(len(known), 1)

    def test_unresponsive_control_host_removes_only_agents_it_alone_listed(self):
        first, second, known = AgentDirectory(1), AgentDirectory(2), KnownAgents()
        first.record_report(make_report("h1"), 0.0)
        first.record_report(make_report("h2"), 0.0)
        second.record_report(make_report("h2"), 0.0)
        known.apply_update("c1", make_update(first, known, "c1"))
        known.apply_update("c2", make_update(second, known, "c2"))
        self.assertEqual(known.discard_control("c1"), ["h1"])
        self.assertEqual(known.discard_control("c2"), [])
        self.assertEqual(len(known), 1)


if __name__ == "__main__":
    unittest.main()
