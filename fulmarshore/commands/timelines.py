"""The command that merges and filters time lines."""

from __future__ import annotations

import re
import sys
from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from fulmarshore.adapters.parameters import parse_address
from fulmarshore.commands.options import EXIT_INVALID
from fulmarshore.core.clock import LOGICAL_BITS, make_value
from fulmarshore.core.records import Address, TimelineEntry
from fulmarshore.timeline.merging import Filter, list_files, merge_files
from fulmarshore.timeline.pictures import draw_picture

FLOW_HELP = "Only flows of this caller, IP:PORT, or one by its key in hexadecimal."
FLOW_PATTERN = re.compile("[0-9a-f]{1,32}")
_MICROSECONDS = 1_000_000
_LOGICAL_MASK = (1 << LOGICAL_BITS) - 1


class TimeType(click.ParamType):
    """A time in ISO 8601, UTC if it has no offset, or in seconds since the epoch."""

    name = "time"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> int:
        """Return the clock value, or fail naming the allowed formats."""
        try:
            return make_value(_parse_time(value))
        except (ValueError, OverflowError):
            allowed = "2026-01-31T12:30:00 (UTC) or seconds since the epoch"
            self.fail(f"{value!r}: allowed is {allowed}", param, ctx)


class FlowType(click.ParamType):
    """A flow, given as its caller's address or its hexadecimal key."""

    name = "ip:port"

    def convert(
        self,
        value: str | Address,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str | Address:
        """Return the address or the key, or fail naming the allowed formats."""
        if isinstance(value, Address):
            return value
        address = parse_address(value)
        if address is not None:
            return address
        if not FLOW_PATTERN.fullmatch(value):
            allowed = "IP:PORT of the caller, or a key in hexadecimal"
            self.fail(f"{value!r}: allowed is {allowed}", param, ctx)
        return value


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
@click.option(
    "--host",
    "hosts",
    multiple=True,
    help="Only events of this host or with it as peer.",
)
@click.option("--service", "services", multiple=True, help="Only this service.")
@click.option("--flow", "flows", multiple=True, type=FlowType(), help=FLOW_HELP)
@click.option("--kind", "kinds", multiple=True, help="Only this kind of event.")
@click.option("--since", type=TimeType(), help="Not before this time.")
@click.option("--until", type=TimeType(), help="Before this time.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
@click.option(
    "--picture",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write an HTML page instead.",
)
def timeline(
    files: tuple[Path, ...],
    hosts: tuple[str, ...],
    services: tuple[str, ...],
    flows: tuple[str | Address, ...],
    kinds: tuple[str, ...],
    since: int | None,
    until: int | None,
    as_json: bool,
    picture: Path | None,
) -> None:
    """Merge the time lines of many processes, files or folders, into one."""
    event_filter = Filter(
        hosts=frozenset(hosts),
        services=frozenset(services),
        flows=frozenset(flow for flow in flows if isinstance(flow, str)),
        callers=frozenset(flow for flow in flows if isinstance(flow, Address)),
        kinds=frozenset(kinds),
        since=since or 0,
        until=until if until is not None else 2**63,
    )
    problems: Counter[str] = Counter()
    try:
        entries = merge_files(list_files(files), event_filter, problems)
        if picture is not None:
            drawn, left_out = draw_picture(entries, picture)
            click.echo(f"{drawn} events in {picture}, {left_out} left out")
        elif as_json:
            _write_json(entries)
        else:
            _write_text(entries)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(0)
    except OSError as error:
        click.echo(f"{error.filename}: {error.strerror}", err=True)
        sys.exit(EXIT_INVALID)
    for problem in sorted(problems):
        click.echo(f"{problems[problem]} lines left out: {problem}", err=True)


def _write_json(entries: Iterable[TimelineEntry]) -> None:
    encode = msgspec.json.Encoder().encode
    write = sys.stdout.buffer.write
    for entry in entries:
        write(encode(entry))
        write(b"\n")
    sys.stdout.buffer.flush()


def _write_text(entries: Iterable[TimelineEntry]) -> None:
    write = sys.stdout.write
    second = -1
    prefix = ""
    for entry in entries:
        microseconds = entry.clock >> LOGICAL_BITS
        if microseconds // _MICROSECONDS != second:
            second = microseconds // _MICROSECONDS
            prefix = _format_second(second)
        line = f"{prefix}.{microseconds % _MICROSECONDS:06d}Z"
        count = entry.clock & _LOGICAL_MASK
        if count:
            line = f"{line}+{count}"
        line = f"{line} {entry.host} {entry.kind}"
        if entry.service:
            line = f"{line} service={entry.service}"
        if entry.flow:
            line = f"{line} flow={entry.flow}"
        if entry.peer:
            line = f"{line} peer={entry.peer}"
        if entry.detail:
            line = f"{line} {entry.detail}"
        write(line)
        write("\n")
    sys.stdout.flush()


def _format_second(second: int) -> str:
    try:
        return datetime.fromtimestamp(second, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    except (ValueError, OverflowError, OSError):
        return str(second)
