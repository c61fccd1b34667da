"""The flows that an agent owns and the directory of the flows it is home of."""

from __future__ import annotations

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Address, OwnedFlow


class Flow:
    """A flow that this agent's upstream serves."""

    __slots__ = ("key", "caller", "entry", "entry_address", "last_active")

    def __init__(
        self, key: bytes, caller: Address, entry: str, address: Address, now: float
    ) -> None:
        self.key = key
        self.caller = caller
        self.entry = entry
        self.entry_address = address
        self.last_active = now


class Directory:
    """Owners of the flows in the buckets that an agent is home of."""

    __slots__ = ("_owners",)

    def __init__(self) -> None:
        self._owners: dict[bytes, OwnedFlow] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def find(self, flow: bytes) -> OwnedFlow | None:
        """Return the remembered owner of a flow."""
        return self._owners.get(flow)

    def remember(self, owned: OwnedFlow) -> None:
        """Remember the owner of a flow."""
        self._owners[owned.flow] = owned

    def forget(self, flow: bytes) -> None:
        """Forget a flow, if it is known."""
        self._owners.pop(flow, None)

    def list_buckets(self, buckets: set[int]) -> list[OwnedFlow]:
        """Return the remembered flows in some buckets."""
        found = []
        for owned in self._owners.values():
            if find_bucket(owned.flow) not in buckets:
                continue
            found.append(owned)
        return found
