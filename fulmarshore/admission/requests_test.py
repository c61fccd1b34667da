"""Requests simulated on the cores, with single faults and randomised ones."""

from random import Random
from unittest import TestCase

from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.admission.claimtable import Stage
from fulmarshore.admission.requestcopies import handle_copy, open_claim
from fulmarshore.bench.once import (
    FAULT_KINDS,
    MODEL,
    PROFILE,
    RANDOMISED_TEST_KINDS,
    run_once,
)
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
LATE_DUPLICATES = Faults(0.0, 0.3, 0.0005, 0.01, late=0.2, max_late=4.5)
EXAMPLE_DIVISOR = 4
"""Divisor of the profile's number of examples, as a run takes about a second."""
SLOW_MODEL = WorkModel(
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

    def find_executor(self, number):
        """Return the agent whose upstream has started a request."""
        for name, work in self.world.upstream_nodes.items():
            if work.upstream.ran["caller0", number]:
                return name
        return None

    def find_home(self, number):
        """Return the home of a request according to the current table."""
        table = self.world.get_agent("agent0").table.services[SERVICE]
        bucket = find_bucket(hash_request(SERVICE, "caller0", number))
        return table.get_ranking(bucket)[0].name

    def assert_invariants(self):
        tally = self.world.tally()
        self.assertEqual(
            (tally.ran_twice, tally.false_refusals, tally.wrong_answers, tally.open),
            (0, 0, 0, 0),
        )


class OutcomeTest(WorldTest):
    def test_answers_every_request_without_faults(self):
        self.make()
        numbers = self.submit(50)
        self.run_for(10.0)
        for outcome in self.get_outcomes(numbers):
            self.assertIsInstance(outcome, Answered)
        self.assert_invariants()

    def test_resend_through_any_entry_host_gets_the_stored_answer(self):
        self.make()
        (number,) = self.submit()
        self.run_for(1.0)
        self.assertIsInstance(self.get_outcomes([number])[0], Answered)
        body = f"caller0:{number}".encode()
        responses = []
        self.caller.handle = lambda event, now: (
            (
                responses.append(decode_request(event.payload, ""))
                if isinstance(event, Datagram)
                else None
            )
            or []
        )
        for attempt in (0, 0, 1, 5):
            copy = Request(SERVICE, "caller0", number, attempt, 6.0, False, False, body)
            self.world.send(self.caller, encode(copy))
            self.run_for(0.5)
        self.assertEqual({r.verdict for r in responses}, {Verdict.ANSWERED})
        self.assertEqual({r.body for r in responses}, {b"done:" + body})
        self.assert_invariants()

    def test_lost_executor_makes_only_its_own_requests_unknown(self):
        self.make(model=SLOW_MODEL)
        numbers = self.submit(8, timeout=6.0)
        self.run_for(0.5)
        executors = {number: self.find_executor(number) for number in numbers}
        homes = {number: self.find_home(number) for number in numbers}
        stopped = next(name for name in executors.values() if name)
        self.world.network.stop(stopped)
        self.run_for(15.0)
        for number, outcome in zip(numbers, self.get_outcomes(numbers)):
            with self.subTest(number=number):
                if isinstance(outcome, Unknown):
                    self.assertIn(stopped, (executors[number], homes[number]))
        self.assert_invariants()

    def test_restarted_homes_rerun_no_request(self):
        self.make()
        numbers = self.submit(40)
        self.run_for(2.0)
        for name in list(self.world.upstream_nodes):
            self.world.start_agent(name)
            self.run_for(1.0)
        for number in numbers:
            copy = Request(SERVICE, "caller0", number, 1, 5.0, False, False, b"x", 3.0)
            self.world.send(self.caller, encode(copy))
        self.run_for(10.0)
        self.assert_invariants()

    def test_answers_requests_of_a_new_service(self):
        self.make(run=0.5)
        self.world.network.faults = LATE_DUPLICATES
        numbers = []
        for _ in range(10):
            self.run_for(0.2)
            numbers += self.submit(4)
        self.run_for(15.0)
        for outcome in self.get_outcomes(numbers):
            self.assertIsInstance(outcome, Answered)
        self.assert_invariants()

    def test_answers_requests_sent_after_two_state_losses(self):
        self.make(agents=5, run=40.0)
        before = self.submit(40)
        self.run_for(0.01)
        for name in ("agent1", "agent3"):
            self.world.network.stop(name)
        self.run_for(LEASE_S + 1.0)
        self.world.network.faults = LATE_DUPLICATES
        after = self.submit(40)
        self.run_for(15.0)
        for outcome in self.get_outcomes(after):
            self.assertIsInstance(outcome, Answered)
        kinds = {type(outcome) for outcome in self.get_outcomes(before)}
        self.assertIn(Unknown, kinds, "requests at the stopped agents stay unknown")
        self.assert_invariants()

    def test_cancel_after_loss_of_all_state_is_no_refusal(self):
        self.make(model=SLOW_MODEL)
        numbers = self.submit(20)
        self.run_for(0.3)
        for name in list(self.world.upstream_nodes):
            self.world.start_agent(name)
        for number in numbers:
            datagram = self.caller.core.cancel(number, self.world.network.now)
            self.world.send(self.caller, datagram)
        self.run_for(15.0)
        self.assertGreater(sum(self.world.count_ran().values()), 0)
        self.assert_invariants()

    def test_zone_out_and_drain_abort_only_started_requests(self):
        self.make(model=SLOW_MODEL)
        first = self.submit(6)
        self.run_for(0.3)
        self.world.stop_agent("agent1")
        self.run_for(0.2)
        second = self.submit(6)
        self.run_for(20.0)
        for outcome in self.get_outcomes(first + second):
            self.assertIsInstance(outcome, Answered, "a drain aborts nothing")
        third = self.submit(6)
        self.run_for(0.3)
        zone = self.world.get_agent("agent2").member.zone
        self.world.change(Zone(zone, True))
        self.run_for(20.0)
        for number, outcome in zip(third, self.get_outcomes(third)):
            if isinstance(outcome, NotRun):
                self.assertIsNone(self.find_executor(number))
        self.assert_invariants()

    def test_entry_host_without_upstreams_does_not_respond_not_run(self):
        # Another copy may have reached a home through another entry host.
        self.make(agents=0, run=2.0)
        (number,) = self.submit(timeout=25.0)
        self.run_for(1.0)
        nodes = self.world.network.nodes
        dropped = sum(
            nodes[name].core.counters[f"dropped_{Reason.NO_UPSTREAM}"]
            for name in ("entry0", "entry1")
        )
        self.assertGreater(dropped, 0)
        self.assertEqual(self.get_outcomes([number]), [None], "no final outcome")
        self.world.start_agent("agent0")
        self.run_for(30.0)
        self.assertNotIsInstance(self.get_outcomes([number])[0], NotRun)
        self.assert_invariants()

    def test_home_reruns_no_request_after_a_partition(self):
        self.make(agents=5, run=36.0)
        world = self.world
        others = ["agent0", "agent2", "agent3", "agent4", "control"]
        world.network.partition(["agent1"], others)
        numbers = []
        for _ in range(40):
            numbers += self.submit()
            self.run_for(0.1)
        world.network.heal()
        self.run_for(20.0)
        answered = [o for o in self.get_outcomes(numbers) if isinstance(o, Answered)]
        self.assertGreater(len(answered), 30)
        self.assert_invariants()

    def test_runs_requests_without_control_while_all_agents_are_present(self):
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
        self.assertEqual(kinds, {Unknown}, "the home is not known")
        self.assertEqual(sum(self.world.count_ran().values()), 20)
        self.assert_invariants()

    def test_partitioned_service_runs_no_request_of_a_new_agent(self):
        # No member in the partition can know of an agent that joined on the other
        # side, so both sides rely on the times of leases.
        self.make(agents=2, run=40.0)
        network = self.world.network
        here, there = ["agent0", "agent1", "entry0"], ["control", "entry1", "agent9"]
        network.partition(here, there)
        self.run_for(8.0)
        self.world.start_agent("agent9")
        executors = []
        for first in (1, 21, 41):
            self.run_for(2.0)
            self.send_copies(range(first, first + 20))
            self.run_for(10.0)
            self.assert_invariants()
            executors.append({self.find_executor(first + step) for step in range(20)})
        self.assertLessEqual(executors[0], {"agent0", "agent1", None})
        self.assertEqual(executors[1:], [{"agent9"}, {"agent9"}])

    def send_copies(self, numbers):
        """Submit requests, a copy of each through both entry hosts."""
        network = self.world.network
        for number in numbers:
            body = f"caller0:{number}".encode()
            _, copy = self.caller.core.submit(body, 8.0, False, network.now)
            self.caller.started_at[number] = network.now
            event = Datagram(SERVICE, self.caller.address, copy)
            network.schedule(0.001, "entry0", event)
            network.schedule(0.002, "entry1", event)

    def test_outcomes_of_cancelled_requests_are_true(self):
        self.make(model=SLOW_MODEL)
        numbers = self.submit(20)
        for number in numbers:
            datagram = self.caller.core.cancel(number, self.world.network.now)
            self.world.send(self.caller, datagram)
        self.run_for(15.0)
        kinds = {type(outcome) for outcome in self.get_outcomes(numbers)}
        self.assertIn(NotRun, kinds)
        self.assert_invariants()


class StallTest(WorldTest):
    def submit_request(self, timeout):
        now = self.world.network.now
        body = f"caller0:{len(self.caller.started_at) + 1}".encode()
        number, copy = self.caller.core.submit(body, timeout, False, now)
        self.caller.started_at[number] = now
        return number, copy

    def test_paused_entry_host_forwards_no_old_copy(self):
        for seconds in (2.0, 10.0, 60.0):
            with self.subTest(seconds=seconds):
                self.make()
                self.world.network.pause("entry0")
                for _ in range(20):
                    _, copy = self.submit_request(4.0)
                    old = Datagram(SERVICE, self.caller.address, copy)
                    self.world.network.schedule(0.001, "entry0", old)
                    self.world.network.schedule(0.001, "entry1", old)
                self.run_for(seconds)
                self.world.network.resume("entry0")
                self.run_for(8.0)
                self.assert_invariants()

    def test_paused_agent_accepts_no_old_copy(self):
        for seconds in (2.0, 10.0, 60.0):
            with self.subTest(seconds=seconds):
                self.make(run=40.0)
                for _ in range(20):
                    _, copy = self.submit_request(8.0)
                    self.world.send(self.caller, copy)
                self.world.network.pause("agent1")
                self.run_for(seconds)
                self.world.network.resume("agent1")
                self.run_for(15.0)
                self.assert_invariants()

    def test_messages_read_after_a_stall_renew_no_lease(self):
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


class CoordinatorTest(WorldTest):
    def setUp(self):
        self.make()
        self.prepare()

    def prepare(self):
        self.now = self.world.network.now
        number, datagram = self.caller.core.submit(b"x", 8.0, False, self.now)
        self.caller.started_at[number] = self.now
        request = decode_request(datagram, "")
        self.flow = hash_request(SERVICE, "caller0", number)
        self.name = self.find_home(number)
        self.home = self.world.get_agent(self.name).requests.home
        # After state losses, homes admit only requests that answer a challenge.
        bucket = find_bucket(self.flow)
        challenge = self.home.settlement.challenge(bucket, request, self.now)
        self.request = replace(request, challenge=challenge)
        self.now += 0.2

    def open(self):
        source = self.caller.address
        open_claim(self.home, self.flow, self.request, source, "entry0", self.now)
        return self.home.claim_table.find(self.flow)

    def send_backup_reply(self, state, accepted=True):
        backup = self.home.backups.find(find_bucket(self.flow))
        reply = ClaimBackupReply(
            *(SERVICE, backup.name, backup.incarnation, 1),
            *(self.flow, state.sequence, accepted),
        )
        return self.home.handle_backup_reply(reply, self.now)

    def list_messages(self, effects):
        return [type(e.message) for e in effects if isinstance(e, SendPeer)]

    def test_dispatch_waits_for_the_backup(self):
        state = self.open()
        self.assertEqual(state.stage, Stage.REPLICATING)
        self.assertEqual(self.send_backup_reply(state, False), [])
        self.assertEqual(state.stage, Stage.REPLICATING)
        self.assertIn(RunRequest, self.list_messages(self.send_backup_reply(state)))

    def test_refusal_waits_for_the_backup(self):
        state = self.open()
        effects = self.home.refuse(state, Reason.CANCELLED, self.now)
        self.assertEqual(self.list_messages(effects), [ClaimBackup])
        self.assertIn(Answer, self.list_messages(self.send_backup_reply(state)))

    def test_claim_of_an_earlier_term_waits_until_its_bucket_is_settled(self):
        state = self.open()
        self.home.settlement.mark_unsettled(self.now)
        self.assertEqual(self.send_backup_reply(state), [])
        self.assertEqual(state.stage, Stage.REPLICATING)

    def test_unstarted_request_is_forwarded_to_the_new_home(self):
        state = self.open()
        other = next(m for m in self.home.service.members if m.name != self.name)
        query = ClaimsQuery(
            *(SERVICE, other.name, other.incarnation),
            *(self.home.settlement.version + 1, 1, [find_bucket(self.flow)]),
        )
        self.assertTrue(self.home.settlement.relinquish(query))
        effects = self.send_backup_reply(state)
        self.assertEqual(self.list_messages(effects), [ClaimBackup, Forward])
        self.assertEqual((state.verdict, state.attempt), (Verdict.NOT_RUN, -1))

    def test_unknown_outcome_covers_later_attempts(self):
        for name in list(self.world.upstream_nodes):
            self.world.start_agent(name)
        self.run_for(SETTLED_S)
        self.prepare()
        # Parked copies are all processed at once, but the caller already waits for
        # the outcome of its last attempt.
        self.request = replace(self.request, challenge=None, age=self.now)
        state = self.open()
        self.assertEqual(state.verdict, Verdict.UNKNOWN)
        copy = replace(self.request, attempt=3)
        source = self.caller.address
        effects = handle_copy(self.home, state, copy, source, "entry0", self.now)
        response = decode_request(effects[0].message.payload, "")
        self.assertEqual((response.verdict, response.attempt), (Verdict.UNKNOWN, 3))

    def test_backup_reply_from_before_a_stall_dispatches_nothing(self):
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

    def test_claim_awaiting_dispatch_is_replicated_again_without_a_lease(self):
        # A stall or a partition may have occurred since the claim was stored.
        state = self.open()
        self.send_backup_reply(state)
        state.stage, state.executor = Stage.AWAITING_DISPATCH, None
        self.home.schedule(state, self.now)
        self.home.has_lease = False
        kinds = self.list_messages(self.home.tick(self.now))
        self.assertEqual((set(kinds), len(kinds)), ({ClaimBackup}, 3))

    def test_without_a_lease_every_member_must_accept_the_claim(self):
        self.home.has_lease = False
        state = self.open()
        self.assertEqual(len(state.pending_peers), 3)
        self.assertEqual(self.send_backup_reply(state), [])
        self.assertEqual(state.stage, Stage.REPLICATING)

    def test_renewed_lease_restarts_the_take_over(self):
        requests = self.world.get_agent(self.name).requests
        renewed = requests.subscriber.lease_renewed_at
        for renewed_at, settled in ((-1000.0, True), (renewed, False)):
            requests.subscriber.lease_renewed_at = renewed_at
            requests.handle(Tick(), self.home.table, self.now)
            self.assertEqual(bool(self.home.settlement.settled), settled)
        self.assertIsNotNone(self.home.settlement.round)


class RandomisedTest(TestCase):
    @settings(max_examples=settings().max_examples // EXAMPLE_DIVISOR)
    @given(
        seed=st.integers(0, 2**32),
        loss=st.sampled_from([0.0, 0.01, 0.05]),
        duplication=st.sampled_from([0.0, 0.05, 0.3]),
        late=st.sampled_from([0.0, 0.02, 0.2]),
        max_delay=st.sampled_from([0.002, 0.03]),
        fault_interval=st.sampled_from([0.7, 1.5, 4.0]),
        kinds=st.sets(st.sampled_from(FAULT_KINDS + RANDOMISED_TEST_KINDS), min_size=1),
        requests=st.sampled_from([150, 400]),
        warm_up=st.sampled_from([0.3, 2.0, 8.0]),
        timeout=st.sampled_from([1.0, 4.0, 8.0]),
    )
    # A late copy of a BackupSync part reached a new process at the same address.
    @example(29110, 0.05, 0.0, 0.2, 0.002, 1.5, set(FAULT_KINDS), 400, 8.0, 8.0)
    # The same failure, with other parameters.
    @example(
        *(43, 0.05, 0.0, 0.2, 0.002, 0.7, {"agent_restart", "two_agents_crash"}),
        *(400, 8.0, 4.0),
    )
    # A fenced process and control kept sending requests to each other, at a rate
    # that grew with duplicated messages.
    @example(
        *(330000, 0.0, 0.3, 0.2, 0.03, 1.5, {"address_reuse", "agent_restart"}),
        *(150, 0.3, 1.0),
    )
    def test_runs_at_most_once_with_true_refusals_and_right_answers(
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
