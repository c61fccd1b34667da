from unittest import TestCase

from fulmarshore.admission.bounds import COPY_LIFE_S
from fulmarshore.admission.settlement import NEEDED_S, Settlement
from fulmarshore.core.records import (
    ClaimsReply,
    Identity,
    Kind,
    KnownHome,
    Lost,
    Member,
    Profile,
    Service,
)
from fulmarshore.routing.table import ServiceTable

NAMES = ("a", "b", "c")


def make_table(names=NAMES):
    members = tuple(
        Member(name, 1, "s", "z", "127.0.0.1", number)
        for number, name in enumerate(names)
    )
    profile = Profile("p", Kind.NON_IDEMPOTENT)
    return ServiceTable(Service("s", "p", "127.0.0.9", 80), profile, members)


class SettlementTest(TestCase):
    def start(self, names=NAMES, now=0.0):
        self.settlement = Settlement(Identity("a", 1), 0)
        everyone = {Identity(name, 1) for name in names}
        self.settlement.follow(make_table(names), 5, everyone, now)
        self.bucket = next(iter(self.settlement.homes))

    def reply(self, peer, query, homes=(), lost=(), age=1000.0, stale=False):
        self.settlement.take_reply(
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

    def admits(self, age=0.0, now=0.1):
        return self.settlement.admits(self.bucket, age, now)

    def test_nothing_is_admitted_before_everybody_answered(self):
        self.start()
        query = self.settlement.round.query
        self.reply("b", query)
        self.assertIsNone(self.settlement.finish_round(0.1))
        for name, answer in (
            ("outdated peer", {"stale": True}),
            ("answer to an earlier question", {"query": query - 1}),
        ):
            with self.subTest(name):
                self.reply("c", answer.pop("query", query), **answer)
                self.assertIsNone(self.settlement.finish_round(0.1))
        self.reply("c", query)
        self.assertIsNotNone(self.settlement.finish_round(0.1))
        self.assertEqual(self.settlement.settled, self.settlement.homes)

    def test_who_must_be_heard(self):
        self.start()
        every = sorted(self.settlement.homes)
        own = KnownHome("b", 1, 3, True, -1.0, every)
        guarded = KnownHome("b", 1, 3, True, 1.0, every)
        later = KnownHome("x", 1, 4, False, -1.0, every)
        backup = KnownHome("x", 1, 4, True, -1.0, every)
        one = [Lost("x", 1, 1.0)]
        two = [Lost("x", 1, 1.0), Lost("y", 1, 1.0)]
        table = [
            ("nobody knows a home, nothing lost", (), (), (), 1000.0, True),
            ("nobody remembers long enough", (), (), (), 1.0, False),
            ("the last home answered", [own], (), two, 1.0, True),
            ("the last home had lost claims", [guarded], (), (), 1000.0, False),
            ("a later home is silent, one loss", [own], [later], one, 1000.0, True),
            ("a later home is silent, two losses", [own], [later], two, 1000.0, False),
            ("its backup answered", [own], [later, backup], two, 1.0, True),
        ]
        for name, b, c, lost, age, wanted in table:
            with self.subTest(name):
                self.start()
                self.settle(b, c, lost, age)
                self.assertEqual(self.admits(), wanted)

    def test_after_a_loss_only_younger_requests_are_admitted(self):
        self.start()
        self.settle(age=1.0)
        table = [
            (0.0, 0.1, False),
            (0.0, COPY_LIFE_S + 0.1, True),
            (1.0, COPY_LIFE_S + 0.9, False),
            (1.0, COPY_LIFE_S + 1.1, True),
            (30.0, NEEDED_S + 0.1, True),
        ]
        for age, now, wanted in table:
            with self.subTest(age=age, now=now):
                self.start()
                self.settle(age=1.0)
                self.assertEqual(self.admits(age, now), wanted)
