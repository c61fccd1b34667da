"""The key folder: key pairs of the control links and the key ring of the data path.

The folder holds a key pair per owner: ``control/HOST_PORT``, named by the link
address, ``process/NAME`` and ``operator/NAME``, each as ``.key`` (public) and
``.key_secret``. ``data.ring`` holds the keys that seal datagrams. A host needs
its own secret file, the ring and public files: a control host needs those of all
owners, every other host those of the control hosts.
"""

from __future__ import annotations

import os
import stat
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import zmq.auth
from msgspec import Struct

from fulmarshore.core.records import Address, KeyOwner, KeyRole

RING_FILE = "data.ring"
RING_SECRET_BYTES = 32
MAX_RING_ID = 255
FORBIDDEN_MODE = 0o077
REFRESH_INTERVAL_S = 1.0
SCAN_INTERVAL_S = 10.0
"""Interval of checks for key files that were overwritten in place."""


class KeyPair(Struct, frozen=True):
    """A public key and its secret key in Z85; the secret is None for a peer's."""

    public: bytes
    secret: bytes | None


class RingKey(Struct, frozen=True):
    """A key of the data path.

    Parameters
    ----------
    number : int
        Number of the key, 0 to 255, that each sealed datagram carries.
    secret : str
        The key in hexadecimal.
    send_after : float
        Earliest time of use for sending, in seconds since the epoch.
    """

    number: int
    secret: str
    send_after: float = 0.0


class KeyRing(Struct, frozen=True):
    """The valid keys of the data path."""

    keys: tuple[RingKey, ...]


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """The reason why a key cannot be used."""

    step: str
    peer: str
    path: str
    detail: str

    def __str__(self) -> str:
        """Return the problem as one readable line."""
        return f"{self.path}: {self.detail}"


class KeyFolder:
    """Reads and writes the files of a key folder."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._owners: dict[bytes, KeyOwner] = {}
        self._modified_times: tuple[int, ...] = ()
        self._file_modified_times: tuple[int, ...] = ()
        self._read_at = float("-inf")
        self._scanned_at = float("-inf")

    def get_key_path(self, role: KeyRole, name: str, secret: bool) -> Path:
        """Return the path of a public or secret key."""
        suffix = "key_secret" if secret else "key"
        return self.path / role / f"{name}.{suffix}"

    def read_pair(self, role: KeyRole, name: str) -> KeyPair | KeyProblem:
        """Read this host's own key pair."""
        return self._read_certificate(self.get_key_path(role, name, True), True)

    def read_public(self, role: KeyRole, name: str) -> KeyPair | KeyProblem:
        """Read the public key of a peer."""
        return self._read_certificate(self.get_key_path(role, name, False), False)

    def add_pair(self, role: KeyRole, name: str) -> Path | KeyProblem:
        """Create a key pair; an existing one is never overwritten."""
        file = self.get_key_path(role, name, True)
        if file.exists():
            return KeyProblem("add_pair", name, str(file), "exists already")
        file.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        previous = os.umask(FORBIDDEN_MODE)
        try:
            zmq.auth.create_certificates(file.parent, name)
        finally:
            os.umask(previous)
        os.chmod(self.get_key_path(role, name, False), 0o644)
        return file

    def find_owner(self, public: bytes) -> KeyOwner | None:
        """Return the owner of a public key; None if the key is unknown.

        The files are read again when the modification time of a folder changes:
        an added key is valid at once, a removed one is invalid after
        ``REFRESH_INTERVAL_S``. A file that is overwritten in place does not
        change its folder; it takes effect after ``SCAN_INTERVAL_S``.
        """
        now = time.monotonic()
        is_known = public in self._owners
        if not is_known or now - self._read_at >= REFRESH_INTERVAL_S:
            self._read_at = now
            modified_times = self._read_modified_times(now)
            if modified_times != self._modified_times:
                self._modified_times = modified_times
                self._owners = self._load_owners()
        return self._owners.get(public)

    def read_ring(self) -> KeyRing | KeyProblem:
        """Read and check the key ring of the data path."""
        file = self.path / RING_FILE
        problem = check_mode(file)
        if problem is not None:
            return problem
        try:
            ring = msgspec.json.decode(file.read_bytes(), type=KeyRing)
        except (OSError, msgspec.MsgspecError, RecursionError) as error:
            return KeyProblem("read_ring", "", str(file), str(error))
        return _check_ring(ring, file)

    def write_ring(self, ring: KeyRing) -> None:
        """Replace the key ring of the data path atomically."""
        file = self.path / RING_FILE
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        temporary = file.with_suffix(".new")
        temporary.unlink(missing_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(temporary, flags, 0o600), "wb") as target:
            target.write(msgspec.json.format(msgspec.json.encode(ring)))
            target.flush()
            os.fsync(target.fileno())
        os.replace(temporary, file)

    def _read_modified_times(self, now: float) -> tuple[int, ...]:
        folders = [self.path / role for role in KeyRole]
        if now - self._scanned_at >= SCAN_INTERVAL_S:
            self._scanned_at = now
            files = [file for folder in folders for file in folder.glob("*.key")]
            self._file_modified_times = tuple(
                _read_modified_time(file) for file in sorted(files)
            )
        return (
            *(_read_modified_time(folder) for folder in folders),
            *self._file_modified_times,
        )

    def _load_owners(self) -> dict[bytes, KeyOwner]:
        owners: dict[bytes, KeyOwner] = {}
        for role in KeyRole:
            for file in sorted((self.path / role).glob("*.key")):
                pair = self._read_certificate(file, False)
                if isinstance(pair, KeyPair):
                    owners[pair.public] = KeyOwner(role, file.name.removesuffix(".key"))
        return owners

    def _read_certificate(self, file: Path, secret: bool) -> KeyPair | KeyProblem:
        if secret:
            problem = check_mode(file)
            if problem is not None:
                return problem
        try:
            public, private = zmq.auth.load_certificate(file)
        except (OSError, ValueError) as error:
            return KeyProblem("read_pair", "", str(file), str(error))
        if secret and private is None:
            return KeyProblem("read_pair", "", str(file), "holds no secret key")
        return KeyPair(public, private)


