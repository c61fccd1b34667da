"""Explains the outcome of a flow or an order from the decision lines of processes.

The daemons of the direct data path write a JSON line for each decision. This
module reads such lines, orders those of one flow by time and derives its outcome.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct
from msgspec.structs import replace

LOOKBACK_S = 10.0
"""How long before a reported failure the lines of hosts are considered: a host
that failed may hold flows for this long."""
LOOKAHEAD_S = 4.0
"""How long after a reported failure lines may still explain it: control hosts
report an agent as silent after 2.5 s, and entry hosts poll them twice a second."""
FLOW_TIME_TOLERANCE_S = 0.12
"""Largest distance between a caller's time and that of a line about its flow: lines
are written ten times a second."""
ORDER_LOOKBACK_S = 5.0
ORDER_LOOKAHEAD_S = 5.0
"""Lines of control hosts this long before and after an order may explain it."""
HOST_END_KINDS = frozenset({"started", "stopping", "stopped", "process_stalled"})
UPSTREAM_END_KINDS = frozenset(
    {"upstream_announced", "upstream_departed", "upstream_closed", "upstream_moved"}
)
ORDER_KINDS = frozenset(
    {
        "leader_elected",
        "leader_known",
        "leader_lost",
        "leader_stepped_down",
        "order_refused",
        "order_unanswered",
        "disk_refused_write",
        "disk_failed",
        "started",
        "stopping",
    }
)
"""Kinds of lines of control hosts that can explain why an order was not answered."""
HOLDER_KINDS = frozenset({"flow_offered", "flow_found"})
"""Kinds of lines whose detail starts with the address of the flow's agent."""
_COLLECTOR_TIME = re.compile(r"\s*(\d+\.\d+)\s")
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+")


