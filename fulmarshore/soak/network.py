"""The network between hosts of a soak: a proxy that delays, loses and cuts.

Each host has two loopback addresses: the one that others know, where the proxy
listens, and its own, where its process does. What a process sends to another
host's known address arrives there from the sender's known address.
"""

from __future__ import annotations

import socket
import struct
from collections import Counter
from collections.abc import Callable
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.messages import BUFFER_BYTES, RECEIVE_BYTES

KNOWN_NETWORK = "127.61"
OWN_NETWORK = "127.62"
CALLER_NETWORK = "127.63"
MAX_SUBNETS = 256
LISTEN_BACKLOG = 64
PIECE_BYTES = 64 * 1024
BATCH = 64
"""Datagrams taken before other sockets get their turn."""
LOSS = 0.3
DELAY_S = 0.15
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Hosts:
    """The addresses of hosts.

    Parameters
    ----------
    names : list of str
        Their names.
    subnet : int
        Third byte of the addresses: runs with others disturb each other's ports
        not at all.
    """

    __slots__ = ("_subnet", "_numbers", "_names")

    def __init__(self, names: list[str], subnet: int = 0) -> None:
        self._subnet = subnet
        self._numbers = {name: number + 1 for number, name in enumerate(names)}
        self._names = {self.get_own(name): name for name in names}

    @property
    def names(self) -> list[str]:
        """All hosts."""
        return list(self._numbers)

    def get_known(self, name: str) -> str:
        """Return the address that others know."""
        return f"{KNOWN_NETWORK}.{self._subnet}.{self._numbers[name]}"

    def get_own(self, name: str) -> str:
        """Return the address that the host's process listens at."""
        return f"{OWN_NETWORK}.{self._subnet}.{self._numbers[name]}"

    @property
    def caller(self) -> str:
        """The address of all callers."""
        return f"{CALLER_NETWORK}.{self._subnet}.1"

    def find(self, own: str) -> str | None:
        """Return the name of the host with an own address."""
        return self._names.get(own)


class Faults:
    """What is wrong between hosts at present.

    Parameters
    ----------
    random : Random
        Decides which datagrams are lost.
    """

    __slots__ = ("_random", "_silent", "_cut_from", "_cut_to", "_lossy", "_slow")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._silent: Counter[str] = Counter()
        self._cut_from: Counter[str] = Counter()
        self._cut_to: Counter[str] = Counter()
        self._lossy: Counter[str] = Counter()
        self._slow: Counter[str] = Counter()

    def change(self, kind: str, host: str, is_on: bool) -> None:
        """Begin or end a fault; faults of one kind may overlap."""
        step = 1 if is_on else -1
        match kind:
            case "cut":
                self._cut_from[host] += step
                self._cut_to[host] += step
            case "one_way":
                self._cut_from[host] += step
            case "loss":
                self._lossy[host] += step
            case "delay":
                self._slow[host] += step
            case _:
                raise ValueError(f"{kind}: no fault of the network")

    def judge(self, source: str, target: str) -> float | None:
        """Return by how much a datagram is delayed, None if it is lost."""
        if self._cut_from[source] or self._cut_to[target]:
            return None
        if self._lossy[source] or self._lossy[target]:
            if self._random.random() < LOSS:
                return None
        return DELAY_S if self._slow[source] or self._slow[target] else 0.0


