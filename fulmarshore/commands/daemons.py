"""Commands that run the daemons."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from fulmarshore.adapters.parameters import ADDRESS, ENDPOINT, HOST, NAME, PEER, Peer
from fulmarshore.commands.options import reject_exposed_addresses
from fulmarshore.core.addresses import format_address
from fulmarshore.core.records import Address
from fulmarshore.daemons.agent import AgentDaemon, AgentSettings
from fulmarshore.daemons.control import ControlDaemon, ControlSettings
from fulmarshore.daemons.entry import EntryDaemon, EntrySettings, Fabric
from fulmarshore.daemons.process import Daemon

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000


def _add_common_options(command: Callable[..., Any]) -> Callable[..., Any]:
    options = [
        click.option("--name", type=NAME, required=True, help="Name of this host."),
        click.option("--zone", type=NAME, required=True, help="Availability zone."),
        click.option(
            "--region",
            type=NAME,
            callback=_use_empty_region,
            help="Region; control hosts and processes of another one are refused.",
        ),
        click.option(
            "--metrics", type=ADDRESS, help="Address on which metrics are served."
        ),
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


def _use_empty_region(
    ctx: click.Context, param: click.Parameter, value: str | None
) -> str:
    """Return the region, empty if none is given."""
    return value or ""


def _load_keys(daemon: Daemon) -> None:
    """Load the keys; without keys, allow only loopback addresses."""
    if daemon.settings.keys is None:
        reject_exposed_addresses(daemon.list_addresses())
    problem = daemon.load_keys()
    if problem is not None:
        raise click.BadParameter(str(problem), param_hint="--keys")


def _run(daemon: Daemon) -> None:
    _load_keys(daemon)
    _serve(daemon)


def _serve(daemon: Daemon) -> None:
    """Run a daemon; report an address that it cannot bind as a usage error."""
    failure = daemon.run()
    if failure is None:
        return
    value = f"'{format_address(failure.address)}': {failure.detail}"
    raise click.BadParameter(value, param_hint=failure.flag)


def _add_control_option(command: Callable[..., Any]) -> Callable[..., Any]:
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
@_add_common_options
@_add_control_option
@click.option(
    "--data",
    type=ADDRESS,
    required=True,
    help="Address for datagrams to and from agents.",
)
@click.option(
    "--service-host", type=HOST, help="Bind services to this address, not to their own."
)
@click.option(
    "--fabric",
    type=click.Choice([mode.value for mode in Fabric]),
    default="direct",
    help="Whether callers' packets arrive unchanged or with PROXY v2 headers.",
)
def entry(controls: tuple[Address, ...], fabric: str, **settings: Any) -> None:
    """Run an entry host."""
    _run(
        EntryDaemon(EntrySettings(controls=controls, fabric=Fabric(fabric), **settings))
    )


@click.command()
@_add_common_options
@_add_control_option
@click.option(
    "--data",
    type=ADDRESS,
    required=True,
    help="Address for datagrams to and from entry hosts.",
)
@click.option("--service", type=NAME, required=True, help="Service of the upstream.")
@click.option("--upstream", type=ADDRESS, required=True, help="The upstream's address.")
@click.option(
    "--slots",
    type=click.IntRange(1, MAX_SLOTS),
    default=1,
    help="Requests that the warm upstream can process at the same time.",
)
@click.option(
    "--connections",
    type=click.IntRange(1, MAX_CONNECTIONS),
    default=2000,
    help="Maximum number of flows of the upstream.",
)
@click.option("--health", type=ENDPOINT, help="Health endpoint of the upstream.")
@click.option("--load", type=ENDPOINT, help="Load endpoint of the upstream.")
@click.option(
    "--predecessor",
    type=click.IntRange(min=1),
    metavar="PID",
    help="Process id of the agent to replace: join as soon as it has ended.",
)
def agent(controls: tuple[Address, ...], **settings: Any) -> None:
    """Run the agent beside an upstream."""
    _run(AgentDaemon(AgentSettings(controls=controls, **settings)))


@click.command()
@_add_common_options
@click.option(
    "--listen", type=ADDRESS, required=True, help="Address on which links are accepted."
)
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
    help="Folder of the log, mode 0700; without it nothing is stored on disk.",
)
@click.option(
    "--bootstrap",
    is_flag=True,
    help="First start of a region: form a voter group if no peer has one.",
)
@click.option(
    "--recover",
    metavar="GROUP",
    help="Continue as the only voter of this group, whose majority is lost for good.",
)
def control(peers: tuple[Peer, ...], **settings: Any) -> None:
    """Run a control host."""
    addresses = {peer.name: peer.address for peer in peers}
    if addresses and settings["data_folder"] is None:
        raise click.UsageError("--peer: allowed only together with --data-folder")
    daemon = ControlDaemon(ControlSettings(controls=(), peers=addresses, **settings))
    _load_keys(daemon)
    failure = daemon.prepare()
    if failure is not None:
        value = f"{failure.folder!r}: {failure.detail}"
        raise click.BadParameter(value, param_hint="--data-folder")
    _serve(daemon)
    sys.exit(daemon.exit_code)
