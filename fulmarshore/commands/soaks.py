"""The command that runs the processes under faults and checks their guarantees."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from fulmarshore.soak.plans import BURST_GAP_S, BURST_S, STARTUP_S, make_plan
from fulmarshore.soak.reports import draw_report, format_json, format_text
from fulmarshore.soak.run import Soak

MIN_DURATION_S = STARTUP_S + BURST_S + BURST_GAP_S
MAX_UPSTREAMS = 100


@click.command()
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of the first plan."
)
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(MIN_DURATION_S, 3600),
    default=54.0,
    show_default=True,
)
@click.option("--entries", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option(
    "--upstreams", type=click.IntRange(6, MAX_UPSTREAMS), default=6, show_default=True
)
@click.option(
    "--folder", type=click.Path(path_type=Path), help="Folder for logs and data."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--picture", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan and exit.")
def soak(
    seed: int,
    runs: int,
    seconds: float,
    entries: int,
    upstreams: int,
    folder: Path | None,
    as_json: bool,
    picture: Path | None,
    only_plan: bool,
) -> None:
    """Run the processes under faults, one run for each consecutive seed."""
    failed: list[int] = []
    for number in range(seed, seed + runs):
        plan = make_plan(number, seconds, entries, upstreams)
        if only_plan:
            for step in sorted([*plan.faults, *plan.orders], key=lambda step: step.at):
                click.echo(step)
            continue
        with tempfile.TemporaryDirectory(prefix="fulmarshore-soak-") as scratch:
            run_folder = Path(scratch) if folder is None else folder / f"seed-{number}"
            run_folder.mkdir(parents=True, exist_ok=True)
            if any(run_folder.iterdir()):
                raise click.ClickException(f"--folder: {run_folder} is not empty")
            report = Soak(plan, run_folder).run()
        click.echo(format_json(report) if as_json else format_text(report))
        if picture is not None:
            draw_report(report, picture)
        if report.violations:
            failed.append(number)
    if failed:
        click.echo(f"seeds with broken promises: {failed}", err=True)
        sys.exit(1)
