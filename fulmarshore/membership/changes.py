"""Timeline events for the changes that a delta makes to a view."""

from __future__ import annotations

from fulmarshore.core.records import (
    Delta,
    Drain,
    Member,
    Profile,
    Service,
    TimelineEvent,
    Zone,
)
from fulmarshore.membership.view import View, get_key


def describe_delta(view: View, delta: Delta, peer: str) -> list[TimelineEvent]:
    """Return timeline events for the changes of a delta.

    Parameters
    ----------
    view : View
        The view before the delta is applied.
    delta : Delta
        A delta that ``apply_delta`` accepts.
    peer : str
        Name of the peer that sent the delta.
    """
    events = [TimelineEvent("view_applied", peer=peer, detail=_describe(delta))]
    for stamped in delta.items:
        previous = view.items.get(get_key(stamped.item))
        if previous is not None and previous.item == stamped.item:
            continue
        match stamped.item:
            case Zone(name=name, out=True):
                events.append(TimelineEvent("zone_out_applied", peer=name))
            case Zone(name=name) if previous is not None:
                events.append(TimelineEvent("zone_in_applied", peer=name))
            case Drain(name=name):
                events.append(TimelineEvent("drain_applied", peer=name))
            case Service(name=name):
                events.append(TimelineEvent("service_applied", service=name))
            case Profile(name=name):
                events.append(TimelineEvent("profile_applied", detail=name))
            case Member(name=name, service=service):
                detail = stamped.item.state.value
                if previous is not None:
                    if previous.item.incarnation != stamped.item.incarnation:
                        detail += ", restarted"
                event = TimelineEvent("upstream_seen", service, "", name, detail)
                events.append(event)
    for removal in delta.removed:
        key = (removal.item_type, removal.name)
        if key not in view.items:
            continue
        kind = f"{removal.item_type.lower()}_removed"
        events.append(TimelineEvent(kind, peer=removal.name))
    return events


def _describe(delta: Delta) -> str:
    kind = "snapshot" if delta.since == 0 else "delta"
    return f"version {delta.version} by {kind}"
