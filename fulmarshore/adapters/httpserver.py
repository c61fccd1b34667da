"""An HTTP/1.1 server on the event loop, for orders, announcements and probes."""

from __future__ import annotations

import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote

import httptools
from msgspec import Struct

from fulmarshore.adapters.eventloop import EventLoop

BACKLOG = 256
MAX_CONNECTIONS = 512
"""A further connection closes the least recently used one. Otherwise a peer that
vanished without closing its connection would hold it forever."""
READ_BYTES = 65_536
URL_CHARACTERS = "!#$%&'()*+,/:;=?@[]~"
"""Characters of a URL that need no encoding, or that are encoding already."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Sixteen times the largest configuration of the known platforms."""
MAX_URL_BYTES = 8 * 1024
"""Longest target of a request; names of zones and upstreams have at most 1 KB."""
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Answers that a client may leave unread: two bodies of the largest size."""
MAX_PENDING_REQUESTS = 64
"""Requests on one connection that wait for the answer to an earlier one."""


class HttpRequest(Struct, frozen=True):
    """A complete request."""

    method: str
    path: str
    body: bytes


class HttpResponse(Struct, frozen=True):
    """A response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Body, of type ``content_type``.
    location : str
        Value of the Location header; omitted if empty.
    retry_after_s : int
        Value of the Retry-After header in seconds; omitted if 0.
    content_type : str
        Type of the body.
    """

    status: int
    body: bytes = b""
    location: str = ""
    retry_after_s: int = 0
    content_type: str = "application/json"


Respond = Callable[[HttpResponse], None]
Handle = Callable[[HttpRequest, Respond], None]


class HttpServer:
    """Accepts connections and passes requests to a handler.

    Parameters
    ----------
    loop : EventLoop
        The loop that watches the sockets.
    host, port : str, int
        Address to listen on; port 0 lets the kernel choose.
    handle : callable
        Called with each request and a function that sends the response, which
        may be called at once or later.
    counters : Counter
        Counts malformed requests, failed accepts and connections closed to make
        room.
    """

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        handle: Handle,
        counters: Counter[str],
    ) -> None:
        self.loop = loop
        self.handle = handle
        self.counters = counters
        self._connections: OrderedDict[Connection, None] = OrderedDict()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self.port = self._socket.getsockname()[1]
        loop.watch(self._socket, self._accept)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.loop.unwatch(self._socket)
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    def mark_used(self, connection: Connection) -> None:
        """Mark a connection as the most recently used."""
        self._connections.move_to_end(connection)

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError:
                self.counters["http_accept_errors"] += 1
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                self.counters["http_connections_closed_silent"] += 1
                next(iter(self._connections)).close()
            accepted.setblocking(False)
            self._connections[Connection(self, accepted)] = None


class Connection:
    """One connection, whose requests are answered in order."""

    __slots__ = (
        "_server",
        "_socket",
        "_parser",
        "_path",
        "_body",
        "_pending",
        "_is_handling",
        "_is_in_turn",
        "_is_closing",
        "_unsent",
        "_is_closed",
        "_too_large",
    )

    def __init__(self, server: HttpServer, accepted: socket.socket) -> None:
        self._server = server
        self._socket = accepted
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._body = bytearray()
        self._pending: list[HttpRequest | HttpResponse] = []
        self._is_handling = False
        self._is_in_turn = False
        self._is_closing = False
        self._is_closed = False
        self._too_large: HTTPStatus | None = None
        self._unsent = b""
        server.loop.watch(accepted, self._handle_ready)

    def close(self) -> None:
        """Close the connection."""
        if self._is_closed:
            return
        self._is_closed = True
        self._server.loop.unwatch(self._socket)
        self._socket.close()
        self._server.discard(self)

    # Callbacks of httptools.HttpRequestParser, which prescribes the names.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._path = b""
        self._body = bytearray()
        self._too_large = None

    def on_url(self, url: bytes) -> None:
        """Append a part of the path."""
        if len(self._path) + len(url) > MAX_URL_BYTES:
            self._too_large = HTTPStatus.REQUEST_URI_TOO_LONG
            return
        self._path += url

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._too_large = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        method = self._parser.get_method().decode("ascii", "replace")
        path = self._path.decode("utf-8", "replace")
        if not self._parser.should_keep_alive():
            self._is_closing = True
        body = bytes(self._body)
        if self._too_large is not None:
            self._pending.append(HttpResponse(self._too_large))
            return
        self._pending.append(HttpRequest(method, path, body))

    def _handle_ready(self) -> None:
        if self._unsent:
            self._flush()
        if self._is_closed:
            return
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._server.mark_used(self)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._server.counters["http_malformed"] += 1
            self._is_closing = True
            self._send(HttpResponse(HTTPStatus.BAD_REQUEST, b'{"error":"not HTTP"}'))
            return
        self._handle_next()
        if len(self._pending) > MAX_PENDING_REQUESTS:
            self._close_slow()

    def _handle_next(self) -> None:
        """Handle the requests that wait, until one is not answered at once."""
        if self._is_in_turn:
            return
        self._is_in_turn = True
        while self._pending and not self._is_handling and not self._is_closed:
            request = self._pending.pop(0)
            if isinstance(request, HttpResponse):
                self._send(request)
                continue
            self._is_handling = True
            self._server.handle(request, self._make_respond())
        self._is_in_turn = False

    def _make_respond(self) -> Respond:
        is_answered = False

        def respond(response: HttpResponse) -> None:
            nonlocal is_answered
            assert not is_answered, "request answered twice"
            is_answered = True
            self._is_handling = False
            self._send(response)

        return respond

    def _send(self, response: HttpResponse) -> None:
        if self._is_closed:
            return
        self._unsent += encode_response(response, self._is_closing)
        self._flush()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._close_slow()
            return
        self._handle_next()

    def _close_slow(self) -> None:
        """Close the connection of a client that sends faster than it reads."""
        if not self._is_closed:
            self._server.counters["http_connections_closed_slow"] += 1
        self.close()

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        self._server.loop.watch_writable(
            self._socket, self._handle_ready, bool(self._unsent)
        )
        if not self._unsent and self._is_closing and not self._pending:
            self.close()


def encode_response(response: HttpResponse, is_closing: bool) -> bytes:
    """Encode a response with its headers; a location is percent-encoded."""
    status = HTTPStatus(response.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    if response.body:
        lines.append(f"Content-Type: {response.content_type}")
    lines.append(f"Content-Length: {len(response.body)}")
    if response.location:
        lines.append(f"Location: {quote(response.location, safe=URL_CHARACTERS)}")
    if response.retry_after_s:
        lines.append(f"Retry-After: {response.retry_after_s}")
    if is_closing:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("ascii") + response.body
