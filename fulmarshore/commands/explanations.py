"""Commands that lead from a complaint to its cause, over the lines of processes."""

from __future__ import annotations

from pathlib import Path

import click

from fulmarshore.timeline.decisions import (
    DecisionLine,
    Explanation,
    explain_flow,
    explain_host,
    explain_order,
    explain_time,
    find_flows,
    read_lines,
)

FILES = click.Path(exists=True, dir_okay=False, path_type=Path)


def add_files(command: click.Command) -> click.Command:
    """Add the argument that names the files with lines."""
    return click.argument("files", nargs=-1, required=True, type=FILES)(command)


@click.group()
def explain() -> None:
    """Say what became of a flow or an order, from the lines of all processes."""


@explain.command("flow")
@click.argument("flow")
@add_files
@click.option("--at", type=float, help="When the caller missed an answer, seconds.")
def explain_one_flow(flow: str, files: tuple[Path, ...], at: float | None) -> None:
    """Explain FLOW, caller:port>service:port, from the lines in FILES."""
    show(explain_flow(read_files(files), flow, at))


@explain.command("caller")
@add_files
@click.option("--entry", required=True, help="Name of the entry host that was asked.")
@click.option("--at", required=True, type=float, help="When, seconds.")
def explain_caller(files: tuple[Path, ...], entry: str, at: float) -> None:
    """Explain the flows that an entry host placed or rejected at a time."""
    lines = read_files(files)
    flows = find_flows(lines, entry, at)
    if not flows:
        raise click.ClickException(f"--at {at}: no line of {entry} near that time")
    for flow in flows:
        click.echo(flow)
        show(explain_flow(lines, flow))


@explain.command("host")
@click.argument("address")
@add_files
@click.option("--at", required=True, type=float, help="When, seconds.")
def explain_one_host(address: str, files: tuple[Path, ...], at: float) -> None:
    """Say what became of the upstream's host ADDRESS near a time."""
    show(explain_host(read_files(files), address, at))


@explain.command("time")
@add_files
@click.option("--at", required=True, type=float, help="When, seconds.")
def explain_one_time(files: tuple[Path, ...], at: float) -> None:
    """Say which processes had ended near a time."""
    show(explain_time(read_files(files), at))


@explain.command("order")
@add_files
@click.option("--control", required=True, help="Name of the host that was asked.")
@click.option("--at", required=True, type=float, help="When, seconds.")
def explain_one_order(files: tuple[Path, ...], control: str, at: float) -> None:
    """Explain why a control host gave an order no clear answer."""
    show(explain_order(read_files(files), control, at))


def read_files(files: tuple[Path, ...]) -> list[DecisionLine]:
    """Return the lines of all files in order; say how many are malformed."""
    texts = (
        text
        for file in files
        for text in file.read_text("utf-8", "replace").splitlines()
    )
    lines, malformed = read_lines(texts)
    if malformed:
        click.echo(f"{malformed} malformed lines passed over", err=True)
    return lines


def show(found: Explanation) -> None:
    """Print the lines and what they come to."""
    for line in found.lines:
        click.echo(f"{line.at:.4f} {line.host}/{line.role} {line.kind} {line.detail}")
    click.echo(f"{found.cause}: {found.detail}")
    if found.left_out:
        told = ", ".join(f"{kind} {number}" for kind, number in found.left_out.items())
        click.echo(f"lines left out nearby: {told}")
