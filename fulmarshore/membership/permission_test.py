from unittest import TestCase

from fulmarshore.core.records import (
    Change,
    Delta,
    EntryHost,
    Heartbeat,
    HistoryRequest,
    Identity,
    KeyOwner,
    KeyRole,
    Leave,
    StatusRequest,
    Subscribe,
)
from fulmarshore.membership.permission import can_send

ME, OTHER = Identity("me", 1), Identity("other", 1)
HOST, OTHER_HOST = (
    EntryHost("me", 1, "z", "::1", 1),
    EntryHost("other", 1, "z", "::1", 1),
)


class PermissionTest(TestCase):
    def test_allowed_messages_by_role(self):
        table = [
            (Change(1, "me", [], []), "CO"),
            (Change(1, "other", [], []), "C"),
            (StatusRequest(), "CO"),
            (HistoryRequest(0, 1), "CO"),
            (Subscribe(ME, HOST, 0), "CP"),
            (Subscribe(OTHER, OTHER_HOST, 0), "C"),
            (Subscribe(ME, OTHER_HOST, 0), "C"),
            (Heartbeat(ME, 0), "CP"),
            (Heartbeat(OTHER, 0), "C"),
            (Leave(ME), "CP"),
            (Leave(OTHER), "C"),
            (Delta(0, 1, [], []), "C"),
        ]
        roles = {
            "C": KeyRole.CONTROL,
            "O": KeyRole.OPERATOR,
            "P": KeyRole.PROCESS,
        }
        for message, allowed in table:
            for letter, role in roles.items():
                with self.subTest(message=message, role=role):
                    owner = KeyOwner(role, "me")
                    self.assertEqual(can_send(owner, message), letter in allowed)
