"""The commands of operators: they keep nothing and decide nothing."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
from tabulate import tabulate

from fulmarshore.adapters.parameters import ADDRESS, NAME
from fulmarshore.commands.declarations import load_declarations
from fulmarshore.commands.operator import NoAnswer, fetch_status, submit_change
from fulmarshore.core.records import Address, ChangeReply, ChangeStatus, Zone

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4


def _add_operator(command: Callable[..., Any]) -> Callable[..., Any]:
    options = [
        click.option(
            "--control",
            "controls",
            type=ADDRESS,
            multiple=True,
            required=True,
            envvar="FULMARSHORE_CONTROL",
            help="Link address of a control host; repeat for each.",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
    ]
    for option in reversed(options):
        command = option(command)
    return command


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--number", type=click.IntRange(min=1), help="Number of the change.")
@click.option("--operator", default=getpass.getuser, help="Who makes the change.")
@_add_operator
def apply(
    path: Path,
    number: int | None,
    operator: str,
    controls: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Submit the declarations of a file."""
    items, errors = load_declarations(path)
    if errors:
        for error in errors:
            click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID)
    reply = submit_change(list(controls), operator, items, [], number)
    _finish(reply, as_json)


@click.group()
def zone() -> None:
    """Take an availability zone out of service or bring it back."""


@zone.command("out")
@click.argument("name", type=NAME)
@click.option("--operator", default=getpass.getuser)
@_add_operator
def zone_out(
    name: str, operator: str, controls: tuple[Address, ...], as_json: bool
) -> None:
    """Take an availability zone out of service."""
    reply = submit_change(list(controls), operator, [Zone(name, True)], [])
    _finish(reply, as_json)


@zone.command("in")
@click.argument("name", type=NAME)
@click.option("--operator", default=getpass.getuser)
@_add_operator
def zone_in(
    name: str, operator: str, controls: tuple[Address, ...], as_json: bool
) -> None:
    """Bring an availability zone back."""
    reply = submit_change(list(controls), operator, [Zone(name, False)], [])
    _finish(reply, as_json)


@click.command()
@_add_operator
def status(controls: tuple[Address, ...], as_json: bool) -> None:
    """Show the processes and the versions they have in force."""
    reply = fetch_status(list(controls))
    if isinstance(reply, NoAnswer):
        click.echo(f"no control host answered: {reply.peer}", err=True)
        sys.exit(EXIT_UNKNOWN)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(reply)))
        return
    rows = [
        (p.role, p.identity.name, p.zone, p.version, f"{p.age:.1f} s")
        for p in sorted(reply.processes, key=lambda p: (p.role, p.identity.name))
    ]
    click.echo(f"control {reply.control}, version {reply.view.version}")
    click.echo(tabulate(rows, headers=("role", "name", "zone", "version", "heard")))


def _finish(reply: ChangeReply | NoAnswer, as_json: bool) -> None:
    match reply:
        case NoAnswer(peer=peer):
            click.echo(f"outcome unknown, no answer from {peer}; run again", err=True)
            sys.exit(EXIT_UNKNOWN)
        case ChangeReply(status=ChangeStatus.CONFLICT):
            text = f"number {reply.number} was taken by {reply.winner}"
            code = EXIT_CONFLICT
        case ChangeReply(status=ChangeStatus.INVALID):
            text = "\n".join(reply.errors)
            code = EXIT_INVALID
        case ChangeReply(status=ChangeStatus.UNAVAILABLE):
            text = "not accepted: no majority of control hosts is reachable"
            code = EXIT_UNKNOWN
        case ChangeReply():
            text = f"number {reply.number} accepted as version {reply.version}"
            code = 0
    if as_json:
        text = json.dumps(msgspec.structs.asdict(reply))
    click.echo(text, err=code != 0 and not as_json)
    sys.exit(code)
