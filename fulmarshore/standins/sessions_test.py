from pathlib import Path
from unittest import TestCase

from fulmarshore.standins.sessions import SESSIONS

GOLDEN = Path(__file__).resolve().parents[1] / "golden"


class SessionsTest(TestCase):
    maxDiff = None

    def test_sessions_are_as_recorded(self):
        for name, run in SESSIONS.items():
            with self.subTest(name):
                session = run()
                self.assertEqual(session.seen["broken"], 0)
                expected = (GOLDEN / f"{name}.txt").read_text()
                hint = "run `make golden` if the change is meant, and read the diff"
                self.assertEqual(session.text(), expected, hint)
