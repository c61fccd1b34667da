"""What flows are spread by elsewhere: a hash, and the better of two choices."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.routing.table import ServiceTable
from fulmarshore.standins.routing import CALLER_HOST


class Choices:
    """The better of the first two of each row, with loads known exactly.

    Parameters
    ----------
    table : ServiceTable
        The rows.
    port_step : int
        What a flow's port is raised by when it is opened anew.
    """

    __slots__ = ("_table", "_port_step", "_owners", "_loads")

    def __init__(self, table: ServiceTable, port_step: int) -> None:
        self._table = table
        self._port_step = port_step
        self._owners: dict[int, str] = {}
        self._loads: Counter[str] = Counter()

    def open(self, port: int, drained: str = "") -> None:
        """Open a flow at an upstream that is not drained."""
        row = [name for name in _get_row(self._table, port) if name != drained]
        owner = min(row[:2], key=lambda name: self._loads[name])
        self._owners[port] = owner
        self._loads[owner] += 1

    def replace(self, ports: list[int], drained: str = "") -> None:
        """End flows, and open a new one in place of each."""
        for port in ports:
            self._loads[self._owners.pop(port)] -= 1
            self.open(port + self._port_step, drained)

    def list_flows(self, owner: str) -> list[int]:
        """Return the flows of an upstream."""
        return [port for port, name in self._owners.items() if name == owner]

    def list_open(self) -> list[int]:
        """Return all flows."""
        return list(self._owners)

    def find_spread(self) -> float:
        """Return the highest load over the mean."""
        mean = len(self._owners) / len(self._table.members)
        return round(max(self._loads.values()) / mean, 4)


def spread_by_hash(table: ServiceTable, ports: Sequence[int]) -> float:
    """Return the spread where the first of each row gets all its flows."""
    hashed = Counter(_get_row(table, port)[0] for port in ports)
    return round(max(hashed.values()) * len(table.members) / len(ports), 4)


def spread_by_choice(
    table: ServiceTable, ports: Sequence[int], drained: str, port_step: int
) -> tuple[float, float]:
    """Return the spread after the opening, and after a drain and return."""
    choices = Choices(table, port_step)
    for port in ports:
        choices.open(port)
    steady = choices.find_spread()
    choices.replace(choices.list_flows(drained), drained)
    open_now = choices.list_open()
    Random(ports[0]).shuffle(open_now)
    choices.replace(open_now)
    return steady, choices.find_spread()


def _get_row(table: ServiceTable, port: int) -> tuple[str, ...]:
    flow = hash_flow(table.service.name, CALLER_HOST, port)
    return tuple(member.name for member in table.get_ranking(find_bucket(flow)))
