"""Starts one program of a soak: as on a platform, but on storage with faults."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from fulmarshore.direct.settings import HostSettings
from fulmarshore.platform.__main__ import main, make_daemon
from fulmarshore.platform.settings import SettingsReader
from fulmarshore.soak.storage import FaultyFiles

FOLDER_VARIABLE = "FULMARSHORE_SOAK_FOLDER"
FAULTS_FILE = "faults.json"
NOTES_FILE = "unsynced.json"


def run_control() -> int:
    """Run a control host whose storage has faults."""
    reader = SettingsReader()
    settings = reader.load()
    if not isinstance(settings, HostSettings):
        raise SystemExit("\n".join(str(problem) for problem in settings or []))
    folder = Path(os.environ[FOLDER_VARIABLE])
    files = FaultyFiles(folder / FAULTS_FILE, folder / NOTES_FILE)
    daemon = make_daemon("control", settings, reader)
    daemon.use_files(files)
    return daemon.run()


if __name__ == "__main__":
    if sys.argv[1:] == ["control"]:
        sys.exit(run_control())
    sys.exit(main(sys.argv[1:]))
