"""Requests over the cores: directed faults, and randomised runs of all."""

from random import Random
from unittest import TestCase

from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.admission.ledger import Stage
from fulmarshore.admission.requestcopies import handle_copy, open_claim
from fulmarshore.bench.once import KINDS, MODEL, PROFILE, RANDOM_KINDS, run_once
from fulmarshore.callers.requests import Answered, NotRun, Unknown
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.hashing import find_bucket, hash_request
from fulmarshore.core.records import (
    Answer,
    ClaimBackup,
    ClaimBackupReply,
    ClaimsQuery,
    Datagram,
    Forward,
    PeerMessage,
    Reason,
    Request,
    RunRequest,
    SendPeer,
    Tick,
    Verdict,
    Zone,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.standins.network import Faults
from fulmarshore.standins.requests import SERVICE, RequestWorld
from fulmarshore.standins.work import WorkModel

SETTLED_S = 8.0
CROWDED = Faults(0.0, 0.3, 0.0005, 0.01, late=0.2, max_late=4.5)
RUNS_SHARE = 4
"""A run takes about a second: so many fewer than the profile asks for."""
SLOW = WorkModel(
    slots=3, service_s=1.0, cold_factor=1.0, warm_up_s=1.0, strain=1000.0, spread=0.0
)


class WorldTest(TestCase):
    def make(self, seed=1, model=MODEL, agents=4, run=SETTLED_S):
        self.world = RequestWorld(seed, PROFILE, model, agents, 2, 2)
        self.caller = self.world.callers["caller0"]
        self.world.network.run(run)

    def submit(self, count=1, timeout=8.0):
        now = self.world.network.now
        return [self.caller.submit(timeout, False, now) for _ in range(count)]

    def run_for(self, seconds):
        self.world.network.run(seconds)

    def get_outcomes(self, numbers):
        return [self.world.outcomes.get(("caller0", number)) for number in numbers]

    def find_runner(self, number):
        """Return the agent whose upstream has started a request."""
        for name, work in self.world.works.items():
            if work.upstream.ran["caller0", number]:
                return name
        return None

    def find_home(self, number):
        """Return the home of a request by the table in force."""
        table = self.world.get_agent("agent0").table.services[SERVICE]
        bucket = find_bucket(hash_request(SERVICE, "caller0", number))
        return table.get_ranking(bucket)[0].name

    def assert_kept(self):
        tally = self.world.tally()
        self.assertEqual(
            (tally.ran_twice, tally.false_refusals, tally.wrong_answers, tally.open),
            (0, 0, 0, 0),
        )


class OutcomeTest(WorldTest):
    def test_every_request_is_answered_without_faults(self):
        self.make()
        numbers = self.submit(50)
        self.run_for(10.0)
        for outcome in self.get_outcomes(numbers):
            self.assertIsInstance(outcome, Answered)
        self.assert_kept()

    def test_a_resend_through_any_entry_host_gets_the_stored_answer(self):
        self.make()
        (number,) = self.submit()
        self.run_for(1.0)
        self.assertIsInstance(self.get_outcomes([number])[0], Answered)
        body = f"caller0:{number}".encode()
        heard = []
        self.caller.handle = lambda event, now: (
            (
                heard.append(decode_request(event.payload, ""))
                if isinstance(event, Datagram)
                else None
            )
            or []
        )
        for attempt in (0, 0, 1, 5):
            copy = Request(SERVICE, "caller0", number, attempt, 6.0, False, False, body)
            self.world.send(self.caller, encode(copy))
            self.run_for(0.5)
        self.assertEqual({r.verdict for r in heard}, {Verdict.ANSWERED})
        self.assertEqual({r.body for r in heard}, {b"done:" + body})
        self.assert_kept()

    def test_a_lost_executor_hides_only_what_it_had_started(self):
        self.make(model=SLOW)
        numbers = self.submit(8, timeout=6.0)
        self.run_for(0.5)
        runners = {number: self.find_runner(number) for number in numbers}
        homes = {number: self.find_home(number) for number in numbers}
        gone = next(name for name in runners.values() if name)
        self.world.network.stop(gone)
        self.run_for(15.0)
        for number, outcome in zip(numbers, self.get_outcomes(numbers)):
            with self.subTest(number=number):
                if isinstance(outcome, Unknown):
                    self.assertIn(gone, (runners[number], homes[number]))
        self.assert_kept()

    def test_a_restarted_home_runs_nothing_again(self):
        self.make()
        numbers = self.submit(40)
        self.run_for(2.0)
        for name in list(self.world.works):
            self.world.start_agent(name)
            self.run_for(1.0)
        for number in numbers:
            copy = Request(SERVICE, "caller0", number, 1, 5.0, False, False, b"x", 3.0)
            self.world.send(self.caller, encode(copy))
        self.run_for(10.0)
        self.assert_kept()

    def test_orders_of_a_new_service_are_answered(self):
        self.make(run=0.5)
        self.world.network.faults = CROWDED
        numbers = []
        for _ in range(10):
            self.run_for(0.2)
            numbers += self.submit(4)
        self.run_for(15.0)
        for outcome in self.get_outcomes(numbers):
            self.assertIsInstance(outcome, Answered)
        self.assert_kept()

    def test_orders_after_two_lost_memories_are_answered(self):
        self.make(agents=5, run=40.0)
        before = self.submit(40)
        self.run_for(0.01)
        for name in ("agent1", "agent3"):
            self.world.network.stop(name)
        self.run_for(LEASE_S + 1.0)
        self.world.network.faults = CROWDED
        after = self.submit(40)
        self.run_for(15.0)
        for outcome in self.get_outcomes(after):
            self.assertIsInstance(outcome, Answered)
        kinds = {type(outcome) for outcome in self.get_outcomes(before)}
        self.assertIn(Unknown, kinds, "what the lost ones had taken stays hidden")
        self.assert_kept()

    def test_a_cancel_after_every_memory_is_lost_is_no_refusal(self):
        self.make(model=SLOW)
        numbers = self.submit(20)
        self.run_for(0.3)
        for name in list(self.world.works):
            self.world.start_agent(name)
        for number in numbers:
            datagram = self.caller.core.cancel(number, self.world.network.now)
            self.world.send(self.caller, datagram)
        self.run_for(15.0)
        self.assertGreater(sum(self.world.count_ran().values()), 0)
        self.assert_kept()

    def test_zone_out_and_drain_cut_nothing_that_has_not_started(self):
        self.make(model=SLOW)
        first = self.submit(6)
        self.run_for(0.3)
        self.world.stop_agent("agent1")
        self.run_for(0.2)
        second = self.submit(6)
        self.run_for(20.0)
        for outcome in self.get_outcomes(first + second):
            self.assertIsInstance(outcome, Answered, "a drain cuts nothing")
        third = self.submit(6)
        self.run_for(0.3)
        zone = self.world.get_agent("agent2").member.zone
        self.world.change(Zone(zone, True))
        self.run_for(20.0)
        for number, outcome in zip(third, self.get_outcomes(third)):
            if isinstance(outcome, NotRun):
                self.assertIsNone(self.find_runner(number))
        self.assert_kept()

    def test_an_entry_host_that_knows_no_upstream_does_not_say_not_run(self):
        # Another copy may have reached a home through another entry host.
        self.make(agents=0, run=2.0)
        (number,) = self.submit(timeout=25.0)
        self.run_for(1.0)
        nodes = self.world.network.nodes
        said = sum(
            nodes[name].core.counters[f"dropped_{Reason.NO_UPSTREAM}"]
            for name in ("entry0", "entry1")
        )
        self.assertGreater(said, 0)
        self.assertEqual(self.get_outcomes([number]), [None], "no final word")
        self.world.start_agent("agent0")
        self.run_for(30.0)
        self.assertNotIsInstance(self.get_outcomes([number])[0], NotRun)
        self.assert_kept()

    def test_a_partitioned_home_that_comes_back_starts_nothing_again(self):
        self.make(agents=5, run=36.0)
        world = self.world
        others = ["agent0", "agent2", "agent3", "agent4", "control"]
        world.network.part(["agent1"], others)
        numbers = []
        for _ in range(40):
            numbers += self.submit()
            self.run_for(0.1)
        world.network.heal()
        self.run_for(20.0)
        answered = [o for o in self.get_outcomes(numbers) if isinstance(o, Answered)]
        self.assertGreater(len(answered), 30)
        self.assert_kept()

    def test_orders_go_on_without_control_while_every_agent_is_there(self):
        self.make()
        self.world.network.stop("control")
        self.run_for(6.0)
        numbers = self.submit(20)
        self.run_for(3.0)
        for outcome in self.get_outcomes(numbers):
            self.assertIsInstance(outcome, Answered)
        self.world.network.stop("agent1")
        numbers = self.submit(20)
        self.run_for(12.0)
        kinds = {type(outcome) for outcome in self.get_outcomes(numbers)}
        self.assertEqual(kinds, {Unknown}, "nobody can tell who is home")
        self.assertEqual(sum(self.world.count_ran().values()), 20)
        self.assert_kept()

    def test_a_service_that_is_cut_off_whole_runs_nothing_a_newcomer_runs(self):
        # No member of the table that is cut off can know of an agent that
        # joined meanwhile, so both sides go by the time.
        self.make(agents=2, run=40.0)
        network = self.world.network
        here, there = ["agent0", "agent1", "entry0"], ["control", "entry1", "agent9"]
        network.part(here, there)
        self.run_for(8.0)
        self.world.start_agent("agent9")
        runners = []
        for first in (1, 21, 41):
            self.run_for(2.0)
            self.send_copies(range(first, first + 20))
            self.run_for(10.0)
            self.assert_kept()
            runners.append({self.find_runner(first + step) for step in range(20)})
        self.assertLessEqual(runners[0], {"agent0", "agent1", None})
        self.assertEqual(runners[1:], [{"agent9"}, {"agent9"}])

    def send_copies(self, numbers):
        """Submit requests, a copy of each through both entry hosts."""
        network = self.world.network
        for number in numbers:
            body = f"caller0:{number}".encode()
            _, copy = self.caller.core.submit(body, 8.0, False, network.now)
            self.caller.began[number] = network.now
            event = Datagram(SERVICE, self.caller.address, copy)
            network.schedule(0.001, "entry0", event)
            network.schedule(0.002, "entry1", event)

    def test_cancelled_requests_are_told_the_truth(self):
        self.make(model=SLOW)
        numbers = self.submit(20)
        for number in numbers:
            datagram = self.caller.core.cancel(number, self.world.network.now)
            self.world.send(self.caller, datagram)
        self.run_for(15.0)
        kinds = {type(outcome) for outcome in self.get_outcomes(numbers)}
        self.assertIn(NotRun, kinds)
        self.assert_kept()


class StallTest(WorldTest):
    def begin(self, timeout):
        now = self.world.network.now
        body = f"caller0:{len(self.caller.began) + 1}".encode()
        number, copy = self.caller.core.submit(body, timeout, False, now)
        self.caller.began[number] = now
        return number, copy

    def test_an_entry_host_that_was_stopped_passes_on_no_old_copy(self):
        for seconds in (2.0, 10.0, 60.0):
            with self.subTest(seconds=seconds):
                self.make()
                self.world.network.pause("entry0")
                for _ in range(20):
                    _, copy = self.begin(4.0)
                    old = Datagram(SERVICE, self.caller.address, copy)
                    self.world.network.schedule(0.001, "entry0", old)
                    self.world.network.schedule(0.001, "entry1", old)
                self.run_for(seconds)
                self.world.network.resume("entry0")
                self.run_for(8.0)
                self.assert_kept()

    def test_an_agent_that_was_stopped_takes_no_old_copy(self):
        for seconds in (2.0, 10.0, 60.0):
            with self.subTest(seconds=seconds):
                self.make(run=40.0)
                for _ in range(20):
                    _, copy = self.begin(8.0)
                    self.world.send(self.caller, copy)
                self.world.network.pause("agent1")
                self.run_for(seconds)
                self.world.network.resume("agent1")
                self.run_for(15.0)
                self.assert_kept()

    def test_what_an_agent_reads_after_a_stall_renews_no_lease(self):
        self.make()
        subscriber = self.world.get_agent("agent1").subscriber
        self.world.network.pause("agent1")
        self.run_for(10.0)
        before = subscriber.lease_renewed_at
        self.world.network.resume("agent1")
        self.run_for(0.2)
        self.assertEqual(subscriber.lease_renewed_at, before)
        self.run_for(2.0)
        self.assertGreater(subscriber.lease_renewed_at, before + 10.0)


class TermTest(WorldTest):
    def setUp(self):
        self.make()
        self.prepare()

    def prepare(self):
        self.now = self.world.network.now
        number, datagram = self.caller.core.submit(b"x", 8.0, False, self.now)
        self.caller.began[number] = self.now
        request = decode_request(datagram, "")
        self.flow = hash_request(SERVICE, "caller0", number)
        self.name = self.find_home(number)
        self.home = self.world.get_agent(self.name).requests.home
        # After a loss of memories homes admit only what answers a challenge.
        bucket = find_bucket(self.flow)
        challenge = self.home.settlement.challenge(bucket, request, self.now)
        self.request = replace(request, challenge=challenge)
        self.now += 0.2

    def open(self):
        source = self.caller.address
        open_claim(self.home, self.flow, self.request, source, "entry0", self.now)
        return self.home.ledger.find(self.flow)

    def acknowledge(self, state, accepted=True):
        backup = self.home.backups.find(find_bucket(self.flow))
        reply = ClaimBackupReply(
            *(SERVICE, backup.name, backup.incarnation, 1),
            *(self.flow, state.sequence, accepted),
        )
        return self.home.handle_backup_reply(reply, self.now)

    def list_messages(self, effects):
        return [type(e.message) for e in effects if isinstance(e, SendPeer)]

    def test_a_hand_over_waits_for_the_backup(self):
        state = self.open()
        self.assertEqual(state.stage, Stage.REPLICATING)
        self.assertEqual(self.acknowledge(state, False), [])
        self.assertEqual(state.stage, Stage.REPLICATING)
        self.assertIn(RunRequest, self.list_messages(self.acknowledge(state)))

    def test_a_refusal_waits_for_the_backup(self):
        state = self.open()
        effects = self.home.refuse(state, Reason.CANCELLED, self.now)
        self.assertEqual(self.list_messages(effects), [ClaimBackup])
        self.assertIn(Answer, self.list_messages(self.acknowledge(state)))

    def test_a_claim_of_an_earlier_term_waits_until_it_is_settled_again(self):
        state = self.open()
        self.home.settlement.mark_unsettled(self.now)
        self.assertEqual(self.acknowledge(state), [])
        self.assertEqual(state.stage, Stage.REPLICATING)

    def test_what_has_not_started_goes_back_to_the_new_home(self):
        state = self.open()
        other = next(m for m in self.home.service.members if m.name != self.name)
        query = ClaimsQuery(
            *(SERVICE, other.name, other.incarnation),
            *(self.home.settlement.version + 1, 1, [find_bucket(self.flow)]),
        )
        self.assertTrue(self.home.settlement.relinquish(query))
        effects = self.acknowledge(state)
        self.assertEqual(self.list_messages(effects), [ClaimBackup, Forward])
        self.assertEqual((state.verdict, state.attempt), (Verdict.NOT_RUN, -1))

    def test_an_unknown_outcome_covers_later_attempts(self):
        for name in list(self.world.works):
            self.world.start_agent(name)
        self.run_for(SETTLED_S)
        self.prepare()
        # Copies that waited are taken at once; the caller is at the last one.
        self.request = replace(self.request, challenge=None, age=self.now)
        state = self.open()
        self.assertEqual(state.verdict, Verdict.UNKNOWN)
        copy = replace(self.request, attempt=3)
        source = self.caller.address
        effects = handle_copy(self.home, state, copy, source, "entry0", self.now)
        response = decode_request(effects[0].message.payload, "")
        self.assertEqual((response.verdict, response.attempt), (Verdict.UNKNOWN, 3))

    def test_a_word_of_the_backup_from_before_a_stall_hands_nothing_over(self):
        state = self.open()
        requests = self.world.get_agent(self.name).requests
        backup = self.home.backups.find(find_bucket(self.flow))
        reply = ClaimBackupReply(
            *(SERVICE, backup.name, backup.incarnation, 1),
            *(self.flow, state.sequence, True),
        )
        event = PeerMessage(self.caller.address, reply)
        requests.handle(Tick(), self.home.table, self.now)
        effects = requests.handle(event, self.home.table, self.now + 5.0)
        self.assertNotIn(RunRequest, self.list_messages(effects))
        self.assertEqual(state.stage, Stage.REPLICATING)

    def test_a_claim_that_waits_is_written_again_without_a_lease(self):
        # A stall or a partition may lie between the claim and this moment.
        state = self.open()
        self.acknowledge(state)
        state.stage, state.executor = Stage.AWAITING_DISPATCH, None
        self.home.schedule(state, self.now)
        self.home.has_lease = False
        kinds = self.list_messages(self.home.tick(self.now))
        self.assertEqual((set(kinds), len(kinds)), ({ClaimBackup}, 3))

    def test_without_a_lease_every_member_must_agree(self):
        self.home.has_lease = False
        state = self.open()
        self.assertEqual(len(state.pending_peers), 3)
        self.assertEqual(self.acknowledge(state), [])
        self.assertEqual(state.stage, Stage.REPLICATING)

    def test_a_returned_lease_makes_the_home_ask_again(self):
        requests = self.world.get_agent(self.name).requests
        renewed = requests.subscriber.lease_renewed_at
        for renewed_at, settled in ((-1000.0, True), (renewed, False)):
            requests.subscriber.lease_renewed_at = renewed_at
            requests.handle(Tick(), self.home.table, self.now)
            self.assertEqual(bool(self.home.settlement.settled), settled)
        self.assertIsNotNone(self.home.settlement.round)


class RandomisedTest(TestCase):
    @settings(max_examples=settings().max_examples // RUNS_SHARE)
    @given(
        seed=st.integers(0, 2**32),
        loss=st.sampled_from([0.0, 0.01, 0.05]),
        duplication=st.sampled_from([0.0, 0.05, 0.3]),
        late=st.sampled_from([0.0, 0.02, 0.2]),
        max_delay=st.sampled_from([0.002, 0.03]),
        fault_interval=st.sampled_from([0.7, 1.5, 4.0]),
        kinds=st.sets(st.sampled_from(KINDS + RANDOM_KINDS), min_size=1),
        requests=st.sampled_from([150, 400]),
        warm_up=st.sampled_from([0.3, 2.0, 8.0]),
        timeout=st.sampled_from([1.0, 4.0, 8.0]),
    )
    # A late copy of a backup's part reached a new process at the same address.
    @example(29110, 0.05, 0.0, 0.2, 0.002, 1.5, set(KINDS), 400, 8.0, 8.0)
    # The same, where the draws show it.
    @example(
        *(43, 0.05, 0.0, 0.2, 0.002, 0.7, {"agent_restart", "two_agents_crash"}),
        *(400, 8.0, 4.0),
    )
    # A barred process and control asked each other without end, and ever faster
    # with doubled messages.
    @example(
        *(330000, 0.0, 0.3, 0.2, 0.03, 1.5, {"address_reuse", "agent_restart"}),
        *(150, 0.3, 1.0),
    )
    def test_at_most_once_true_refusals_right_answers(
        self,
        seed,
        loss,
        duplication,
        late,
        max_delay,
        fault_interval,
        kinds,
        requests,
        warm_up,
        timeout,
    ):
        faults = Faults(loss, duplication, 0.0005, max_delay, late=late, max_late=4.5)
        result, world = run_once(
            seed,
            requests,
            rate=Random(seed).choice([50.0, 150.0]),
            fault_interval=fault_interval,
            faults=faults,
            kinds=tuple(sorted(kinds)),
            warm_up=warm_up,
            timeout=timeout,
        )
        self.assertEqual(result.ran_twice, 0)
        self.assertEqual(result.false_refusals, 0)
        self.assertEqual(result.wrong_answers, 0)
        self.assertEqual(world.tally().open, 0)
