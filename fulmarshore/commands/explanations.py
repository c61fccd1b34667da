"""Commands that find the cause of a failure in the decision lines of processes."""

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

FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


def add_files_argument(command: click.Command) -> click.Command:
    """Add the argument for the files with decision lines."""
    return click.argument("files", nargs=-1, required=True, type=FILE_TYPE)(command)


@click.group()
def explain() -> None:
    """Explain the outcome of a flow or an order from the lines of all processes."""


@explain.command("flow")
@click.argument("flow")
@add_files_argument
@click.option(
    "--at", type=float, help="Time at which the caller got no answer, in seconds."
)
def explain_one_flow(flow: str, files: tuple[Path, ...], at: float | None) -> None:
    """Explain FLOW, caller:port>service:port, from the lines in FILES."""
    print_explanation(explain_flow(read_files(files), flow, at))


@explain.command("caller")
@add_files_argument
@click.option("--entry", required=True, help="Name of the entry host that was asked.")
@click.option("--at", required=True, type=float, help="Time, in seconds.")
def explain_caller(files: tuple[Path, ...], entry: str, at: float) -> None:
    """Explain the flows that an entry host placed or rejected at a time."""
    lines = read_files(files)
    flows = find_flows(lines, entry, at)
    if not flows:
        raise click.ClickException(f"--at {at}: no line of {entry} near that time")
    for flow in flows:
        click.echo(flow)
        print_explanation(explain_flow(lines, flow))


@explain.command("host")
@click.argument("address")
@add_files_argument
@click.option("--at", required=True, type=float, help="Time, in seconds.")
def explain_one_host(address: str, files: tuple[Path, ...], at: float) -> None:
    """Explain what happened to the upstream host ADDRESS near a time."""
    print_explanation(explain_host(read_files(files), address, at))


@explain.command("time")
@add_files_argument
@click.option("--at", required=True, type=float, help="Time, in seconds.")
def explain_one_time(files: tuple[Path, ...], at: float) -> None:
    """Explain which processes ended or stalled near a time."""
    print_explanation(explain_time(read_files(files), at))


@explain.command("order")
@add_files_argument
@click.option("--control", required=True, help="Name of the host that was asked.")
@click.option("--at", required=True, type=float, help="Time, in seconds.")
def explain_one_order(files: tuple[Path, ...], control: str, at: float) -> None:
    """Explain why a control host did not answer an order, or not clearly."""
    print_explanation(explain_order(read_files(files), control, at))


def read_files(files: tuple[Path, ...]) -> list[DecisionLine]:
    """Return the lines of all files in order; print how many are malformed."""
    texts = (
        text
        for file in files
        for text in file.read_text("utf-8", "replace").splitlines()
    )
    lines, malformed = read_lines(texts)
    if malformed:
        click.echo(f"{malformed} malformed lines skipped", err=True)
    return lines


def print_explanation(explanation: Explanation) -> None:
    """Print the lines of an explanation, its cause and the lines left out."""
    for line in explanation.lines:
        click.echo(f"{line.at:.4f} {line.host}/{line.role} {line.kind} {line.detail}")
    click.echo(f"{explanation.cause}: {explanation.detail}")
    if explanation.left_out:
        counts = ", ".join(
            f"{kind} {number}" for kind, number in explanation.left_out.items()
        )
        click.echo(f"lines left out nearby: {counts}")