class DatagramProxy:
    """Carries datagrams between hosts.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the sockets.
    hosts : Hosts
        The hosts.
    ports : list of int
        Ports that processes send from and to, the same on all hosts.
    faults : Faults
        What is wrong at present.
    """

    def __init__(
        self, loop: EventLoop, hosts: Hosts, ports: list[int], faults: Faults
    ) -> None:
        self._loop = loop
        self._hosts = hosts
        self._faults = faults
        self._sockets: dict[tuple[str, int], socket.socket] = {}
        self.counters: Counter[str] = Counter()
        for name in hosts.names:
            for port in ports:
                opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
                opened.bind((hosts.get_known(name), port))
                opened.setblocking(False)
                self._sockets[name, port] = opened
                loop.watch(opened, self._make_reader(opened, name, port))

    def close(self) -> None:
        """Close all sockets."""
        for opened in self._sockets.values():
            self._loop.unwatch(opened)
            opened.close()

    def _make_reader(
        self, opened: socket.socket, target: str, port: int
    ) -> Callable[[], None]:
        def read() -> None:
            for _ in range(BATCH):
                try:
                    content, (own, sent_from) = opened.recvfrom(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                self._carry(content, own, sent_from, target, port)

        return read

    def _carry(
        self, content: bytes, own: str, sent_from: int, target: str, port: int
    ) -> None:
        source = self._hosts.find(own)
        sender = self._sockets.get((source, sent_from))
        if sender is None:
            self.counters["datagrams_of_strangers"] += 1
            return
        delay_s = self._faults.judge(source, target)
        if delay_s is None:
            self.counters["datagrams_lost"] += 1
            return
        address = (self._hosts.get_own(target), port)
        if delay_s:
            self._loop.call_later(delay_s, lambda: self._send(sender, content, address))
            return
        self._send(sender, content, address)

    def _send(
        self, sender: socket.socket, content: bytes, address: tuple[str, int]
    ) -> None:
        try:
            sender.sendto(content, address)
        except OSError:
            self.counters["datagrams_unsent"] += 1


class Connection:
    """One connection that the proxy carries: both sockets, and bytes under way."""

    __slots__ = ("near", "far", "is_silent", "waiting")

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.is_silent = False
        self.waiting: dict[socket.socket, bytes] = {near: b"", far: b""}

    def get_other(self, end: socket.socket) -> socket.socket:
        """Return the other end."""
        return self.far if end is self.near else self.near


class StreamProxy:
    """Carries connections to one address, and silences or resets them.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the sockets.
    known, own : str
        Addresses of the host.
    port : int
        The port.
    """

    def __init__(self, loop: EventLoop, known: str, own: str, port: int) -> None:
        self._loop = loop
        self._target = (own, port)
        self._connections: list[Connection] = []
        self._listener = socket.create_server((known, port), backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        loop.watch(self._listener, self._accept)

    def silence(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            self._end(connection, is_reset=True)

    def close(self) -> None:
        """Close everything."""
        self.reset()
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _accept(self) -> None:
        try:
            near, _ = self._listener.accept()
        except OSError:
            return
        try:
            far = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            near.close()
            return
        connection = Connection(near, far)
        self._connections.append(connection)
        for end in (near, far):
            end.setblocking(False)
            self._loop.watch(end, lambda end=end: self._pump(connection, end))

    def _pump(self, connection: Connection, end: socket.socket) -> None:
        """Carry bytes from one end to the other."""
        other = connection.get_other(end)
        try:
            if connection.waiting[end]:
                self._flush(connection, end)
            piece = end.recv(PIECE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._end(connection, is_reset=True)
            return
        if connection.is_silent:
            return
        if not piece:
            self._end(connection, is_reset=False)
            return
        connection.waiting[other] += piece
        self._flush(connection, other)

    def _flush(self, connection: Connection, end: socket.socket) -> None:
        waiting = connection.waiting[end]
        try:
            sent = end.send(waiting)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._end(connection, is_reset=True)
            return
        connection.waiting[end] = waiting[sent:]
        self._loop.watch_writable(
            end, self._make_pump(connection, end), sent < len(waiting)
        )

    def _make_pump(
        self, connection: Connection, end: socket.socket
    ) -> Callable[[], None]:
        return lambda: self._pump(connection, end)

    def _end(self, connection: Connection, is_reset: bool) -> None:
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        for end in (connection.near, connection.far):
            self._loop.unwatch(end)
            if is_reset:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            end.close()
