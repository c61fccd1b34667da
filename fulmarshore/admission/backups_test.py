from unittest import TestCase

from fulmarshore.admission.backups import Backups
from fulmarshore.admission.bounds import COPY_LIFE_S
from fulmarshore.admission.settlement import Settlement
from fulmarshore.core.records import BackupSync, Identity, KnownHome, Member

NOW = 100.0
DISCARDED_AT = 50.0
HOME = ("home", 1)


def make_sync(name, incarnation):
    terms = [KnownHome(*HOME, 4, True, -1.0, [7])]
    return BackupSync("s", *HOME, 4, name, incarnation, 1, 0, 1, terms, [])


class BackupsTest(TestCase):
    def setUp(self):
        member = Member("a", 2, "s", "z", "127.0.0.1", 9)
        self.settlement = Settlement(Identity("a", 2), 1)
        self.backups = Backups(member, self.settlement, 1)

    def test_accepts_only_messages_for_this_incarnation(self):
        table = [
            ("this incarnation", "a", 2, True),
            ("an earlier incarnation", "a", 1, False),
            ("an earlier process at the address", "b", 2, False),
        ]
        for label, name, incarnation, accepted in table:
            with self.subTest(label):
                found = self.backups.can_accept(make_sync(name, incarnation), NOW)
                self.assertEqual(found, accepted)

    def test_rejects_messages_sent_before_roles_were_discarded(self):
        self.backups.handle_sync(make_sync("a", 2), DISCARDED_AT)
        self.assertEqual(self.settlement.backed_up[7][0], Identity(*HOME))
        self.backups.discard_roles(DISCARDED_AT)
        self.assertEqual(self.settlement.backed_up, {})
        table = [(0.0, False), (COPY_LIFE_S, False), (COPY_LIFE_S + 0.1, True)]
        for age, accepted in table:
            with self.subTest(age=age):
                found = self.backups.can_accept(make_sync("a", 2), DISCARDED_AT + age)
                self.assertEqual(found, accepted)
