"""The network between the hosts of a soak: proxies that delay, drop and cut traffic.

Each host has two loopback addresses: the advertised one, where the proxy listens,
and the bind address, where its process does. A datagram sent to another host's
advertised address arrives there from the sender's advertised address.
"""

from __future__ import annotations

import socket
import struct
from collections import Counter
from collections.abc import Callable
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.messages import BUFFER_BYTES, RECEIVE_BYTES

ADVERTISED_NETWORK = "127.61"
BIND_NETWORK = "127.62"
CALLER_NETWORK = "127.63"
MAX_SUBNETS = 256
LISTEN_BACKLOG = 64
CHUNK_BYTES = 64 * 1024
READ_BATCH = 64
"""Datagrams read from one socket before the others are served."""
LOSS_PROBABILITY = 0.3
DELAY_S = 0.15
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Hosts:
    """Advertised and bind addresses of the hosts.

    Parameters
    ----------
    names : list of str
        Names of the hosts.
    subnet : int
        Third byte of the addresses, so that runs in different subnets can use the
        same ports at the same time.
    """

    __slots__ = ("_subnet", "_numbers", "_names")

    def __init__(self, names: list[str], subnet: int = 0) -> None:
        self._subnet = subnet
        self._numbers = {name: number + 1 for number, name in enumerate(names)}
        self._names = {self.get_bind_address(name): name for name in names}

    @property
    def names(self) -> list[str]:
        """Names of all hosts."""
        return list(self._numbers)

    def get_advertised_address(self, name: str) -> str:
        """Return the address that other hosts send to, where the proxy listens."""
        return f"{ADVERTISED_NETWORK}.{self._subnet}.{self._numbers[name]}"

    def get_bind_address(self, name: str) -> str:
        """Return the address that the host's process binds to."""
        return f"{BIND_NETWORK}.{self._subnet}.{self._numbers[name]}"

    @property
    def caller(self) -> str:
        """The address of all callers."""
        return f"{CALLER_NETWORK}.{self._subnet}.1"

    def find_name(self, bind_address: str) -> str | None:
        """Return the name of the host with a bind address, None if there is none."""
        return self._names.get(bind_address)


class NetworkFaults:
    """Faults that are active between hosts at present.

    Parameters
    ----------
    random : Random
        Draws which datagrams are lost.
    """

    __slots__ = (
        "_random",
        "_silent",
        "_cut_outbound",
        "_cut_inbound",
        "_lossy",
        "_slow",
    )

    def __init__(self, random: Random) -> None:
        self._random = random
        self._silent: Counter[str] = Counter()
        self._cut_outbound: Counter[str] = Counter()
        self._cut_inbound: Counter[str] = Counter()
        self._lossy: Counter[str] = Counter()
        self._slow: Counter[str] = Counter()

    def set_fault(self, kind: str, host: str, is_active: bool) -> None:
        """Start or clear a fault of a host; faults of one kind may overlap.

        Raises
        ------
        ValueError
            If the kind is not ``cut``, ``one_way``, ``loss`` or ``delay``.
        """
        delta = 1 if is_active else -1
        match kind:
            case "cut":
                self._cut_outbound[host] += delta
                self._cut_inbound[host] += delta
            case "one_way":
                self._cut_outbound[host] += delta
            case "loss":
                self._lossy[host] += delta
            case "delay":
                self._slow[host] += delta
            case _:
                raise ValueError(f"{kind}: not cut, one_way, loss or delay")

    def compute_delay(self, source: str, target: str) -> float | None:
        """Return the delay of a datagram, seconds; None if it is lost."""
        if self._cut_outbound[source] or self._cut_inbound[target]:
            return None
        if self._lossy[source] or self._lossy[target]:
            if self._random.random() < LOSS_PROBABILITY:
                return None
        return DELAY_S if self._slow[source] or self._slow[target] else 0.0


