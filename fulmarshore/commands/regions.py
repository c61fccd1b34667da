"""Runs a command in several regions in parallel and combines the outcomes.

Regions share no state, so a command that changes several of them submits one
change to each, with its own number. A failure in one region does not stop the
change in another.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NoReturn, TypeVar

import click

from fulmarshore.commands.client import ControlHosts
from fulmarshore.commands.options import (
    EXIT_DONE,
    EXIT_NOT_IN_FORCE,
    EXIT_PARTIAL,
    EXIT_UNKNOWN,
    fail,
    print_json,
    print_table,
)
from fulmarshore.commands.outcomes import Outcome, ShowProgress

OUTCOME_HEADERS = ("region", "outcome", "number", "version", "exit code", "why")

Result = TypeVar("Result")


def run_in_regions(
    regions: Sequence[ControlHosts], run: Callable[[ControlHosts], Result]
) -> list[Result]:
    """Call a function for all regions in parallel; results keep their order.

    A region that cannot be reached does not delay the requests to the others.
    """
    if len(regions) == 1:
        return [run(regions[0])]
    with ThreadPoolExecutor(max_workers=len(regions)) as pool:
        return list(pool.map(run, regions))


def make_progress_printer(
    control_hosts: ControlHosts, is_single_region: bool, as_json: bool
) -> ShowProgress:
    """Return a function that prints the progress in one region."""

    def show_progress(line: str) -> None:
        if as_json:
            return
        click.echo(line if is_single_region else f"{control_hosts.region}: {line}")

    return show_progress


def combine_exit_codes(outcomes: Sequence[Outcome]) -> int:
    """Return the exit code for the outcomes of several regions."""
    codes = {outcome.code for outcome in outcomes}
    if len(codes) == 1:
        return codes.pop()
    accepted = [outcome.is_accepted for outcome in outcomes]
    if all(accepted):
        return EXIT_NOT_IN_FORCE
    if any(accepted):
        return EXIT_PARTIAL
    return EXIT_UNKNOWN if EXIT_UNKNOWN in codes else max(codes)


def exit_with_outcomes(
    regions: Sequence[ControlHosts], outcomes: Sequence[Outcome], as_json: bool
) -> NoReturn:
    """Print the outcome of every region and exit."""
    if len(regions) == 1:
        exit_with_outcome(outcomes[0], as_json)
    code = combine_exit_codes(outcomes)
    if as_json:
        json_fields = {}
        for control_hosts, outcome in zip(regions, outcomes, strict=True):
            status = {"outcome": outcome.summary, "exit_code": outcome.code}
            json_fields[control_hosts.region] = status | outcome.json_fields
        print_json({"exit_code": code, "regions": json_fields})
        sys.exit(code)
    rows = []
    for control_hosts, outcome in zip(regions, outcomes, strict=True):
        number = outcome.number or ""
        version = outcome.version or ""
        row = (control_hosts.region, outcome.summary, number, version)
        rows.append((*row, outcome.code, outcome.text))
    print_table(OUTCOME_HEADERS, rows)
    not_accepted = [
        control_hosts.region
        for control_hosts, outcome in zip(regions, outcomes, strict=True)
        if not outcome.is_accepted
    ]
    if not_accepted:
        count = len(regions) - len(not_accepted)
        text = f"accepted in {count} of {len(regions)} regions, not in: "
        text += f"{', '.join(not_accepted)}; running it again changes these only"
        click.echo(text, err=True)
    sys.exit(code)


def exit_with_outcome(outcome: Outcome, as_json: bool) -> NoReturn:
    """Print the outcome of the only region and exit."""
    if outcome.code not in (EXIT_DONE, EXIT_NOT_IN_FORCE):
        fail(outcome.text, outcome.code, as_json)
    if as_json:
        print_json(outcome.json_fields)
    elif outcome.text:
        click.echo(outcome.text, err=True)
    sys.exit(outcome.code)
