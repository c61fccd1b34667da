"""Commands for a host of the users' platform: run a program, check its files."""

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

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def host() -> None:
    """Run and check the programs of a host of the users' platform."""


@host.command()
@click.argument("role", type=click.Choice(ROLES))
def run(role: str) -> None:
    """Run one program; its settings file is named by the platform's variable."""
    sys.exit(main([role]))


@host.command("check-settings")
@click.argument("file", type=FILE)
def check_settings(file: Path) -> None:
    """Say what a settings file tells a process, or what is wrong with it."""
    found = parse_settings(file.read_bytes())
    if not isinstance(found, HostSettings):
        raise click.ClickException("\n".join(str(problem) for problem in found))
    click.echo(f"host {found.name} at {found.host}, availability zone {found.zone}")
    click.echo(f"control hosts to ask first: {', '.join(found.seeds) or 'none'}")
    click.echo(f"disks that may be lost at once: {found.lost_disks}")
    silence = found.upstreams.timeout_s
    click.echo(f"an upstream gets nothing new after {silence:.1f} s of silence")


@host.command("check-configuration")
@click.argument("file", type=FILE)
def check_configuration_file(file: Path) -> None:
    """Say what a configuration holds, or why it would be refused."""
    found = read_configuration(file.read_bytes())
    if isinstance(found, list):
        raise click.ClickException("\n".join(found))
    table = make_table(OrderState(found.version, found.content))
    click.echo(
        f"version {table.version}: {len(table.routes)} routes, "
        f"{len(table.services)} services"
    )
