"""Authentication and encryption of the control links with ZeroMQ CURVE."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from fulmarshore.adapters.keys import KeyFolder, KeyPair, KeyProblem, make_key_name
from fulmarshore.core.records import Address, KeyOwner, KeyRole

USER_ID = "User-Id"
"""ZeroMQ message property that holds the peer's public key."""


class LinkSecurity:
    """The keys of this process on its control links.

    Parameters
    ----------
    folder : KeyFolder
        Folder with the keys of the peers.
    pair : KeyPair
        This process's own key pair.
    """

    def __init__(self, folder: KeyFolder, pair: KeyPair) -> None:
        self.folder = folder
        self._pair = pair

    def secure_client(self, sock: zmq.Socket, address: Address) -> KeyProblem | None:
        """Encrypt a client socket and pin the key of the control host at an address."""
        name = make_key_name(address)
        public = self.folder.read_public(KeyRole.CONTROL, name)
        if isinstance(public, KeyProblem):
            return public
        sock.curve_publickey = self._pair.public
        sock.curve_secretkey = self._pair.secret
        sock.curve_serverkey = public.public
        return None

    def secure_server(self, sock: zmq.Socket) -> None:
        """Make a server socket accept encrypted links only."""
        sock.curve_secretkey = self._pair.secret
        sock.curve_publickey = self._pair.public
        sock.curve_server = True

    def start_authenticator(self, context: zmq.asyncio.Context) -> AsyncioAuthenticator:
        """Start the authenticator, which lets in links of known keys only."""
        authenticator = AsyncioAuthenticator(context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=self)
        return authenticator

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key may open a link; called by the authenticator."""
        return self.folder.find_owner(key) is not None

    def find_owner(self, frame: zmq.Frame) -> KeyOwner | None:
        """Return the owner of the link of a frame; None once its key is removed."""
        return self.folder.find_owner(frame.get(USER_ID).encode())


def load_security(
    folder: KeyFolder, role: KeyRole, name: str
) -> LinkSecurity | KeyProblem:
    """Read the key pair of this process."""
    pair = folder.read_pair(role, name)
    if isinstance(pair, KeyProblem):
        return pair
    return LinkSecurity(folder, pair)


def find_exposed(addresses: Iterable[Address]) -> list[Address]:
    """Return the addresses that are not on the loopback interface."""
    exposed = []
    for address in addresses:
        if not ipaddress.ip_address(address.host).is_loopback:
            exposed.append(address)
    return exposed
