"""Commands that explain failures from decision lines, and where a flow would go."""

from __future__ import annotations

import http.client
import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import click
import msgspec

from fulmarshore.adapters.parameters import ADDRESS
from fulmarshore.commands.options import (
    EXIT_INVALID,
    add_json_option,
    print_json,
    print_table,
)
from fulmarshore.core.records import Address
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

PLACEMENT_PATH = "/placement"
REQUEST_TIMEOUT_S = 3.0
"""Longest wait for an entry host; it answers from memory."""
RANKING_HEADERS = (
    "agent",
    "zone",
    "service",
    "cost ms",
    "wait",
    "work",
    "standing",
    "hop",
    "age s",
    "behind as",
)
FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


def add_files_argument(command: click.Command) -> click.Command:
    """Add the argument for the files with decision lines."""
    return click.argument("files", nargs=-1, required=True, type=FILE_TYPE)(command)


@click.group()
def explain() -> None:
    """Explain the outcome of a flow or an order, or where a new flow would go."""


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


@explain.command("placement")
@click.argument("route", metavar="ADDRESS:PORT", type=ADDRESS)
@click.option(
    "--entry",
    required=True,
    type=ADDRESS,
    help="Where an entry host serves metrics or readiness.",
)
@click.option("--caller", type=ADDRESS, help="Address and port of the caller.")
@add_json_option
def explain_one_placement(
    route: Address, entry: Address, caller: Address | None, as_json: bool
) -> None:
    """Explain where the entry host would place a new flow to ADDRESS:PORT now.

    Nothing is sent to an agent, and nothing changes.
    """
    fields = {"route": f"{route.host}:{route.port}"}
    if caller is not None:
        fields["caller"] = f"{caller.host}:{caller.port}"
    explanation = fetch_placement(entry, fields)
    if as_json:
        print_json(explanation)
        return
    print_placement(explanation)


def fetch_placement(entry: Address, fields: dict[str, str]) -> dict[str, Any]:
    """Return the explanation of an entry host.

    Exits with ``EXIT_INVALID`` if the host refuses a field, and with 1 if it does not
    answer or is no entry host of the direct data path.
    """
    named = f"--entry {entry.host}:{entry.port}"
    connection = http.client.HTTPConnection(
        entry.host, entry.port, timeout=REQUEST_TIMEOUT_S
    )
    try:
        connection.request("GET", f"{PLACEMENT_PATH}?{urlencode(fields)}")
        response = connection.getresponse()
        answer = msgspec.json.decode(response.read() or b"null")
    except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
        raise click.ClickException(f"{named}: no answer: {error}") from error
    finally:
        connection.close()
    match response.status, answer:
        case http.client.OK, {"outcome": _, "ranking": _}:
            return answer
        case http.client.BAD_REQUEST, {"error": {"field": field, "value": value}}:
            allowed = answer["error"].get("allowed", "another value")
            click.echo(f"{field}: {value} is not allowed, needs {allowed}", err=True)
            sys.exit(EXIT_INVALID)
    raise click.ClickException(
        f"{named}: status {response.status}; is it an entry host of the direct data "
        "path, of this version?"
    )


def print_placement(explanation: dict[str, Any]) -> None:
    """Print an explanation as text, with the ranking as a table."""
    click.echo(f"{explanation['outcome']}: {explanation['reason']}")
    service = explanation["service"]
    if isinstance(service, dict):
        service = ", ".join(f"{name} {share:.0%}" for name, share in service.items())
    click.echo(f"service: {service or 'none'}; placement by {explanation['placement']}")
    upload = explanation["upload"]
    if upload is not None:
        limit = upload["limit"] or "no limit"
        click.echo(
            f"uploads: {upload['admitted']} in progress, limit {limit}, "
            f"{upload['waiting']} waiting, expected wait {upload['wait_ms']:.0f} ms"
        )
    if explanation["ranking"]:
        rows = [make_ranking_row(agent) for agent in explanation["ranking"]]
        print_table(RANKING_HEADERS, rows)


def make_ranking_row(agent: dict[str, Any]) -> list[str]:
    """Return the row of an agent in the table of the ranking."""
    terms = ("cost_ms", "wait_ms", "work_ms", "standing_ms", "hop_ms")
    return [
        agent["host"],
        agent["zone"],
        agent["service"],
        *(f"{agent[term]:.1f}" for term in terms),
        "" if agent["age_s"] is None else f"{agent['age_s']:.1f}",
        agent["behind"],
    ]


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
