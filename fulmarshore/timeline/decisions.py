"""From the lines of all processes to what became of one flow or one order.

The daemons of the direct data path write a JSON line for each decision. This
module reads such lines, puts those that concern one flow in order, and says what
ended it, as far as they tell.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct
from msgspec.structs import replace

BEFORE_S = 10.0
"""How long before a complaint the state of hosts still matters: a host that went
missing may hold flows for so long."""
AFTER_S = 4.0
"""How long after it what explains it is told: control hosts take 2.5 s until they
call an agent silent, and entry hosts ask them twice a second."""
FIND_WITHIN_S = 0.12
"""How far a caller's time may be from that of a line about its flow: lines go out
ten times a second."""
ORDER_BEFORE_S = 5.0
ORDER_AFTER_S = 5.0
ENDS_OF_HOSTS = frozenset({"started", "stopping", "stopped", "process_stalled"})
ENDS_OF_UPSTREAMS = frozenset(
    {"upstream_announced", "upstream_departed", "upstream_closed", "upstream_moved"}
)
LEAD_KINDS = frozenset(
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
NAMES_HOLDER = frozenset({"flow_offered", "flow_found"})
_COLLECTED = re.compile(r"\s*(\d+\.\d+)\s")
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+")


class Line(Struct, frozen=True):
    """One line of one process.

    Parameters
    ----------
    at : float
        Time of day, seconds.
    role, host : str
        The process.
    kind : str
        What was decided.
    flow, detail : str
        The flow and the inputs that decided it; empty where there are none.
    counts : dict of str to int
        Lines left out, by kind.
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
    """What became of a flow or an order.

    Parameters
    ----------
    cause : str
        What ended it, in a word of the operators' page.
    detail : str
        Where and why.
    lines : list of Line
        The lines that show it, in their order.
    left_out : dict of str to int
        Lines that the hosts concerned left out near its end, by kind: what is
        missing here may be among them.
    """

    cause: str
    detail: str
    lines: list[Line]
    left_out: dict[str, int] = field(default_factory=dict)


_decode = msgspec.json.Decoder(Line).decode