class DecisionLine(Struct, frozen=True):
    """One line of one process.

    Parameters
    ----------
    at : float
        Time of day, seconds.
    role, host : str
        Role and host name of the process.
    kind : str
        Kind of the decision.
    flow, detail : str
        The flow, and the inputs of the decision; empty where there are none.
    counts : dict of str to int
        Lines that the process left out, by kind.
    """

    kind: str
    at: float = 0.0
    role: str = ""
    host: str = ""
    flow: str = ""
    detail: str = ""
    counts: dict[str, int] = {}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The outcome of a flow or an order, with the lines that show it.

    Parameters
    ----------
    cause : str
        The outcome, a name that the operators' page lists.
    detail : str
        Where and why it happened.
    lines : list of DecisionLine
        The lines that show it, in order of time.
    left_out : dict of str to int
        Lines that the hosts concerned left out near that time, by kind. Lines
        missing from the explanation may be among them.
    """

    cause: str
    detail: str
    lines: list[DecisionLine]
    left_out: dict[str, int] = field(default_factory=dict)


_decode = msgspec.json.Decoder(DecisionLine).decode


def read_lines(texts: Iterable[str]) -> tuple[list[DecisionLine], int]:
    """Parse decision lines, with or without the prefix of a log collector.

    A time at the start of the prefix, in seconds, replaces the line's own, because
    the clocks of hosts may jump.

    Returns
    -------
    lines : list of DecisionLine
        Lines in order of time.
    malformed : int
        Number of lines with a brace that could not be parsed.
    """
    lines: list[DecisionLine] = []
    malformed = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = _decode(text[start:])
        except (msgspec.MsgspecError, ValueError):
            malformed += 1
            continue
        collected = _COLLECTOR_TIME.match(text[:start])
        lines.append(replace(line, at=float(collected[1])) if collected else line)
    lines.sort(key=lambda line: line.at)
    return lines, malformed


def find_flows(lines: list[DecisionLine], host: str, at: float) -> list[str]:
    """Return the flows that an entry host placed or rejected near a time."""
    found = {
        line.flow: None
        for line in lines
        if line.flow
        and line.host == host
        and abs(line.at - at) <= FLOW_TIME_TOLERANCE_S
    }
    return list(found)


def explain_flow(
    lines: list[DecisionLine], flow: str, at: float | None = None
) -> Explanation:
    """Explain the outcome of a flow, ``caller:port>service:port``.

    Parameters
    ----------
    at : float or None
        When the caller missed an answer, time of day in seconds; by default the
        time of the flow's last line.
    """
    steps = [line for line in lines if line.flow == flow]
    if not steps:
        detail = "no line names the flow: it was not placed, or its lines were left out"
        return Explanation("not_seen", detail, [], _count_left_out(lines))
    holder = _find_holder(steps)
    near = _select_near(lines, steps[-1].at if at is None else at)
    hosts = {step.host for step in steps} | _find_host_names(lines, holder)
    left_out = _count_left_out([line for line in near if line.host in hosts])
    cause, detail, evidence = _find_cause(steps, holder, lines, near)
    shown = sorted([*steps, *evidence], key=lambda line: line.at)
    return Explanation(cause, detail, shown, left_out)


def explain_host(lines: list[DecisionLine], address: str, at: float) -> Explanation:
    """Explain what happened to an upstream host near a time.

    Parameters
    ----------
    address : str
        Address of the host.
    at : float
        Time of day, seconds.
    """
    near = _select_near(lines, at)
    ends = _find_end_lines(near, lines, address)
    if not ends:
        detail = f"no line reports that {address} ended or was silent"
        return Explanation("not_seen", detail, [])
    return Explanation(*_classify_end(address, ends))


def explain_time(lines: list[DecisionLine], at: float) -> Explanation:
    """Explain which processes ended or stalled, when no line names a flow.

    Parameters
    ----------
    at : float
        Time of day, seconds.
    """
    near = [line for line in lines if at - LOOKAHEAD_S <= line.at <= at + LOOKAHEAD_S]
    started = [line for line in near if line.kind == "started" and line.at >= at]
    stopped = {(line.host, line.role) for line in near if line.kind == "stopping"}
    unplanned = [line for line in started if (line.host, line.role) not in stopped]
    known = {(line.host, line.role) for line in lines if line.at < at}
    roles = Counter(line.role for line in unplanned if (line.host, line.role) in known)
    stalled = [line for line in lines if _was_stalled(line, at)]
    if stalled and not roles:
        hosts = ", ".join(sorted({line.host for line in stalled}))
        return Explanation("processes_stalled", f"stalled: {hosts}", stalled)
    if not started:
        detail = "no process started within 4 s, and none stalled"
        return Explanation("not_seen", detail, [])
    totals = Counter(role for _, role in known)
    summary = ", ".join(
        f"{number} of {totals[role]} {role} processes" for role, number in roles.items()
    )
    cause = "processes_ended" if roles else "processes_restarted"
    return Explanation(
        cause, f"restarted without a planned stop: {summary or 'none'}", started
    )


def explain_order(lines: list[DecisionLine], host: str, at: float) -> Explanation:
    """Explain why a control host did not answer an order, or not clearly.

    Parameters
    ----------
    host : str
        Name of the control host that received the order.
    at : float
        When it received the order, time of day in seconds.
    """
    near = [
        line
        for line in lines
        if at - ORDER_LOOKBACK_S <= line.at <= at + ORDER_LOOKAHEAD_S
        and line.role == "control"
        and line.kind in ORDER_KINDS
    ]
    host_lines = [line for line in near if line.host == host]
    kinds = {line.kind for line in host_lines}
    earlier_kinds = [line.kind for line in host_lines if line.at <= at]
    if "order_refused" in kinds:
        refused = next(line for line in host_lines if line.kind == "order_refused")
        return Explanation("order_refused", refused.detail, host_lines)
    if "disk_refused_write" in kinds or "disk_failed" in kinds:
        return Explanation("disk", f"the disk of {host} refused writes", host_lines)
    if "started" in kinds or "stopping" in kinds:
        return Explanation(
            "process_ended", f"control on {host} was not running", host_lines
        )
    if "leader_stepped_down" in kinds or "leader_lost" in kinds:
        elected = [line for line in near if line.kind == "leader_elected"]
        leaders = ", ".join(line.host for line in elected) or "nobody near that time"
        detail = f"{host} lost the lead or the leader; elected: {leaders}"
        return Explanation("election", detail, near)
    if "order_unanswered" in kinds and "leader_known" not in earlier_kinds:
        return Explanation("no_leader", f"{host} knew no leader", near)
    return Explanation(
        "not_seen", f"no line of {host} near that time explains it", near
    )


Cause = tuple[str, str, list[DecisionLine]]


def _find_cause(
    steps: list[DecisionLine],
    holder: str,
    lines: list[DecisionLine],
    near: list[DecisionLine],
) -> Cause:
    """Return cause, detail and the lines outside of the flow's own that show it."""
    decided = [step for step in steps if step.kind != "flow_not_found"]
    last = decided[-1] if decided else steps[-1]
    rejected = [step for step in steps if step.kind == "flow_rejected"]
    if rejected:
        return _explain_rejection(rejected[-1], steps, holder, near)
    if last.kind == "flow_reset":
        ends = _find_end_lines(near, lines, holder)
        return "upstream_lost_it", f"{last.detail}, at {holder or last.host}", ends
    if last.kind == "flow_refused":
        return "refused", f"last by {last.host}: {last.detail}", []
    ends = _find_end_lines(near, lines, holder, last.at)
    if ends:
        return _classify_end(holder, ends)
    entry = steps[0].host
    restarts = [
        line
        for line in near
        if line.host == entry and line.kind in HOST_END_KINDS and line.at >= last.at
    ]
    if restarts:
        return "entry_ended", f"{entry}: {restarts[-1].kind}", restarts
    if steps[-1].kind == "flow_not_found":
        return "not_found", steps[-1].detail, []
    if any(step.kind == "flow_admitted" for step in steps) or holder:
        detail = f"it was passed to {holder or last.host}, and no line shows a failure"
        return "upstream_answered", detail, []
    return "unclear", f"last line: {last.kind} {last.detail}", []


