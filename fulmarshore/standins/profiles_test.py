import os
import subprocess
import sys
from unittest import TestCase

from fulmarshore.standins.profiles import EXAMPLES_VARIABLE, SEED_VARIABLE

PROGRAM = """
import fulmarshore.standins.profiles
from hypothesis import given, strategies as st
seen = []
@given(st.integers())
def run(value):
    seen.append(value)
run()
print(seen)
"""


class ProfilesTest(TestCase):
    def draw(self, seed, variables):
        environment = {
            **{name: os.environ[name] for name in os.environ if name != "CI"},
            SEED_VARIABLE: seed,
            EXAMPLES_VARIABLE: "20",
            **variables,
        }
        return subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env=environment,
            check=True,
            capture_output=True,
            text=True,
        ).stdout

    def test_a_seed_repeats_its_examples_and_another_draws_others(self):
        cases = [
            ("outside CI", {}),
            ("in CI, where hypothesis derandomises by default", {"CI": "true"}),
        ]
        for name, variables in cases:
            with self.subTest(name):
                first = self.draw("1", variables)
                self.assertEqual(self.draw("1", variables), first)
                self.assertNotEqual(self.draw("2", variables), first)
                self.assertEqual(first.count(",") + 1, 20)
