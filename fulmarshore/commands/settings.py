"""The settings of a command as a table: flags, variables, values, defaults."""

from __future__ import annotations

import click
from tabulate import tabulate

HEADERS = ("flag", "variable", "value", "default", "meaning")
PREFIX = "FULMARSHORE"


def list_settings(command: click.Command) -> str:
    """Return the options of a command as a Markdown table."""
    rows = []
    for option in command.params:
        if not isinstance(option, click.Option):
            continue
        flag = option.opts[0]
        variable = option.envvar or f"{PREFIX}_{command.name}_{option.name}".upper()
        default = "required" if option.required else _format_default(option)
        rows.append(
            (f"`{flag}`", f"`{variable}`", _format_type(option), default, option.help)
        )
    return tabulate(rows, headers=HEADERS, tablefmt="github")


def _format_type(option: click.Option) -> str:
    match option.type:
        case click.Choice(choices=choices):
            return " or ".join(choices)
        case click.IntRange(min=low, max=high):
            return f"{low} to {high}"
    return option.type.name


def _format_default(option: click.Option) -> str:
    is_plain = isinstance(option.default, int | str)
    return str(option.default) if is_plain else ""