def check_mode(file: Path) -> KeyProblem | None:
    """Return a problem unless the file exists and only its owner can access it."""
    try:
        mode = stat.S_IMODE(file.stat().st_mode)
    except OSError as error:
        text = error.strerror or str(error)
        return KeyProblem("check_mode", "", str(file), text)
    if mode & FORBIDDEN_MODE:
        text = f"mode {mode:04o}: allowed is 0600, run chmod 600"
        return KeyProblem("check_mode", "", str(file), text)
    return None


def make_key_name(address: Address) -> str:
    """Return the file name, without suffix, of a control host's keys."""
    return f"{address.host}_{address.port}".replace(":", "-")


def add_ring_key(ring: KeyRing, secret: str, send_after: float) -> KeyRing:
    """Return the ring with a further key, numbered one above the last, modulo 256.

    A key that has that number already is replaced.
    """
    newest = ring.keys[-1].number if ring.keys else -1
    number = (newest + 1) % (MAX_RING_ID + 1)
    remaining = tuple(key for key in ring.keys if key.number != number)
    return KeyRing((*remaining, RingKey(number, secret, send_after)))


def _check_ring(ring: KeyRing, file: Path) -> KeyRing | KeyProblem:
    numbers = [key.number for key in ring.keys]
    if not numbers:
        return KeyProblem("read_ring", "", str(file), "holds no key")
    if len(set(numbers)) != len(numbers):
        return KeyProblem("read_ring", "", str(file), "uses a key number twice")
    for key in ring.keys:
        label = f"key {key.number}"
        if not 0 <= key.number <= MAX_RING_ID:
            text = f"{label}: allowed is 0 to {MAX_RING_ID}"
            return KeyProblem("read_ring", "", str(file), text)
        try:
            size = len(bytes.fromhex(key.secret))
        except ValueError:
            size = -1
        if size != RING_SECRET_BYTES:
            text = f"{label}: allowed are {RING_SECRET_BYTES} bytes in hexadecimal"
            return KeyProblem("read_ring", "", str(file), text)
    return ring


def _read_modified_time(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
