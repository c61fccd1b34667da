"""Options, exit codes and output that the operators' commands share."""

from __future__ import annotations

import functools
import getpass
import json
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NoReturn

import click
from click.core import ParameterSource
from tabulate import tabulate

from fulmarshore.adapters.keys import KeyFolder, KeyProblem, make_key_name
from fulmarshore.adapters.parameters import ADDRESS, NAME, REGION, NamedRegion
from fulmarshore.adapters.security import find_exposed, load_security
from fulmarshore.commands.client import ControlHosts
from fulmarshore.commands.declarations import format_error
from fulmarshore.core.records import Address, InvalidItem, KeyRole

EXIT_DONE = 0
EXIT_DIFFERS = 1
"""Accepted or in force, but not what the files or the operator asked for."""
EXIT_INVALID = 2
"""The flags, the files or the change are wrong; nothing was changed."""
EXIT_CONFLICT = 3
"""Another change has taken the number; nothing was changed."""
EXIT_UNKNOWN = 4
"""No control host answered; the change may or may not be accepted."""
EXIT_NOT_IN_FORCE = 5
"""Accepted, but not in force at every live process within the time given."""
EXIT_PARTIAL = 6
"""Done in some of the regions and not in others; the table says where."""

DEFAULT_CONTROL = Address("127.0.0.1", 7100)

Command = Callable[..., Any]


def add_control(command: Command) -> Command:
    """Add ``--control``, ``--region``, ``--keys``, ``--operator`` and ``--json``.

    The command gets the control hosts of each region as ``regions``.
    """
    options = [
        click.option(
            "--control",
            "controls",
            type=ADDRESS,
            multiple=True,
            default=[DEFAULT_CONTROL],
            show_default="127.0.0.1:7100",
            envvar="FULMARSHORE_CONTROL",
            help="Link address of a control host; repeat for each.",
        ),
        click.option(
            "--region",
            "named",
            type=REGION,
            multiple=True,
            envvar="FULMARSHORE_REGIONS",
            help="A region and its control hosts, in place of --control; repeat.",
        ),
        click.option(
            "--only",
            type=NAME,
            multiple=True,
            help="Of the regions, only this one; repeat.",
        ),
        click.option(
            "--keys",
            "keys_folder",
            type=click.Path(path_type=Path, file_okay=False),
            envvar="FULMARSHORE_KEYS",
            help="Folder of the keys; without it only loopback is allowed.",
        ),
        click.option(
            "--operator",
            default=getpass.getuser,
            show_default="the user's name",
            envvar="FULMARSHORE_OPERATOR",
            help="Who asks; with keys, whose key is used.",
        ),
        add_json,
    ]
    return _add_all(_join_controls(command), options)


def _join_controls(command: Command) -> Command:
    """Give the command one object for each region in place of the flags."""

    @functools.wraps(command)
    def run(
        controls: tuple[Address, ...],
        named: tuple[NamedRegion, ...],
        only: tuple[str, ...],
        keys_folder: Path | None,
        operator: str,
        **options: Any,
    ) -> None:
        regions = []
        for region in _choose_regions(controls, named, only):
            addresses = list(region.addresses)
            regions.append(open_controls(addresses, keys_folder, operator, region.name))
        return command(regions=regions, **options)

    return run


def _choose_regions(
    controls: tuple[Address, ...],
    named: tuple[NamedRegion, ...],
    only: tuple[str, ...],
) -> list[NamedRegion]:
    """Return the regions that the flags ask for; a flag goes before a variable."""
    if _is_flag("controls") and _is_flag("named"):
        raise click.UsageError("--control and --region: allowed is one of them")
    if not named or _is_flag("controls"):
        if only:
            raise click.UsageError("--only: allowed only with --region")
        return [NamedRegion("", controls)]
    names = [region.name for region in named]
    for name in names:
        if names.count(name) > 1:
            raise click.UsageError(f"--region {name}: allowed is each name once")
    for name in only:
        if name not in names:
            raise click.UsageError(f"--only {name}: allowed is {', '.join(names)}")
    return [region for region in named if not only or region.name in only]


def _is_flag(name: str) -> bool:
    """Return whether a value was given on the command line itself."""
    source = click.get_current_context().get_parameter_source(name)
    return source == ParameterSource.COMMANDLINE


def open_controls(
    addresses: list[Address],
    keys_folder: Path | None,
    operator: str,
    region: str = "",
) -> ControlHosts:
    """Return the control hosts, with the operator's key where there are keys."""
    if keys_folder is None:
        refuse_exposed(addresses)
        return ControlHosts(addresses, operator, region=region)
    security = load_security(KeyFolder(keys_folder), KeyRole.OPERATOR, operator)
    if isinstance(security, KeyProblem):
        raise click.BadParameter(str(security), param_hint="--keys")
    for address in addresses:
        public = security.folder.read_public(KeyRole.CONTROL, make_key_name(address))
        if isinstance(public, KeyProblem):
            raise click.BadParameter(str(public), param_hint="--keys")
    return ControlHosts(addresses, operator, security, region)


def refuse_exposed(addresses: list[Address]) -> None:
    """Refuse to go on without keys where strangers could reach us."""
    exposed = find_exposed(addresses)
    if not exposed:
        return
    listed = ", ".join(f"{address.host}:{address.port}" for address in exposed)
    text = f"{listed}: without --keys only loopback addresses are allowed"
    raise click.UsageError(text)


def add_json(command: Command) -> Command:
    """Add ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


def add_wait(command: Command) -> Command:
    """Add ``--wait`` and ``--timeout``."""
    options = [
        click.option(
            "--wait", is_flag=True, help="Until in force at every live process."
        ),
        click.option(
            "--timeout",
            type=click.FloatRange(0, 3600),
            default=30.0,
            show_default=True,
            help="Longest wait, in seconds.",
        ),
    ]
    return _add_all(command, options)


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    click.echo(json.dumps(value))


def print_table(headers: Iterable[str], rows: list[Any]) -> None:
    """Print rows for a person."""
    click.echo(tabulate(rows, headers=list(headers), disable_numparse=True))


def fail_invalid(errors: list[InvalidItem], as_json: bool) -> NoReturn:
    """Print all errors and exit."""
    if as_json:
        print_json({"errors": [describe_error(error) for error in errors]})
        sys.exit(EXIT_INVALID)
    for error in errors:
        click.echo(format_error(error), err=True)
    sys.exit(EXIT_INVALID)


def fail(text: str, code: int, as_json: bool) -> NoReturn:
    """Print why a command failed and exit with a code."""
    if as_json:
        print_json({"error": text})
    else:
        click.echo(text, err=True)
    sys.exit(code)


def describe_error(error: InvalidItem) -> dict[str, str]:
    """Return an error as plain values."""
    return {
        "file": error.peer,
        "item": error.item,
        "field": error.field,
        "value": error.value,
        "allowed": error.allowed,
    }


def _add_all(command: Command, options: list[Callable[[Command], Command]]) -> Command:
    for option in reversed(options):
        command = option(command)
    return command
