"""Invariants, checked against what callers, upstreams and operators observe.

Each of them reports what it sees to `InvariantChecker`, which lists the violations
for the report. Reports call an invariant a promise. Nothing inside the processes is
inspected. Times are seconds from the start of the run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

FAULT_FREE_S = 4.0
"""Invariants with a time bound are checked only this long after the last unplanned
fault: within this time, a bound of the platform, all hosts have recovered."""
DRAIN_S = 3.0
EVACUATE_S = 5.0
CONFIGURATION_S = 3.0
"""Bounds of the platform from the acknowledgement of a drain, a zone out and a
configuration until it is in force."""
COLD_WINDOW_S = 1.0
MIN_ANSWERED_SHARE = 0.9
"""Share of the requests sent in fault-free periods that must be answered. Requests
that still wait for a retransmission from before the period may fail."""


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was broken.

    Parameters
    ----------
    promise : str
        Name of the invariant.
    at : float
        When it was broken, seconds from the start.
    detail : str
        What was observed.
    """

    promise: str
    at: float
    detail: str


@dataclass(slots=True)
class FaultTracker:
    """Keeps when the last unplanned fault ended.

    Parameters
    ----------
    fault_until : float
        End of the last unplanned fault, seconds from the start.
    """

    fault_until: float = float("-inf")

    def record_fault(self, until: float) -> None:
        """Record an unplanned fault that lasts until a time."""
        self.fault_until = max(self.fault_until, until)

    def is_stable_since(self, at: float, now: float) -> bool:
        """Return whether both times are `FAULT_FREE_S` or more after the last fault."""
        return min(at, now) >= self.fault_until + FAULT_FREE_S


@dataclass(slots=True)
class OpenedFlow:
    """The opening of a flow that an upstream received.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    service, zone : str
        Service and availability zone of the upstream.
    port : int
        Service port that the caller opened the flow to.
    sent_at, at : float
        When the caller sent the opening, and when it arrived.
    is_cold : bool
        Whether the upstream announced that it is in its cold start.
    cold_bound : int
        Highest number of openings in a second of its cold start; 0 if unlimited.
    """

    upstream: str
    service: str
    zone: str
    port: int
    sent_at: float
    at: float
    is_cold: bool = False
    cold_bound: int = 0


