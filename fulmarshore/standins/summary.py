"""What a run of the demo saw, and whether every promise was kept."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from fulmarshore.standins.orders import OrderTally

ZONE_OUT_BOUND_S = 3.0


class FeedRow(Struct):
    """What became of the flows of a service of feeds.

    Parameters
    ----------
    opened, broken, given_up, refused : int
        Flows: with a first answer, ended, ended in the zone taken out,
        without any answer.
    misdelivered : int
        Packets that reached another service, and foreign answers.
    max_mean : float
        Flows of the fullest upstream over the mean.
    """

    opened: int = 0
    broken: int = 0
    given_up: int = 0
    refused: int = 0
    misdelivered: int = 0
    max_mean: float = 0.0


class KindRow(Struct):
    """What became of the work of one kind.

    Parameters
    ----------
    asked, answered, not_run, unknown : int
        Feeds, downloads or orders, and their outcomes. A feed is answered
        that stayed to the end; a download that ended before its first byte
        is unknown.
    ran_twice, false_not_run : int
        Orders that ran more than once, or although they were told not to.
    given_up : int
        Ended with the zone that was taken out or, for downloads, with the
        entry host that was killed.
    broken : int
        All others that ended early, and wrong or foreign answers.
    """

    asked: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    ran_twice: int = 0
    false_not_run: int = 0
    given_up: int = 0
    broken: int = 0

    def is_kept(self) -> bool:
        """Return whether every promise about this kind was kept."""
        if not self.answered:
            return False
        return not (self.ran_twice or self.false_not_run or self.broken)


class DemoSummary:
    """What the demo saw, by service of feeds, by kind of work, and in all."""

    def __init__(self) -> None:
        self.feeds: dict[str, FeedRow] = {}
        self.kinds: dict[str, KindRow] = {}
        self.last_packet_s = 0.0
        self.new_after_drain = 0

    def add_feeds(self, held: int) -> None:
        """Add the kind of feeds from their services' rows.

        Parameters
        ----------
        held : int
            Feeds that were open at the end.
        """
        kind = KindRow(answered=held)
        for row in self.feeds.values():
            kind.asked += row.opened + row.refused
            kind.unknown += row.refused
            kind.given_up += row.given_up
            kind.broken += row.broken + row.misdelivered
        self.kinds["feed"] = kind

    def add_orders(self, tally: OrderTally, misdelivered: int) -> None:
        """Add the kind of orders."""
        self.kinds["order"] = KindRow(
            tally.asked,
            tally.answered,
            tally.not_run,
            tally.unknown,
            tally.ran_twice,
            tally.false_not_run,
            0,
            tally.wrong + misdelivered,
        )

    def to_builtins(self) -> dict[str, Any]:
        """Return the summary as plain values."""
        return {
            "services": {name: _list_fields(row) for name, row in self.feeds.items()},
            "kinds": {name: _list_fields(row) for name, row in self.kinds.items()},
            "last_packet_s": self.last_packet_s,
            "new_after_drain": self.new_after_drain,
            "kept": self.is_kept(),
        }

    def is_kept(self) -> bool:
        """Return whether every promise was kept."""
        if not self.feeds or not self.kinds or self.new_after_drain:
            return False
        if not all(row.opened for row in self.feeds.values()):
            return False
        if not all(kind.is_kept() for kind in self.kinds.values()):
            return False
        return self.last_packet_s <= ZONE_OUT_BOUND_S


def list_table(rows: dict[str, Struct], head: str) -> list[tuple[Any, ...]]:
    """Return the header and the rows of a table."""
    first = next(iter(rows.values()))
    headers = [name.replace("_", " ") for name in first.__struct_fields__]
    table: list[tuple[Any, ...]] = [(head, *headers)]
    for name, row in rows.items():
        table.append((name, *_list_fields(row).values()))
    return table


def _list_fields(row: Struct) -> dict[str, Any]:
    return {name: getattr(row, name) for name in row.__struct_fields__}