def _classify_end(holder: str, ends: list[DecisionLine]) -> Cause:
    """Return cause and detail for the lines about the end of a flow's host."""
    kinds = [end.kind for end in ends]
    if "process_stalled" in kinds:
        stalled = ends[kinds.index("process_stalled")]
        detail = f"{holder}: {stalled.host} stalled, {stalled.detail}"
        return "holder_stalled", detail, ends
    if "started" in kinds:
        manner = "after a planned stop" if "stopping" in kinds else "without a stop"
        return "holder_ended", f"{holder}: its agent restarted {manner}", ends
    if "agent_silent" in kinds or "agent_gone" in kinds:
        return "holder_silent", f"{holder}: control hosts heard nothing of it", ends
    end = ends[-1]
    return "upstream_changed", f"{holder}: {end.kind} {end.detail}", ends


def _explain_rejection(
    rejected: DecisionLine,
    steps: list[DecisionLine],
    holder: str,
    near: list[DecisionLine],
) -> Cause:
    refused = [step for step in steps if step.kind == "flow_refused"]
    if not refused:
        refused = [line for line in near if line.kind == "flow_refused"]
    reasons = Counter(line.detail for line in refused).most_common(3)
    summary = ", ".join(f"{reason} {number} times" for reason, number in reasons)
    detail = f"by {rejected.host}"
    if rejected.detail in ("no_agent", "no_slot"):
        detail += f"; agents near that time refused: {summary or 'nothing'}"
        return rejected.detail, detail, []
    ends = [
        line
        for line in near
        if line.at <= rejected.at + LOOKAHEAD_S
        and (holder and holder in line.detail or line.kind in UPSTREAM_END_KINDS)
        and line not in steps
        and line.kind in UPSTREAM_END_KINDS | {"agent_silent", "agent_gone"}
    ]
    return rejected.detail, detail, ends


def _was_stalled(line: DecisionLine, at: float) -> bool:
    """Return whether a line reports that its process was stalled near a time."""
    if line.kind != "process_stalled":
        return False
    stall_s = float(line.detail.split()[0])
    return line.at - stall_s - LOOKAHEAD_S <= at <= line.at


def _find_end_lines(
    near: list[DecisionLine], lines: list[DecisionLine], holder: str, since: float = 0.0
) -> list[DecisionLine]:
    """Return the lines that report an end of a host or of its upstream."""
    if not holder:
        return []
    names = _find_host_names(lines, holder)
    found = []
    for line in near:
        if line.at < since:
            continue
        if line.kind in ("agent_silent", "agent_gone") and line.detail == holder:
            found.append(line)
        if line.host not in names or line.role != "agent":
            continue
        if line.kind in HOST_END_KINDS | UPSTREAM_END_KINDS:
            found.append(line)
    return found


def _find_holder(steps: list[DecisionLine]) -> str:
    """Return the address of the last host that a flow was placed on."""
    for step in reversed(steps):
        if step.kind in HOLDER_KINDS and (match := _ADDRESS.match(step.detail)):
            return match[0]
    return ""


def _find_host_names(lines: list[DecisionLine], address: str) -> set[str]:
    """Return the names that the host with an address reports at its start."""
    if not address:
        return set()
    detail = f"host {address}"
    return {
        line.host for line in lines if line.kind == "started" and line.detail == detail
    }


def _select_near(lines: list[DecisionLine], at: float) -> list[DecisionLine]:
    return [line for line in lines if at - LOOKBACK_S <= line.at <= at + LOOKAHEAD_S]


def _count_left_out(lines: list[DecisionLine]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for line in lines:
        counts.update(line.counts)
    return dict(counts)
