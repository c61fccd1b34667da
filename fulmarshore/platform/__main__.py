"""Starts one role on a host of the platform: entry, agent or control."""

from __future__ import annotations

import signal
import sys


def main(arguments: list[str]) -> int:
    """Run a role until it has stopped."""
    # Changed settings are told by a signal that ends a process by default; until
    # the program takes it, nothing is missed, since it reads its settings later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fulmarshore.platform.programs import run_program

    return run_program(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
