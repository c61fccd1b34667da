"""Callers of the demo that download over TCP through any entry host.

They check the content, and take the part of the fabric: they write the PROXY
header themselves.
"""

from __future__ import annotations

import asyncio
import hashlib
import socket
from random import Random

from msgspec import Struct

from fulmarshore.adapters.proxy import encode_header
from fulmarshore.core.records import Address
from fulmarshore.standins.streams import make_bytes

STALL_TIMEOUT_S = 10.0
PAUSE_S = 0.2
READ_BYTES = 65_536


class LostDownload(Struct, frozen=True):
    """A download that ended before its last byte.

    Parameters
    ----------
    entry : Address
        The entry host that relayed it.
    upstream : str
        Name of the upstream that served it.
    at : float
        When it ended, in seconds of the event loop's clock.
    """

    entry: Address
    upstream: str
    at: float


class DownloadCaller:
    """Downloads one file after the other, each through a random entry host.

    Parameters
    ----------
    service : Address
        The service's address.
    name : str
        Name of the service.
    entries : list of Address
        The service's addresses at the entry hosts; may change during the run.
    size : int
        Size of the file, in bytes.
    random : Random
        Chooses the entry hosts.
    """

    def __init__(
        self,
        service: Address,
        name: str,
        entries: list[Address],
        size: int,
        random: Random,
    ) -> None:
        self.asked = 0
        self.whole = 0
        self.wrong = 0
        self.not_run = 0
        self.unanswered = 0
        self.lost: list[LostDownload] = []
        self._service = service
        self._name = name
        self._entries = entries
        self._size = size
        self._random = random
        self._digest = hashlib.sha256(make_bytes(size)).digest()
        self._loop = asyncio.get_running_loop()

    async def run(self, until: float) -> None:
        """Download until a time of the event loop; the last one is completed."""
        while self._loop.time() < until:
            entry = self._random.choice(self._entries)
            self.asked += 1
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*entry), STALL_TIMEOUT_S
                )
            except (OSError, TimeoutError):
                self.not_run += 1
                await asyncio.sleep(PAUSE_S)
                continue
            await self._download(entry, reader, writer)
            writer.transport.abort()
            await asyncio.sleep(PAUSE_S)

    async def _download(
        self,
        entry: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = Address(*writer.get_extra_info("sockname")[:2])
        header = encode_header(caller, self._service, socket.SOCK_STREAM)
        upstream = ""
        digest = hashlib.sha256()
        left = self._size
        try:
            writer.write(header + f"FILE {self._name} {self._size}\n".encode())
            async with asyncio.timeout(STALL_TIMEOUT_S):
                upstream = (await reader.readuntil(b"\n")).decode().strip()
            while True:
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    chunk = await reader.read(READ_BYTES)
                if not chunk:
                    break
                digest.update(chunk)
                left -= len(chunk)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._record_loss(entry, upstream)
            return
        if left > 0:
            self._record_loss(entry, upstream)
            return
        is_whole = digest.digest() == self._digest
        self.whole += is_whole
        self.wrong += not is_whole

    def _record_loss(self, entry: Address, upstream: str) -> None:
        if not upstream:
            self.unanswered += 1
            return
        self.lost.append(LostDownload(entry, upstream, self._loop.time()))
