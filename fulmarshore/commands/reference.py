"""Generates the page of the daemons' flags and environment variables.

``python -m fulmarshore.commands.reference FILE`` writes it.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click
from tabulate import tabulate

from fulmarshore.commands.main import DAEMONS, cli

HEADERS = ("flag", "environment variable", "value", "default", "meaning")


def make_settings_page() -> str:
    """Return the settings of the daemons as a Markdown page of tables."""
    lines = [
        "# Settings",
        "",
        "Generated from the commands by `make pages`. A flag takes precedence over",
        "its environment variable. Flags that repeat take several values in one",
        "variable, separated by spaces.",
    ]
    for name in DAEMONS:
        command = cli.commands[name]
        lines += ["", f"## fulmarshore {name}", "", command.help or "", ""]
        rows = [make_row(name, option) for option in command.params]
        lines.append(tabulate(rows, headers=HEADERS, tablefmt="github"))
    return "\n".join(lines) + "\n"


def make_row(command: str, option: click.Parameter) -> tuple[str, ...]:
    """Return the table row of a flag."""
    assert isinstance(option, click.Option)
    variable = get_environment_variable(command, option)
    value = "" if option.is_flag else option.type.name.lower()
    if isinstance(option.type, click.Choice):
        value = " or ".join(option.type.choices)
    if isinstance(option.type, click.IntRange | click.FloatRange):
        value = f"{option.type.min} to {option.type.max}"
        if option.type.max is None:
            value = f"{option.type.min} or more"
    if option.multiple:
        value += ", repeats"
    default = "" if option.required else "none"
    if option.required:
        default = "required"
    elif isinstance(option.default, str | int | float) and not option.is_flag:
        default = str(option.default)
    return option.opts[0], variable, value, default, option.help or ""


def get_environment_variable(command: str, option: click.Parameter) -> str:
    """Return the environment variable of a flag."""
    if isinstance(option.envvar, str):
        return option.envvar
    prefix = f"{cli.context_settings['auto_envvar_prefix']}_{command}"
    return f"{prefix}_{option.name}".upper().replace("-", "_")


if __name__ == "__main__":
    Path(sys.argv[1]).write_text(make_settings_page())
