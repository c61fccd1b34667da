"""Commands for the benchmarks."""

from __future__ import annotations

import json

import click
import msgspec
from msgspec import Struct
from tabulate import tabulate

from fulmarshore.bench import balance as balance_bench
from fulmarshore.bench import capacity as capacity_bench
from fulmarshore.bench import cold as cold_bench
from fulmarshore.bench import config as config_bench
from fulmarshore.bench import control as control_bench
from fulmarshore.bench import copies as copies_bench
from fulmarshore.bench import flows as flows_bench
from fulmarshore.bench import forward as forward_bench
from fulmarshore.bench import hints as hints_bench
from fulmarshore.bench import once as once_bench
from fulmarshore.bench import pace as pace_bench
from fulmarshore.bench import regions as regions_bench
from fulmarshore.bench import sealing as sealing_bench
from fulmarshore.bench import start as start_bench
from fulmarshore.bench import surge as surge_bench
from fulmarshore.bench import timeline as timeline_bench
from fulmarshore.bench import zone as zone_bench


@click.group()
def bench() -> None:
    """Run one of the benchmarks."""


def show_report(report: Struct, as_json: bool) -> None:
    """Print a report as tables or as JSON."""
    fields = msgspec.to_builtins(report)
    if as_json:
        click.echo(json.dumps(fields))
        return
    scalars = {}
    for name, value in fields.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            click.echo(f"{name}:")
            click.echo(tabulate(value, headers="keys"))
            continue
        if isinstance(value, dict):
            click.echo(f"{name}:")
            click.echo(tabulate(value.items()))
            continue
        scalars[name] = value
    if scalars:
        click.echo(tabulate(scalars.items()))


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def balance(as_json: bool) -> None:
    """Measure how evenly flows spread, compared with a hash and two choices."""
    show_report(balance_bench.run(), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def flows(as_json: bool) -> None:
    """Count the flows that planned changes and faults break."""
    show_report(flows_bench.run(), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def capacity(as_json: bool) -> None:
    """Measure how state and processing time grow with the size of a region."""
    show_report(capacity_bench.run(), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def copies(as_json: bool) -> None:
    """Measure the cost of continuous flow record copies to an agent."""
    show_report(copies_bench.run(), as_json)


@bench.command()
@click.option("--events", type=click.IntRange(1), default=timeline_bench.EVENTS)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def timeline(events: int, as_json: bool) -> None:
    """Measure the merge of the time lines of 200 processes."""
    show_report(timeline_bench.run(events), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def sealing(as_json: bool) -> None:
    """Measure the cost of sealing datagrams between entry hosts and agents."""
    show_report(sealing_bench.run(), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def config(as_json: bool) -> None:
    """Measure how fast accepted configuration is in force, with real daemons."""
    show_report(config_bench.run(), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def control(as_json: bool) -> None:
    """Measure bytes, processor time and memory of control, by region size."""
    show_report(control_bench.run(), as_json)


@bench.command("forward")
@click.option("--rounds", type=click.IntRange(1, 1000), default=forward_bench.ROUNDS)
@click.option(
    "--seconds",
    type=click.FloatRange(0.001, 60.0),
    default=forward_bench.SLICE_S,
    help="Seconds for one subject in each round.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def forward(rounds: int, seconds: float, as_json: bool) -> None:
    """Measure packets per second, compared with a bare relay."""
    result = forward_bench.run(rounds, seconds)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(result)))
        return
    rows = []
    for name, rate in result.rates.items():
        wall = msgspec.structs.astuple(result.wall_ratios[name])
        cpu = msgspec.structs.astuple(result.ratios[name])
        rows.append((name, rate.pps, rate.cpu_pps, *wall, *cpu))
    quartiles = ("low", "high")
    headers = ("subject", "pps", "pps/cpu s", "ratio", *quartiles)
    headers += ("ratio/cpu s", *quartiles)
    click.echo(tabulate(rows, headers=headers))
    click.echo(f"cost growth with flows: {result.cost_growth}")
    click.echo(f"from 1,000 flows on: {result.cost_growth_from_thousand}")
    click.echo(f"new flows a second: {result.new_flows_per_second:.0f}")
    click.echo(f"sealing takes {result.sealing_cost} of an entry host's packets")
    memory = f"{result.entry_flows} flows in {result.entry_resident_mb} MB resident"
    click.echo(f"entry host: {memory}")
    click.echo(f"agent: {result.agent_flow_bytes} bytes resident a flow")


@bench.command()
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def cold(seed: int, as_json: bool) -> None:
    """Measure limits for upstreams that start cold or become cold."""
    show_report(cold_bench.run(seed), as_json)


@bench.command()
@click.option("--seed", type=int, default=1)
@click.option("--requests", type=click.IntRange(1), default=once_bench.REQUESTS)
@click.option(
    "--fault-interval",
    type=click.FloatRange(0.1),
    default=once_bench.FAULT_INTERVAL_S,
    help="Mean time between two faults, in seconds.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def once(seed: int, requests: int, fault_interval: float, as_json: bool) -> None:
    """Measure the outcomes of requests under every kind of fault."""
    show_report(once_bench.run(seed, requests, fault_interval), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def regions(as_json: bool) -> None:
    """Measure one command over several regions, one of them unresponsive."""
    show_report(regions_bench.run(), as_json)


@bench.command()
@click.option("--endpoints", type=click.IntRange(11), default=start_bench.ENDPOINTS)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def start(endpoints: int, as_json: bool) -> None:
    """Measure the load on a control host when a whole region starts."""
    show_report(start_bench.run(endpoints), as_json)


@bench.command()
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def surge(seed: int, as_json: bool) -> None:
    """Measure a demand that doubles twice, a loss of half, and a flood."""
    show_report(surge_bench.run(seed), as_json)


@bench.command()
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def pace(seed: int, as_json: bool) -> None:
    """Measure how limits grow while an upstream crashes or becomes cold for hours."""
    show_report(pace_bench.run(seed), as_json)


@bench.command()
@click.option("--seed", type=int, default=1)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def hints(seed: int, as_json: bool) -> None:
    """Measure limits with misleading health and load endpoints."""
    show_report(hints_bench.run(seed), as_json)


@bench.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def zone(as_json: bool) -> None:
    """Measure service while a zone is out and back in, at doubled demand."""
    show_report(zone_bench.run(), as_json)
