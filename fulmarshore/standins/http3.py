"""An HTTP/3 upstream and client on aioquic, for tests of QUIC over the balancer."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime, timedelta

from aioquic.asyncio import QuicConnectionProtocol, serve
from aioquic.asyncio.server import QuicServer
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, ProtocolNegotiated, QuicEvent
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.x509.oid import NameOID

from fulmarshore.core.records import Address
from fulmarshore.standins.streams import make_bytes

HOST_NAME = "upstream.test"
FEED_INTERVAL_S = 0.02
IDLE_TIMEOUT_S = 30.0
LIFETIME = timedelta(days=1)


class Certificate:
    """A self-signed certificate for one run."""

    def __init__(self) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, HOST_NAME)])
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(self.key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFETIME)
            .not_valid_after(now + LIFETIME)
            .add_extension(
                x509.SubjectAlternativeName([x509.DNSName(HOST_NAME)]), False
            )
        )
        self.certificate = builder.sign(self.key, hashes.SHA256())

    def configure_server(self) -> QuicConfiguration:
        """Return the configuration of an upstream."""
        configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
        configuration.certificate = self.certificate
        configuration.private_key = self.key
        configuration.idle_timeout = IDLE_TIMEOUT_S
        return configuration

    def configure_client(self) -> QuicConfiguration:
        """Return the configuration of a client that trusts only this certificate."""
        configuration = QuicConfiguration(is_client=True, alpn_protocols=H3_ALPN)
        configuration.server_name = HOST_NAME
        configuration.idle_timeout = IDLE_TIMEOUT_S
        pem = self.certificate.public_bytes(Encoding.PEM)
        configuration.load_verify_locations(cadata=pem)
        return configuration


class _Protocol(QuicConnectionProtocol):
    """HTTP/3 on one connection."""

    http: H3Connection | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, ProtocolNegotiated):
            self.http = H3Connection(self._quic)
        if isinstance(event, ConnectionTerminated):
            self.handle_termination()
        if self.http is None:
            return
        for found in self.http.handle_event(event):
            self.handle_http_event(found)

    def handle_http_event(self, event: H3Event) -> None:
        """Process an HTTP event of the connection."""

    def handle_termination(self) -> None:
        """Process the termination of the connection."""


class Http3Upstream:
    """Serves ``/N`` with N bytes, and ``/feed`` with endless numbered lines."""

    def __init__(self, certificate: Certificate) -> None:
        self.connections = 0
        self._certificate = certificate
        self._server: QuicServer | None = None
        self.feeds: set[asyncio.Task[None]] = set()

    async def open(self) -> Address:
        """Serve on a free port and return the address."""
        upstream = self

        class ServerProtocol(_Protocol):
            def handle_http_event(self, event: H3Event) -> None:
                if isinstance(event, HeadersReceived):
                    upstream._answer(self, event)

        configuration = self._certificate.configure_server()
        self._server = await serve(
            "127.0.0.1", 0, configuration=configuration, create_protocol=ServerProtocol
        )
        return Address(*self._server._transport.get_extra_info("sockname")[:2])

    def close(self) -> None:
        """End all feeds and connections."""
        for task in self.feeds:
            task.cancel()
        self._server.close()

    def _answer(self, protocol: _Protocol, event: HeadersReceived) -> None:
        path = dict(event.headers)[b":path"].decode().strip("/")
        stream = event.stream_id
        protocol.http.send_headers(stream, [(b":status", b"200")])
        if path == "feed":
            self.connections += 1
            loop = asyncio.get_running_loop()
            self.feeds.add(loop.create_task(_feed(protocol, stream)))
            return
        protocol.http.send_data(stream, make_bytes(int(path)), True)
        protocol.transmit()


class Http3Client(_Protocol):
    """A client with one connection and any number of requests."""

    def __init__(self, *arguments: object, **more: object) -> None:
        super().__init__(*arguments, **more)
        self.bodies: dict[int, bytearray] = {}
        self.complete: set[int] = set()
        self.is_ended = False

    def get(self, path: str) -> int:
        """Send a request and return its stream id."""
        stream = self._quic.get_next_available_stream_id()
        self.bodies[stream] = bytearray()
        headers = [
            (b":method", b"GET"),
            (b":scheme", b"https"),
            (b":authority", HOST_NAME.encode()),
            (b":path", path.encode()),
        ]
        self.http.send_headers(stream, headers, True)
        self.transmit()
        return stream

    def handle_http_event(self, event: H3Event) -> None:
        """Collect the bodies."""
        if isinstance(event, DataReceived):
            self.bodies[event.stream_id] += event.data
        if getattr(event, "stream_ended", False):
            self.complete.add(event.stream_id)

    def handle_termination(self) -> None:
        """Record that the connection has ended."""
        self.is_ended = True


async def _feed(protocol: _Protocol, stream: int) -> None:
    number = 0
    while True:
        protocol.http.send_data(stream, f"{number}\n".encode(), False)
        protocol.transmit()
        number += 1
        await asyncio.sleep(FEED_INTERVAL_S)
