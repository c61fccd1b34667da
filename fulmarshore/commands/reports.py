"""The commands that only show: what is in force, and what was accepted."""

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
    add_control,
    print_json,
    print_table,
)
from fulmarshore.commands.outcomes import Outcome, describe_unanswered, fetch_overview
from fulmarshore.commands.overview import (
    HEADERS,
    SUMMARY_HEADERS,
    Overview,
    list_tables,
    summarise,
)
from fulmarshore.commands.plans import describe_fields
from fulmarshore.commands.regions import ask_regions, combine_codes, finish_alone
from fulmarshore.core.records import HistoryEntry

HISTORY_HEADERS = ("number", "operator", "version", "what")


@click.command()
@add_control
def status(regions: list[ControlHosts], as_json: bool) -> None:
    """Show hosts, zones, services, upstreams and what each has in force."""
    found = ask_regions(regions, fetch_overview)
    if len(regions) == 1:
        if isinstance(found[0], Outcome):
            finish_alone(found[0], as_json)
        _show_status(found[0], as_json)
        return
    _exit_shown(regions, found, as_json, _describe_status, _show_summary)


@click.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option("--before", type=click.IntRange(min=0), default=0, help="Below a number.")
@add_control
def history(
    limit: int, before: int, regions: list[ControlHosts], as_json: bool
) -> None:
    """Show the accepted changes, the newest first."""
    fetch = functools.partial(_fetch_entries, before=before, limit=limit)
    found = ask_regions(regions, fetch)
    if len(regions) == 1:
        if isinstance(found[0], Outcome):
            finish_alone(found[0], as_json)
        if as_json:
            print_json(_describe_history(found[0]))
            return
        print_table(HISTORY_HEADERS, _list_history(found[0]))
        return
    _exit_shown(regions, found, as_json, _describe_history, _show_histories)


def _exit_shown(
    regions: list[ControlHosts],
    found: list[Any],
    as_json: bool,
    describe: Callable[[Any], dict[str, Any]],
    show: Callable[[list[ControlHosts], list[Any]], None],
) -> None:
    """Show what every region answered and exit, 0 only if all did."""
    outcomes = []
    for answer in found:
        is_failed = isinstance(answer, Outcome)
        outcomes.append(answer if is_failed else Outcome(EXIT_DONE, "answered"))
    code = combine_codes(outcomes)
    if not as_json:
        show(regions, found)
        sys.exit(code)
    described = {}
    for controls, answer in zip(regions, found, strict=True):
        is_failed = isinstance(answer, Outcome)
        value = answer.described if is_failed else describe(answer)
        described[controls.region] = value
    print_json({"exit_code": code, "regions": described})
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
    for peer in overview.silent:
        click.echo(f"control host {peer} does not answer")
    version = overview.view.version
    stale = overview.list_stale(version)
    live = overview.count_live()
    click.echo(f"version {version}, in force at {live - len(stale)} of {live}")
    if stale:
        click.echo(f"stale: {', '.join(stale)}")


def _describe_status(overview: Overview) -> dict[str, Any]:
    version = overview.view.version
    described: dict[str, Any] = {
        "region": overview.region,
        "version": version,
        "stale": overview.list_stale(version),
        "silent": list(overview.silent),
    }
    for name, rows in list_tables(overview).items():
        keys = [header.replace(" ", "_") for header in HEADERS[name]]
        table = [dict(zip(keys, row, strict=True)) for row in rows]
        described[name.replace(" ", "_")] = table
    return described


def _show_summary(regions: list[ControlHosts], found: list[Overview | Outcome]) -> None:
    rows = []
    for controls, answer in zip(regions, found, strict=True):
        if isinstance(answer, Outcome):
            gaps = ("",) * (len(SUMMARY_HEADERS) - 2)
            rows.append((controls.region, *gaps, answer.text))
            continue
        rows.append((controls.region, *summarise(answer)))
    print_table(SUMMARY_HEADERS, rows)
    click.echo("the whole status of one: --only NAME")


def _fetch_entries(
    controls: ControlHosts, before: int, limit: int
) -> list[HistoryEntry] | Outcome:
    entries = fetch_history(controls, before, limit)
    if isinstance(entries, NoAnswer):
        return describe_unanswered(entries.peer)
    return entries


def _show_histories(
    regions: list[ControlHosts], found: list[list[HistoryEntry] | Outcome]
) -> None:
    rows = []
    for controls, answer in zip(regions, found, strict=True):
        if isinstance(answer, Outcome):
            rows.append((controls.region, "", "", "", answer.text))
            continue
        rows += [(controls.region, *row) for row in _list_history(answer)]
    print_table(("region", *HISTORY_HEADERS), rows)


def _describe_history(entries: list[HistoryEntry]) -> dict[str, Any]:
    return {"changes": msgspec.to_builtins(entries)}


def _list_history(entries: list[HistoryEntry]) -> list[tuple[Any, ...]]:
    rows = []
    for entry in entries:
        change = entry.change
        for number, line in enumerate(_describe_entry(entry)):
            head: tuple[Any, ...] = ("", "", "")
            if number == 0:
                head = (change.number, change.operator, entry.version)
            rows.append((*head, line))
    return rows


def _describe_entry(entry: HistoryEntry) -> list[str]:
    lines = []
    for item in entry.change.items:
        fields = describe_fields(item)
        text = ", ".join(f"{name} {value}" for name, value in fields.items())
        lines.append(f"{type(item).__name__.lower()} {item.name}: {text}".rstrip(": "))
    for gone in entry.change.removed:
        lines.append(f"removed {gone.item_type.lower()} {gone.name}")
    return lines
