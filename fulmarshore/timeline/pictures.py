"""Draws a time line as a self-contained HTML page."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

from fulmarshore.core.clock import read_seconds
from fulmarshore.core.records import TimelineEntry

MAX_POINTS = 20_000
ROW_HEIGHT_PX = 26
FRAME_HEIGHT_PX = 220


def draw_picture(entries: Iterable[TimelineEntry], path: Path) -> tuple[int, int]:
    """Write an HTML page with a row for each host and a colour for each kind.

    Returns
    -------
    drawn, left_out : int
        Events in the picture, and those beyond ``MAX_POINTS``.
    """
    import plotly.graph_objects as graphs  # Importing it takes a second.

    kinds: dict[str, list[TimelineEntry]] = {}
    hosts: set[str] = set()
    drawn = 0
    left_out = 0
    for entry in entries:
        if drawn >= MAX_POINTS:
            left_out += 1
            continue
        drawn += 1
        kinds.setdefault(entry.kind, []).append(entry)
        hosts.add(entry.host)
    figure = graphs.Figure()
    for kind in sorted(kinds):
        kind_entries = kinds[kind]
        figure.add_scatter(
            x=[
                datetime.fromtimestamp(read_seconds(e.clock), UTC) for e in kind_entries
            ],
            y=[e.host for e in kind_entries],
            text=[_describe(e) for e in kind_entries],
            name=kind,
            mode="markers",
            hovertemplate="%{x|%H:%M:%S.%L} %{y}<br>%{text}",
        )
    title = f"{drawn} events of {len(hosts)} hosts"
    if left_out:
        title += f", {left_out} later ones left out"
    figure.update_layout(
        title=title,
        height=FRAME_HEIGHT_PX + ROW_HEIGHT_PX * len(hosts),
        template="plotly_white",
    )
    order = sorted(hosts, reverse=True)
    figure.update_yaxes(categoryorder="array", categoryarray=order)
    figure.write_html(path, include_plotlyjs=True)
    return drawn, left_out


def _describe(entry: TimelineEntry) -> str:
    fields = (entry.service, entry.flow, entry.peer, entry.detail)
    return " ".join(field for field in fields if field)
