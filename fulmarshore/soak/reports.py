"""Reports of a soak: text, JSON, and a chart of faults and answered requests."""

from __future__ import annotations

from pathlib import Path

import msgspec
from tabulate import tabulate

from fulmarshore.soak.run import Report

ROW_HEIGHT_PX = 24
FRAME_HEIGHT_PX = 320


def format_json(report: Report) -> str:
    """Return a report as JSON."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def format_text(report: Report) -> str:
    """Return a report for a terminal."""
    asked, answered = report.calm
    outcomes = ", ".join(f"{kind} {n}" for kind, n in sorted(report.outcomes.items()))
    parts = [
        f"seed {report.seed}, {report.seconds:.0f} s, {len(report.intervals)} faults",
        f"requests: {outcomes}; in fault-free periods {answered} of {asked} answered",
        tabulate(sorted(report.counts.items()), headers=("checked", "times")),
    ]
    if not report.violations:
        return "\n".join([*parts, "every promise was kept"])
    rows = [
        (violation.promise, f"{violation.at:.2f}", violation.detail)
        for violation in report.violations
    ]
    return "\n".join([*parts, tabulate(rows, headers=("promise broken", "at", "seen"))])


def draw_report(report: Report, path: Path) -> None:
    """Write an HTML chart of faults by host, violations and the share answered."""
    import plotly.graph_objects as go  # Takes a second to import.

    figure = go.Figure()
    for kind in sorted({fault.kind for fault in report.intervals}):
        matching = [interval for interval in report.intervals if interval.kind == kind]
        figure.add_bar(
            base=[interval.begin for interval in matching],
            x=[max(0.1, interval.end - interval.begin) for interval in matching],
            y=[interval.host or "all" for interval in matching],
            orientation="h",
            name=kind,
        )
    if report.violations:
        figure.add_scatter(
            x=[violation.at for violation in report.violations],
            y=["broken" for _ in report.violations],
            text=[
                f"{violation.promise}: {violation.detail}"
                for violation in report.violations
            ],
            mode="markers",
            name="promises broken",
        )
    figure.add_scatter(
        x=[at for at, _, _ in report.answered],
        y=[answered / asked for _, asked, answered in report.answered],
        yaxis="y2",
        name="share answered",
    )
    rows = len({fault.host for fault in report.intervals}) + 1
    figure.update_layout(
        title=f"seed {report.seed}: {len(report.violations)} promises broken",
        barmode="overlay",
        height=FRAME_HEIGHT_PX + ROW_HEIGHT_PX * rows,
        template="plotly_white",
        yaxis2={"overlaying": "y", "side": "right", "range": [0, 1.05]},
    )
    figure.write_html(path, include_plotlyjs=True)
