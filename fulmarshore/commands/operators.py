"""The commands of operators: they keep nothing and decide nothing."""

from __future__ import annotations

import functools
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from fulmarshore.adapters.parameters import NAME
from fulmarshore.commands.declarations import (
    Declarations,
    check_declarations,
    load_declarations,
)
from fulmarshore.commands.operator import (
    ASK_ATTEMPTS,
    Controls,
    NoAnswer,
    fetch_every_status,
    fetch_history,
    submit_change,
    submit_with_retries,
)
from fulmarshore.commands.options import (
    EXIT_CONFLICT,
    EXIT_DIFFERS,
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
    EXIT_UNKNOWN,
    add_control,
    add_json,
    add_wait,
    fail,
    fail_invalid,
    print_json,
    print_table,
)
from fulmarshore.commands.overview import HEADERS, Overview, list_tables, merge_replies
from fulmarshore.commands.plans import HEADERS as PLAN_HEADERS
from fulmarshore.commands.plans import Plan, describe_fields, is_repeat, make_plan
from fulmarshore.core.records import (
    ChangeReply,
    ChangeStatus,
    Declaration,
    Drain,
    HistoryEntry,
    Item,
    Member,
    Removed,
    Zone,
)
from fulmarshore.membership.view import View

WAIT_INTERVAL_S = 0.2
HISTORY_HEADERS = ("number", "operator", "version", "what")

_paths = click.argument(
    "paths", type=click.Path(path_type=Path), nargs=-1, required=True
)
_prune = click.option(
    "--prune", is_flag=True, help="Remove what is in force but in none of the files."
)


@click.command()
@_paths
@add_json
def check(paths: tuple[Path, ...], as_json: bool) -> None:
    """Check declaration files, or folders of them, without any control host."""
    declarations = _load(paths, as_json)
    count = len(declarations.items)
    if as_json:
        print_json({"errors": [], "items": count})
        return
    click.echo(f"{count} items, no errors")


@click.command()
@_paths
@_prune
@add_control
def plan(
    paths: tuple[Path, ...], prune: bool, controls: Controls, as_json: bool
) -> None:
    """Show what an apply would change."""
    declarations = _load(paths, as_json)
    overview = _fetch_overview(controls, as_json)
    _print_plan(make_plan(declarations, overview.view, prune), overview, as_json)


@click.command()
@_paths
@_prune
@click.option("--number", type=click.IntRange(min=1), help="Number of the change.")
@add_wait
@add_control
def apply(
    paths: tuple[Path, ...],
    prune: bool,
    number: int | None,
    wait: bool,
    timeout: float,
    controls: Controls,
    as_json: bool,
) -> None:
    """Put declaration files, or folders of them, in force."""
    declarations = _load(paths, as_json)
    overview = _fetch_overview(controls, as_json)
    planned = make_plan(declarations, overview.view, prune)
    if number is not None:
        _recognise_repeat(number, declarations, planned, controls, as_json)
    if planned.is_empty():
        version = overview.view.version
        reply = ChangeReply(0, ChangeStatus.ACCEPTED, version, "", [], 0)
        _finish(reply, "nothing to change", wait, timeout, controls, as_json)
    items, removed = list(planned.items), list(planned.removed)
    answer = submit_change(controls, controls.operator, items, removed, number)
    _finish(answer, "", wait, timeout, controls, as_json)


@click.group()
def zone() -> None:
    """Take an availability zone out of service or bring it back."""


def _edit(
    kind: str,
    name: str,
    find_known: Callable[[View], set[str]],
    items: list[Declaration],
    removed: list[Removed],
    wait: bool,
    timeout: float,
    controls: Controls,
    as_json: bool,
) -> None:
    """Submit a change of one named thing, if there is one of that name."""
    overview = _fetch_overview(controls, as_json)
    _require_known(kind, name, find_known(overview.view), as_json)
    answer = submit_with_retries(controls, controls.operator, items, removed)
    _finish(answer, "", wait, timeout, controls, as_json)


def _find_zones(view: View) -> set[str]:
    """Return the zones that are declared or that an upstream is in."""
    known = _find_names(view, Zone)
    for held in view.items.values():
        if isinstance(held.item, Member):
            known.add(held.item.zone)
    return known


def _find_names(view: View, kind: type[Item]) -> set[str]:
    return {name for type_name, name in view.items if type_name == kind.__name__}


