"""Commands that check, plan and apply declaration files."""

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
    add_control_options,
    add_json_option,
    add_wait_options,
    fail_invalid,
    print_json,
    print_table,
)
from fulmarshore.commands.outcomes import (
    Outcome,
    ShowProgress,
    complete_change,
    fetch_overview,
    make_failure,
    make_unreachable_outcome,
)
from fulmarshore.commands.overview import Overview
from fulmarshore.commands.plans import HEADERS as PLAN_HEADERS
from fulmarshore.commands.plans import Plan, is_repeat, make_plan
from fulmarshore.commands.regions import (
    combine_exit_codes,
    exit_with_outcome,
    exit_with_outcomes,
    make_progress_printer,
    run_in_regions,
)
from fulmarshore.commands.reports import history, status
from fulmarshore.core.records import ChangeReply, ChangeStatus, InvalidItem

CompleteChange = Callable[[ChangeReply | NoAnswer, ControlHosts], Outcome]
"""Returns the outcome of a change in a region from the answer to it."""

_paths = click.argument(
    "paths", type=click.Path(path_type=Path), nargs=-1, required=True
)
_prune = click.option(
    "--prune", is_flag=True, help="Remove items in force that no file declares."
)


@click.command()
@_paths
@add_json_option
def check(paths: tuple[Path, ...], as_json: bool) -> None:
    """Check declaration files, or folders of them, without any control host."""
    results = _load(paths, list(list_file_regions(list(paths))) or [None], as_json)
    items = set()
    for declarations in results:
        items |= {(file, key) for key, file in declarations.files.items()}
    if as_json:
        print_json({"errors": [], "items": len(items)})
        return
    click.echo(f"{len(items)} items, no errors")


@click.command()
@_paths
@_prune
@add_control_options
def plan(
    paths: tuple[Path, ...], prune: bool, regions: list[ControlHosts], as_json: bool
) -> None:
    """Show what apply would change."""
    loaded = _load_by_region(paths, regions, as_json)
    results = run_in_regions(
        regions,
        lambda control_hosts: _make_plan(
            control_hosts, loaded[control_hosts.region], prune
        ),
    )
    if len(regions) == 1:
        if isinstance(results[0], Outcome):
            exit_with_outcome(results[0], as_json)
        _print_plan(results[0], as_json)
        return
    _print_plans(regions, results, as_json)


@click.command()
@_paths
@_prune
@click.option("--number", type=click.IntRange(min=1), help="Number of the change.")
@add_wait_options
@add_control_options
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
    is_single_region = len(regions) == 1
    if number is not None and not is_single_region:
        text = "--number: allowed with one region, as each has numbers of its own"
        raise click.UsageError(text)
    loaded = _load_by_region(paths, regions, as_json)

    def apply_in_region(control_hosts: ControlHosts) -> Outcome:
        show_progress = make_progress_printer(control_hosts, is_single_region, as_json)
        complete = functools.partial(
            complete_change, wait=wait, timeout=timeout, show_progress=show_progress
        )
        declarations = loaded[control_hosts.region]
        return _apply(
            control_hosts, declarations, prune, number, show_progress, complete
        )

    exit_with_outcomes(regions, run_in_regions(regions, apply_in_region), as_json)


def _apply(
    control_hosts: ControlHosts,
    declarations: Declarations,
    prune: bool,
    number: int | None,
    show_progress: ShowProgress,
    complete: CompleteChange,
) -> Outcome:
    """Submit the difference between the files and what is in force in one region."""
    result = _make_plan(control_hosts, declarations, prune)
    if isinstance(result, Outcome):
        return result
    planned, overview = result
    if number is not None:
        repeat_outcome = _find_repeat(
            number, declarations, planned, control_hosts, show_progress
        )
        if repeat_outcome is not None:
            return repeat_outcome
    if planned.is_empty():
        version = overview.view.version
        reply = ChangeReply(0, ChangeStatus.ACCEPTED, version, "", [], 0)
        return complete(reply, control_hosts)
    items, removed = list(planned.items), list(planned.removed)
    responsive_hosts = control_hosts.exclude(overview.unresponsive)
    answer = submit_change(
        responsive_hosts, control_hosts.operator, items, removed, number
    )
    return complete(answer, control_hosts)


def _make_plan(
    control_hosts: ControlHosts, declarations: Declarations, prune: bool
) -> tuple[Plan, Overview] | Outcome:
    overview = fetch_overview(control_hosts)
    if isinstance(overview, Outcome):
        return overview
    return make_plan(declarations, overview.view, prune), overview


