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

    def test_only_a_copy_for_this_life_is_accepted(self):
        table = [
            ("this life", "a", 2, True),
            ("a former life", "a", 1, False),
            ("a former process at the address", "b", 2, False),
        ]
        for label, name, incarnation, accepted in table:
            with self.subTest(label):
                found = self.backups.can_accept(make_sync(name, incarnation), NOW)
                self.assertEqual(found, accepted)

    def test_a_copy_from_before_the_backup_forgot_is_not_accepted(self):
        self.backups.handle_sync(make_sync("a", 2), DISCARDED_AT)
        self.assertEqual(self.settlement.backed_up[7][0], Identity(*HOME))
        self.backups.discard_roles(DISCARDED_AT)
        self.assertEqual(self.settlement.backed_up, {})
        table = [(0.0, False), (COPY_LIFE_S, False), (COPY_LIFE_S + 0.1, True)]
        for age, accepted in table:
            with self.subTest(age=age):
                found = self.backups.can_accept(make_sync("a", 2), DISCARDED_AT + age)
                self.assertEqual(found, accepted)
