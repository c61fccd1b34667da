"""Measures a service while an availability zone is taken out and back in.

Callers send on open flows; a caller without answers opens another flow. The
zone is out while there are twice the usual callers, all of which the remaining
upstreams must serve. The cores run over a simulated network.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from fulmarshore.core.records import Reason, Zone
from fulmarshore.standins.routing import RoutedRegion

SERVICE = "s"
UPSTREAMS = 7
ENTRIES = 3
ZONE = "b"
CONNECTIONS = 200
"""Limit of each upstream; the 5 in the remaining zones hold 1,000 flows."""
CALLERS = 300
SEND_INTERVAL_S = 0.25
LIFETIME_S = 10.0
"""A caller ends its flow after this time and opens another."""
IDLE_TIMEOUT_S = 1.5
ANSWER_TIMEOUT_S = 0.6
WARM_UP_S = 35.0
DOUBLED_AT_S = 3.0
OUT_AT_S = 6.0
BACK_AT_S = 14.0
END_S = 24.0
STEP_S = 0.05
SEED = 3


class Second(Struct, frozen=True):
    """One second of the run.

    Parameters
    ----------
    second : int
        Seconds since the start of the measurement.
    event : str
        Change made at the start of the second, or empty.
    sent : int
        Packets that callers sent.
    answered : float
        Share of these packets that was answered.
    zone_flows : int
        Flows at the upstreams of the zone at the end of the second.
    max_over_mean : float
        Most flows of an upstream over the mean of those in service, at the
        end of the second.
    """

    second: int
    event: str
    sent: int
    answered: float
    zone_flows: int
    max_over_mean: float


class ZoneReport(Struct, frozen=True):
    """Figures of the whole run and of each second.

    Parameters
    ----------
    last_packet_s : float
        Seconds from the accepted change until the last packet to the zone.
    lowest_answered : float
        Lowest share of packets answered in any second.
    refused_with_room : int
        Refusals while an upstream in service was below its limit.
    flows_moved : int
        Flows of other zones that were broken.
    """

    last_packet_s: float
    lowest_answered: float
    refused_with_room: int
    flows_moved: int
    seconds: list[Second]


class Caller:
    """A caller with one flow at a time."""

    __slots__ = ("port", "due", "last_contact", "ends_at")

    def __init__(self, port: int, due: float) -> None:
        self.port = port
        self.due = due
        self.last_contact = due
        self.ends_at = 0.0


class ZoneRun:
    """One run of the measurement."""

    def __init__(self) -> None:
        self.region = RoutedRegion(
            SEED,
            {SERVICE: UPSTREAMS},
            ENTRIES,
            CONNECTIONS,
            idle_timeout=IDLE_TIMEOUT_S,
        )
        self.callers: list[Caller] = []
        self.ports = 0
        self.sent: Counter[int] = Counter()
        self.answered: Counter[int] = Counter()
        self.refused_with_room = 0
        self._refused = 0
        self._expected: dict[tuple[str, int], tuple[int, int]] = {}

    def run(self) -> ZoneReport:
        """Warm up, run all seconds, and return the figures."""
        network = self.region.network
        self._add_callers(CALLERS)
        self._run_callers(WARM_UP_S, None)
        start = network.now
        self.refused_with_room = 0
        accepted = 0.0
        last_packet = 0.0
        seconds = []
        changes_by_second = {
            DOUBLED_AT_S: "demand doubles",
            OUT_AT_S: "zone out",
            BACK_AT_S: "zone back",
        }
        for second in range(int(END_S)):
            event = changes_by_second.get(float(second), "")
            if second == DOUBLED_AT_S:
                self._add_callers(CALLERS)
            if second == OUT_AT_S:
                accepted = network.now
                self.region.change(Zone(ZONE, True))
            if second == BACK_AT_S:
                last_packet = self._find_last_packet()
                self.region.change(Zone(ZONE, False))
            self._run_callers(1.0, second)
            seconds.append(self._build_second(second, event))
        self._run_callers(ANSWER_TIMEOUT_S, None)
        assert network.now > start
        rows = [self._add_packet_counts(row) for row in seconds]
        return ZoneReport(
            round(max(0.0, last_packet - accepted), 3),
            min(row.answered for row in rows),
            self.refused_with_room,
            self._count_moved(),
            rows,
        )

    def _add_callers(self, count: int) -> None:
        now = self.region.network.now
        for number in range(count):
            self.ports += 1
            due = now + SEND_INTERVAL_S * number / count
            caller = Caller(self.ports, due)
            caller.ends_at = now + LIFETIME_S * (number + 1) / count
            self.callers.append(caller)

    def _run_callers(self, seconds: float, second: int | None) -> None:
        network = self.region.network
        until = network.now + seconds - STEP_S / 2
        while network.now < until:
            for caller in self.callers:
                if caller.due <= network.now:
                    self._send(caller, second)
            network.run(STEP_S)
            self._record_answers()
            self._record_refusals()

    def _send(self, caller: Caller, second: int | None) -> None:
        region = self.region
        now = region.network.now
        if now - caller.last_contact > ANSWER_TIMEOUT_S:
            # No answer within the timeout: the caller opens another flow.
            self._open_new_flow(caller, now, LIFETIME_S)
        if now >= caller.ends_at:
            self._open_new_flow(caller, now, LIFETIME_S)
        caller.due += SEND_INTERVAL_S
        if second is not None:
            self.sent[second] += 1
        region.send(SERVICE, caller.port)
        if second is not None:
            before = region.answers[SERVICE, caller.port]
            self._expected[SERVICE, caller.port] = (before, second)

    def _open_new_flow(self, caller: Caller, now: float, lifetime: float) -> None:
        self.ports += 1
        caller.port = self.ports
        caller.last_contact = now
        caller.ends_at = now + lifetime

    def _record_answers(self) -> None:
        now = self.region.network.now
        for caller in self.callers:
            key = (SERVICE, caller.port)
            if self.region.answers[key]:
                caller.last_contact = max(
                    caller.last_contact, caller.due - SEND_INTERVAL_S
                )
            expected = self._expected.get(key)
            if expected is None:
                continue
            before, second = expected
            if self.region.answers[key] <= before:
                continue
            self.answered[second] += 1
            caller.last_contact = now
            del self._expected[key]

    def _record_refusals(self) -> None:
        refused = 0
        cores = self.region.list_agents(SERVICE)
        for core in cores:
            refused += core.counters[f"refused_{Reason.FULL}"]
            refused += core.counters[f"refused_{Reason.NO_UPSTREAM}"]
        has_room = any(
            core.member.zone not in core.table.zones_out
            and len(core.flows) < CONNECTIONS
            for core in cores
        )
        if has_room:
            self.refused_with_room += refused - self._refused
        self._refused = refused

    def _find_last_packet(self) -> float:
        return max(
            at
            for name, at in self.region.last_packet_at.items()
            if self.region.members[name].zone == ZONE
        )

    def _count_moved(self) -> int:
        return sum(
            1 for flow in self.region.moved if self.region.first_zone[flow] != ZONE
        )

    def _build_second(self, second: int, event: str) -> Second:
        flow_counts = []
        zone_flows = 0
        for core in self.region.list_agents(SERVICE):
            if core.member.zone == ZONE:
                zone_flows += len(core.flows)
            if core.member.zone not in core.table.zones_out:
                flow_counts.append(len(core.flows))
        spread = max(flow_counts) * len(flow_counts) / max(sum(flow_counts), 1)
        return Second(second, event, 0, 0.0, zone_flows, round(spread, 3))

    def _add_packet_counts(self, row: Second) -> Second:
        sent = self.sent[row.second]
        return Second(
            row.second,
            row.event,
            sent,
            round(self.answered[row.second] / max(sent, 1), 4),
            row.zone_flows,
            row.max_over_mean,
        )


def run() -> ZoneReport:
    """Run the measurement."""
    return ZoneRun().run()
