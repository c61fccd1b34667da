"""What a change came to in one region, and how long until it is in force."""

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

Tell = Callable[[str], None]
"""Shows a line of progress."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a command came to in one region.

    Parameters
    ----------
    code : int
        Exit code, were this the only region.
    word : str
        The outcome in a few words, for a table.
    text : str
        Why the command failed, or what is not in force; empty where all is well.
    number, version : int
        Number and version of the change; 0 where there is none.
    described : dict
        The same for JSON.
    """

    code: int
    word: str
    text: str = ""
    number: int = 0
    version: int = 0
    described: dict[str, Any] = field(default_factory=dict)

    @property
    def is_accepted(self) -> bool:
        """Whether what was asked for is accepted in the region."""
        return self.code in (EXIT_DONE, EXIT_NOT_IN_FORCE)


def fail_outcome(code: int, word: str, text: str, number: int = 0) -> Outcome:
    """Return the outcome of a command that failed."""
    return Outcome(code, word, text, number, described={"error": text})


def fetch_overview(
    controls: ControlHosts, attempts: int | None = None
) -> Overview | Outcome:
    """Ask all control hosts of a region; an outcome where that fails."""
    silent: list[str] = []
    for _ in range(attempts or REQUEST_ATTEMPTS):
        replies, silent = fetch_all_statuses(controls)
        if not replies:
            continue
        problem = find_other_region(controls, replies)
        if problem:
            return fail_outcome(EXIT_INVALID, "another region, not sent", problem)
        return merge_replies(replies, silent)
    return describe_unanswered(", ".join(silent))


def describe_unanswered(peer: str) -> Outcome:
    """Return the outcome where nobody was reached, so that nothing was sent."""
    text = f"no control host answered: {peer}"
    return fail_outcome(EXIT_UNKNOWN, "not reached, not sent", text)


def find_other_region(controls: ControlHosts, replies: list[StatusReply]) -> str:
    """Return what is wrong with the regions that control hosts told, or nothing."""
    told = {reply.region: reply.control for reply in replies if reply.region}
    if not controls.region and len(told) < 2:
        return ""
    if not controls.region:
        listed = ", ".join(sorted(told))
        return f"--control: hosts of regions {listed}: allowed is one region"
    for region, control in sorted(told.items()):
        if region != controls.region:
            text = f"--region {controls.region}: control host {control} is in {region}"
            return f"{text}: allowed are hosts of {controls.region}"
    return ""


def conclude(
    reply: ChangeReply | NoAnswer,
    controls: ControlHosts,
    wait: bool,
    timeout: float,
    tell: Tell,
) -> Outcome:
    """Return the outcome of a change, after the wait if one is asked for."""
    match reply:
        case NoAnswer(peer=peer):
            text = f"outcome unknown, no answer from {peer}; run again"
            return fail_outcome(EXIT_UNKNOWN, "unknown", text)
        case ChangeReply(status=ChangeStatus.CONFLICT, number=number):
            text = f"number {number} was taken by {reply.winner}"
            return fail_outcome(EXIT_CONFLICT, "conflict", text, number)
        case ChangeReply(status=ChangeStatus.INVALID, number=number):
            return fail_outcome(
                EXIT_INVALID, "invalid", "\n".join(reply.errors), number
            )
        case ChangeReply(status=ChangeStatus.UNAVAILABLE, number=number):
            text = f"outcome of number {number} unknown: no majority of control"
            text += " hosts has answered; ask again"
            return fail_outcome(EXIT_UNKNOWN, "unknown", text, number)
        case ChangeReply(status=ChangeStatus.PRUNED, number=number):
            text = f"number {number} was decided too long ago to tell how"
            return fail_outcome(EXIT_UNKNOWN, "forgotten", text, number)
    assert reply.status == ChangeStatus.ACCEPTED, reply
    word = "accepted" if reply.number else "nothing to change"
    text = "nothing to change"
    if reply.number:
        text = f"number {reply.number} accepted as version {reply.version}"
    tell(text)
    described = msgspec.structs.asdict(reply)
    if not wait:
        return Outcome(EXIT_DONE, word, "", reply.number, reply.version, described)
    stale, seconds = wait_in_force(controls, reply.version, timeout, tell)
    described |= {"stale": stale, "waited_s": round(seconds, 3)}
    if not stale:
        word += f", in force after {seconds:.1f} s"
        return Outcome(EXIT_DONE, word, "", reply.number, reply.version, described)
    return Outcome(
        EXIT_NOT_IN_FORCE,
        f"{word}, not in force at {len(stale)}",
        f"not in force at: {', '.join(stale)}",
        reply.number,
        reply.version,
        described,
    )


def wait_in_force(
    controls: ControlHosts, version: int, timeout: float, tell: Tell
) -> tuple[list[str], float]:
    """Wait until a version is in force at every live process.

    Returns
    -------
    stale : list of str
        Processes that did not get there in time.
    seconds : float
        How long it took.
    """
    started = time.monotonic()
    stale = ["every process: no control host answered"]
    shown = -1
    while True:
        replies, silent = fetch_all_statuses(controls)
        overview = merge_replies(replies, silent)
        seconds = time.monotonic() - started
        if overview.view.version >= version:
            stale = overview.list_stale(version)
            live = overview.count_live()
            if live - len(stale) != shown:
                shown = live - len(stale)
                line = f"version {version} in force at {shown} of {live} after"
                tell(f"{line} {seconds:.1f} s")
            if not stale:
                return stale, seconds
        if seconds >= timeout:
            return stale, seconds
        time.sleep(WAIT_INTERVAL_S)
