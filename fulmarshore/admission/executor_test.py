from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.admission.executor import SLOT_RELEASE_TIMEOUT_S, Executor
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.hashing import hash_request
from fulmarshore.core.records import (
    Address,
    Member,
    Profile,
    Reason,
    Request,
    Response,
    RunReply,
    RunRequest,
    SendPeer,
    SendUpstream,
    TrafficKind,
    Verdict,
)

HOME = Address("127.0.0.1", 9)
PROFILE = Profile(
    "p", TrafficKind.NON_IDEMPOTENT, queue_length=4, queue_timeout=2.0, cold_share=1.0
)


class ExecutorTest(TestCase):
    def setUp(self):
        member = Member("a", 1, "s", "z", "127.0.0.1", 1, slots=1)
        self.executor = Executor(member, PROFILE)

    def make(self, number, run=1, timeout=5.0, cancel=False, caller="c"):
        request = Request("s", caller, number, 0, timeout, False, False, b"work")
        flow = hash_request("s", caller, number)
        return RunRequest("s", "home", 1, 1, "a", 1, flow, run, cancel, request)

    def take(self, message, now=0.0, barred=False):
        return self.split(self.executor.handle(message, HOME, now, barred))

    def split(self, effects):
        """Return what went to the upstream and the words to the home."""
        sent = [
            decode_request(effect.payload, "")
            for effect in effects
            if isinstance(effect, SendUpstream)
        ]
        words = [
            (effect.message.verdict, effect.message.reason)
            for effect in effects
            if isinstance(effect, SendPeer) and isinstance(effect.message, RunReply)
        ]
        return sent, words

    def handle_answer(self, to, now, verdict=Verdict.ANSWERED, **changes):
        response = Response("s", "c", to, 0, verdict, "", b"done")
        payload = encode(replace(response, **changes))
        flow = hash_request("s", "c", to)
        return self.split(self.executor.handle_answer(flow, payload, now))

    def test_copies_start_once(self):
        table = [("while it runs", False), ("after its answer", True)]
        for number, (name, answered) in enumerate(table):
            with self.subTest(name):
                sent, _ = self.take(self.make(number))
                self.assertEqual(len(sent), 1)
                if answered:
                    self.handle_answer(number, 0.1)
                for run in (1, 1, 2):
                    sent, words = self.take(self.make(number, run), 0.2)
                    self.assertEqual(sent, [])
                    self.assertEqual(len(words), 1)
                self.handle_answer(number, 0.3)

    def test_what_must_not_start(self):
        table = [
            ("cancelled before", {"cancel": True}, False, Reason.CANCELLED),
            ("expired", {"timeout": 0.0}, False, Reason.EXPIRED),
            ("former home", {}, True, Reason.FENCED),
        ]
        for number, (name, changes, barred, reason) in enumerate(table):
            with self.subTest(name):
                sent, words = self.take(self.make(number, **changes), 0.0, barred)
                self.assertEqual((sent, words), ([], [(Verdict.NOT_RUN, reason)]))
                late, _ = self.take(self.make(number))
                self.assertEqual(late, [], "a late copy is barred")
                self.assertEqual(len(self.take(self.make(number, 2))[0]), 1)
                self.handle_answer(number, 0.1)

    def test_slots_are_counted_exactly_and_queued_work_follows(self):
        self.assertEqual(len(self.take(self.make(1))[0]), 1)
        self.assertEqual(self.take(self.make(2))[0], [])
        sent, _ = self.handle_answer(1, 0.1)
        self.assertEqual([request.number for request in sent], [2])

    def test_queued_work_that_expires_never_starts(self):
        self.take(self.make(1))
        self.take(self.make(2, timeout=1.0))
        _, words = self.split(self.executor.tick(1.5))
        self.assertIn((Verdict.NOT_RUN, Reason.EXPIRED), words)
        self.assertEqual(self.handle_answer(1, 1.6)[0], [])

    def test_a_cancelled_slot_is_free_only_when_the_upstream_let_go(self):
        def confirm(now):
            return self.handle_answer(1, now, Verdict.UNKNOWN, body=b"")

        def close(now):
            flow = hash_request("s", "c", 1)
            return self.split(self.executor.handle_upstream_gone(flow, now))

        def give_up(now):
            return self.split(self.executor.tick(now + 5.0 + SLOT_RELEASE_TIMEOUT_S))

        for let_go in (confirm, close, lambda now: self.handle_answer(1, now)):
            with self.subTest(let_go=let_go):
                self.setUp()
                self.take(self.make(1))
                self.take(self.make(2))
                sent, _ = self.take(self.make(1, cancel=True), 0.1)
                self.assertEqual([request.cancel for request in sent], [True])
                self.assertEqual(len(self.executor.running), 1)
                sent, _ = let_go(0.2)
                self.assertEqual([request.number for request in sent], [2])
        with self.subTest("closed by the agent in the end"):
            self.setUp()
            self.take(self.make(1))
            give_up(0.2)
            self.assertEqual(len(self.executor.running), 0)

    def test_an_answer_of_another_request_is_dropped(self):
        table = [
            {"number": 2},
            {"caller": "d"},
            {"service": "t"},
            {"attempt": 1},
        ]
        self.take(self.make(1))
        for changes in table:
            with self.subTest(**changes):
                self.assertEqual(self.handle_answer(1, 0.1, **changes), ([], []))
        truncated = encode(Response("s", "c", 1, 0, Verdict.ANSWERED, "", b"done"))[:-2]
        flow = hash_request("s", "c", 1)
        self.assertEqual(self.executor.handle_answer(flow, truncated, 0.1), [])
        self.assertEqual(self.handle_answer(1, 0.2)[1], [(Verdict.ANSWERED, "")])

    def test_zone_out_and_drain(self):
        self.take(self.make(1))
        self.take(self.make(2))
        _, words = self.split(self.executor.close(Reason.ZONE_OUT, True))
        self.assertEqual(
            words,
            [
                (Verdict.NOT_RUN, Reason.ZONE_OUT),
                (Verdict.UNKNOWN, Reason.ZONE_OUT),
            ],
        )
        self.setUp()
        self.take(self.make(1))
        self.take(self.make(2))
        self.executor.draining = True
        self.assertEqual(
            self.take(self.make(3))[1], [(Verdict.NOT_RUN, Reason.DRAINING)]
        )
        sent, _ = self.handle_answer(1, 0.1)
        self.assertEqual([request.number for request in sent], [2])

    def test_an_upstream_that_does_not_take_work_lowers_the_limit(self):
        table = [
            ("shed", Reason.SHED, 0.5),
            ("busy", Reason.SHED, 0.5),
            (Reason.CANCELLED, Reason.CANCELLED, 1.0),
        ]
        profile = replace(PROFILE, cold_share=0.1, slow_start=1.0)
        for said, told, limit in table:
            with self.subTest(said=said):
                self.setUp()
                self.executor.update(profile)
                self.executor.limiter.limit = 1.0
                self.take(self.make(1))
                _, words = self.handle_answer(
                    1, 0.1, Verdict.NOT_RUN, reason=said, body=b""
                )
                self.assertEqual(words, [(Verdict.NOT_RUN, told)])
                self.assertEqual(self.executor.limiter.limit, limit)
