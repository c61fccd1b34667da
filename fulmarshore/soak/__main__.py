"""Starts one program of a soak: as on a platform, but on storage with faults."""

from __future__ import annotations

import signal
import sys


def run_control() -> int:
    """Run a control host whose storage has faults."""
    import os
    from pathlib import Path

    from fulmarshore.direct.settings import HostSettings
    from fulmarshore.platform.roles import make_daemon
    from fulmarshore.platform.settings import SettingsReader
    from fulmarshore.soak.storage import (
        FAULTS_FILE,
        FOLDER_VARIABLE,
        NOTES_FILE,
        FaultyFiles,
    )

    reader = SettingsReader()
    settings = reader.load()
    if not isinstance(settings, HostSettings):
        raise SystemExit("\n".join(str(problem) for problem in settings or []))
    folder = Path(os.environ[FOLDER_VARIABLE])
    files = FaultyFiles(folder / FAULTS_FILE, folder / NOTES_FILE)
    daemon = make_daemon("control", settings, reader)
    daemon.use_files(files)
    return daemon.run()


def main(arguments: list[str]) -> int:
    """Run a role until it has stopped; as on a platform, but for its storage."""
    if arguments == ["control"]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return run_control()
    from fulmarshore.platform.__main__ import main as run

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
