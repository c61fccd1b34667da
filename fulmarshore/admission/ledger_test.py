from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.admission.bounds import COPY_LIFE_S, MAX_TIMEOUT_S
from fulmarshore.admission.ledger import ClaimState, Ledger, Stage
from fulmarshore.core.records import Identity


def make_claim(number, caller="c", now=0.0, timeout=5.0):
    state = ClaimState(b"%016d" % number, caller, number, Identity("a", 1))
    state.extend_life(timeout, now)
    state.stage = Stage.DONE
    return state


class LedgerTest(TestCase):
    @given(
        copies=st.lists(
            st.tuples(st.floats(0.0, 5.0), st.floats(0.1, MAX_TIMEOUT_S)), min_size=1
        )
    )
    def test_claim_outlives_every_received_copy(self, copies):
        ledger = Ledger()
        state = make_claim(1)
        ledger.add(state)
        now, relevant_until = 0.0, 0.0
        for wait, timeout in copies:
            now += wait
            if now > relevant_until + COPY_LIFE_S and ledger.find(state.flow) is None:
                break
            state.extend_life(timeout, now)
            relevant_until = max(relevant_until, now + timeout + COPY_LIFE_S)
            ledger.expire(now)
            self.assertIsNotNone(ledger.find(state.flow))
        ledger.expire(relevant_until - 0.01)
        self.assertIsNotNone(ledger.find(state.flow))
        ledger.expire(relevant_until + 1000.0)
        self.assertIsNone(ledger.find(state.flow))

    def test_open_claim_does_not_expire(self):
        ledger = Ledger()
        state = make_claim(1)
        state.stage = Stage.RUNNING
        ledger.add(state)
        ledger.expire(10_000.0)
        self.assertIsNotNone(ledger.find(state.flow))

    def test_full_ledger_refuses_new_work_and_discards_nothing(self):
        ledger = Ledger(max_claims=100, max_tombstones=20)
        for number in range(500):
            if ledger.is_full("flood"):
                break
            is_tombstone = ledger.is_over_quota("flood")
            ledger.add(make_claim(number, "flood"), is_tombstone)
        self.assertEqual(len(ledger), 50 + 10)
        self.assertFalse(ledger.is_over_quota("other"), "room is left for others")
        self.assertEqual(ledger.expire(1.0), [])
        self.assertIsNotNone(ledger.find(make_claim(0).flow))
        ledger.expire(1000.0)
        self.assertFalse(ledger.is_over_quota("flood"))
