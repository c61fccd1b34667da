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
    def draw(self, seed, examples="20"):
        environment = {**os.environ, SEED_VARIABLE: seed, EXAMPLES_VARIABLE: examples}
        return subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env=environment,
            check=True,
            capture_output=True,
            text=True,
        ).stdout

    def test_a_seed_repeats_its_examples_and_another_draws_others(self):
        first = self.draw("1")
        self.assertEqual(self.draw("1"), first)
        self.assertNotEqual(self.draw("2"), first)
        self.assertEqual(first.count(",") + 1, 20)
