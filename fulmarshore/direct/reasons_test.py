"""Every log kind and refusal reason in the code is documented for operators."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
SOURCES = [
    *(ROOT / "fulmarshore/direct").glob("*.py"),
    *(ROOT / "fulmarshore/daemons").glob("direct*.py"),
    *(ROOT / "fulmarshore/agreement").glob("*.py"),
]
KIND = re.compile(r'(?:Decision|\.note|\.record_event)\(\s*"([a-z_]+)"')
REASON = re.compile(
    r"(?:(?:refuse|make_rejection)\([a-z_., \[\]0-9]+, |reason = |return )"
    r'"([a-z]+_[a-z_]+)"'
)
REASONS_IN = (
    "agent.py",
    "agentopenings.py",
    "gate.py",
    "entry.py",
    "openings.py",
    "lookups.py",
)
UNUSED = {"group_recovered"}
"""Log kinds of commands that these daemons do not have."""


class ReasonsTest(unittest.TestCase):
    def test_operations_page_documents_every_kind_and_reason(self):
        page = (ROOT / "docs/OPERATIONS.md").read_text()
        found = set()
        for path in SOURCES:
            if path.name.endswith("_test.py"):
                continue
            text = path.read_text()
            found |= set(KIND.findall(text))
            if path.name in REASONS_IN:
                found |= set(REASON.findall(text))
        self.assertGreater(len(found), 40)
        missing = {name for name in found - UNUSED if f"`{name}`" not in page}
        self.assertEqual(missing, set())


if __name__ == "__main__":
    unittest.main()
