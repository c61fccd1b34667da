"""Sources, a relay and a sink of datagrams for measurements of the data path.

One socket sends from any address of 127.0.0.0/8 with the ancillary message
``IP_PKTINFO`` (ip(7)), so that hundreds of thousands of callers do not need a
socket each.
"""

from __future__ import annotations

import multiprocessing
import os
import signal
import socket
import struct
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

import psutil

from fulmarshore.core.records import Address

LOOPBACK = "127.0.0.1"
IP_PKTINFO = 8
"""Linux's value of the option, which the module socket does not define."""
CPU_CLOCK_SHIFT = 3
CPU_CLOCK_OF_PROCESS = 2
MAX_CALLERS = 1 << 22
BUFFER_BYTES = 4 * 1024 * 1024
SINK_PAUSE_S = 0.0003
SINK_BATCH = 512
START_TIMEOUT_S = 20.0
SETTLE_S = 0.2
POLL_S = 0.001

_CONTEXT = multiprocessing.get_context("spawn")


class ChildProcess:
    """A process of a measurement, connected by a pipe.

    `hello` is its first message, which tells the addresses of its sockets.

    Parameters
    ----------
    target : callable
        Module-level function that the process calls with its end of the pipe
        and the arguments.
    """

    def __init__(self, target: Callable[..., None], *arguments: Any) -> None:
        self.pipe, child_end = _CONTEXT.Pipe()
        self._process = _CONTEXT.Process(
            target=target, args=(child_end, *arguments), daemon=True
        )
        self._process.start()
        child_end.close()
        self.hello = self.receive()
        self._usage = psutil.Process(self._process.pid)
        self._cpu_clock = find_cpu_clock(self._process.pid)

    def receive(self) -> Any:
        """Return the next message of the child."""
        if not self.pipe.poll(START_TIMEOUT_S):
            raise TimeoutError("a child process sent no message in time")
        return self.pipe.recv()

    def read_cpu(self) -> float:
        """Return the processor time spent so far, in seconds."""
        return time.clock_gettime(self._cpu_clock)

    def pause(self) -> None:
        """Stop the child until it is resumed."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the child after `pause`."""
        os.kill(self._process.pid, signal.SIGCONT)

    def read_resident(self) -> int:
        """Return the resident memory, in bytes."""
        return self._usage.memory_info().rss

    def close(self) -> None:
        """Kill the child and close the pipe."""
        self._process.kill()
        self._process.join(START_TIMEOUT_S)
        self.pipe.close()


def find_cpu_clock(pid: int) -> int:
    """Return the id of the clock of a process's processor time.

    The clock counts nanoseconds, while /proc counts ticks of 10 ms. The id is
    the one that clock_getcpuclockid(3) returns on Linux.
    """
    return ~pid << CPU_CLOCK_SHIFT | CPU_CLOCK_OF_PROCESS


def run_relay(pipe: Connection, destination: Address) -> None:
    """Relay datagrams with two blocking calls for each, until terminated."""
    sock = open_socket(LOOPBACK)
    pipe.send(Address(*sock.getsockname()))
    while True:
        payload, _ = sock.recvfrom(2048)
        sock.sendto(payload, destination)


def run_sink(pipe: Connection) -> None:
    """Count datagrams and send the count on request, until terminated.

    It polls its socket instead of blocking on it, because senders would spend
    processor time on waking it, and slower senders would do so more often.
    """
    sock = open_socket("0.0.0.0")
    sock.setblocking(False)
    pipe.send(Address(LOOPBACK, sock.getsockname()[1]))
    buffer = bytearray(65_536)
    count = 0
    last = 0.0
    while True:
        before = count
        try:
            for _ in range(SINK_BATCH):
                sock.recv_into(buffer)
                count += 1
        except BlockingIOError:
            time.sleep(SINK_PAUSE_S)
        if count > before:
            last = time.perf_counter()
        while pipe.poll():
            pipe.recv()
            pipe.send((count, last))


def open_socket(host: str) -> socket.socket:
    """Return a blocking UDP socket on a free port, with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    sock.bind((host, 0))
    return sock


def find_caller(number: int) -> str:
    """Return the host of a caller by its number, in 127.64.0.0/10."""
    assert 0 <= number < MAX_CALLERS
    return socket.inet_ntoa(struct.pack("!I", 0x7F400000 + number))


def make_ancillary(count: int) -> list[list[tuple[int, int, bytes]]]:
    """Return the ancillary message for each caller that makes it the source."""
    found = []
    for number in range(count):
        source = socket.inet_aton(find_caller(number))
        information = struct.pack("=i4s4s", 0, source, bytes(4))
        found.append([(socket.IPPROTO_IP, IP_PKTINFO, information)])
    return found


def count_sink(sink: ChildProcess, expected: int = -1) -> tuple[int, float]:
    """Wait until the sink has counted the expected datagrams; return its count.

    Returns a different count once it has not changed for `SETTLE_S`.

    Returns
    -------
    count : int
        Datagrams so far.
    last : float
        Time when the last of them arrived, on the monotonic clock that all
        processes share, in seconds.
    """
    count = -1
    changed = 0.0
    while True:
        sink.pipe.send(None)
        found, last = sink.receive()
        if found == expected:
            return found, last
        now = time.perf_counter()
        if found != count:
            count, changed = found, now
        if now - changed > SETTLE_S:
            return count, last
        time.sleep(POLL_S)
