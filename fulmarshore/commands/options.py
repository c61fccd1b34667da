"""Options, exit codes and output that the operators' commands share."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

import click
from tabulate import tabulate

from fulmarshore.adapters.parameters import ADDRESS
from fulmarshore.commands.declarations import format_error
from fulmarshore.core.records import Address, InvalidItem

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

DEFAULT_CONTROL = Address("127.0.0.1", 7100)

Command = Callable[..., Any]


def add_control(command: Command) -> Command:
    """Add ``--control`` and ``--json``."""
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
        add_json,
    ]
    return _add_all(command, options)


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


def add_operator(command: Command) -> Command:
    """Add ``--operator``."""
    return click.option(
        "--operator",
        default=getpass.getuser,
        show_default="the user's name",
        envvar="FULMARSHORE_OPERATOR",
        help="Who makes the change.",
    )(command)


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
