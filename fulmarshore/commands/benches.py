"""The group of the measurements, one command each."""

from __future__ import annotations

import json

import click
import msgspec
from tabulate import tabulate

from fulmarshore.bench import forward as forward_bench


@click.group()
def bench() -> None:
    """Run one of the measurements."""


@bench.command("forward")
@click.option("--rounds", type=click.IntRange(1, 100), default=3)
@click.option("--seconds", type=click.FloatRange(0.1, 60.0), default=0.7)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def forward(rounds: int, seconds: float, as_json: bool) -> None:
    """Measure packets a second against a bare relay."""
    result = forward_bench.run(rounds, seconds)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(result)))
        return
    rows = [
        (name, rate.pps, rate.cpu_pps, result.wall_ratios[name], result.ratios[name])
        for name, rate in result.rates.items()
    ]
    headers = ("subject", "pps", "pps/cpu s", "ratio", "ratio/cpu s")
    click.echo(tabulate(rows, headers=headers))
    click.echo(f"cost growth with flows: {result.cost_growth}")
    click.echo(f"from 1,000 flows on: {result.cost_growth_from_thousand}")
    click.echo(f"new flows a second: {result.new_flows_per_second:.0f}")
    held = f"{result.entry_flows} flows in {result.entry_resident_mb} MB resident"
    click.echo(f"entry host: {held}")
