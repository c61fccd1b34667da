"""Daemons under measurement: real ones that get their view from the bench."""

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

NOWHERE = Address(LOOPBACK, 1)
VERSION = 1
MAX_CONNECTIONS = 1_000_000


class FedDaemon(Daemon):
    """Makes a daemon take its view from the bench rather than from control.

    It sends its announcement once it is open, and its gauges whenever asked.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the daemon.
    pipe : Connection
        The way to the bench.
    items : list of Item
        The view, to which the daemon adds itself.
    """

    def __init__(
        self, settings: ProcessSettings, pipe: Connection, items: list[Item]
    ) -> None:
        super().__init__(settings)
        self._pipe = pipe
        self._items = items

    def open(self) -> None:
        """Open the sockets, put the view in force and say where they are."""
        super().open()
        announcement = self.core.subscriber.announcement
        for event in list_renewals("bench"):
            self.dispatch(event)
        snapshot = make_snapshot([*self._items, announcement])
        self.dispatch(LinkMessage("bench", snapshot))
        self._pipe.send(announcement)
        asyncio.get_running_loop().add_reader(self._pipe.fileno(), self._answer)

    def _answer(self) -> None:
        self._pipe.recv()
        self._pipe.send(self.read_gauges())


class FedEntry(FedDaemon, EntryDaemon):
    """An entry host that gets its view from the bench."""


class FedAgent(FedDaemon, AgentDaemon):
    """An agent that gets its view from the bench."""


def run_entry(
    pipe: Connection, service_host: str, items: list[Item], ring: KeyRing | None = None
) -> None:
    """Run an entry host until terminated; with a ring it seals what it sends."""
    settings = EntrySettings(
        name="entry",
        zone="a",
        controls=(NOWHERE,),
        data=Address(LOOPBACK, 0),
        service_host=service_host,
    )
    daemon = FedEntry(settings, pipe, items)
    if ring is not None:
        daemon.sealer = Sealer(ring)
    daemon.run()


def run_agent(pipe: Connection, upstream: Address, items: list[Item]) -> None:
    """Run an agent until terminated."""
    settings = AgentSettings(
        name="agent",
        zone="a",
        controls=(NOWHERE,),
        data=Address(LOOPBACK, 0),
        service="s",
        upstream=upstream,
        connections=MAX_CONNECTIONS,
    )
    FedAgent(settings, pipe, items).run()


def make_snapshot(items: list[Item]) -> Delta:
    """Return a snapshot of the items at the bench's version."""
    return Delta(0, VERSION, [Versioned(VERSION, item) for item in items], [])
