"""Daemon of a control host of the direct data path."""

from __future__ import annotations

import secrets
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Union

import msgspec

from fulmarshore.adapters.disk import (
    OS_FILE_SYSTEM,
    CacheFile,
    DataFolder,
    DataFolderProblem,
    DiskWriter,
    make_new_replica,
)
from fulmarshore.adapters.files import FileSystem
from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse, Respond
from fulmarshore.adapters.messages import MessageSocket, open_datagram_socket
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.ranges import DECODE_ERRORS
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    ChunkReply,
    Command,
    DamagedFile,
    DiskReplaced,
    JoinReply,
    JoinRequest,
    LeaveGroup,
    LeaveGroupReply,
    LinkMessage,
    Recovered,
    SendLink,
    SnapshotChunk,
    Store,
    Stored,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from fulmarshore.daemons.direct import (
    MAX_LOGGED_CHARACTERS,
    DirectDaemon,
    LoadSettings,
    encode,
)
from fulmarshore.direct.control import ControlCore
from fulmarshore.direct.controlrecords import (
    CONTROL_PORT,
    KnownSubscriber,
    Order,
    OrderAccepted,
    PollReceived,
    Read,
    ReadResult,
    RedirectToLeader,
    SendUpdate,
    StoreKeptFlows,
    StoreSubscribers,
)
from fulmarshore.direct.keptflowsfile import (
    FILE_NAME,
    StoredGroup,
    decode_file,
    encode_file,
)
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import (
    Decision,
    KeptFlows,
    Poll,
    SendPoll,
    SendToCaller,
    Table,
    Update,
    UpdateReceived,
)
from fulmarshore.direct.relay import RelayCore
from fulmarshore.direct.settings import CONTROL_OFFSET, HostSettings

TICK_INTERVAL_S = 0.05
"""Half of the replicated log's heartbeat interval."""
SNAPSHOT_CHUNK_BYTES = 16 * 1024
"""Size of a snapshot chunk, small enough for one datagram."""
RETRY_AFTER_S = 1
"""Retry-After of responses without a leader: an election takes 0.1 to 1.5 s."""
NO_SEED_WAIT_S = 3.0
"""How long a host that is not a seed waits for a group at the first start: three
times as long as seeds do, since one of the seeds may have no disk."""

SUBSCRIBERS_FILE = "subscribers"
"""File that lists the subscribers, for use after a restart; may be lost or torn."""

Message = Union[
    KeptFlows,
    Poll,
    Update,
    VoteRequest,
    VoteReply,
    DiskReplaced,
    LeaveGroup,
    LeaveGroupReply,
    TimeoutNow,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    ChunkReply,
    JoinRequest,
    JoinReply,
]
decode_message = msgspec.msgpack.Decoder(Message).decode
"""Decodes a message of another host; raises ``DECODE_ERRORS``."""

ReadOrder = Callable[[HttpRequest], "Command | ReadNewest | HttpResponse"]


class ReadNewest(msgspec.Struct, frozen=True):
    """A request for the newest configuration."""


