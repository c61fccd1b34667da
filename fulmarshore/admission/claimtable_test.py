from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.admission.bounds import COPY_LIFE_S, MAX_TIMEOUT_S
from fulmarshore.admission.claimtable import ClaimState, ClaimTable, Stage
from fulmarshore.core.records import Identity


def make_claim(number, caller="c", now=0.0, timeout=5.0):
    state = ClaimState(b"%016d" % number, caller, number, Identity("a", 1))
    state.extend(timeout, now)
    state.stage = Stage.DONE
    return state


class ClaimTableTest(TestCase):
    @given(
        copies=st.lists(
            st.tuples(st.floats(0.0, 5.0), st.floats(0.1, MAX_TIMEOUT_S)), min_size=1
        )
    )
    def test_claim_outlives_every_received_copy(self, copies):
        table = ClaimTable()
        state = make_claim(1)
        table.add(state)
        now, needed_until = 0.0, 0.0
        for wait, timeout in copies:
            now += wait
            if now > needed_until + COPY_LIFE_S and table.find(state.flow) is None:
                break
            state.extend(timeout, now)
            needed_until = max(needed_until, now + timeout + COPY_LIFE_S)
            table.expire(now)
            self.assertIsNotNone(table.find(state.flow))
        table.expire(needed_until - 0.01)
        self.assertIsNotNone(table.find(state.flow))
        table.expire(needed_until + 1000.0)
        self.assertIsNone(table.find(state.flow))

    def test_open_claim_does_not_expire(self):
        table = ClaimTable()
        state = make_claim(1)
        state.stage = Stage.RUNNING
        table.add(state)
        table.expire(10_000.0)
        self.assertIsNotNone(table.find(state.flow))

    def test_full_table_refuses_new_work_and_discards_nothing(self):
        table = ClaimTable(max_claims=100, max_tombstones=20)
        for number in range(500):
            if table.is_full("flood"):
                break
            is_tombstone = table.is_over_quota("flood")
            table.add(make_claim(number, "flood"), is_tombstone)
        self.assertEqual(len(table), 50 + 10)
        self.assertFalse(table.is_over_quota("other"), "room is left for others")
        self.assertEqual(table.expire(1.0), [])
        self.assertIsNotNone(table.find(make_claim(0).flow))
        table.expire(1000.0)
        self.assertFalse(table.is_over_quota("flood"))
