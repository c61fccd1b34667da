"""The promises, checked from what callers, upstreams and operators see."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

CONTACT_S = 4.0
"""Promises with a bound in time hold for hosts that nothing was wrong with for so
long, a bound of the platform."""
DRAIN_S = 3.0
EVACUATE_S = 5.0
CONFIGURATION_S = 3.0
"""Bounds of the platform from an acknowledgement until it is in force."""
COLD_WINDOW_S = 1.0
LEAST_ANSWERED = 0.9
"""Share of the requests in calm that must be answered; what is lost there is what
waits for a repeated packet of before."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept.

    Parameters
    ----------
    promise : str
        Which one.
    at : float
        When, seconds from the start.
    detail : str
        What was seen.
    """

    promise: str
    at: float
    detail: str


@dataclass(slots=True)
class Calm:
    """When something was wrong last.

    Parameters
    ----------
    fault_until : float
        End of the last fault that nobody planned.
    """

    fault_until: float = float("-inf")

    def note(self, until: float) -> None:
        """Note a fault that lasts until a time."""
        self.fault_until = max(self.fault_until, until)

    def holds_since(self, at: float, now: float) -> bool:
        """Whether a bound that began at a time holds now for all hosts."""
        return min(at, now) >= self.fault_until + CONTACT_S


@dataclass(slots=True)
class OpenedFlow:
    """An opening that an upstream took.

    Parameters
    ----------
    upstream : str
        The upstream.
    service, zone : str
        Of the upstream.
    port : int
        Port that the caller asked for.
    sent_at, at : float
        When the caller sent the opening, and when it arrived.
    is_cold : bool
        Whether the upstream said that it is cold.
    cold_bound : int
        Openings that it bears in a second then; 0 where none is stated.
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
class Checks:
    """What was seen, and which promises it breaks.

    Parameters
    ----------
    calm : Calm
        When something was wrong last.
    """

    calm: Calm
    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    _allowed: dict[int, dict[int, set[str]]] = field(default_factory=dict)
    _runs: dict[bytes, str] = field(default_factory=dict)
    _sent: set[bytes] = field(default_factory=set)
    _drained: dict[str, float] = field(default_factory=dict)
    _zones_out: dict[str, float] = field(default_factory=dict)
    _accepted: list[tuple[float, int]] = field(default_factory=list)
    _contents: dict[int, set[bytes]] = field(default_factory=dict)
    _cold: dict[str, deque[float]] = field(default_factory=dict)

    # Configuration and zones.

    def note_configuration(self, version: int, content: bytes) -> None:
        """Note a configuration that is about to be sent."""
        self._contents.setdefault(version, set()).add(content)

    def allow_route(self, version: int, port: int, service: str) -> None:
        """Note that a configuration sends a port's callers to a service."""
        self._allowed.setdefault(port, {}).setdefault(version, set()).add(service)

    def note_accepted(self, version: int, now: float) -> None:
        """Note that a configuration was acknowledged."""
        self.count("configurations_accepted")
        self._accepted.append((now, version))

    def check_refusal(self, version: int, status: int, now: float) -> None:
        """Check that a valid configuration was not refused."""
        if 400 <= status < 500:
            detail = f"valid version {version} was refused with {status}"
            self._break("configuration accepted", now, detail)

    def check_invalid(self, status: int, now: float) -> None:
        """Check the answer to an invalid configuration."""
        self.count("configurations_invalid")
        if status == 200:
            self._break("invalid refused", now, "an invalid configuration was accepted")

    def check_read(
        self, version: int, content: bytes, asked_at: float, now: float
    ) -> None:
        """Check a configuration that was read back: nothing acknowledged is older."""
        self.count("reads")
        expected = self.find_newest(asked_at - CONFIGURATION_S)
        if version < expected:
            detail = f"read version {version}, acknowledged {expected}"
            self._break("never older", now, detail)
        if content not in self._contents.get(version, set()):
            detail = f"version {version} is none that was sent under this number"
            self._break("read as sent", now, detail)

    def find_newest(self, until: float) -> int:
        """Return the highest version acknowledged until a time; 0 if none."""
        found = [version for at, version in self._accepted if at <= until]
        return max(found, default=0)

    def note_zone(self, zone: str, is_out: bool, now: float) -> None:
        """Note that an order about a zone was acknowledged, or sent to take it back."""
        if not is_out:
            self._zones_out.pop(zone, None)
            return
        self._zones_out.setdefault(zone, now)

    # Flows and requests.

    def note_drain(self, upstream: str, now: float) -> None:
        """Note that an upstream's word that it leaves was acknowledged."""
        self._drained.setdefault(upstream, now)

    def note_sent(self, request: bytes) -> None:
        """Note that a caller's request left it, with its first data."""
        self._sent.add(request)

    def check_opening(self, opened: OpenedFlow) -> None:
        """Check an opening that an upstream took."""
        self.count("openings")
        self._check_route(opened)
        drained_at = self._drained.get(opened.upstream)
        if drained_at is not None:
            self._check_bound("leaving upstream", drained_at, DRAIN_S, opened)
        out_at = self._zones_out.get(opened.zone)
        if out_at is not None:
            self._check_bound("zone out", out_at, EVACUATE_S, opened)
        if opened.is_cold and opened.cold_bound:
            self._check_cold(opened)

    def check_run(self, request: bytes, upstream: str, now: float) -> None:
        """Check that an upstream may run a request."""
        self.count("runs")
        former = self._runs.setdefault(request, upstream)
        if former != upstream:
            detail = f"{request!r} ran at {former} and at {upstream}"
            self._break("at most once", now, detail)
        if request not in self._sent:
            self._break("not run is true", now, f"{request!r} ran, but was never sent")

    def check_forged(self, who: str, packets: int, now: float) -> None:
        """Check that an end got no packet that its sender did not write so."""
        if packets:
            self._break("packets unchanged", now, f"{who} got {packets} such packets")

    def check_reset(self, flow: str, is_alive: bool, now: float) -> None:
        """Check the reset of an open flow, whose upstream lives or does not."""
        self.count("resets_of_open_flows")
        if is_alive:
            self._break("open flows are kept", now, f"{flow} was reset")

    def check_exit(self, host: str, code: int, now: float) -> None:
        """Check that a process did not end by itself."""
        self._break("no process ends by itself", now, f"{host} ended with {code}")

    def check_calm(self, asked: int, answered: int, now: float) -> None:
        """Check that requests sent in calm were answered."""
        if asked and answered / asked < LEAST_ANSWERED:
            detail = f"{answered} of {asked} requests in calm were answered"
            self._break("service is back", now, detail)

    def check_end(self, version: int | None, now: float) -> None:
        """Check the version that is read back at the end."""
        newest = self.find_newest(now)
        if version is None or version < newest:
            detail = f"read {version} at the end, acknowledged {newest}"
            self._break("never lost", now, detail)

    def count(self, what: str) -> None:
        """Count something that was checked."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _check_route(self, opened: OpenedFlow) -> None:
        """Check that a configuration leads there, and none that is overtaken."""
        versions = self._allowed.get(opened.port, {})
        services = {service for found in versions.values() for service in found}
        detail = f"port {opened.port} reached {opened.service}"
        if opened.service not in services:
            self._break("own service", opened.at, detail)
            return
        since = opened.sent_at - CONFIGURATION_S
        if not self.calm.holds_since(since, opened.sent_at):
            return
        newest = self.find_newest(since)
        for version, found in versions.items():
            if version >= newest and opened.service in found:
                return
        detail += f", though version {newest} was in force"
        self._break("configuration in force", opened.at, detail)

    def _check_bound(
        self, promise: str, since: float, bound_s: float, opened: OpenedFlow
    ) -> None:
        if opened.sent_at <= since + bound_s:
            return
        if not self.calm.holds_since(opened.sent_at - bound_s, opened.sent_at):
            return
        late_s = opened.sent_at - since
        detail = f"{opened.upstream} got an opening sent {late_s:.1f} s after it"
        self._break(promise, opened.at, detail)

    def _check_cold(self, opened: OpenedFlow) -> None:
        times = self._cold.setdefault(opened.upstream, deque())
        times.append(opened.at)
        while opened.at - times[0] >= COLD_WINDOW_S:
            times.popleft()
        if len(times) > opened.cold_bound:
            detail = f"{opened.upstream} got {len(times)} in a second"
            self._break("cold upstream", opened.at, detail)

    def _break(self, promise: str, at: float, detail: str) -> None:
        self.violations.append(Violation(promise, at, detail))