def read_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Read lines, with or without what a log collector puts before the first brace.

    A time there, in seconds, goes before the line's own: clocks of hosts jump.

    Returns
    -------
    lines : list of Line
        Lines in the order of their times.
    malformed : int
        Lines with a brace that could not be read.
    """
    lines: list[Line] = []
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
        collected = _COLLECTED.match(text[:start])
        lines.append(replace(line, at=float(collected[1])) if collected else line)
    lines.sort(key=lambda line: line.at)
    return lines, malformed


def find_flows(lines: list[Line], host: str, at: float) -> list[str]:
    """Return the flows that an entry host placed or rejected at about a time."""
    found = {
        line.flow: None
        for line in lines
        if line.flow and line.host == host and abs(line.at - at) <= FIND_WITHIN_S
    }
    return list(found)


def explain_flow(lines: list[Line], flow: str, at: float | None = None) -> Explanation:
    """Say what became of a flow, ``caller:port>service:port``.

    Parameters
    ----------
    at : float or None
        When its caller missed an answer, time of day in seconds; the time of its
        last line by default.
    """
    steps = [line for line in lines if line.flow == flow]
    if not steps:
        detail = "no line names the flow: it was not placed, or its lines were left out"
        return Explanation("not_seen", detail, [], _count_left_out(lines))
    holder = _find_holder(steps)
    near = _list_near(lines, steps[-1].at if at is None else at)
    hosts = {step.host for step in steps} | _find_names(lines, holder)
    left_out = _count_left_out([line for line in near if line.host in hosts])
    cause, detail, others = _find_cause(steps, holder, lines, near)
    shown = sorted([*steps, *others], key=lambda line: line.at)
    return Explanation(cause, detail, shown, left_out)


def explain_host(lines: list[Line], address: str, at: float) -> Explanation:
    """Say what became of an upstream's host near a time.

    Parameters
    ----------
    address : str
        Address of the host.
    at : float
        Time of day, seconds.
    """
    near = _list_near(lines, at)
    ends = _list_ends(near, lines, address)
    if not ends:
        detail = f"no line tells of an end or a silence of {address}"
        return Explanation("not_seen", detail, [])
    return Explanation(*_name_end(address, ends))


def explain_time(lines: list[Line], at: float) -> Explanation:
    """Say which processes had ended or stood still, where no line names a flow.

    Parameters
    ----------
    at : float
        Time of day, seconds.
    """
    near = [line for line in lines if at - AFTER_S <= line.at <= at + AFTER_S]
    started = [line for line in near if line.kind == "started" and line.at >= at]
    stopped = {(line.host, line.role) for line in near if line.kind == "stopping"}
    abrupt = [line for line in started if (line.host, line.role) not in stopped]
    known = {(line.host, line.role) for line in lines if line.at < at}
    roles = Counter(line.role for line in abrupt if (line.host, line.role) in known)
    stalled = [line for line in lines if _stood_still(line, at)]
    if stalled and not roles:
        hosts = ", ".join(sorted({line.host for line in stalled}))
        return Explanation("processes_stalled", f"stood still: {hosts}", stalled)
    if not started:
        detail = "no process started within 4 s, none stood still"
        return Explanation("not_seen", detail, [])
    everyone = Counter(role for _, role in known)
    told = ", ".join(
        f"{number} of {everyone[role]} {role} processes"
        for role, number in roles.items()
    )
    cause = "processes_ended" if roles else "processes_restarted"
    return Explanation(
        cause, f"started again without a stop: {told or 'none'}", started
    )


def explain_order(lines: list[Line], host: str, at: float) -> Explanation:
    """Say why a control host gave an order no answer, or none that is clear.

    Parameters
    ----------
    host : str
        Name of the control host that was asked.
    at : float
        When it was asked, time of day in seconds.
    """
    near = [
        line
        for line in lines
        if at - ORDER_BEFORE_S <= line.at <= at + ORDER_AFTER_S
        and line.role == "control"
        and line.kind in LEAD_KINDS
    ]
    own = [line for line in near if line.host == host]
    kinds = {line.kind for line in own}
    before = [line.kind for line in own if line.at <= at]
    if "order_refused" in kinds:
        refused = next(line for line in own if line.kind == "order_refused")
        return Explanation("order_refused", refused.detail, own)
    if "disk_refused_write" in kinds or "disk_failed" in kinds:
        return Explanation("disk", f"the disk of {host} refused writes", own)
    if "started" in kinds or "stopping" in kinds:
        return Explanation("process_ended", f"control on {host} was not running", own)
    if "leader_stepped_down" in kinds or "leader_lost" in kinds:
        elected = [line for line in near if line.kind == "leader_elected"]
        others = ", ".join(line.host for line in elected) or "nobody near that time"
        detail = f"{host} lost the lead or the leader; elected: {others}"
        return Explanation("election", detail, near)
    if "order_unanswered" in kinds and "leader_known" not in before:
        return Explanation("no_leader", f"{host} knew no leader", near)
    return Explanation("not_seen", f"no line of {host} near that time says why", near)


Cause = tuple[str, str, list[Line]]


def _find_cause(
    steps: list[Line], holder: str, lines: list[Line], near: list[Line]
) -> Cause:
    """Return cause, detail and the lines of others that show it."""
    told = [step for step in steps if step.kind != "flow_not_found"]
    last = told[-1] if told else steps[-1]
    rejected = [step for step in steps if step.kind == "flow_rejected"]
    if rejected:
        return _explain_rejection(rejected[-1], steps, holder, near)
    if last.kind == "flow_reset":
        ends = _list_ends(near, lines, holder)
        return "upstream_lost_it", f"{last.detail}, at {holder or last.host}", ends
    if last.kind == "flow_refused":
        return "refused", f"last by {last.host}: {last.detail}", []
    ends = _list_ends(near, lines, holder, last.at)
    if ends:
        return _name_end(holder, ends)
    entry = steps[0].host
    restarts = [
        line
        for line in near
        if line.host == entry and line.kind in ENDS_OF_HOSTS and line.at >= last.at
    ]
    if restarts:
        return "entry_ended", f"{entry}: {restarts[-1].kind}", restarts
    if steps[-1].kind == "flow_not_found":
        return "not_found", steps[-1].detail, []
    if any(step.kind == "flow_admitted" for step in steps) or holder:
        detail = f"it was passed to {holder or last.host}, and nothing happened to it"
        return "upstream_answered", detail, []
    return "unclear", f"last line: {last.kind} {last.detail}", []


def _name_end(holder: str, ends: list[Line]) -> Cause:
    """Return what the lines about the end of a flow's host come to."""
    kinds = [end.kind for end in ends]
    if "process_stalled" in kinds:
        stalled = ends[kinds.index("process_stalled")]
        detail = f"{holder}: {stalled.host} stood still, {stalled.detail}"
        return "holder_stalled", detail, ends
    if "started" in kinds:
        what = "as planned" if "stopping" in kinds else "without a stop"
        return "holder_ended", f"{holder}: its agent started again {what}", ends
    if "agent_silent" in kinds or "agent_gone" in kinds:
        return "holder_silent", f"{holder}: control hosts heard nothing of it", ends
    end = ends[-1]
    return "upstream_changed", f"{holder}: {end.kind} {end.detail}", ends