@dataclass(slots=True)
class InvariantChecker:
    """Records observations and checks them against the invariants.

    Parameters
    ----------
    fault_tracker : FaultTracker
        Tells whether invariants with a time bound are checked.
    """

    fault_tracker: FaultTracker
    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    _allowed_services: dict[int, dict[int, set[str]]] = field(default_factory=dict)
    _ran_at: dict[bytes, str] = field(default_factory=dict)
    _sent_requests: set[bytes] = field(default_factory=set)
    _drained_at: dict[str, float] = field(default_factory=dict)
    _zones_out_since: dict[str, float] = field(default_factory=dict)
    _accepted_versions: list[tuple[float, int]] = field(default_factory=list)
    _sent_contents: dict[int, set[bytes]] = field(default_factory=dict)
    _cold_openings: dict[str, deque[float]] = field(default_factory=dict)

    # Configuration and zones.

    def record_configuration(self, version: int, content: bytes) -> None:
        """Record the content of a configuration that is about to be sent."""
        self._sent_contents.setdefault(version, set()).add(content)

    def allow_route(self, version: int, port: int, service: str) -> None:
        """Record that a configuration routes a port to a service."""
        self._allowed_services.setdefault(port, {}).setdefault(version, set()).add(
            service
        )

    def record_accepted(self, version: int, now: float) -> None:
        """Record that a configuration was acknowledged."""
        self.count("configurations_accepted")
        self._accepted_versions.append((now, version))

    def check_refusal(self, version: int, status: int, now: float) -> None:
        """Check that a valid configuration was not refused."""
        if 400 <= status < 500:
            detail = f"valid version {version} was refused with {status}"
            self._report_violation("configuration accepted", now, detail)

    def check_invalid_answer(self, status: int, now: float) -> None:
        """Check the answer to an invalid configuration."""
        self.count("configurations_invalid")
        if status == 200:
            self._report_violation(
                "invalid refused", now, "an invalid configuration was accepted"
            )

    def check_read(
        self, version: int, content: bytes, asked_at: float, now: float
    ) -> None:
        """Check that a configuration read back is as sent and not outdated."""
        self.count("reads")
        expected = self.find_newest_accepted(asked_at - CONFIGURATION_S)
        if version < expected:
            detail = f"read version {version}, acknowledged {expected}"
            self._report_violation("never older", now, detail)
        if content not in self._sent_contents.get(version, set()):
            detail = f"content of version {version} differs from all sent under it"
            self._report_violation("read as sent", now, detail)

    def find_newest_accepted(self, until: float) -> int:
        """Return the highest version acknowledged up to a time; 0 if none."""
        found = [version for at, version in self._accepted_versions if at <= until]
        return max(found, default=0)

    def record_zone_change(self, zone: str, is_out: bool, now: float) -> None:
        """Record that a zone out was acknowledged, or that a zone in is being sent."""
        if not is_out:
            self._zones_out_since.pop(zone, None)
            return
        self._zones_out_since.setdefault(zone, now)

    # Flows and requests.

    def record_drain(self, upstream: str, now: float) -> None:
        """Record that an upstream's drain was acknowledged."""
        self._drained_at.setdefault(upstream, now)

    def record_sent(self, request: bytes) -> None:
        """Record that a caller sent a request."""
        self._sent_requests.add(request)

    def check_opening(self, opened: OpenedFlow) -> None:
        """Check that an opened flow may reach its upstream."""
        self.count("openings")
        self._check_route(opened)
        drained_at = self._drained_at.get(opened.upstream)
        if drained_at is not None:
            self._check_deadline("leaving upstream", drained_at, DRAIN_S, opened)
        out_at = self._zones_out_since.get(opened.zone)
        if out_at is not None:
            self._check_deadline("zone out", out_at, EVACUATE_S, opened)
        if opened.is_cold and opened.cold_bound:
            self._check_cold_rate(opened)

    def check_run(self, request: bytes, upstream: str, now: float) -> None:
        """Check that a request was sent and ran at no other upstream."""
        self.count("runs")
        first_upstream = self._ran_at.setdefault(request, upstream)
        if first_upstream != upstream:
            detail = f"{request!r} ran at {first_upstream} and at {upstream}"
            self._report_violation("at most once", now, detail)
        if request not in self._sent_requests:
            self._report_violation(
                "not run is true", now, f"{request!r} ran, but was never sent"
            )

    def check_forged(self, receiver: str, packets: int, now: float) -> None:
        """Check that a caller or upstream got no altered or misdelivered packet."""
        if packets:
            self._report_violation(
                "packets unchanged",
                now,
                f"{receiver} received {packets} altered or misdelivered packets",
            )

    def check_reset(self, flow: str, is_alive: bool, now: float) -> None:
        """Check that an open flow was reset only if its upstream had ended."""
        self.count("resets_of_open_flows")
        if is_alive:
            self._report_violation("open flows are kept", now, f"{flow} was reset")

    def check_exit(self, host: str, code: int, now: float) -> None:
        """Report a process that exited without being stopped or killed."""
        self._report_violation(
            "no process ends by itself", now, f"{host} ended with {code}"
        )

    def check_answered_share(self, sent: int, answered: int, now: float) -> None:
        """Check the share of answered requests in fault-free periods."""
        if sent and answered / sent < MIN_ANSWERED_SHARE:
            detail = (
                f"{answered} of {sent} requests in fault-free periods were answered"
            )
            self._report_violation("service is back", now, detail)

    def check_final_version(self, version: int | None, now: float) -> None:
        """Check that no acknowledged configuration was lost at the end of the run."""
        newest = self.find_newest_accepted(now)
        if version is None or version < newest:
            detail = f"read version {version} at the end, acknowledged {newest}"
            self._report_violation("never lost", now, detail)

    def count(self, name: str) -> None:
        """Increment the counter of a check."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def _check_route(self, opened: OpenedFlow) -> None:
        """Check that a configuration routes the port to this service.

        A replaced configuration counts only until the newer one must be in force.
        """
        versions = self._allowed_services.get(opened.port, {})
        services = {service for allowed in versions.values() for service in allowed}
        detail = f"port {opened.port} reached {opened.service}"
        if opened.service not in services:
            self._report_violation("own service", opened.at, detail)
            return
        since = opened.sent_at - CONFIGURATION_S
        if not self.fault_tracker.is_stable_since(since, opened.sent_at):
            return
        newest = self.find_newest_accepted(since)
        for version, allowed in versions.items():
            if version >= newest and opened.service in allowed:
                return
        detail += f", but version {newest} was in force"
        self._report_violation("configuration in force", opened.at, detail)

    def _check_deadline(
        self, promise: str, since: float, bound_s: float, opened: OpenedFlow
    ) -> None:
        if opened.sent_at <= since + bound_s:
            return
        if not self.fault_tracker.is_stable_since(
            opened.sent_at - bound_s, opened.sent_at
        ):
            return
        late_s = opened.sent_at - since
        detail = (
            f"{opened.upstream} got an opening sent {late_s:.1f} s "
            "after the acknowledgement"
        )
        self._report_violation(promise, opened.at, detail)

    def _check_cold_rate(self, opened: OpenedFlow) -> None:
        times = self._cold_openings.setdefault(opened.upstream, deque())
        times.append(opened.at)
        while opened.at - times[0] >= COLD_WINDOW_S:
            times.popleft()
        if len(times) > opened.cold_bound:
            detail = f"{opened.upstream} got {len(times)} openings in a second"
            self._report_violation("cold upstream", opened.at, detail)

    def _report_violation(self, promise: str, at: float, detail: str) -> None:
        self.violations.append(Violation(promise, at, detail))