@zone.command("out")
@click.argument("name", type=NAME)
@add_wait
@add_control
def zone_out(name: str, **options: Any) -> None:
    """Take an availability zone out of service; flows there are given up."""
    _edit("zone", name, _find_zones, [Zone(name, True)], [], **options)


@zone.command("in")
@click.argument("name", type=NAME)
@add_wait
@add_control
def zone_in(name: str, **options: Any) -> None:
    """Bring an availability zone back."""
    _edit("zone", name, _find_zones, [Zone(name, False)], [], **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait
@add_control
def drain(name: str, **options: Any) -> None:
    """Give an upstream no new flows; those it has stay."""
    known = functools.partial(_find_names, kind=Member)
    _edit("upstream", name, known, [Drain(name)], [], **options)


@click.command()
@click.argument("name", type=NAME)
@add_wait
@add_control
def undrain(name: str, **options: Any) -> None:
    """Give a drained upstream new flows again."""
    known = functools.partial(_find_names, kind=Drain)
    gone = [Removed(0, Drain.__name__, name)]
    _edit("drained upstream", name, known, [], gone, **options)


@click.command()
@add_control
def status(controls: Controls, as_json: bool) -> None:
    """Show hosts, zones, services, upstreams and what each has in force."""
    overview = _fetch_overview(controls, as_json)
    version = overview.view.version
    stale = overview.list_stale(version)
    tables = list_tables(overview)
    if as_json:
        described: dict[str, Any] = {
            "region": overview.region,
            "version": version,
            "stale": stale,
            "silent": list(overview.silent),
        }
        for name, rows in tables.items():
            keys = [header.replace(" ", "_") for header in HEADERS[name]]
            table = [dict(zip(keys, row, strict=True)) for row in rows]
            described[name.replace(" ", "_")] = table
        print_json(described)
        return
    if overview.region:
        click.echo(f"region {overview.region}\n")
    for name, rows in tables.items():
        if not rows:
            continue
        click.echo(f"{name}:")
        print_table(HEADERS[name], rows)
        click.echo()
    for peer in overview.silent:
        click.echo(f"control host {peer} does not answer")
    live = overview.count_live()
    click.echo(f"version {version}, in force at {live - len(stale)} of {live}")
    if stale:
        click.echo(f"stale: {', '.join(stale)}")


@click.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option("--before", type=click.IntRange(min=0), default=0, help="Below a number.")
@add_control
def history(limit: int, before: int, controls: Controls, as_json: bool) -> None:
    """Show the accepted changes, the newest first."""
    entries = fetch_history(controls, before, limit)
    if isinstance(entries, NoAnswer):
        _fail_unanswered(entries.peer, as_json)
    if as_json:
        print_json({"changes": msgspec.to_builtins(entries)})
        return
    rows = []
    for entry in entries:
        change = entry.change
        for number, line in enumerate(_describe_entry(entry)):
            head = ("", "", "")
            if number == 0:
                head = (change.number, change.operator, entry.version)
            rows.append((*head, line))
    print_table(HISTORY_HEADERS, rows)


def _describe_entry(entry: HistoryEntry) -> list[str]:
    lines = []
    for item in entry.change.items:
        fields = describe_fields(item)
        text = ", ".join(f"{name} {value}" for name, value in fields.items())
        lines.append(f"{type(item).__name__.lower()} {item.name}: {text}".rstrip(": "))
    for gone in entry.change.removed:
        lines.append(f"removed {gone.item_type.lower()} {gone.name}")
    return lines


def _load(paths: tuple[Path, ...], as_json: bool) -> Declarations:
    declarations, errors = load_declarations(list(paths))
    if not errors:
        errors = check_declarations(declarations)
    if errors:
        fail_invalid(errors, as_json)
    return declarations


def _fetch_overview(controls: Controls, as_json: bool) -> Overview:
    for _ in range(ASK_ATTEMPTS):
        replies, silent = fetch_every_status(controls)
        if replies:
            return merge_replies(replies, silent)
    _fail_unanswered(", ".join(silent), as_json)


def _fail_unanswered(peer: str, as_json: bool) -> NoReturn:
    fail(f"no control host answered: {peer}", EXIT_UNKNOWN, as_json)


def _require_known(what: str, name: str, known: set[str], as_json: bool) -> None:
    if name in known:
        return
    allowed = ", ".join(sorted(known)) or "none is known"
    fail(f"{what} {name} is not known: allowed is {allowed}", EXIT_INVALID, as_json)


def _print_plan(planned: Plan, overview: Overview, as_json: bool) -> None:
    if as_json:
        rows = [dict(zip(PLAN_HEADERS, row, strict=True)) for row in planned.rows]
        kept = [f"{key[0].lower()} {key[1]}" for key in planned.kept]
        version = overview.view.version
        print_json({"version": version, "changes": rows, "kept": kept})
        return
    if planned.rows:
        print_table(PLAN_HEADERS, list(planned.rows))
    else:
        click.echo(f"nothing to change, version {overview.view.version}")
    for key in planned.kept:
        click.echo(f"kept though in none of the files: {key[0].lower()} {key[1]}")


def _recognise_repeat(
    number: int,
    declarations: Declarations,
    planned: Plan,
    controls: Controls,
    as_json: bool,
) -> None:
    """Exit with the first answer where the number was accepted before."""
    entries = fetch_history(controls, number + 1, 1)
    if isinstance(entries, NoAnswer):
        _fail_unanswered(entries.peer, as_json)
    if not entries or entries[0].change.number != number:
        return
    entry = entries[0]
    if not is_repeat(declarations, controls.operator, entry.change):
        winner = entry.change.operator
        fail(f"number {number} was taken by {winner}", EXIT_CONFLICT, as_json)
    text = f"number {number} was accepted before as version {entry.version}"
    if not planned.is_empty():
        count = len(planned.items) + len(planned.removed)
        text += f", but {count} items differ now: apply them under a new number"
        fail(text, EXIT_DIFFERS, as_json)
    if as_json:
        print_json({"number": number, "status": "accepted", "version": entry.version})
    else:
        click.echo(text)
    sys.exit(0)


def _finish(
    reply: ChangeReply | NoAnswer,
    text: str,
    wait: bool,
    timeout: float,
    controls: Controls,
    as_json: bool,
) -> None:
    match reply:
        case NoAnswer(peer=peer):
            text = f"outcome unknown, no answer from {peer}; run again"
            fail(text, EXIT_UNKNOWN, as_json)
        case ChangeReply(status=ChangeStatus.CONFLICT):
            text = f"number {reply.number} was taken by {reply.winner}"
            fail(text, EXIT_CONFLICT, as_json)
        case ChangeReply(status=ChangeStatus.INVALID):
            fail("\n".join(reply.errors), EXIT_INVALID, as_json)
        case ChangeReply(status=ChangeStatus.UNAVAILABLE):
            text = f"outcome of number {reply.number} unknown: no majority of control"
            fail(f"{text} hosts has answered; ask again", EXIT_UNKNOWN, as_json)
        case ChangeReply(status=ChangeStatus.FORGOTTEN):
            text = f"number {reply.number} was decided too long ago to tell how"
            fail(text, EXIT_UNKNOWN, as_json)
    assert reply.status == ChangeStatus.ACCEPTED, reply
    text = text or f"number {reply.number} accepted as version {reply.version}"
    if not as_json:
        click.echo(text)
    stale: list[str] = []
    seconds = 0.0
    if wait:
        stale, seconds = _wait_in_force(controls, reply.version, timeout, as_json)
    if as_json:
        described = msgspec.structs.asdict(reply)
        if wait:
            described |= {"stale": stale, "waited_s": round(seconds, 3)}
        print_json(described)
    elif stale:
        click.echo(f"not in force at: {', '.join(stale)}", err=True)
    sys.exit(EXIT_NOT_IN_FORCE if stale else 0)


def _wait_in_force(
    controls: Controls, version: int, timeout: float, as_json: bool
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
        replies, silent = fetch_every_status(controls)
        overview = merge_replies(replies, silent)
        seconds = time.monotonic() - started
        if overview.view.version >= version:
            stale = overview.list_stale(version)
            live = overview.count_live()
            if live - len(stale) != shown and not as_json:
                shown = live - len(stale)
                line = f"version {version} in force at {shown} of {live} after"
                click.echo(f"{line} {seconds:.1f} s")
            if not stale:
                return stale, seconds
        if seconds >= timeout:
            return stale, seconds
        time.sleep(WAIT_INTERVAL_S)


def list_commands() -> list[click.Command]:
    """Return every command of this module."""
    return [check, plan, apply, zone, drain, undrain, status, history]