def _explain_rejection(
    rejected: Line, steps: list[Line], holder: str, near: list[Line]
) -> Cause:
    refused = [step for step in steps if step.kind == "flow_refused"]
    if not refused:
        refused = [line for line in near if line.kind == "flow_refused"]
    reasons = Counter(line.detail for line in refused).most_common(3)
    told = ", ".join(f"{reason} {number} times" for reason, number in reasons)
    detail = f"by {rejected.host}"
    if rejected.detail in ("no_agent", "no_slot"):
        detail += f"; agents near that time refused: {told or 'nothing'}"
        return rejected.detail, detail, []
    ends = [
        line
        for line in near
        if line.at <= rejected.at + AFTER_S
        and (holder and holder in line.detail or line.kind in ENDS_OF_UPSTREAMS)
        and line not in steps
        and line.kind in ENDS_OF_UPSTREAMS | {"agent_silent", "agent_gone"}
    ]
    return rejected.detail, detail, ends


def _stood_still(line: Line, at: float) -> bool:
    """Whether a line tells that its process stood still near a time."""
    if line.kind != "process_stalled":
        return False
    length_s = float(line.detail.split()[0])
    return line.at - length_s - AFTER_S <= at <= line.at


def _list_ends(
    near: list[Line], lines: list[Line], holder: str, since: float = 0.0
) -> list[Line]:
    """Return the lines that tell of an end of the host that holds a flow."""
    if not holder:
        return []
    names = _find_names(lines, holder)
    found = []
    for line in near:
        if line.at < since:
            continue
        if line.kind in ("agent_silent", "agent_gone") and line.detail == holder:
            found.append(line)
        if line.host not in names or line.role != "agent":
            continue
        if line.kind in ENDS_OF_HOSTS | ENDS_OF_UPSTREAMS:
            found.append(line)
    return found


def _find_holder(steps: list[Line]) -> str:
    """Return the address of the last host that a flow was placed at."""
    for step in reversed(steps):
        if step.kind in NAMES_HOLDER and (match := _ADDRESS.match(step.detail)):
            return match[0]
    return ""


def _find_names(lines: list[Line], address: str) -> set[str]:
    """Return the names that a host gives itself."""
    if not address:
        return set()
    detail = f"host {address}"
    return {
        line.host for line in lines if line.kind == "started" and line.detail == detail
    }


def _list_near(lines: list[Line], at: float) -> list[Line]:
    return [line for line in lines if at - BEFORE_S <= line.at <= at + AFTER_S]


def _count_left_out(lines: list[Line]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for line in lines:
        counts.update(line.counts)
    return dict(counts)
