"""Commands that show what is in force and which changes were accepted."""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable
from typing import Any

import click
import msgspec

from fulmarshore.commands.client import ControlHosts, NoAnswer, fetch_history
from fulmarshore.commands.options import (
    EXIT_DONE,
    add_control_options,
    print_json,
    print_table,
)
from fulmarshore.commands.outcomes import (
    Outcome,
    fetch_overview,
    make_unreachable_outcome,
)
from fulmarshore.commands.overview import (
    HEADERS,
    SUMMARY_HEADERS,
    Overview,
    list_tables,
    summarise,
)
from fulmarshore.commands.plans import describe_fields
from fulmarshore.commands.regions import (
    combine_exit_codes,
    exit_with_outcome,
    run_in_regions,
)
from fulmarshore.core.records import HistoryEntry

HISTORY_HEADERS = ("number", "operator", "version", "what")


@click.command()
@add_control_options
def status(regions: list[ControlHosts], as_json: bool) -> None:
    """Show hosts, zones, services, upstreams and the versions in force."""
    answers = run_in_regions(regions, fetch_overview)
    if len(regions) == 1:
        if isinstance(answers[0], Outcome):
            exit_with_outcome(answers[0], as_json)
        _show_status(answers[0], as_json)
        return
    _show_and_exit(regions, answers, as_json, _describe_status, _show_summary)


@click.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option(
    "--before", type=click.IntRange(min=0), default=0, help="Only below this number."
)
@add_control_options
def history(
    limit: int, before: int, regions: list[ControlHosts], as_json: bool
) -> None:
    """Show the accepted changes, the newest first."""
    fetch = functools.partial(_fetch_entries, before=before, limit=limit)
    answers = run_in_regions(regions, fetch)
    if len(regions) == 1:
        if isinstance(answers[0], Outcome):
            exit_with_outcome(answers[0], as_json)
        if as_json:
            print_json(_describe_history(answers[0]))
            return
        print_table(HISTORY_HEADERS, _list_history(answers[0]))
        return
    _show_and_exit(regions, answers, as_json, _describe_history, _show_histories)


def _show_and_exit(
    regions: list[ControlHosts],
    answers: list[Any],
    as_json: bool,
    describe: Callable[[Any], dict[str, Any]],
    show: Callable[[list[ControlHosts], list[Any]], None],
) -> None:
    """Print the answer of every region and exit, with 0 only if all answered."""
    outcomes = []
    for answer in answers:
        is_failed = isinstance(answer, Outcome)
        outcomes.append(answer if is_failed else Outcome(EXIT_DONE, "answered"))
    code = combine_exit_codes(outcomes)
    if not as_json:
        show(regions, answers)
        sys.exit(code)
    json_fields = {}
    for control_hosts, answer in zip(regions, answers, strict=True):
        is_failed = isinstance(answer, Outcome)
        value = answer.json_fields if is_failed else describe(answer)
        json_fields[control_hosts.region] = value
    print_json({"exit_code": code, "regions": json_fields})
    sys.exit(code)


def _show_status(overview: Overview, as_json: bool) -> None:
    if as_json:
        print_json(_describe_status(overview))
        return
    if overview.region:
        click.echo(f"region {overview.region}\n")
    for name, rows in list_tables(overview).items():
        if not rows:
            continue
        click.echo(f"{name}:")
        print_table(HEADERS[name], rows)
        click.echo()
    for peer in overview.unresponsive:
        click.echo(f"control host {peer} does not answer")
    version = overview.view.version
    stale = overview.list_stale(version)
    live = overview.count_live()
    click.echo(f"version {version}, in force at {live - len(stale)} of {live}")
    if stale:
        click.echo(f"stale: {', '.join(stale)}")


def _describe_status(overview: Overview) -> dict[str, Any]:
    version = overview.view.version
    json_fields: dict[str, Any] = {
        "region": overview.region,
        "version": version,
        "stale": overview.list_stale(version),
        "silent": list(overview.unresponsive),
    }
    for name, rows in list_tables(overview).items():
        keys = [header.replace(" ", "_") for header in HEADERS[name]]
        table = [dict(zip(keys, row, strict=True)) for row in rows]
        json_fields[name.replace(" ", "_")] = table
    return json_fields


def _show_summary(
    regions: list[ControlHosts], answers: list[Overview | Outcome]
) -> None:
    rows = []
    for control_hosts, answer in zip(regions, answers, strict=True):
        if isinstance(answer, Outcome):
            blanks = ("",) * (len(SUMMARY_HEADERS) - 2)
            rows.append((control_hosts.region, *blanks, answer.text))
            continue
        rows.append((control_hosts.region, *summarise(answer)))
    print_table(SUMMARY_HEADERS, rows)
    click.echo("full status of one region: --only NAME")


def _fetch_entries(
    control_hosts: ControlHosts, before: int, limit: int
) -> list[HistoryEntry] | Outcome:
    entries = fetch_history(control_hosts, before, limit)
    if isinstance(entries, NoAnswer):
        return make_unreachable_outcome(entries.peer)
    return entries


def _show_histories(
    regions: list[ControlHosts], answers: list[list[HistoryEntry] | Outcome]
) -> None:
    rows = []
    for control_hosts, answer in zip(regions, answers, strict=True):
        if isinstance(answer, Outcome):
            rows.append((control_hosts.region, "", "", "", answer.text))
            continue
        rows += [(control_hosts.region, *row) for row in _list_history(answer)]
    print_table(("region", *HISTORY_HEADERS), rows)


def _describe_history(entries: list[HistoryEntry]) -> dict[str, Any]:
    return {"changes": msgspec.to_builtins(entries)}


def _list_history(entries: list[HistoryEntry]) -> list[tuple[Any, ...]]:
    rows = []
    for entry in entries:
        change = entry.change
        for number, line in enumerate(_describe_entry(entry)):
            first_cells: tuple[Any, ...] = ("", "", "")
            if number == 0:
                first_cells = (change.number, change.operator, entry.version)
            rows.append((*first_cells, line))
    return rows


def _describe_entry(entry: HistoryEntry) -> list[str]:
    lines = []
    for item in entry.change.items:
        fields = describe_fields(item)
        text = ", ".join(f"{name} {value}" for name, value in fields.items())
        lines.append(f"{type(item).__name__.lower()} {item.name}: {text}".rstrip(": "))
    for removal in entry.change.removed:
        lines.append(f"removed {removal.item_type.lower()} {removal.name}")
    return lines
