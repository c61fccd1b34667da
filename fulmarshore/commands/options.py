"""Options, exit codes and output shared by the operators' commands."""

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
"""The number was accepted before, but the files differ from what is in force."""
EXIT_INVALID = 2
"""The flags, the files or the change are wrong; nothing was changed."""
EXIT_CONFLICT = 3
"""Another change has taken the number; nothing was changed."""
EXIT_UNKNOWN = 4
"""No control host answered; the change may or may not be accepted."""
EXIT_NOT_IN_FORCE = 5
"""Accepted, but not in force at every live process within the time given."""
EXIT_PARTIAL = 6
"""Done in some of the regions but not in others; the output lists them."""

DEFAULT_CONTROL = Address("127.0.0.1", 7100)

Command = Callable[..., Any]


def add_control_options(command: Command) -> Command:
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
            help="A region and its control hosts, instead of --control; "
            "repeat for each.",
        ),
        click.option(
            "--only",
            type=NAME,
            multiple=True,
            help="Use only this region of those given; repeat for each.",
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
            help="Name of the operator; with --keys, also selects the key.",
        ),
        add_json_option,
    ]
    return _add_options(_pass_regions(command), options)


def _pass_regions(command: Command) -> Command:
    """Replace the connection flags by ``regions``, one ``ControlHosts`` each."""

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
        for region in _select_regions(controls, named, only):
            addresses = list(region.addresses)
            regions.append(
                make_control_hosts(addresses, keys_folder, operator, region.name)
            )
        return command(regions=regions, **options)

    return run


def _select_regions(
    controls: tuple[Address, ...],
    named: tuple[NamedRegion, ...],
    only: tuple[str, ...],
) -> list[NamedRegion]:
    """Return the selected regions; flags take precedence over variables."""
    if _is_from_command_line("controls") and _is_from_command_line("named"):
        raise click.UsageError("--control and --region: allowed is one of them")
    if not named or _is_from_command_line("controls"):
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


def _is_from_command_line(name: str) -> bool:
    """Return whether an option was set on the command line, not by a variable."""
    source = click.get_current_context().get_parameter_source(name)
    return source == ParameterSource.COMMANDLINE


def make_control_hosts(
    addresses: list[Address],
    keys_folder: Path | None,
    operator: str,
    region: str = "",
) -> ControlHosts:
    """Return the control hosts of a region, with keys if there is a key folder.

    Exits with a usage error if a key is missing or needed.
    """
    if keys_folder is None:
        reject_exposed_addresses(addresses)
        return ControlHosts(addresses, operator, region=region)
    security = load_security(KeyFolder(keys_folder), KeyRole.OPERATOR, operator)
    if isinstance(security, KeyProblem):
        raise click.BadParameter(str(security), param_hint="--keys")
    for address in addresses:
        public = security.folder.read_public(KeyRole.CONTROL, make_key_name(address))
        if isinstance(public, KeyProblem):
            raise click.BadParameter(str(public), param_hint="--keys")
    return ControlHosts(addresses, operator, security, region)


def reject_exposed_addresses(addresses: list[Address]) -> None:
    """Exit with a usage error if any address is not a loopback address."""
    exposed = find_exposed(addresses)
    if not exposed:
        return
    listed = ", ".join(f"{address.host}:{address.port}" for address in exposed)
    text = f"{listed}: without --keys only loopback addresses are allowed"
    raise click.UsageError(text)


def add_json_option(command: Command) -> Command:
    """Add ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


def add_wait_options(command: Command) -> Command:
    """Add ``--wait`` and ``--timeout``."""
    options = [
        click.option(
            "--wait", is_flag=True, help="Wait until in force at every live process."
        ),
        click.option(
            "--timeout",
            type=click.FloatRange(0, 3600),
            default=30.0,
            show_default=True,
            help="Longest wait, in seconds.",
        ),
    ]
    return _add_options(command, options)


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    click.echo(json.dumps(value))


def print_table(headers: Iterable[str], rows: list[Any]) -> None:
    """Print rows as a table."""
    click.echo(tabulate(rows, headers=list(headers), disable_numparse=True))


def fail_invalid(errors: list[InvalidItem], as_json: bool) -> NoReturn:
    """Print all errors and exit with ``EXIT_INVALID``."""
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
    """Return the fields of an error for JSON output."""
    return {
        "file": error.peer,
        "item": error.item,
        "field": error.field,
        "value": error.value,
        "allowed": error.allowed,
    }


def _add_options(
    command: Command, options: list[Callable[[Command], Command]]
) -> Command:
    for option in reversed(options):
        command = option(command)
    return command
