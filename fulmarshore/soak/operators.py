"""Operators of a soak: they send configurations and zone orders, and read back.

Configurations are valid, conflicting (two contents under one version) or invalid.
"""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from random import Random
from urllib.parse import urlsplit

import msgspec

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.direct.records import Backend, Route, ServicePolicy, Table
from fulmarshore.platform.formatting import format_table
from fulmarshore.platform.orders import CONFIGURATION_PATH, ZONE_PATH
from fulmarshore.soak.invariants import InvariantChecker

SERVICE_HOST = "198.18.0.1"
DESK_PORT, STORE_PORT, MOVING_PORT = 443, 80, 8443
"""Ports of the routes; changes switch the last one between the two services."""
REQUEST_TIMEOUT_S = 1.0
"""How long an operator waits for an answer, a bound of the platform."""
ORDER_TIMEOUT_S = 25.0
RETRY_INTERVAL_S = 0.3
MAX_REDIRECTS = 2
READ_INTERVAL_S = 0.7
COLD_PER_S = 4.0


def send_request(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = REQUEST_TIMEOUT_S,
    redirects: int = 0,
) -> tuple[int, bytes]:
    """Send an HTTP request; return status and body, status 0 without a full answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        content = response.read()
        if response.status == HTTPStatus.TEMPORARY_REDIRECT and redirects:
            target = urlsplit(response.getheader("Location"))
            return send_request(
                target.hostname,
                target.port,
                method,
                target.path,
                body,
                timeout_s,
                redirects - 1,
            )
        return response.status, content
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def make_table(version: int, moving_service: str) -> Table:
    """Return a configuration whose moving route leads to the given service."""
    services = {DESK_PORT: "desk", STORE_PORT: "store", MOVING_PORT: moving_service}
    routes = tuple(
        Route(socket.inet_aton(SERVICE_HOST) + port.to_bytes(2), (Backend(service, 1),))
        for port, service in services.items()
    )
    policies = tuple(
        ServicePolicy(name, 2000, COLD_PER_S) for name in ("desk", "store")
    )
    return Table(0, version, routes, policies, 15.0)


class Operators:
    """Sends orders until they are accepted, and reads the configuration back.

    Parameters
    ----------
    controls : list of str
        Advertised addresses of the control hosts.
    port : int
        Port for orders on each of them.
    loop, pool : EventLoop, ThreadPoolExecutor
        The pool runs the requests, the loop the callbacks with their results.
    checks : InvariantChecker
        Checks the answers.
    now : callable
        Seconds since the start.
    random : Random
        Draws hosts and changes.
    """

    def __init__(
        self,
        controls: list[str],
        port: int,
        loop: EventLoop,
        pool: ThreadPoolExecutor,
        checks: InvariantChecker,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        self._controls = controls
        self._port = port
        self._loop = loop
        self._pool = pool
        self._checks = checks
        self._now = now
        self._random = random
        self._version = 0
        self._moving_service = "desk"
        self._zone = "c"
        self._is_stopped = False

    def send_change(self) -> None:
        """Send a configuration with a higher version."""
        self._version += self._random.randint(1, 4)
        if self._random.random() < 0.5:
            self._moving_service = "store" if self._moving_service == "desk" else "desk"
        self._send_configuration(self._version, self._moving_service)

    def send_conflicting(self) -> None:
        """Send two configurations with the same version at the same time."""
        self._version += 1
        for moving_service in ("desk", "store"):
            self._send_configuration(self._version, moving_service)

    def send_invalid(self) -> None:
        """Send a configuration that must be refused."""
        body = format_table(make_table(self._version + 1, "nobody"))
        if self._random.random() < 0.5:
            body = body[: self._random.randrange(len(body))]
        host = self._random.choice(self._controls)

        def call() -> None:
            status, _ = send_request(
                host,
                self._port,
                "PUT",
                CONFIGURATION_PATH,
                body,
                REQUEST_TIMEOUT_S,
                MAX_REDIRECTS,
            )
            self._run_on_loop(
                lambda: self._checks.check_invalid_answer(status, self._now())
            )

        self._pool.submit(call)

    def change_zone(self, is_out: bool) -> None:
        """Take an availability zone out of service, or back in."""
        if not is_out:
            self._checks.record_zone_change(self._zone, False, self._now())

        def on_accepted() -> None:
            if is_out:
                self._checks.record_zone_change(self._zone, True, self._now())

        method = "POST" if is_out else "DELETE"
        self._send_until_accepted(
            method, ZONE_PATH + self._zone, b"", on_accepted, lambda status: None
        )

    def read_periodically(self) -> None:
        """Read the configuration periodically from a random control host."""
        if self._is_stopped:
            return
        host = self._random.choice(self._controls)
        self._pool.submit(self._read_version, host)
        self._loop.call_later(READ_INTERVAL_S, self.read_periodically)

    def read_final_version(self) -> int | None:
        """Return the version read back at the end of the run, None without an answer.

        Blocks for up to `ORDER_TIMEOUT_S`, and stops all further orders and reads.
        """
        self._is_stopped = True
        deadline = time.monotonic() + ORDER_TIMEOUT_S
        while time.monotonic() < deadline:
            for host in self._controls:
                found = self._read_version(host)
                if found is not None:
                    return found
            time.sleep(RETRY_INTERVAL_S)
        return None

    def _send_configuration(self, version: int, moving_service: str) -> None:
        body = format_table(make_table(version, moving_service))
        self._checks.record_configuration(version, body)
        for port, service in (
            (DESK_PORT, "desk"),
            (STORE_PORT, "store"),
            (MOVING_PORT, moving_service),
        ):
            self._checks.allow_route(version, port, service)

        def on_accepted() -> None:
            self._checks.record_accepted(version, self._now())

        def on_answered(status: int) -> None:
            self._checks.check_refusal(version, status, self._now())

        self._send_until_accepted(
            "PUT", CONFIGURATION_PATH, body, on_accepted, on_answered
        )

    def _send_until_accepted(
        self,
        method: str,
        path: str,
        body: bytes,
        on_accepted: Callable[[], None],
        on_answered: Callable[[int], None],
    ) -> None:
        """Send an order to one host after the other until one accepts it."""
        hosts = self._random.sample(self._controls, len(self._controls))

        def call() -> None:
            deadline = time.monotonic() + ORDER_TIMEOUT_S
            attempt = 0
            while time.monotonic() < deadline and not self._is_stopped:
                host = hosts[attempt % len(hosts)]
                attempt += 1
                status, _ = send_request(
                    host,
                    self._port,
                    method,
                    path,
                    body,
                    REQUEST_TIMEOUT_S,
                    MAX_REDIRECTS,
                )
                if status == HTTPStatus.OK:
                    self._run_on_loop(on_accepted)
                    return
                self._run_on_loop(lambda status=status: on_answered(status))
                time.sleep(RETRY_INTERVAL_S)

        self._pool.submit(call)

    def _read_version(self, host: str) -> int | None:
        asked_at = self._now()
        status, content = send_request(
            host,
            self._port,
            "GET",
            CONFIGURATION_PATH,
            b"",
            REQUEST_TIMEOUT_S,
            MAX_REDIRECTS,
        )
        if status != HTTPStatus.OK:
            return None
        version = msgspec.json.decode(content)["version"]
        self._run_on_loop(
            lambda: self._checks.check_read(version, content, asked_at, self._now())
        )
        return version

    def _run_on_loop(self, callback: Callable[[], None]) -> None:
        self._loop.call_from_thread(callback)
