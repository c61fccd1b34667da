"""The commands of operators over files; they keep nothing and decide nothing."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from fulmarshore.commands.client import (
    ControlHosts,
    NoAnswer,
    fetch_history,
    submit_change,
)
from fulmarshore.commands.declarations import (
    Declarations,
    check_declarations,
    list_file_regions,
    load_declarations,
)
from fulmarshore.commands.edits import drain, undrain, zone
from fulmarshore.commands.options import (
    EXIT_CONFLICT,
    EXIT_DIFFERS,
    EXIT_DONE,
    add_control,
    add_json,
    add_wait,
    fail_invalid,
    print_json,
    print_table,
)
from fulmarshore.commands.outcomes import (
    Outcome,
    Tell,
    conclude,
    describe_unanswered,
    fail_outcome,
    fetch_overview,
)
from fulmarshore.commands.overview import Overview
from fulmarshore.commands.plans import HEADERS as PLAN_HEADERS
from fulmarshore.commands.plans import Plan, is_repeat, make_plan
from fulmarshore.commands.regions import (
    ask_regions,
    combine_codes,
    finish,
    finish_alone,
    make_tell,
)
from fulmarshore.commands.reports import history, status
from fulmarshore.core.records import ChangeReply, ChangeStatus, InvalidItem

Finish = Callable[[ChangeReply | NoAnswer, ControlHosts], Outcome]
"""Returns what the answer to a change came to in a region."""

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
    found = _load(paths, list(list_file_regions(list(paths))) or [None], as_json)
    items = set()
    for declarations in found:
        items |= {(file, key) for key, file in declarations.files.items()}
    if as_json:
        print_json({"errors": [], "items": len(items)})
        return
    click.echo(f"{len(items)} items, no errors")


@click.command()
@_paths
@_prune
@add_control
def plan(
    paths: tuple[Path, ...], prune: bool, regions: list[ControlHosts], as_json: bool
) -> None:
    """Show what an apply would change."""
    loaded = _load_for(paths, regions, as_json)
    found = ask_regions(
        regions, lambda controls: _make_plan(controls, loaded[controls.region], prune)
    )
    if len(regions) == 1:
        if isinstance(found[0], Outcome):
            finish_alone(found[0], as_json)
        _print_plan(found[0], as_json)
        return
    _print_plans(regions, found, as_json)


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
    regions: list[ControlHosts],
    as_json: bool,
) -> None:
    """Put declaration files, or folders of them, in force."""
    is_alone = len(regions) == 1
    if number is not None and not is_alone:
        text = "--number: allowed with one region, as each has numbers of its own"
        raise click.UsageError(text)
    loaded = _load_for(paths, regions, as_json)

    def act(controls: ControlHosts) -> Outcome:
        tell = make_tell(controls, is_alone, as_json)
        finishing = functools.partial(conclude, wait=wait, timeout=timeout, tell=tell)
        declarations = loaded[controls.region]
        return _apply(controls, declarations, prune, number, tell, finishing)

    finish(regions, ask_regions(regions, act), as_json)


def _apply(
    controls: ControlHosts,
    declarations: Declarations,
    prune: bool,
    number: int | None,
    tell: Tell,
    finishing: Finish,
) -> Outcome:
    """Submit the difference to what is in force in one region."""
    made = _make_plan(controls, declarations, prune)
    if isinstance(made, Outcome):
        return made
    planned, overview = made
    if number is not None:
        repeated = _recognise_repeat(number, declarations, planned, controls, tell)
        if repeated is not None:
            return repeated
    if planned.is_empty():
        version = overview.view.version
        reply = ChangeReply(0, ChangeStatus.ACCEPTED, version, "", [], 0)
        return finishing(reply, controls)
    items, removed = list(planned.items), list(planned.removed)
    reached = controls.exclude(overview.silent)
    answer = submit_change(reached, controls.operator, items, removed, number)
    return finishing(answer, controls)


def _make_plan(
    controls: ControlHosts, declarations: Declarations, prune: bool
) -> tuple[Plan, Overview] | Outcome:
    overview = fetch_overview(controls)
    if isinstance(overview, Outcome):
        return overview
    return make_plan(declarations, overview.view, prune), overview


def _load(
    paths: tuple[Path, ...], regions: list[str | None], as_json: bool
) -> list[Declarations]:
    """Return what the files declare for each region, or exit with all errors."""
    found = []
    errors: list[InvalidItem] = []
    for region in regions:
        declarations, wrong = load_declarations(list(paths), region)
        wrong = wrong or check_declarations(declarations)
        errors += [error for error in wrong if error not in errors]
        found.append(declarations)
    if errors:
        fail_invalid(errors, as_json)
    return found


def _load_for(
    paths: tuple[Path, ...], regions: list[ControlHosts], as_json: bool
) -> dict[str, Declarations]:
    """Return what the files declare, by the name of the region.

    Where control hosts are given without a name, the files say for which
    region they are, and the control hosts have to agree.
    """
    stated = list_file_regions(list(paths))
    if len(regions) == 1 and not regions[0].region and len(stated) == 1:
        (name,) = stated
        regions[0].region = name
    names = [controls.region for controls in regions]
    errors = []
    for name, file in sorted(stated.items()):
        if name not in names:
            allowed = ", ".join(filter(None, names)) or "--region with each region"
            errors.append(
                InvalidItem("load_declarations", file, "file", "region", name, allowed)
            )
    if errors:
        fail_invalid(errors, as_json)
    return dict(zip(names, _load(paths, list(names), as_json), strict=True))


def _print_plan(made: tuple[Plan, Overview], as_json: bool) -> None:
    planned, overview = made
    if as_json:
        print_json(_describe_plan(planned, overview))
        return
    if planned.rows:
        print_table(PLAN_HEADERS, list(planned.rows))
    else:
        click.echo(f"nothing to change, version {overview.view.version}")
    for key in planned.kept:
        click.echo(f"kept though in none of the files: {key[0].lower()} {key[1]}")


def _print_plans(
    regions: list[ControlHosts],
    found: list[tuple[Plan, Overview] | Outcome],
    as_json: bool,
) -> None:
    """Show the plans of several regions in one table and exit."""
    rows = []
    described = {}
    outcomes = []
    for controls, made in zip(regions, found, strict=True):
        name = controls.region
        if isinstance(made, Outcome):
            outcomes.append(made)
            described[name] = made.described
            rows.append((name, "", "", "", "", made.text))
            continue
        planned, overview = made
        outcomes.append(Outcome(EXIT_DONE, "planned"))
        described[name] = _describe_plan(planned, overview)
        rows += [(name, *row) for row in planned.rows]
        for key in planned.kept:
            rows.append((name, "keep", f"{key[0].lower()} {key[1]}", "", "", ""))
        if not planned.rows:
            text = f"nothing to change, version {overview.view.version}"
            rows.append((name, text, "", "", "", ""))
    code = combine_codes(outcomes)
    if as_json:
        print_json({"exit_code": code, "regions": described})
    else:
        print_table(("region", *PLAN_HEADERS), rows)
    sys.exit(code)


def _describe_plan(planned: Plan, overview: Overview) -> dict[str, Any]:
    rows = [dict(zip(PLAN_HEADERS, row, strict=True)) for row in planned.rows]
    kept = [f"{key[0].lower()} {key[1]}" for key in planned.kept]
    return {"version": overview.view.version, "changes": rows, "kept": kept}


def _recognise_repeat(
    number: int,
    declarations: Declarations,
    planned: Plan,
    controls: ControlHosts,
    tell: Tell,
) -> Outcome | None:
    """Return the first answer where the number was accepted before."""
    entries = fetch_history(controls, number + 1, 1)
    if isinstance(entries, NoAnswer):
        return describe_unanswered(entries.peer)
    if not entries or entries[0].change.number != number:
        return None
    entry = entries[0]
    if not is_repeat(declarations, controls.operator, entry.change):
        text = f"number {number} was taken by {entry.change.operator}"
        return fail_outcome(EXIT_CONFLICT, "conflict", text, number)
    text = f"number {number} was accepted before as version {entry.version}"
    if not planned.is_empty():
        count = len(planned.items) + len(planned.removed)
        text += f", but {count} items differ now: apply them under a new number"
        return fail_outcome(EXIT_DIFFERS, "differs", text, number)
    tell(text)
    described = {"number": number, "status": "accepted", "version": entry.version}
    return Outcome(EXIT_DONE, "accepted before", "", number, entry.version, described)


def list_commands() -> list[click.Command]:
    """Return every command of operators."""
    return [check, plan, apply, zone, drain, undrain, status, history]
