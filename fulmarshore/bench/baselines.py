"""Baselines for the spread of flows: a plain hash and the better of two choices."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.routing.table import ServiceTable
from fulmarshore.standins.routing import CALLER_HOST


class TwoChoiceBalancer:
    """Places each flow at the less loaded of its first two ranked upstreams.

    Loads are known exactly.

    Parameters
    ----------
    table : ServiceTable
        Ranks the upstreams for each bucket.
    port_step : int
        Added to a caller's port when it opens a new flow in place of an old one.
    """

    __slots__ = ("_table", "_port_step", "_owners", "_loads")

    def __init__(self, table: ServiceTable, port_step: int) -> None:
        self._table = table
        self._port_step = port_step
        self._owners: dict[int, str] = {}
        self._loads: Counter[str] = Counter()

    def open(self, port: int, drained: str = "") -> None:
        """Open a flow at an upstream other than the drained one."""
        ranking = [name for name in _rank_names(self._table, port) if name != drained]
        owner = min(ranking[:2], key=lambda name: self._loads[name])
        self._owners[port] = owner
        self._loads[owner] += 1

    def replace(self, ports: list[int], drained: str = "") -> None:
        """End flows, and open a new one in place of each."""
        for port in ports:
            self._loads[self._owners.pop(port)] -= 1
            self.open(port + self._port_step, drained)

    def list_flows(self, owner: str) -> list[int]:
        """Return the ports of the flows of an upstream."""
        return [port for port, name in self._owners.items() if name == owner]

    def list_open(self) -> list[int]:
        """Return the ports of all flows."""
        return list(self._owners)

    def find_spread(self) -> float:
        """Return the highest load over the mean."""
        mean = len(self._owners) / len(self._table.members)
        return round(max(self._loads.values()) / mean, 4)


def spread_by_hash(table: ServiceTable, ports: Sequence[int]) -> float:
    """Return the spread where the first ranked upstream gets every flow."""
    hashed = Counter(_rank_names(table, port)[0] for port in ports)
    return round(max(hashed.values()) * len(table.members) / len(ports), 4)


def spread_by_two_choices(
    table: ServiceTable, ports: Sequence[int], drained: str, port_step: int
) -> tuple[float, float]:
    """Return the spread after all flows opened, and after a drain and return."""
    balancer = TwoChoiceBalancer(table, port_step)
    for port in ports:
        balancer.open(port)
    steady = balancer.find_spread()
    balancer.replace(balancer.list_flows(drained), drained)
    open_now = balancer.list_open()
    Random(ports[0]).shuffle(open_now)
    balancer.replace(open_now)
    return steady, balancer.find_spread()


def _rank_names(table: ServiceTable, port: int) -> tuple[str, ...]:
    flow = hash_flow(table.service.name, CALLER_HOST, port)
    return tuple(member.name for member in table.get_ranking(find_bucket(flow)))
