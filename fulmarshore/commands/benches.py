"""The group of the measurements, one command each."""

from __future__ import annotations

import click


@click.group()
def bench() -> None:
    """Run one of the measurements."""
