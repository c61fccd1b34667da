"""Starts the daemon of each role with the platform's readers and formats."""

from __future__ import annotations

from fulmarshore.direct.settings import HostSettings
from fulmarshore.platform.settings import SettingsReader

ROLES = ("entry", "agent", "control")


def make_daemon(role: str, settings: HostSettings, reader: SettingsReader) -> object:
    """Return the daemon of a role; only the modules of that role are imported."""
    if role == "entry":
        from fulmarshore.daemons.directentry import EntryDaemon

        return EntryDaemon(settings, reader.load)
    if role == "agent":
        from fulmarshore.daemons.directagent import AgentDaemon
        from fulmarshore.platform.heartbeats import read_heartbeat

        return AgentDaemon(settings, reader.load, read_heartbeat)
    if role == "control":
        from fulmarshore.daemons.directcontrol import ControlDaemon
        from fulmarshore.platform.configuration import (
            decompress_configuration,
            make_table,
        )
        from fulmarshore.platform.orders import OrderReader

        read = OrderReader(settings.zones).read
        return ControlDaemon(
            settings, reader.load, read, make_table, decompress_configuration
        )
    raise SystemExit(f"role: {role!r} is not known, needs one of {', '.join(ROLES)}")


def run_role(arguments: list[str]) -> int:
    """Run a role until it has stopped; return its exit code."""
    if len(arguments) != 1:
        raise SystemExit("usage: python -m fulmarshore.platform ROLE")
    reader = SettingsReader()
    settings = reader.load()
    if not isinstance(settings, HostSettings):
        raise SystemExit("\n".join(str(problem) for problem in settings or []))
    return make_daemon(arguments[0], settings, reader).run()
