"""Starts one program of the soak: a control host on faulty storage, other roles as is.

``python -m fulmarshore.soak ROLE`` is what the soak starts for each host. Agents and
entry hosts run exactly as on a platform.
"""

from __future__ import annotations

import signal
import sys


def run_control() -> int:
    """Run a control host on a file system that injects faults."""
    import os
    from pathlib import Path

    from fulmarshore.direct.settings import HostSettings
    from fulmarshore.platform.roles import make_daemon
    from fulmarshore.platform.settings import SettingsReader
    from fulmarshore.soak.storage import (
        FAULTS_FILE,
        FOLDER_VARIABLE,
        UNSYNCED_FILE,
        FaultyFiles,
    )

    reader = SettingsReader()
    settings = reader.load()
    if not isinstance(settings, HostSettings):
        raise SystemExit("\n".join(str(problem) for problem in settings or []))
    folder = Path(os.environ[FOLDER_VARIABLE])
    files = FaultyFiles(folder / FAULTS_FILE, folder / UNSYNCED_FILE)
    daemon = make_daemon("control", settings, reader)
    daemon.use_files(files)
    return daemon.run()


def main(arguments: list[str]) -> int:
    """Run a role until it stops; return its exit code."""
    if arguments == ["control"]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return run_control()
    from fulmarshore.platform.__main__ import main as run_platform_role

    return run_platform_role(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
