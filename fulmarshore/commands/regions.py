"""One command over several regions: asked at once, shown in one table.

Regions share nothing, so a change of several is one change in each, with a
number of its own. What one region answers keeps no other from being changed.
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
from fulmarshore.commands.outcomes import Outcome, Tell

OUTCOME_HEADERS = ("region", "outcome", "number", "version", "exit code", "why")

Result = TypeVar("Result")


def ask_regions(
    regions: Sequence[ControlHosts], ask: Callable[[ControlHosts], Result]
) -> list[Result]:
    """Ask all regions at once; answers come in the order of the regions.

    A region that cannot be reached keeps its own answer waiting only.
    """
    if len(regions) == 1:
        return [ask(regions[0])]
    with ThreadPoolExecutor(max_workers=len(regions)) as pool:
        return list(pool.map(ask, regions))


def make_tell(controls: ControlHosts, is_alone: bool, as_json: bool) -> Tell:
    """Return what shows a line of progress of one region."""

    def tell(line: str) -> None:
        if as_json:
            return
        click.echo(line if is_alone else f"{controls.region}: {line}")

    return tell


def combine_codes(outcomes: Sequence[Outcome]) -> int:
    """Return the exit code of a command over regions."""
    codes = {outcome.code for outcome in outcomes}
    if len(codes) == 1:
        return codes.pop()
    accepted = [outcome.is_accepted for outcome in outcomes]
    if all(accepted):
        return EXIT_NOT_IN_FORCE
    if any(accepted):
        return EXIT_PARTIAL
    return EXIT_UNKNOWN if EXIT_UNKNOWN in codes else max(codes)


def finish(
    regions: Sequence[ControlHosts], outcomes: Sequence[Outcome], as_json: bool
) -> NoReturn:
    """Show the outcome of every region and exit."""
    if len(regions) == 1:
        finish_alone(outcomes[0], as_json)
    code = combine_codes(outcomes)
    if as_json:
        described = {}
        for controls, outcome in zip(regions, outcomes, strict=True):
            head = {"outcome": outcome.word, "exit_code": outcome.code}
            described[controls.region] = head | outcome.described
        print_json({"exit_code": code, "regions": described})
        sys.exit(code)
    rows = []
    for controls, outcome in zip(regions, outcomes, strict=True):
        number = outcome.number or ""
        version = outcome.version or ""
        row = (controls.region, outcome.word, number, version)
        rows.append((*row, outcome.code, outcome.text))
    print_table(OUTCOME_HEADERS, rows)
    left = [
        controls.region
        for controls, outcome in zip(regions, outcomes, strict=True)
        if not outcome.is_accepted
    ]
    if left:
        count = len(regions) - len(left)
        text = f"accepted in {count} of {len(regions)} regions, not in: "
        text += f"{', '.join(left)}; running it again changes these only"
        click.echo(text, err=True)
    sys.exit(code)


def finish_alone(outcome: Outcome, as_json: bool) -> NoReturn:
    """Show the outcome of the only region and exit."""
    if outcome.code not in (EXIT_DONE, EXIT_NOT_IN_FORCE):
        fail(outcome.text, outcome.code, as_json)
    if as_json:
        print_json(outcome.described)
    elif outcome.text:
        click.echo(outcome.text, err=True)
    sys.exit(outcome.code)
