"""Commands that change one named item: a zone or a drain."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click

from fulmarshore.adapters.parameters import NAME
from fulmarshore.commands.client import ControlHosts, submit_with_retries
from fulmarshore.commands.options import (
    EXIT_INVALID,
    add_control_options,
    add_wait_options,
    fail,
)
from fulmarshore.commands.outcomes import Outcome, complete_change, fetch_overview
from fulmarshore.commands.overview import Overview
from fulmarshore.commands.regions import (
    exit_with_outcomes,
    make_progress_printer,
    run_in_regions,
)
from fulmarshore.core.records import (
    Declaration,
    Drain,
    EntryHost,
    Item,
    Member,
    Removed,
    Zone,
)
from fulmarshore.membership.view import View

FindNames = Callable[[View], set[str]]


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of one named item, sent to the region that has it.

    Parameters
    ----------
    kind, name : str
        Kind and name of the item, for messages.
    find_known : callable
        Returns the names of such items in a view.
    find_used : callable
        Returns the names of those in use by a live process.
    items : list of Declaration
        Items to add or change.
    removed : list of Removed
        Items to remove.
    """

    kind: str
    name: str
    find_known: FindNames
    find_used: FindNames
    items: list[Declaration]
    removed: list[Removed]


def run_edit(
    edit: Edit, regions: list[ControlHosts], wait: bool, timeout: float, as_json: bool
) -> None:
    """Find the region that has the named item, and submit the change there."""
    answers = _fetch_overviews(edit, regions)
    control_hosts, overview = _select_region(edit, regions, answers, as_json)
    show_progress = make_progress_printer(control_hosts, len(regions) == 1, as_json)
    reply = submit_with_retries(
        control_hosts.exclude(overview.unresponsive),
        control_hosts.operator,
        edit.items,
        edit.removed,
    )
    outcome = complete_change(reply, control_hosts, wait, timeout, show_progress)
    exit_with_outcomes([control_hosts], [outcome], as_json)


def _fetch_overviews(
    edit: Edit, regions: list[ControlHosts]
) -> list[Overview | Outcome]:
    """Return the overview of each region, or why there is none.

    Regions that do not answer are retried only if the item is not in use in any
    other, so that a failed region does not delay taking a zone out in another.
    """
    fetch_once = functools.partial(fetch_overview, attempts=1)
    answers = run_in_regions(regions, fetch_once)
    for answer in answers:
        if isinstance(answer, Outcome):
            continue
        if edit.name in edit.find_used(answer.view):
            return answers
    unanswered = []
    for control_hosts, answer in zip(regions, answers, strict=True):
        if isinstance(answer, Outcome):
            unanswered.append(control_hosts)
    if not unanswered:
        return answers
    retried = iter(run_in_regions(unanswered, fetch_overview))
    return [
        next(retried) if isinstance(result, Outcome) else result for result in answers
    ]


def _select_region(
    edit: Edit,
    regions: list[ControlHosts],
    answers: list[Overview | Outcome],
    as_json: bool,
) -> tuple[ControlHosts, Overview]:
    """Return the one region that has the named item, or exit with an error."""
    answered: list[tuple[ControlHosts, Overview]] = []
    unanswered: list[Outcome] = []
    for control_hosts, answer in zip(regions, answers, strict=True):
        if isinstance(answer, Outcome):
            unanswered.append(answer)
            continue
        answered.append((control_hosts, answer))
    if not answered:
        text = "\n".join(outcome.text for outcome in unanswered)
        fail(text, max(outcome.code for outcome in unanswered), as_json)
    used = [
        candidate
        for candidate in answered
        if edit.name in edit.find_used(candidate[1].view)
    ]
    known = [
        candidate
        for candidate in answered
        if edit.name in edit.find_known(candidate[1].view)
    ]
    candidates = used or known
    label = f"{edit.kind} {edit.name}"
    if len(candidates) > 1:
        names = ", ".join(candidate[0].region for candidate in candidates)
        text = f"{label} is in more than one region: allowed is --only with one of"
        fail(f"{text} {names}", EXIT_INVALID, as_json)
    if unanswered and not used:
        text = f"{label} is not in use in the regions that answered, nothing was sent;"
        text += " --only NAME sends it to one region without asking the others"
        reasons = "\n".join(outcome.text for outcome in unanswered)
        code = max(outcome.code for outcome in unanswered)
        fail(f"{text}\n{reasons}", code, as_json)
    if not candidates:
        names = set().union(
            *(edit.find_known(candidate[1].view) for candidate in answered)
        )
        allowed = ", ".join(sorted(names)) or "none is known"
        text = f"{label} is not known: allowed is {allowed}"
        fail(text, EXIT_INVALID, as_json)
    return candidates[0]


def _find_zones(view: View) -> set[str]:
    """Return the zones that are declared or have a live process."""
    return _find_names(view, Zone) | _find_used_zones(view)


def _find_used_zones(view: View) -> set[str]:
    used = set()
    for stamped in view.items.values():
        if isinstance(stamped.item, Member | EntryHost):
            used.add(stamped.item.zone)
    return used


def _find_members(view: View) -> set[str]:
    return _find_names(view, Member)


def _find_drains(view: View) -> set[str]:
    return _find_names(view, Drain)


def _find_names(view: View, kind: type[Item]) -> set[str]:
    return {name for type_name, name in view.items if type_name == kind.__name__}


@click.group()
def zone() -> None:
    """Take an availability zone out of service or bring it back."""


@zone.command("out")
@click.argument("name", type=NAME)
@add_wait_options
@add_control_options
def zone_out(name: str, **options: Any) -> None:
    """Take an availability zone out of service; open flows there are abandoned."""
    items = [Zone(name, True)]
    run_edit(Edit("zone", name, _find_zones, _find_used_zones, items, []), **options)


@zone.command("in")
@click.argument("name", type=NAME)
@add_wait_options
@add_control_options
def zone_in(name: str, **options: Any) -> None:
    """Bring an availability zone back."""
    items = [Zone(name, False)]
    run_edit(Edit("zone", name, _find_zones, _find_used_zones, items, []), **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait_options
@add_control_options
def drain(name: str, **options: Any) -> None:
    """Assign no new flows to an upstream; its open flows stay."""
    items = [Drain(name)]
    run_edit(Edit("upstream", name, _find_members, _find_members, items, []), **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait_options
@add_control_options
def undrain(name: str, **options: Any) -> None:
    """Assign new flows to a drained upstream again."""
    removals = [Removed(0, Drain.__name__, name)]
    kind = "drained upstream"
    run_edit(Edit(kind, name, _find_drains, _find_drains, [], removals), **options)