def _load(
    paths: tuple[Path, ...], regions: list[str | None], as_json: bool
) -> list[Declarations]:
    """Return the declarations for each region, or print all errors and exit."""
    results = []
    errors: list[InvalidItem] = []
    for region in regions:
        declarations, region_errors = load_declarations(list(paths), region)
        region_errors = region_errors or check_declarations(declarations)
        errors += [error for error in region_errors if error not in errors]
        results.append(declarations)
    if errors:
        fail_invalid(errors, as_json)
    return results


def _load_by_region(
    paths: tuple[Path, ...], regions: list[ControlHosts], as_json: bool
) -> dict[str, Declarations]:
    """Return the declarations by the name of the region.

    If control hosts are given without a region, the region named by the files
    is used; the control hosts must report the same one.
    """
    file_regions = list_file_regions(list(paths))
    if len(regions) == 1 and not regions[0].region and len(file_regions) == 1:
        (name,) = file_regions
        regions[0].region = name
    names = [control_hosts.region for control_hosts in regions]
    errors = []
    for name, file in sorted(file_regions.items()):
        if name not in names:
            allowed = ", ".join(filter(None, names)) or "--region with each region"
            errors.append(
                InvalidItem("load_declarations", file, "file", "region", name, allowed)
            )
    if errors:
        fail_invalid(errors, as_json)
    return dict(zip(names, _load(paths, list(names), as_json), strict=True))


def _print_plan(result: tuple[Plan, Overview], as_json: bool) -> None:
    planned, overview = result
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
    results: list[tuple[Plan, Overview] | Outcome],
    as_json: bool,
) -> None:
    """Print the plans of several regions in one table and exit."""
    rows = []
    json_fields = {}
    outcomes = []
    for control_hosts, result in zip(regions, results, strict=True):
        name = control_hosts.region
        if isinstance(result, Outcome):
            outcomes.append(result)
            json_fields[name] = result.json_fields
            rows.append((name, "", "", "", "", result.text))
            continue
        planned, overview = result
        outcomes.append(Outcome(EXIT_DONE, "planned"))
        json_fields[name] = _describe_plan(planned, overview)
        rows += [(name, *row) for row in planned.rows]
        for key in planned.kept:
            rows.append((name, "keep", f"{key[0].lower()} {key[1]}", "", "", ""))
        if not planned.rows:
            text = f"nothing to change, version {overview.view.version}"
            rows.append((name, text, "", "", "", ""))
    code = combine_exit_codes(outcomes)
    if as_json:
        print_json({"exit_code": code, "regions": json_fields})
    else:
        print_table(("region", *PLAN_HEADERS), rows)
    sys.exit(code)


def _describe_plan(planned: Plan, overview: Overview) -> dict[str, Any]:
    rows = [dict(zip(PLAN_HEADERS, row, strict=True)) for row in planned.rows]
    kept = [f"{key[0].lower()} {key[1]}" for key in planned.kept]
    return {"version": overview.view.version, "changes": rows, "kept": kept}


def _find_repeat(
    number: int,
    declarations: Declarations,
    planned: Plan,
    control_hosts: ControlHosts,
    show_progress: ShowProgress,
) -> Outcome | None:
    """Return the outcome if the number was accepted before, else None."""
    entries = fetch_history(control_hosts, number + 1, 1)
    if isinstance(entries, NoAnswer):
        return make_unreachable_outcome(entries.peer)
    if not entries or entries[0].change.number != number:
        return None
    entry = entries[0]
    if not is_repeat(declarations, control_hosts.operator, entry.change):
        text = f"number {number} was taken by {entry.change.operator}"
        return make_failure(EXIT_CONFLICT, "conflict", text, number)
    text = f"number {number} was accepted before as version {entry.version}"
    if not planned.is_empty():
        count = len(planned.items) + len(planned.removed)
        text += f", but {count} items differ now: apply them under a new number"
        return make_failure(EXIT_DIFFERS, "differs", text, number)
    show_progress(text)
    json_fields = {"number": number, "status": "accepted", "version": entry.version}
    return Outcome(EXIT_DONE, "accepted before", "", number, entry.version, json_fields)


def list_commands() -> list[click.Command]:
    """Return all commands for operators."""
    return [check, plan, apply, zone, drain, undrain, status, history]
