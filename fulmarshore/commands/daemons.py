"""The commands that run the daemons."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from fulmarshore.adapters.parameters import ADDRESS, ENDPOINT, HOST, NAME, PEER, Peer
from fulmarshore.commands.options import refuse_exposed
from fulmarshore.core.addresses import format_address
from fulmarshore.core.records import Address
from fulmarshore.daemons.agent import AgentDaemon, AgentSettings
from fulmarshore.daemons.control import ControlDaemon, ControlSettings
from fulmarshore.daemons.entry import EntryDaemon, EntrySettings, Fabric
from fulmarshore.daemons.process import Daemon

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000


def _add_shared(command: Callable[..., Any]) -> Callable[..., Any]:
    options = [
        click.option("--name", type=NAME, required=True, help="Name of this host."),
        click.option("--zone", type=NAME, required=True, help="Availability zone."),
        click.option(
            "--region",
            type=NAME,
            callback=_fill_region,
            help="Region; control hosts and processes of another one are refused.",
        ),
        click.option("--metrics", type=ADDRESS, help="Where metrics are served."),
        click.option("--seed", type=int, help="Seed of random choices."),
        click.option(
            "--timeline",
            type=click.Path(path_type=Path, dir_okay=False),
            help="File of the time line, such as NAME.jsonl.",
        ),
        click.option(
            "--keys",
            type=click.Path(path_type=Path, file_okay=False),
            envvar="FULMARSHORE_KEYS",
            help="Folder of the keys; without it only loopback is allowed.",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def _fill_region(ctx: click.Context, param: click.Parameter, value: str | None) -> str:
    """Return the region; empty where none is named."""
    return value or ""


def _secure(daemon: Daemon) -> None:
    """Read the keys; without them nothing may be open to strangers."""
    if daemon.settings.keys is None:
        refuse_exposed(daemon.list_addresses())
    problem = daemon.load_keys()
    if problem is not None:
        raise click.BadParameter(str(problem), param_hint="--keys")


def _run(daemon: Daemon) -> None:
    _secure(daemon)
    _serve(daemon)


def _serve(daemon: Daemon) -> None:
    """Run a daemon; an address that it cannot listen on is a wrong flag."""
    refused = daemon.run()
    if refused is None:
        return
    value = f"'{format_address(refused.address)}': {refused.detail}"
    raise click.BadParameter(value, param_hint=refused.flag)


def _add_controls(command: Callable[..., Any]) -> Callable[..., Any]:
    return click.option(
        "--control",
        "controls",
        type=ADDRESS,
        multiple=True,
        required=True,
        envvar="FULMARSHORE_CONTROL",
        help="Link address of a control host; repeat for each.",
    )(command)


@click.command()
@_add_shared
@_add_controls
@click.option("--data", type=ADDRESS, required=True, help="Address towards agents.")
@click.option("--service-host", type=HOST, help="Bind services here instead.")
@click.option(
    "--fabric",
    type=click.Choice([mode.value for mode in Fabric]),
    default="direct",
    help="Whether callers' packets come as they are or behind PROXY v2 headers.",
)
def entry(controls: tuple[Address, ...], fabric: str, **settings: Any) -> None:
    """Run an entry host."""
    _run(
        EntryDaemon(EntrySettings(controls=controls, fabric=Fabric(fabric), **settings))
    )


@click.command()
@_add_shared
@_add_controls
@click.option("--data", type=ADDRESS, required=True, help="Address towards entries.")
@click.option("--service", type=NAME, required=True, help="Service of the upstream.")
@click.option("--upstream", type=ADDRESS, required=True, help="The upstream's address.")
@click.option(
    "--slots",
    type=click.IntRange(1, MAX_SLOTS),
    default=1,
    help="Requests that the warm upstream works on at once.",
)
@click.option(
    "--connections",
    type=click.IntRange(1, MAX_CONNECTIONS),
    default=2000,
    help="Flows that the upstream holds at most.",
)
@click.option("--health", type=ENDPOINT, help="Health endpoint of the upstream.")
@click.option("--load", type=ENDPOINT, help="Load endpoint of the upstream.")
def agent(controls: tuple[Address, ...], **settings: Any) -> None:
    """Run the agent beside an upstream."""
    _run(AgentDaemon(AgentSettings(controls=controls, **settings)))


@click.command()
@_add_shared
@click.option("--listen", type=ADDRESS, required=True, help="Address of the links.")
@click.option(
    "--peer",
    "peers",
    type=PEER,
    multiple=True,
    help="NAME=IP:PORT of another control host of the region; repeat for each.",
)
@click.option(
    "--data-folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder of the log, mode 0700; without it nothing is kept.",
)
@click.option(
    "--bootstrap",
    is_flag=True,
    help="First start of a region: begin a group if no peer has one.",
)
@click.option(
    "--recover",
    metavar="GROUP",
    help="A majority of this group is lost for good: go on alone with this disk.",
)
def control(peers: tuple[Peer, ...], **settings: Any) -> None:
    """Run a control host."""
    addresses = {peer.name: peer.address for peer in peers}
    if addresses and settings["data_folder"] is None:
        raise click.UsageError("--peer: allowed only together with --data-folder")
    daemon = ControlDaemon(ControlSettings(controls=(), peers=addresses, **settings))
    _secure(daemon)
    refused = daemon.prepare()
    if refused is not None:
        value = f"{refused.folder!r}: {refused.detail}"
        raise click.BadParameter(value, param_hint="--data-folder")
    _serve(daemon)
    sys.exit(daemon.exit_code)