class ControlDaemon(DirectDaemon):
    """Accepts orders, stores them in the replicated log and updates other hosts.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    load_settings : callable
        Returns changed settings, the problems found in them, or None if they have
        not changed.
    read_order : callable
        Parses an HTTP request and returns a command, a read, or an error response.
    make_table : callable
        Builds the table from a state.
    format_newest : callable
        Returns the response body of a read.
    """

    def __init__(
        self,
        settings: HostSettings,
        load_settings: LoadSettings,
        read_order: ReadOrder,
        make_table: Callable[[OrderState], Table],
        format_newest: Callable[[OrderState], bytes],
    ) -> None:
        super().__init__("control", settings, load_settings, TICK_INTERVAL_S)
        self.core: ControlCore | RelayCore | None = None
        self._read_order = read_order
        self._make_table = make_table
        self._format_newest = format_newest
        self._responses: dict[int, tuple[Respond, str, float]] = {}
        self._order_time = LatencyHistogram()
        self._requests = 0
        self._files = OS_FILE_SYSTEM
        self._disk: DiskWriter | None = None
        self._packet_port = settings.packet_port

    def use_files(self, files: FileSystem) -> None:
        """Use another file system; call it before the log is opened."""
        self._files = files

    def open(self) -> None:
        """Read the log, and open the sockets for hosts and operators."""
        settings = self.settings
        self._messages = MessageSocket(
            self.loop,
            settings.local_host,
            settings.internal_port + CONTROL_OFFSET,
            self._handle_message,
            self.counters,
        )
        self._notices = open_datagram_socket(settings.local_host, 0)
        if settings.data_folder:
            self.core = self._open_log()
        else:
            self.core = RelayCore(settings.host, list(settings.seeds), self.random)
            self.log_decision(Decision("no_disk", "orders are redirected"))
        self.serve(settings.orders)

    def _open_log(self) -> ControlCore:
        """Read the log from this host's disk and create the core on it."""
        settings = self.settings
        folder = DataFolder(
            Path(settings.data_folder), settings.host, checks_mode=False
        )
        refused = folder.open()
        if isinstance(refused, DataFolderProblem):
            raise SystemExit(f"{refused.folder}: {refused.detail}")
        recovered = self._recover(folder)
        replica = Replica(
            recovered,
            [seed for seed in settings.seeds if seed != settings.host],
            self.random,
            settings.bootstrap,
            min_voters=2 * settings.lost_disks + 1,
            starts_fast=True,
            names_are_addresses=True,
        )
        replica.chunk_bytes = SNAPSHOT_CHUNK_BYTES
        if settings.host not in settings.seeds:
            replica.bootstrap_wait_s = NO_SEED_WAIT_S
        core = ControlCore(
            replica,
            secrets.randbits(63),
            settings.lost_disks,
            self._make_table,
            self._read_subscribers(folder.path / SUBSCRIBERS_FILE),
            settings.notifies_lost_flows,
        )
        stored = self._read_kept_flows(folder.path / FILE_NAME)
        core.lost_flows.restore(stored, time.monotonic())
        detail = (
            f"group {replica.group or 'none'}, disk {replica.identity.disk}, "
            f"term {replica.term}, entries up to {replica.log.last_index}"
        )
        self.log_decision(Decision("log_opened", detail))
        self._disk = DiskWriter(
            folder.path,
            recovered,
            self._report_stored,
            self._report_failure,
            self._record_refused_write,
            self._files,
        )
        return core

    def handle(self, event: object, now: float) -> list:
        """Pass an event to the core and return its effects."""
        return self.core.handle(event, now)

    def is_ready(self) -> bool:
        """Return whether a leader is known."""
        return self.core.is_ready

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        if isinstance(self.core, RelayCore):
            return {}
        replica = self.core.replica
        return {
            "version": self.core.state.version,
            "term": replica.term,
            "commit": replica.commit,
            "leader": int(replica.is_leader),
            "voters": len(replica.current_voters),
        }

    def list_latencies(self) -> dict[str, LatencyHistogram]:
        """Return the histograms for the metrics."""
        return {"order_seconds": self._order_time}

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings, including the seeds."""
        super().apply_settings(settings)
        self.core.replace_seeds(list(settings.seeds))

    def handle_http(self, request: HttpRequest, respond: Respond) -> None:
        """Handle an order or a read."""
        order = self.read_request(self._read_order, request)
        if isinstance(order, HttpResponse):
            self.counters[f"orders_answered_{order.status}"] += 1
            if order.status >= 400:
                reason = order.body.decode("utf-8", "replace")[:MAX_LOGGED_CHARACTERS]
                path = request.path[:MAX_LOGGED_CHARACTERS]
                detail = f"{request.method} {path}: {reason}"
                self.log_decision(Decision("order_refused", detail))
            respond(order)
            return
        self._requests += 1
        self._responses[self._requests] = (respond, request.path, time.monotonic())
        if isinstance(order, ReadNewest):
            self.dispatch(Read(self._requests))
            return
        self.dispatch(Order(self._requests, order))

    def carry_out(self, effect: object) -> None:
        """Send a message, write to the disk, or answer an operator."""
        internal_port = self.settings.internal_port + CONTROL_OFFSET
        match effect:
            case SendLink(peer=peer, message=message):
                self._messages.send(encode(message), peer, internal_port)
            case SendUpdate(update=update, host=host, port=port):
                target = internal_port if port == CONTROL_PORT else port
                self._messages.send(encode(update), host, target)
            case SendPoll(poll=poll, host=host):
                self._messages.send(encode(poll), host, internal_port)
            case Store():
                self._disk.submit(effect)
            case StoreSubscribers(subscribers=subscribers):
                content = msgspec.json.encode(subscribers)
                self._disk.write_cache(CacheFile(SUBSCRIBERS_FILE, content))
            case StoreKeptFlows(groups=groups):
                content = encode_file(groups, time.time())
                self._disk.write_cache(CacheFile(FILE_NAME, content))
            case SendToCaller(content=content, host=host):
                caller = socket.inet_ntoa(host)
                self.send_packet(self._notices, content, caller, self._packet_port)
            case OrderAccepted(request=request):
                self._respond(request, HttpResponse(200, b"{}"))
            case ReadResult(request=request, state=state):
                self._respond_newest(request, state)
            case RedirectToLeader(request=request, leader=leader):
                self._redirect(request, leader)
            case _:
                raise TypeError(f"unexpected effect {effect!r}")

    def _respond(self, request: int, response: HttpResponse) -> None:
        respond, _, received_at = self._responses.pop(request)
        if response.status == HTTPStatus.OK:
            self._order_time.observe(time.monotonic() - received_at)
        self.counters[f"orders_answered_{response.status}"] += 1
        respond(response)

    def _respond_newest(self, request: int, state: OrderState) -> None:
        if not state.version:
            self._respond(request, HttpResponse(503, b'{"error":"none yet"}'))
            return
        try:
            content = self._format_newest(state)
        except ValueError as error:
            self.log_decision(Decision("configuration_unreadable", str(error)))
            body = b'{"error":"the stored configuration is not readable"}'
            self._respond(request, HttpResponse(503, body))
            return
        self._respond(request, HttpResponse(200, content))

    def _redirect(self, request: int, leader: str) -> None:
        _, path, _ = self._responses[request]
        if not leader or leader == self.settings.host:
            body = b'{"error":"no leader is known"}'
            response = HttpResponse(503, body, retry_after_s=RETRY_AFTER_S)
            detail = path[:MAX_LOGGED_CHARACTERS]
            self.log_decision(Decision("order_unanswered", detail))
            self._respond(request, response)
            return
        location = f"http://{leader}:{self.settings.control_port}{path}"
        self._respond(request, HttpResponse(307, b"{}", location))

    def _handle_message(self, content: bytes, host: str, port: int) -> None:
        try:
            message = decode_message(content)
        except DECODE_ERRORS:
            self.counters["messages_malformed"] += 1
            return
        if isinstance(message, KeptFlows):
            self.dispatch(message)
            return
        if isinstance(message, Poll):
            if message.report is not None and message.report.packet_port:
                self._packet_port = message.report.packet_port
            self.dispatch(PollReceived(host, port, message))
            return
        if isinstance(message, Update):
            self.dispatch(UpdateReceived(host, message))
            return
        self.dispatch(LinkMessage(host, message))

    def _read_subscribers(self, path: Path) -> tuple[KnownSubscriber, ...]:
        """Return the subscribers stored before a restart; none if unreadable."""
        if not path.exists():
            return ()
        try:
            return msgspec.json.decode(
                path.read_bytes(), type=tuple[KnownSubscriber, ...]
            )
        except (OSError, *DECODE_ERRORS) as error:
            self.log_decision(Decision("subscribers_unreadable", str(error)))
            return ()

    def _read_kept_flows(self, path: Path) -> list[StoredGroup]:
        """Return the kept flows stored before a restart; none if they are not valid."""
        if not path.exists():
            return []
        try:
            return decode_file(path.read_bytes(), time.time())
        except (OSError, ValueError) as error:
            self.log_decision(Decision("kept_flows_ignored", str(error)))
            return []

    def _recover(self, folder: DataFolder) -> Recovered:
        outcome = folder.read()
        if isinstance(outcome, DamagedFile):
            suffix = folder.quarantine_files()
            detail = f"{outcome.file} at byte {outcome.offset}: {outcome.detail}"
            self.log_decision(
                Decision("log_damaged", f"{detail}; put aside as {suffix}")
            )
            return make_new_replica(self.settings.host)
        return outcome

    def _report_stored(self, sequence: int) -> None:
        self.loop.call_from_thread(lambda: self.dispatch(Stored(sequence)))

    def _record_refused_write(self, error: OSError) -> None:
        decision = Decision("disk_refused_write", str(error))
        self.loop.call_from_thread(lambda: self.log_decision(decision))

    def _report_failure(self, error: Exception) -> None:
        self.loop.call_from_thread(lambda: self._stop_after_disk_failure(error))

    def _stop_after_disk_failure(self, error: Exception) -> None:
        detail = f"{type(error).__name__}: {error}"
        self.log_decision(Decision("disk_failed", detail))
        self.exit_code = 1
        self.loop.stop()
