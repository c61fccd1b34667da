"""Run one role on a host of the platform: entry, agent or control."""

from __future__ import annotations

import signal
import sys


def main(arguments: list[str]) -> int:
    """Run a role until it has stopped; return its exit code."""
    # The platform sends SIGHUP when the settings file has changed, which ends a
    # process by default. Until the daemon installs its handler the signal can be
    # ignored, since the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fulmarshore.platform.roles import run_role

    return run_role(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
