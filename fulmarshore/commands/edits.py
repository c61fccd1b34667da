"""The commands that change one named thing: a zone, or a drain."""

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
    add_control,
    add_wait,
    fail,
)
from fulmarshore.commands.outcomes import Outcome, conclude, fetch_overview
from fulmarshore.commands.overview import Overview
from fulmarshore.commands.regions import ask_regions, finish, make_tell
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
    """A change of one named thing, sent to the region that has it.

    Parameters
    ----------
    kind, name : str
        What is changed, for a person.
    find_known : callable
        Returns the names that a region knows.
    find_used : callable
        Returns the names of those that some process is in.
    items : list of Declaration
        What is to be in force.
    removed : list of Removed
        What is to be removed.
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
    """Find the region that has the named thing, and submit the change there."""
    found = _find_overviews(edit, regions)
    controls, overview = _choose(edit, regions, found, as_json)
    tell = make_tell(controls, len(regions) == 1, as_json)
    reply = submit_with_retries(
        controls.exclude(overview.silent), controls.operator, edit.items, edit.removed
    )
    outcome = conclude(reply, controls, wait, timeout, tell)
    finish([controls], [outcome], as_json)


def _find_overviews(
    edit: Edit, regions: list[ControlHosts]
) -> list[Overview | Outcome]:
    """Ask all regions; wait long for silent ones only where nobody has the thing.

    Otherwise a region that is lost would hold up a zone out in another.
    """
    once = functools.partial(fetch_overview, attempts=1)
    found = ask_regions(regions, once)
    for answer in found:
        if isinstance(answer, Outcome):
            continue
        if edit.name in edit.find_used(answer.view):
            return found
    unseen = []
    for controls, answer in zip(regions, found, strict=True):
        if isinstance(answer, Outcome):
            unseen.append(controls)
    if not unseen:
        return found
    late = iter(ask_regions(unseen, fetch_overview))
    return [next(late) if isinstance(held, Outcome) else held for held in found]


def _choose(
    edit: Edit,
    regions: list[ControlHosts],
    found: list[Overview | Outcome],
    as_json: bool,
) -> tuple[ControlHosts, Overview]:
    """Return the one region that has the named thing, or exit."""
    seen: list[tuple[ControlHosts, Overview]] = []
    unseen: list[Outcome] = []
    for controls, answer in zip(regions, found, strict=True):
        if isinstance(answer, Outcome):
            unseen.append(answer)
            continue
        seen.append((controls, answer))
    if not seen:
        text = "\n".join(outcome.text for outcome in unseen)
        fail(text, max(outcome.code for outcome in unseen), as_json)
    used = [held for held in seen if edit.name in edit.find_used(held[1].view)]
    known = [held for held in seen if edit.name in edit.find_known(held[1].view)]
    chosen = used or known
    what = f"{edit.kind} {edit.name}"
    if len(chosen) > 1:
        names = ", ".join(held[0].region for held in chosen)
        text = f"{what} is in more than one region: allowed is --only with one of"
        fail(f"{text} {names}", EXIT_INVALID, as_json)
    if unseen and not used:
        text = f"{what} is not in use in the regions that answered, nothing was sent;"
        text += " --only NAME sends it to one region without asking the others"
        reasons = "\n".join(outcome.text for outcome in unseen)
        code = max(outcome.code for outcome in unseen)
        fail(f"{text}\n{reasons}", code, as_json)
    if not chosen:
        names = set().union(*(edit.find_known(held[1].view) for held in seen))
        allowed = ", ".join(sorted(names)) or "none is known"
        text = f"{what} is not known: allowed is {allowed}"
        fail(text, EXIT_INVALID, as_json)
    return chosen[0]


def _find_zones(view: View) -> set[str]:
    """Return the zones that are declared or that an upstream is in."""
    return _find_names(view, Zone) | _find_used_zones(view)


def _find_used_zones(view: View) -> set[str]:
    used = set()
    for held in view.items.values():
        if isinstance(held.item, Member | EntryHost):
            used.add(held.item.zone)
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
@add_wait
@add_control
def zone_out(name: str, **options: Any) -> None:
    """Take an availability zone out of service; flows there are given up."""
    items = [Zone(name, True)]
    run_edit(Edit("zone", name, _find_zones, _find_used_zones, items, []), **options)


@zone.command("in")
@click.argument("name", type=NAME)
@add_wait
@add_control
def zone_in(name: str, **options: Any) -> None:
    """Bring an availability zone back."""
    items = [Zone(name, False)]
    run_edit(Edit("zone", name, _find_zones, _find_used_zones, items, []), **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait
@add_control
def drain(name: str, **options: Any) -> None:
    """Give an upstream no new flows; those it has stay."""
    items = [Drain(name)]
    run_edit(Edit("upstream", name, _find_members, _find_members, items, []), **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait
@add_control
def undrain(name: str, **options: Any) -> None:
    """Give a drained upstream new flows again."""
    gone = [Removed(0, Drain.__name__, name)]
    kind = "drained upstream"
    run_edit(Edit(kind, name, _find_drains, _find_drains, [], gone), **options)
