"""A listening TCP socket that accepts stream connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from fulmarshore.adapters.streams import StreamConnection
from fulmarshore.core.records import Address

BACKLOG = 1024


class Listener:
    """A listening socket that accepts stream connections.

    The address is bound by the constructor; connections are accepted once the
    event loop runs.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 lets the kernel choose.
    on_connected : callable
        Called with each accepted connection.
    connection_type : type
        Protocol class of the connections.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        on_connected: Callable[[StreamConnection], None],
        connection_type: type[StreamConnection] = StreamConnection,
    ) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        self.address = Address(*sock.getsockname()[:2])
        self._socket = sock
        self._server: asyncio.Server | None = None
        self._on_connected = on_connected
        self._connection_type = connection_type
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        self._task.cancel()
        if self._server is not None:
            self._server.close()
        self._socket.close()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._connection_type(self._on_connected), sock=self._socket
        )