class DatagramProxy:
    """Forwards datagrams between hosts, subject to the active faults.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the sockets.
    hosts : Hosts
        Addresses of the hosts.
    ports : list of int
        Ports that processes send from and to, the same on all hosts.
    faults : NetworkFaults
        Active faults.
    """

    def __init__(
        self, loop: EventLoop, hosts: Hosts, ports: list[int], faults: NetworkFaults
    ) -> None:
        self._loop = loop
        self._hosts = hosts
        self._faults = faults
        self._sockets: dict[tuple[str, int], socket.socket] = {}
        self.counters: Counter[str] = Counter()
        for name in hosts.names:
            for port in ports:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
                sock.bind((hosts.get_advertised_address(name), port))
                sock.setblocking(False)
                self._sockets[name, port] = sock
                loop.watch(sock, self._make_reader(sock, name, port))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            self._loop.unwatch(sock)
            sock.close()

    def _make_reader(
        self, sock: socket.socket, target: str, port: int
    ) -> Callable[[], None]:
        def read() -> None:
            for _ in range(READ_BATCH):
                try:
                    content, (bind_address, source_port) = sock.recvfrom(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                self._forward(content, bind_address, source_port, target, port)

        return read

    def _forward(
        self,
        content: bytes,
        bind_address: str,
        source_port: int,
        target: str,
        port: int,
    ) -> None:
        source = self._hosts.find_name(bind_address)
        sender = self._sockets.get((source, source_port))
        if sender is None:
            self.counters["datagrams_of_strangers"] += 1
            return
        delay_s = self._faults.compute_delay(source, target)
        if delay_s is None:
            self.counters["datagrams_lost"] += 1
            return
        address = (self._hosts.get_bind_address(target), port)
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
    """A proxied connection: both sockets, and the bytes not yet sent to each."""

    __slots__ = ("client", "server", "is_silent", "pending")

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.is_silent = False
        self.pending: dict[socket.socket, bytes] = {client: b"", server: b""}

    def get_peer(self, sock: socket.socket) -> socket.socket:
        """Return the other socket."""
        return self.server if sock is self.client else self.client


class StreamProxy:
    """Forwards connections to one host, and silences or resets them.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the sockets.
    advertised_address, bind_address : str
        Address that the proxy listens at, and that of the host's process.
    port : int
        Port on both addresses.
    """

    def __init__(
        self, loop: EventLoop, advertised_address: str, bind_address: str, port: int
    ) -> None:
        self._loop = loop
        self._target = (bind_address, port)
        self._connections: list[Connection] = []
        self._listener = socket.create_server(
            (advertised_address, port), backlog=LISTEN_BACKLOG
        )
        self._listener.setblocking(False)
        loop.watch(self._listener, self._accept)

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            self._close_connection(connection, is_reset=True)

    def close(self) -> None:
        """Reset all connections and close the listener."""
        self.reset()
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _accept(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            return
        try:
            server = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            client.close()
            return
        connection = Connection(client, server)
        self._connections.append(connection)
        for sock in (client, server):
            sock.setblocking(False)
            self._loop.watch(sock, lambda sock=sock: self._pump(connection, sock))

    def _pump(self, connection: Connection, sock: socket.socket) -> None:
        """Forward bytes from one socket to the other."""
        peer = connection.get_peer(sock)
        try:
            if connection.pending[sock]:
                self._flush(connection, sock)
            chunk = sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close_connection(connection, is_reset=True)
            return
        if connection.is_silent:
            return
        if not chunk:
            self._close_connection(connection, is_reset=False)
            return
        connection.pending[peer] += chunk
        self._flush(connection, peer)

    def _flush(self, connection: Connection, sock: socket.socket) -> None:
        pending = connection.pending[sock]
        try:
            sent = sock.send(pending)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close_connection(connection, is_reset=True)
            return
        connection.pending[sock] = pending[sent:]
        self._loop.watch_writable(
            sock, self._make_pump(connection, sock), sent < len(pending)
        )

    def _make_pump(
        self, connection: Connection, sock: socket.socket
    ) -> Callable[[], None]:
        return lambda: self._pump(connection, sock)

    def _close_connection(self, connection: Connection, is_reset: bool) -> None:
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        for sock in (connection.client, connection.server):
            self._loop.unwatch(sock)
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            sock.close()
