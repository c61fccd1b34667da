"""The demo: both roles' processes on loopback with stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import sys

import click
import uvloop
from tabulate import tabulate

from fulmarshore.standins.demo import DemoSummary, run_demo


@click.command()
@click.option("--seconds", type=click.FloatRange(5, 600), default=30.0)
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """Show callers, entry hosts, agents and control on loopback."""

    def show(line: str) -> None:
        click.echo(line, err=as_json)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        summary = runner.run(run_demo(seconds, seed, show))
    _print_summary(summary, as_json)
    sys.exit(0 if summary.is_kept() else 1)


def _print_summary(summary: DemoSummary, as_json: bool) -> None:
    rows = summary.list_rows()
    if as_json:
        click.echo(json.dumps(summary.to_builtins()))
        return
    click.echo(tabulate(rows, headers=DemoSummary.HEADERS))
    click.echo(f"last packet to the zone taken out: {summary.last_packet_s:.2f} s")
    click.echo("every promise was kept" if summary.is_kept() else "a promise broke")
