"""Commands for hosts of the users' platform: run a role, check its files."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.settings import HostSettings
from fulmarshore.platform.__main__ import main
from fulmarshore.platform.configuration import make_table, read_configuration
from fulmarshore.platform.roles import ROLES
from fulmarshore.platform.settings import parse_settings

FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def host() -> None:
    """Run and check the programs of a host of the users' platform."""


@host.command()
@click.argument("role", type=click.Choice(ROLES))
def run(role: str) -> None:
    """Run one program; an environment variable names its settings file."""
    sys.exit(main([role]))


@host.command("check-settings")
@click.argument("file", type=FILE_TYPE)
def check_settings(file: Path) -> None:
    """Check a settings file and print its main settings, or its errors."""
    parsed = parse_settings(file.read_bytes())
    if not isinstance(parsed, HostSettings):
        raise click.ClickException("\n".join(str(problem) for problem in parsed))
    click.echo(f"host {parsed.name} at {parsed.host}, availability zone {parsed.zone}")
    click.echo(f"control hosts to ask first: {', '.join(parsed.seeds) or 'none'}")
    click.echo(f"disks that may be lost at once: {parsed.lost_disks}")
    timeout = parsed.upstreams.timeout_s
    click.echo(f"an upstream gets nothing new after {timeout:.1f} s of silence")


@host.command("check-configuration")
@click.argument("file", type=FILE_TYPE)
def check_configuration_file(file: Path) -> None:
    """Check a configuration and print a summary, or why it would be refused."""
    parsed = read_configuration(file.read_bytes())
    if isinstance(parsed, list):
        raise click.ClickException("\n".join(parsed))
    table = make_table(OrderState(parsed.version, parsed.content))
    click.echo(
        f"version {table.version}: {len(table.routes)} routes, "
        f"{len(table.services)} services"
    )
