"""What a delta changes, as events for the time line."""

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
    """Return what a delta that fits changes in a view.

    Parameters
    ----------
    view : View
        The view before the delta.
    delta : Delta
        A delta that ``apply_delta`` accepts.
    peer : str
        Where it came from.
    """
    events = [TimelineEvent("view_applied", peer=peer, detail=_describe(delta))]
    for stamped in delta.items:
        held = view.items.get(get_key(stamped.item))
        if held is not None and held.item == stamped.item:
            continue
        match stamped.item:
            case Zone(name=name, out=True):
                events.append(TimelineEvent("zone_out_applied", peer=name))
            case Zone(name=name) if held is not None:
                events.append(TimelineEvent("zone_in_applied", peer=name))
            case Drain(name=name):
                events.append(TimelineEvent("drain_applied", peer=name))
            case Service(name=name):
                events.append(TimelineEvent("service_applied", service=name))
            case Profile(name=name):
                events.append(TimelineEvent("profile_applied", detail=name))
            case Member(name=name, service=service):
                detail = stamped.item.state.value
                if held is not None:
                    if held.item.incarnation != stamped.item.incarnation:
                        detail += ", restarted"
                event = TimelineEvent("upstream_seen", service, "", name, detail)
                events.append(event)
    for gone in delta.removed:
        key = (gone.item_type, gone.name)
        if key not in view.items:
            continue
        kind = f"{gone.item_type.lower()}_removed"
        events.append(TimelineEvent(kind, peer=gone.name))
    return events


def _describe(delta: Delta) -> str:
    kind = "snapshot" if delta.since == 0 else "delta"
    return f"version {delta.version} by {kind}"
