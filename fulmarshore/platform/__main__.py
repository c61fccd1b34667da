"""Run one role on a host of the platform: entry, agent or control."""

from __future__ import annotations

import sys

from fulmarshore.adapters.signals import defer_signals


def main(arguments: list[str]) -> int:
    """Run a role until it has stopped; return its exit code."""
    # Before the other modules are imported, which takes most of the start.
    defer_signals()
    from fulmarshore.platform.roles import run_role

    return run_role(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
