"""Merges the status of all control hosts of a region into tables."""

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
    """The merged status of all control hosts of a region.

    Parameters
    ----------
    view : View
        The newest view of any control host.
    replies : tuple of StatusReply
        The answers.
    unresponsive : tuple of str
        Control hosts that did not answer.
    processes : dict of str to ProcessStatus
        The latest status of each process at any control host, by name.
    """

    view: View
    replies: tuple[StatusReply, ...]
    unresponsive: tuple[str, ...]
    processes: dict[str, ProcessStatus]

    @property
    def region(self) -> str:
        """Name of the region as reported by the control hosts; may be empty."""
        return next((reply.region for reply in self.replies if reply.region), "")

    def list_stale(self, version: int) -> list[str]:
        """Return the live processes not known to have a version in force."""
        stale = []
        for stamped in self.view.items.values():
            if not isinstance(stamped.item, Member | EntryHost):
                continue
            process = self.processes.get(stamped.item.name)
            is_current = process is not None and process.version >= version
            if is_current and process.identity.incarnation == stamped.item.incarnation:
                continue
            stale.append(stamped.item.name)
        return sorted(stale)

    def count_live(self) -> int:
        """Return how many processes hold a lease."""
        live = 0
        for stamped in self.view.items.values():
            live += isinstance(stamped.item, Member | EntryHost)
        return live


def merge_replies(replies: list[StatusReply], unresponsive: list[str]) -> Overview:
    """Merge the status replies of the control hosts."""
    view = View()
    processes: dict[str, ProcessStatus] = {}
    for reply in replies:
        newer, _ = apply_delta(view, reply.view)
        view = newer
        for process in reply.processes:
            newest = processes.get(process.identity.name)
            if newest is None or _get_recency(process) > _get_recency(newest):
                processes[process.identity.name] = process
    return Overview(view, tuple(replies), tuple(unresponsive), processes)


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
                address = f"{entry.host}:{entry.port}"
                last_contact = _describe_last_contact(overview, entry.name)
                tables["entry hosts"].append(
                    (entry.name, entry.zone, address, *last_contact)
                )
            case Member() as member:
                tables["upstreams"].append(_describe_member(overview, member))
    return tables


def summarise(overview: Overview) -> tuple[Any, ...]:
    """Return the row of a region in the summary table, without its name."""
    counts = {EntryHost: 0, Member: 0}
    zones_out = []
    for stamped in overview.view.items.values():
        if type(stamped.item) in counts:
            counts[type(stamped.item)] += 1
        if isinstance(stamped.item, Zone) and stamped.item.out:
            zones_out.append(stamped.item.name)
    newest = max(overview.replies, key=lambda reply: (reply.term, reply.commit))
    version = overview.view.version
    stale = overview.list_stale(version)
    live = overview.count_live()
    problems = [
        f"control host {peer} does not answer" for peer in overview.unresponsive
    ]
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
    """Return the effective state of an upstream: zone out, drained or its own."""
    zone = view.items.get((Zone.__name__, member.zone))
    if zone is not None and zone.item.out:
        return "zone out"
    if (Drain.__name__, member.name) in view.items:
        return "drained"
    return member.state.value


def _describe_zone(view: View, zone: Zone) -> tuple[Any, ...]:
    counts = {Member: 0, EntryHost: 0}
    for stamped in view.items.values():
        if (
            isinstance(stamped.item, Member | EntryHost)
            and stamped.item.zone == zone.name
        ):
            counts[type(stamped.item)] += 1
    state = "out" if zone.out else "in"
    return zone.name, state, counts[EntryHost], counts[Member]


def _describe_service(view: View, service: Service) -> tuple[Any, ...]:
    accepting = 0
    not_accepting = 0
    for stamped in view.items.values():
        if not isinstance(stamped.item, Member) or stamped.item.service != service.name:
            continue
        if find_state(view, stamped.item) == MemberState.ACCEPTING:
            accepting += 1
        else:
            not_accepting += 1
    address = f"{service.host}:{service.port}"
    return (
        service.name,
        service.profile,
        address,
        service.protocol.value,
        accepting,
        not_accepting,
    )


def _describe_member(overview: Overview, member: Member) -> tuple[Any, ...]:
    state = find_state(overview.view, member)
    address = f"{member.host}:{member.port}"
    last_contact = _describe_last_contact(overview, member.name)
    return member.name, member.service, member.zone, address, state, *last_contact


def _describe_last_contact(overview: Overview, name: str) -> tuple[Any, str]:
    process = overview.processes.get(name)
    if process is None:
        return "unknown", "by none"
    return process.version, f"{process.age:.1f} s"


def _get_recency(process: ProcessStatus) -> tuple[int, int, float]:
    """Return a key that is larger for a more recent status."""
    return process.identity.incarnation, process.version, -process.age
