"""Real daemons under measurement that get their view from the bench.

They run without control hosts.
"""

from __future__ import annotations

import asyncio
from multiprocessing.connection import Connection

from fulmarshore.adapters.keys import KeyRing
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.bench.traffic import LOOPBACK
from fulmarshore.core.records import Address, Delta, Item, LinkMessage, Versioned
from fulmarshore.daemons.agent import AgentDaemon, AgentSettings
from fulmarshore.daemons.entry import EntryDaemon, EntrySettings
from fulmarshore.daemons.process import Daemon, ProcessSettings
from fulmarshore.standins.control import list_renewals

UNUSED_ADDRESS = Address(LOOPBACK, 1)
VERSION = 1
MAX_CONNECTIONS = 1_000_000


class BenchDaemon(Daemon):
    """Gives a daemon its view from the bench in place of control.

    It sends its announcement over the pipe once its sockets are open, and its
    gauges after each message from the bench.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the daemon.
    pipe : Connection
        Connection to the bench.
    items : list of Item
        Items of the view; the daemon adds its own announcement.
    """

    def __init__(
        self, settings: ProcessSettings, pipe: Connection, items: list[Item]
    ) -> None:
        super().__init__(settings)
        self._pipe = pipe
        self._items = items

    def open(self) -> None:
        """Open the sockets, apply the view, and send the announcement to the bench."""
        super().open()
        announcement = self.core.subscriber.announcement
        for event in list_renewals("bench"):
            self.dispatch(event)
        snapshot = make_snapshot([*self._items, announcement])
        self.dispatch(LinkMessage("bench", snapshot))
        self._pipe.send(announcement)
        asyncio.get_running_loop().add_reader(self._pipe.fileno(), self._send_gauges)

    def _send_gauges(self) -> None:
        self._pipe.recv()
        self._pipe.send(self.read_gauges())


class BenchEntry(BenchDaemon, EntryDaemon):
    """An entry host that gets its view from the bench."""


class BenchAgent(BenchDaemon, AgentDaemon):
    """An agent that gets its view from the bench."""


def run_entry(
    pipe: Connection, service_host: str, items: list[Item], ring: KeyRing | None = None
) -> None:
    """Run an entry host until terminated, which seals datagrams if given keys."""
    settings = EntrySettings(
        name="entry",
        zone="a",
        controls=(UNUSED_ADDRESS,),
        data=Address(LOOPBACK, 0),
        service_host=service_host,
    )
    daemon = BenchEntry(settings, pipe, items)
    if ring is not None:
        daemon.sealer = Sealer(ring)
    daemon.run()


def run_agent(pipe: Connection, upstream: Address, items: list[Item]) -> None:
    """Run an agent until terminated."""
    settings = AgentSettings(
        name="agent",
        zone="a",
        controls=(UNUSED_ADDRESS,),
        data=Address(LOOPBACK, 0),
        service="s",
        upstream=upstream,
        connections=MAX_CONNECTIONS,
    )
    BenchAgent(settings, pipe, items).run()


def make_snapshot(items: list[Item]) -> Delta:
    """Return a snapshot with the items at version `VERSION`."""
    return Delta(0, VERSION, [Versioned(VERSION, item) for item in items], [])
