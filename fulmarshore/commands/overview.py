"""What all control hosts together know, as rows for a person or for JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fulmarshore.core.records import (
    Drain,
    EntryHost,
    Member,
    MemberState,
    ProcessStatus,
    Service,
    StatusReply,
    Zone,
)
from fulmarshore.membership.view import View, apply_delta

HEADERS = {
    "control hosts": ("name", "disk", "state", "term", "in step to", "heard"),
    "zones": ("name", "state", "entry hosts", "upstreams"),
    "services": ("name", "profile", "address", "protocol", "accepting", "not"),
    "entry hosts": ("name", "zone", "address", "version", "heard"),
    "upstreams": ("name", "service", "zone", "address", "state", "version", "heard"),
}
SUMMARY_HEADERS = (
    "region",
    "leader",
    "version",
    "in force",
    "entry hosts",
    "upstreams",
    "zones out",
    "not well",
)


@dataclass(frozen=True, slots=True)
class Overview:
    """The answers of all control hosts, merged.

    Parameters
    ----------
    view : View
        The newest view that any of them has.
    replies : tuple of StatusReply
        The answers.
    silent : tuple of str
        Control hosts that did not answer.
    processes : dict of str to ProcessStatus
        The newest that any of them heard of each process, by name.
    """

    view: View
    replies: tuple[StatusReply, ...]
    silent: tuple[str, ...]
    processes: dict[str, ProcessStatus]

    @property
    def region(self) -> str:
        """Name of the region, as the control hosts tell it; may be empty."""
        return next((reply.region for reply in self.replies if reply.region), "")

    def list_stale(self, version: int) -> list[str]:
        """Return live processes that are not known to have a version in force."""
        stale = []
        for held in self.view.items.values():
            if not isinstance(held.item, Member | EntryHost):
                continue
            heard = self.processes.get(held.item.name)
            known = heard is not None and heard.version >= version
            if known and heard.identity.incarnation == held.item.incarnation:
                continue
            stale.append(held.item.name)
        return sorted(stale)

    def count_live(self) -> int:
        """Return how many processes hold a lease."""
        live = 0
        for held in self.view.items.values():
            live += isinstance(held.item, Member | EntryHost)
        return live


def merge_replies(replies: list[StatusReply], silent: list[str]) -> Overview:
    """Merge the answers of the control hosts."""
    view = View()
    processes: dict[str, ProcessStatus] = {}
    for reply in replies:
        newer, _ = apply_delta(view, reply.view)
        view = newer
        for process in reply.processes:
            held = processes.get(process.identity.name)
            if held is None or _rank(process) > _rank(held):
                processes[process.identity.name] = process
    return Overview(view, tuple(replies), tuple(silent), processes)


def list_tables(overview: Overview) -> dict[str, list[tuple[Any, ...]]]:
    """Return the rows of every table, under the keys of ``HEADERS``."""
    tables: dict[str, list[tuple[Any, ...]]] = {name: [] for name in HEADERS}
    newest = max(overview.replies, key=lambda reply: (reply.term, reply.commit))
    for replica in newest.replicas:
        row = (
            replica.replica.name,
            replica.replica.disk,
            replica.role,
            newest.term,
            replica.match,
            f"{replica.age:.1f} s",
        )
        tables["control hosts"].append(row)
    for key in sorted(overview.view.items):
        match overview.view.items[key].item:
            case Zone() as zone:
                tables["zones"].append(_describe_zone(overview.view, zone))
            case Service() as service:
                tables["services"].append(_describe_service(overview.view, service))
            case EntryHost() as entry:
                place = f"{entry.host}:{entry.port}"
                heard = _describe_heard(overview, entry.name)
                tables["entry hosts"].append((entry.name, entry.zone, place, *heard))
            case Member() as member:
                tables["upstreams"].append(_describe_member(overview, member))
    return tables


def summarise(overview: Overview) -> tuple[Any, ...]:
    """Return the row of one region among others, without its name."""
    counts = {EntryHost: 0, Member: 0}
    zones_out = []
    for held in overview.view.items.values():
        if type(held.item) in counts:
            counts[type(held.item)] += 1
        if isinstance(held.item, Zone) and held.item.out:
            zones_out.append(held.item.name)
    newest = max(overview.replies, key=lambda reply: (reply.term, reply.commit))
    version = overview.view.version
    stale = overview.list_stale(version)
    live = overview.count_live()
    problems = [f"control host {peer} does not answer" for peer in overview.silent]
    if stale:
        problems.append(f"{len(stale)} stale")
    return (
        newest.leader or "none",
        version,
        f"{live - len(stale)} of {live}",
        counts[EntryHost],
        counts[Member],
        ", ".join(sorted(zones_out)) or "none",
        ", ".join(problems),
    )


def find_state(view: View, member: Member) -> str:
    """Return why an upstream gets new flows or not, in one word or two."""
    zone = view.items.get((Zone.__name__, member.zone))
    if zone is not None and zone.item.out:
        return "zone out"
    if (Drain.__name__, member.name) in view.items:
        return "drained"
    return member.state.value


def _describe_zone(view: View, zone: Zone) -> tuple[Any, ...]:
    counts = {Member: 0, EntryHost: 0}
    for held in view.items.values():
        if isinstance(held.item, Member | EntryHost) and held.item.zone == zone.name:
            counts[type(held.item)] += 1
    state = "out" if zone.out else "in"
    return zone.name, state, counts[EntryHost], counts[Member]


def _describe_service(view: View, service: Service) -> tuple[Any, ...]:
    accepting = 0
    others = 0
    for held in view.items.values():
        if not isinstance(held.item, Member) or held.item.service != service.name:
            continue
        if find_state(view, held.item) == MemberState.ACCEPTING:
            accepting += 1
        else:
            others += 1
    place = f"{service.host}:{service.port}"
    return (
        service.name,
        service.profile,
        place,
        service.protocol.value,
        accepting,
        others,
    )


def _describe_member(overview: Overview, member: Member) -> tuple[Any, ...]:
    state = find_state(overview.view, member)
    place = f"{member.host}:{member.port}"
    heard = _describe_heard(overview, member.name)
    return member.name, member.service, member.zone, place, state, *heard


def _describe_heard(overview: Overview, name: str) -> tuple[Any, str]:
    process = overview.processes.get(name)
    if process is None:
        return "unknown", "by none"
    return process.version, f"{process.age:.1f} s"


def _rank(process: ProcessStatus) -> tuple[int, int, float]:
    return process.identity.incarnation, process.version, -process.age
