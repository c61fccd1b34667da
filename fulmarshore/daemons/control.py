"""Daemon of a control host: links to subscribers, operators and control hosts."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from fulmarshore.adapters.disk import (
    DataFolder,
    DataFolderProblem,
    DiskWriter,
    make_new_replica,
)
from fulmarshore.adapters.keys import make_key_name
from fulmarshore.adapters.links import LinkClient, LinkServer
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.agreement.joining import recover_as_only_voter
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    Address,
    ControlMessage,
    DamagedFile,
    Effect,
    Event,
    KeyRole,
    LinkMessage,
    Recovered,
    Store,
    Stored,
    TimelineEvent,
)
from fulmarshore.daemons.process import Daemon, ProcessSettings, log
from fulmarshore.membership.control import ControlCore


class ControlSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of a control host.

    Parameters
    ----------
    listen : Address
        Address to which subscribers, operators and other control hosts connect.
    peers : dict of str to Address
        The other control hosts of the region, by name.
    data_folder : Path or None
        Folder of the log file; None stores nothing, for trials only.
    bootstrap : bool
        Form a new group if no peer belongs to one; for the first start.
    recover : str or None
        Name of the group that lost a majority for good: continue with this disk
        as the only voter. Ignored by a disk of another group, so a repetition has
        no effect.
    """

    listen: Address
    peers: dict[str, Address] = {}
    data_folder: Path | None = None
    bootstrap: bool = False
    recover: str | None = None


class ControlDaemon(Daemon):
    """Runs the core of a control host on real links and a real disk."""

    def __init__(self, settings: ControlSettings) -> None:
        super().__init__("control", settings)
        self.core: ControlCore | None = None
        self.refused: DataFolderProblem | None = None
        self._folder: DataFolder | None = None
        self._disk: DiskWriter | None = None
        self._server: LinkServer | None = None
        self._clients: LinkClient | None = None
        self._recovered: Recovered | None = None
        self._startup_events: list[TimelineEvent] = []

    def prepare(self) -> DataFolderProblem | None:
        """Open the data folder and read the log file, before links are opened."""
        settings = self.settings
        recovered = make_new_replica(settings.name)
        bootstrap = settings.bootstrap
        if settings.data_folder is None:
            detail = "nothing is stored on disk"
            self._startup_events.append(TimelineEvent("no_data_folder", detail=detail))
            bootstrap = True
        else:
            self._folder = DataFolder(settings.data_folder, settings.name)
            refused = self._folder.open()
            if refused is not None:
                return refused
            recovered = self._recover()
        replica = Replica(
            recovered, list(settings.peers), self.random, bootstrap, settings.region
        )
        self._startup_events.append(describe_log(replica))
        if settings.recover is not None and settings.recover == replica.group:
            recover_as_only_voter(replica)
        self.core = ControlCore(settings.name, replica)
        self._recovered = recovered
        return None

    def open(self) -> None:
        """Open the links and start the disk."""
        loop = asyncio.get_running_loop()
        arguments = (self._handle_link_message, self.security, self.counters)
        self._clients = LinkClient(self.context, self.settings.peers, *arguments)
        self._server = LinkServer(self.context, self.settings.listen, *arguments)
        for startup_event in self._startup_events:
            self.record_event(startup_event)
        if self._folder is not None:

            def handle_stored(sequence: int) -> None:
                loop.call_soon_threadsafe(self.dispatch, Stored(sequence))

            def handle_failure(error: OSError) -> None:
                loop.call_soon_threadsafe(self._fail_disk, error)

            def handle_refusal(error: OSError) -> None:
                loop.call_soon_threadsafe(self._record_refused_write, error)

            self._disk = DiskWriter(
                self._folder.path,
                self._recovered,
                handle_stored,
                handle_failure,
                handle_refusal,
            )

    def get_listen_address(self) -> tuple[str, Address]:
        """Return the address that this host listens on, and its flag."""
        return "--listen", self.settings.listen

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links."""
        return [self.settings.listen, *self.settings.peers.values()]

    def get_key_owner(self) -> tuple[KeyRole, str]:
        """Return the role and name under which this host's key is stored."""
        return KeyRole.CONTROL, make_key_name(self.settings.listen)

    def close(self) -> None:
        """Close the links and the disk."""
        self._server.close()
        self._clients.close()
        if self._disk is not None:
            self._disk.close()
        if self._folder is not None:
            self._folder.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the core and return its effects."""
        return self.core.handle(event, now)

    def send_link(self, peer: str, message: ControlMessage) -> None:
        """Send a message to a subscriber, an operator or a control host."""
        if peer in self.settings.peers:
            self._clients.send(peer, message)
            return
        if peer:
            self._server.send(peer, message)

    def replace_link(self, peer: str) -> None:
        """Close the link to an unresponsive control host."""
        self.counters["links_replaced"] += 1
        self._clients.reset(peer)

    def carry_out(self, effect: Effect) -> None:
        """Write to the disk."""
        assert isinstance(effect, Store), f"unexpected effect {effect!r}"
        if self._disk is not None:
            self._disk.submit(effect)
            return
        asyncio.get_running_loop().call_soon(self.dispatch, Stored(effect.sequence))

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        replica = self.core.replica
        return {
            "version": self.core.state.view.version,
            "subscribers": len(self.core.registry.subscriptions),
            "subscribers_without_region": self.core.registry.count_without_region(),
            "term": replica.term,
            "commit": replica.commit,
            "leader": int(replica.is_leader),
            "voters": len(replica.current_voters),
        }

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        return [self.counters, self.core.counters, self.core.replica.counters]

    def _handle_link_message(self, peer: str, message: ControlMessage) -> None:
        self.dispatch(LinkMessage(peer, message))

    def _recover(self) -> Recovered:
        outcome = self._folder.read()
        if isinstance(outcome, DamagedFile):
            suffix = self._folder.quarantine_files()
            detail = (
                f"{outcome.file} at byte {outcome.offset}: {outcome.detail}; put aside "
                f"as {outcome.file}.{suffix}, this host rejoins as a new replica"
            )
            self._startup_events.append(TimelineEvent("log_damaged", detail=detail))
            self.counters["log_damaged"] += 1
            return make_new_replica(self.settings.name)
        if outcome.dropped_bytes:
            detail = f"{outcome.dropped_bytes} unsynced bytes"
            self._startup_events.append(TimelineEvent("log_tail_cut", detail=detail))
            self.counters["log_tail_cut"] += 1
        return outcome

    def _record_refused_write(self, error: OSError) -> None:
        self.counters["disk_writes_refused"] += 1
        log.warning("disk of {} refused a write: {}", self.settings.name, error)

    def _fail_disk(self, error: OSError) -> None:
        """Stop at once: after a failed write the disk's content is unknown."""
        log.error("disk of {} failed: {}", self.settings.name, error)
        self.exit_code = 1
        self._done.set()


def describe_log(replica: Replica) -> TimelineEvent:
    """Return the event that describes the log at the start of a control host."""
    detail = (
        f"group {replica.group or 'none'}, disk {replica.identity.disk}, "
        f"term {replica.log.last_term}, entries up to {replica.log.last_index}"
    )
    return TimelineEvent("log_opened", detail=detail)
