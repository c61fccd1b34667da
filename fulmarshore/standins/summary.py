"""Results of a run of the demo, and whether every guarantee was kept."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from fulmarshore.standins.orders import OrderTally

ZONE_OUT_BOUND_S = 3.0


class FeedRow(Struct):
    """Counts of the flows of a feed service.

    Parameters
    ----------
    opened, broken, given_up, refused : int
        Flows that got a first answer, that were broken, that ended because
        their zone was taken out, and that got no answer.
    misdelivered : int
        Packets that reached another service, and answers of another service.
    max_mean : float
        Flows of the most loaded upstream divided by the mean.
    """

    opened: int = 0
    broken: int = 0
    given_up: int = 0
    refused: int = 0
    misdelivered: int = 0
    max_mean: float = 0.0


class KindRow(Struct):
    """Counts of the work of one kind.

    Parameters
    ----------
    asked, answered, not_run, unknown : int
        Feeds, downloads or orders, and their outcomes. A feed counts as
        answered if it was open at the end; a download that ended before its
        first byte counts as unknown.
    ran_twice, false_not_run : int
        Orders that ran more than once, or that ran but were reported as not run.
    given_up : int
        Work that ended because its zone was taken out or, for downloads,
        because its entry host was killed.
    broken : int
        All other work that ended early, and wrong answers.
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
        """Return whether every guarantee for this kind was kept."""
        if not self.answered:
            return False
        return not (self.ran_twice or self.false_not_run or self.broken)


class DemoSummary:
    """Results of the demo, by feed service, by kind of work, and overall."""

    def __init__(self) -> None:
        self.feeds: dict[str, FeedRow] = {}
        self.kinds: dict[str, KindRow] = {}
        self.last_packet_s = 0.0
        self.new_after_drain = 0

    def add_feeds(self, held: int) -> None:
        """Add the row of feeds, summed over the rows of their services.

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
        """Add the row of orders."""
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
        """Return whether every guarantee was kept."""
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
