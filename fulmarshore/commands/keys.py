"""Commands that generate, list, rotate and distribute keys."""

from __future__ import annotations

import os
import shutil
import time
from pathlib import Path

import click

from fulmarshore.adapters.keys import (
    RING_FILE,
    RING_SECRET_BYTES,
    KeyFolder,
    KeyProblem,
    KeyRing,
    add_ring_key,
    check_mode,
    make_key_name,
)
from fulmarshore.adapters.parameters import ADDRESS, NAME
from fulmarshore.commands.options import EXIT_INVALID, add_json_option, fail, print_json
from fulmarshore.core.records import Address, KeyRole

DEFAULT_DELAY_S = 600.0

_folder = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))


@click.group()
def keys() -> None:
    """Generate, rotate and distribute the keys of links and datagrams."""


@keys.command()
@_folder
@click.option(
    "--control",
    "controls",
    type=ADDRESS,
    multiple=True,
    help="Link address of a control host.",
)
@click.option(
    "--process", "processes", type=NAME, multiple=True, help="An entry host or agent."
)
@click.option("--operator", "operators", type=NAME, multiple=True, help="An operator.")
@add_json_option
def new(
    folder: Path,
    controls: tuple[Address, ...],
    processes: tuple[str, ...],
    operators: tuple[str, ...],
    as_json: bool,
) -> None:
    """Generate key pairs, and the key ring of the data path if there is none.

    Existing keys are not changed.
    """
    key_folder = KeyFolder(folder)
    requested = [(KeyRole.CONTROL, make_key_name(address)) for address in controls]
    requested += [(KeyRole.PROCESS, name) for name in processes]
    requested += [(KeyRole.OPERATOR, name) for name in operators]
    made: list[str] = []
    for role, name in requested:
        outcome = key_folder.add_pair(role, name)
        if isinstance(outcome, Path):
            made.append(str(outcome.relative_to(folder)))
    if not (folder / RING_FILE).exists():
        key_folder.write_ring(add_ring_key(KeyRing(()), _generate_secret(), 0.0))
        made.append(RING_FILE)
    if as_json:
        print_json({"made": made})
        return
    for name in made:
        click.echo(f"made {name}")


@keys.command()
@_folder
@click.option(
    "--delay",
    type=click.FloatRange(0, 30 * 86_400),
    default=DEFAULT_DELAY_S,
    show_default=True,
    help="Seconds until the new key is used for sending.",
)
def rotate(folder: Path, delay: float) -> None:
    """Add a key to the ring; copy the file to every host within the delay."""
    key_folder = KeyFolder(folder)
    ring = _read_ring(key_folder)
    send_after = time.time() + delay
    ring = add_ring_key(ring, _generate_secret(), send_after)
    key_folder.write_ring(ring)
    newest = ring.keys[-1].number
    click.echo(f"key {newest} is accepted at once and used in {delay:.0f} s")


@keys.command()
@_folder
@click.argument("number", type=click.IntRange(0, 255))
def retire(folder: Path, number: int) -> None:
    """Remove a key from the ring, once no host sends with it."""
    key_folder = KeyFolder(folder)
    ring = _read_ring(key_folder)
    remaining = tuple(key for key in ring.keys if key.number != number)
    if len(remaining) == len(ring.keys):
        allowed = ", ".join(str(key.number) for key in ring.keys)
        fail(
            f"key {number} is not in the ring: allowed is {allowed}",
            EXIT_INVALID,
            False,
        )
    if not any(key.send_after <= time.time() for key in remaining):
        text = f"key {number} is the only one in use: rotate first and wait"
        fail(text, EXIT_INVALID, False)
    key_folder.write_ring(KeyRing(remaining))
    click.echo(f"key {number} is not accepted any more")


@keys.command("list")
@_folder
@add_json_option
def list_keys(folder: Path, as_json: bool) -> None:
    """Show the keys and check the modes of their files."""
    problems = []
    names = []
    for role in KeyRole:
        for file in sorted((folder / role).glob("*.key*")):
            names.append(str(file.relative_to(folder)))
            problem = check_mode(file) if file.suffix == ".key_secret" else None
            if problem is not None:
                problems.append(str(problem))
    ring = KeyFolder(folder).read_ring()
    if isinstance(ring, KeyProblem):
        problems.append(str(ring))
        ring = KeyRing(())
    now = time.time()
    send_delays = {key.number: max(0.0, key.send_after - now) for key in ring.keys}
    if as_json:
        print_json({"files": names, "ring": send_delays, "problems": problems})
    else:
        for name in names:
            click.echo(name)
        for number, seconds in send_delays.items():
            text = f"used for sending in {seconds:.0f} s" if seconds else "in use"
            click.echo(f"{RING_FILE} key {number}: {text}")
        for problem in problems:
            click.echo(problem, err=True)
    raise SystemExit(EXIT_INVALID if problems else 0)


@keys.command()
@_folder
@click.argument("role", type=click.Choice([role.value for role in KeyRole]))
@click.argument("name")
@click.argument("target", type=click.Path(path_type=Path, file_okay=False))
def pack(folder: Path, role: str, name: str, target: Path) -> None:
    """Copy the keys that one host or operator needs, and no other secrets.

    For a control host, NAME is its link address.
    """
    kind = KeyRole(role)
    key_name = name
    if kind == KeyRole.CONTROL:
        key_name = make_key_name(ADDRESS.convert(name, None, None))
    key_folder = KeyFolder(folder)
    pair = key_folder.read_pair(kind, key_name)
    if isinstance(pair, KeyProblem):
        fail(str(pair), EXIT_INVALID, False)
    files = [
        key_folder.get_key_path(kind, key_name, True),
        key_folder.get_key_path(kind, key_name, False),
    ]
    public_roles = list(KeyRole) if kind == KeyRole.CONTROL else [KeyRole.CONTROL]
    for other in public_roles:
        files += sorted((folder / other).glob("*.key"))
    if kind == KeyRole.PROCESS:
        files.append(folder / RING_FILE)
    for file in dict.fromkeys(files):
        copy = target / file.relative_to(folder)
        copy.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        temporary = copy.with_name(f"{copy.name}.new")
        shutil.copy(file, temporary)
        os.replace(temporary, copy)
    click.echo(f"{len(set(files))} files in {target}")


def _read_ring(key_folder: KeyFolder) -> KeyRing:
    ring = key_folder.read_ring()
    if isinstance(ring, KeyProblem):
        fail(str(ring), EXIT_INVALID, False)
    return ring


def _generate_secret() -> str:
    return os.urandom(RING_SECRET_BYTES).hex()
