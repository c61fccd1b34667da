"""Creates the keys of a test deployment."""

from __future__ import annotations

import os
from collections.abc import Iterable

from fulmarshore.adapters.keys import (
    RING_SECRET_BYTES,
    KeyFolder,
    KeyRing,
    add_ring_key,
    make_key_name,
)
from fulmarshore.core.records import Address, KeyRole


def make_keys(
    folder: KeyFolder, controls: Iterable[Address], operators: Iterable[str]
) -> None:
    """Create the keys of control hosts and operators, and the key ring."""
    for address in controls:
        folder.add_pair(KeyRole.CONTROL, make_key_name(address))
    for operator in operators:
        folder.add_pair(KeyRole.OPERATOR, operator)
    secret = os.urandom(RING_SECRET_BYTES).hex()
    folder.write_ring(add_ring_key(KeyRing(()), secret, 0.0))
