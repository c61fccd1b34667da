"""Outcomes of a command in one region, and the wait until a change is in force."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fulmarshore.commands.client import (
    REQUEST_ATTEMPTS,
    ControlHosts,
    NoAnswer,
    fetch_all_statuses,
)
from fulmarshore.commands.options import (
    EXIT_CONFLICT,
    EXIT_DONE,
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
    EXIT_UNKNOWN,
)
from fulmarshore.commands.overview import Overview, merge_replies
from fulmarshore.core.records import ChangeReply, ChangeStatus, StatusReply

WAIT_INTERVAL_S = 0.2

ShowProgress = Callable[[str], None]
"""Prints a line of progress."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a command in one region.

    Parameters
    ----------
    code : int
        Exit code if this were the only region.
    summary : str
        The outcome in a few words, for a table.
    text : str
        Why the command failed, or where the change is not in force; else empty.
    number, version : int
        Number and version of the change; 0 if there is none.
    json_fields : dict
        The outcome as fields of the JSON output.
    """

    code: int
    summary: str
    text: str = ""
    number: int = 0
    version: int = 0
    json_fields: dict[str, Any] = field(default_factory=dict)

    @property
    def is_accepted(self) -> bool:
        """Whether the region accepted the change or needed none."""
        return self.code in (EXIT_DONE, EXIT_NOT_IN_FORCE)


def make_failure(code: int, summary: str, text: str, number: int = 0) -> Outcome:
    """Return the outcome of a command that failed."""
    return Outcome(code, summary, text, number, json_fields={"error": text})


def fetch_overview(
    control_hosts: ControlHosts, attempts: int | None = None
) -> Overview | Outcome:
    """Return the merged status of a region's control hosts, or the failure."""
    unresponsive: list[str] = []
    for _ in range(attempts or REQUEST_ATTEMPTS):
        replies, unresponsive = fetch_all_statuses(control_hosts)
        if not replies:
            continue
        problem = find_region_mismatch(control_hosts, replies)
        if problem:
            return make_failure(EXIT_INVALID, "another region, not sent", problem)
        return merge_replies(replies, unresponsive)
    return make_unreachable_outcome(", ".join(unresponsive))


def make_unreachable_outcome(peer: str) -> Outcome:
    """Return the outcome if no control host answered, so that no change was sent."""
    text = f"no control host answered: {peer}"
    return make_failure(EXIT_UNKNOWN, "not reached, not sent", text)


def find_region_mismatch(
    control_hosts: ControlHosts, replies: list[StatusReply]
) -> str:
    """Describe a control host of another region; empty if there is none."""
    reported = {reply.region: reply.control for reply in replies if reply.region}
    if not control_hosts.region and len(reported) < 2:
        return ""
    if not control_hosts.region:
        listed = ", ".join(sorted(reported))
        return f"--control: hosts of regions {listed}: allowed is one region"
    for region, control in sorted(reported.items()):
        if region != control_hosts.region:
            text = (
                f"--region {control_hosts.region}: "
                f"control host {control} is in {region}"
            )
            return f"{text}: allowed are hosts of {control_hosts.region}"
    return ""


def complete_change(
    reply: ChangeReply | NoAnswer,
    control_hosts: ControlHosts,
    wait: bool,
    timeout: float,
    show_progress: ShowProgress,
) -> Outcome:
    """Return the outcome of a change, with ``wait`` once it is in force.

    ``timeout`` is the longest wait, in seconds.
    """
    match reply:
        case NoAnswer(peer=peer):
            text = f"outcome unknown, no answer from {peer}; run again"
            return make_failure(EXIT_UNKNOWN, "unknown", text)
        case ChangeReply(status=ChangeStatus.CONFLICT, number=number):
            text = f"number {number} was taken by {reply.winner}"
            return make_failure(EXIT_CONFLICT, "conflict", text, number)
        case ChangeReply(status=ChangeStatus.INVALID, number=number):
            return make_failure(
                EXIT_INVALID, "invalid", "\n".join(reply.errors), number
            )
        case ChangeReply(status=ChangeStatus.UNAVAILABLE, number=number):
            text = f"outcome of number {number} unknown: no majority of control"
            text += " hosts has answered; ask again"
            return make_failure(EXIT_UNKNOWN, "unknown", text, number)
        case ChangeReply(status=ChangeStatus.PRUNED, number=number):
            text = f"number {number} was decided too long ago to tell how"
            return make_failure(EXIT_UNKNOWN, "forgotten", text, number)
    assert reply.status == ChangeStatus.ACCEPTED, reply
    summary = "accepted" if reply.number else "nothing to change"
    text = "nothing to change"
    if reply.number:
        text = f"number {reply.number} accepted as version {reply.version}"
    show_progress(text)
    json_fields = msgspec.structs.asdict(reply)
    if not wait:
        return Outcome(EXIT_DONE, summary, "", reply.number, reply.version, json_fields)
    stale, seconds = wait_until_in_force(
        control_hosts, reply.version, timeout, show_progress
    )
    json_fields |= {"stale": stale, "waited_s": round(seconds, 3)}
    if not stale:
        summary += f", in force after {seconds:.1f} s"
        return Outcome(EXIT_DONE, summary, "", reply.number, reply.version, json_fields)
    return Outcome(
        EXIT_NOT_IN_FORCE,
        f"{summary}, not in force at {len(stale)}",
        f"not in force at: {', '.join(stale)}",
        reply.number,
        reply.version,
        json_fields,
    )


def wait_until_in_force(
    control_hosts: ControlHosts,
    version: int,
    timeout: float,
    show_progress: ShowProgress,
) -> tuple[list[str], float]:
    """Wait until a version is in force at every live process.

    Returns
    -------
    stale : list of str
        Processes that did not have the version in force in time.
    seconds : float
        Duration of the wait.
    """
    started = time.monotonic()
    stale = ["every process: no control host answered"]
    shown = -1
    while True:
        replies, unresponsive = fetch_all_statuses(control_hosts)
        overview = merge_replies(replies, unresponsive)
        seconds = time.monotonic() - started
        if overview.view.version >= version:
            stale = overview.list_stale(version)
            live = overview.count_live()
            if live - len(stale) != shown:
                shown = live - len(stale)
                line = f"version {version} in force at {shown} of {live} after"
                show_progress(f"{line} {seconds:.1f} s")
            if not stale:
                return stale, seconds
        if seconds >= timeout:
            return stale, seconds
        time.sleep(WAIT_INTERVAL_S)
