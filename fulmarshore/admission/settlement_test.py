from unittest import TestCase

from fulmarshore.admission.bounds import MAX_CLOCK_DRIFT
from fulmarshore.admission.queryrounds import FORMER_MEMBER_WAIT_S
from fulmarshore.admission.settlement import CLAIM_RELEVANCE_S, Settlement
from fulmarshore.core.records import (
    Address,
    Challenge,
    ClaimsReply,
    Identity,
    KnownHome,
    LostAgent,
    Member,
    Profile,
    Request,
    Service,
    TrafficKind,
)
from fulmarshore.routing.table import ServiceTable

NAMES = ("a", "b", "c")


def make_table(names=NAMES):
    members = tuple(
        Member(name, 1, "s", "z", "127.0.0.1", number)
        for number, name in enumerate(names)
    )
    profile = Profile("p", TrafficKind.NON_IDEMPOTENT)
    return ServiceTable(Service("s", "p", "127.0.0.9", 80), profile, members)


class SettlementTest(TestCase):
    def start(self, names=NAMES, now=0.0, outside=(), had_lives=True):
        self.settlement = Settlement(Identity("a", 1), 0)
        announced = {Identity(name, 1): Address("127.0.0.1", 1) for name in names}
        announced.update(outside)
        self.settlement.update(make_table(names), 5, announced, False, now, had_lives)
        self.bucket = next(iter(self.settlement.home_buckets))

    def reply(self, peer, query, homes=(), lost=(), age=1000.0, stale=False):
        self.settlement.handle_reply(
            ClaimsReply(
                "s",
                *(peer, 1, 5, query, stale, 0, 1, age),
                list(lost),
                list(homes),
                [],
                [],
            )
        )

    def settle(self, b=(), c=(), lost=(), age=1000.0, now=0.0):
        query = self.settlement.round.query
        self.reply("b", query, b, lost, age)
        self.reply("c", query, c, lost, age)
        return self.settlement.finish_round(now)

    def can_admit(self, age=0.0, now=0.1, challenge=None):
        request = Request(
            "s", "c", 1, 0, 8.0, False, False, b"", age, challenge=challenge
        )
        return self.settlement.can_admit(self.bucket, request, now)

    def test_settles_only_after_all_members_replied(self):
        self.start()
        query = self.settlement.round.query
        self.reply("b", query)
        self.assertIsNone(self.settlement.finish_round(0.1))
        for name, answer in (
            ("outdated peer", {"stale": True}),
            ("reply to an earlier query", {"query": query - 1}),
        ):
            with self.subTest(name):
                self.reply("c", answer.pop("query", query), **answer)
                self.assertIsNone(self.settlement.finish_round(0.1))
        self.reply("c", query)
        self.assertIsNotNone(self.settlement.finish_round(0.1))
        self.assertEqual(self.settlement.settled, self.settlement.home_buckets)

    def test_which_replies_are_needed_to_admit(self):
        self.start()
        all_buckets = sorted(self.settlement.home_buckets)
        last_home = KnownHome("b", 1, 3, True, -1.0, all_buckets)
        lossy_home = KnownHome("b", 1, 3, True, 1.0, all_buckets)
        later = KnownHome("x", 1, 4, False, -1.0, all_buckets)
        backup = KnownHome("x", 1, 4, True, -1.0, all_buckets)
        one_loss = [LostAgent("x", 1, 1.0)]
        two_losses = [LostAgent("x", 1, 1.0), LostAgent("y", 1, 1.0)]
        table = [
            ("no known home, no loss", (), (), (), 1000.0, True),
            ("no peer observed for long enough", (), (), (), 1.0, False),
            ("the last home replied", [last_home], (), two_losses, 1.0, True),
            ("the last home has lost claims", [lossy_home], (), (), 1000.0, False),
            (
                "a later home did not reply, one loss",
                [last_home],
                [later],
                one_loss,
                1000.0,
                True,
            ),
            (
                "a later home did not reply, two losses",
                [last_home],
                [later],
                two_losses,
                1000.0,
                False,
            ),
            (
                "backup of the later home replied",
                [last_home],
                [later, backup],
                two_losses,
                1.0,
                True,
            ),
        ]
        for name, b, c, lost, age, expected in table:
            with self.subTest(name):
                self.start()
                self.settle(b, c, lost, age)
                self.assertEqual(self.can_admit(), expected)

    def test_no_loss_if_no_agent_has_ever_ended(self):
        for had_lives, expected in ((False, True), (True, False)):
            with self.subTest(had_lives=had_lives):
                self.start(had_lives=had_lives)
                self.settle(age=1.0)
                self.assertEqual(self.can_admit(), expected)

    def test_admits_only_requests_begun_after_a_loss(self):
        fresh = Challenge("a", 1, 2.0)
        table = [
            ("no challenge", 0.0, 0.1, None, False),
            ("no challenge, long after", 0.0, 20.0, None, False),
            ("challenged before", 1.0, 3.0, fresh, True),
            ("the same copy, very late", 1.0, 20.0, fresh, True),
            ("older than the loss", 2.1, 3.0, fresh, False),
            ("within the drift", 2.0 * (1.0 - MAX_CLOCK_DRIFT / 2), 3.0, fresh, False),
            ("beyond the drift", 2.0 * (1.0 - MAX_CLOCK_DRIFT * 2), 3.0, fresh, True),
            ("of another home", 1.0, 3.0, Challenge("b", 1, 2.0), False),
            ("of an earlier incarnation", 1.0, 3.0, Challenge("a", 0, 2.0), False),
            ("issued in the future", 1.0, 3.0, Challenge("a", 1, 3.1), False),
            ("time is not a number", 1.0, 3.0, Challenge("a", 1, float("nan")), False),
            ("lost claims have expired", 30.0, CLAIM_RELEVANCE_S + 0.1, None, True),
        ]
        for name, age, now, challenge, expected in table:
            with self.subTest(name):
                self.start()
                self.settle(age=1.0)
                self.assertEqual(self.can_admit(age, now, challenge), expected)

    def test_challenges_only_requests_that_may_be_newer_than_the_loss(self):
        for age, expected in ((0.0, True), (2.9, True), (3.0, False), (9.0, False)):
            with self.subTest(age=age):
                self.start()
                self.settle(age=1.0)
                request = Request("s", "c", 1, 0, 8.0, False, False, b"", age)
                challenge = self.settlement.challenge(self.bucket, request, 3.0)
                self.assertEqual(challenge is not None, expected)

    def test_waits_for_an_announced_agent_that_was_never_a_member(self):
        # Its view may be an older one, in which its zone is not out.
        outside = Identity("x", 1)
        self.start(outside={outside: Address("127.0.0.1", 9)})
        self.assertIn(outside, self.settlement.round.pending)
        self.assertIsNone(self.settle(age=1.0))
        end = FORMER_MEMBER_WAIT_S
        self.assertIsNotNone(self.settlement.finish_round(end))
        early, later = Challenge("a", 1, end), Challenge("a", 1, end + 1.0)
        self.assertFalse(
            self.can_admit(0.0, end + 2.0, early), "the other agent may have continued"
        )
        self.assertTrue(self.can_admit(0.0, end + 2.0, later))
