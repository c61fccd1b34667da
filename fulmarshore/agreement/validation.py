"""Validation of an operator's change.

Each check returns all errors that it finds and raises none.
"""

from __future__ import annotations

import ipaddress
import re

from fulmarshore.admission.bounds import MAX_TIMEOUT_S
from fulmarshore.core.records import (
    Change,
    InvalidItem,
    Profile,
    Service,
    TrafficKind,
)
from fulmarshore.membership.view import View

_NAME = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")
_STEP = "check_change"
MAX_PORT = 65_535
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 10_000_000
MIN_COLD_SHARE = 0.01


def check_change(view: View, next_number: int, change: Change) -> list[InvalidItem]:
    """Return all errors of a change; the list is empty if it is valid.

    Parameters
    ----------
    view : View
        The view that the change would be applied to.
    next_number : int
        The number that the next accepted change must have.
    change : Change
        The operator's change.
    """
    errors: list[InvalidItem] = []
    for check in CHECKS:
        errors += check(view, change)
    if change.number != next_number:
        errors.append(
            _error(change, "change", "number", str(change.number), str(next_number))
        )
    return errors


def _error(
    change: Change, item: str, field: str, value: str, allowed: str
) -> InvalidItem:
    return InvalidItem(_STEP, change.operator, item, field, value, allowed)


def _check_names(view: View, change: Change) -> list[InvalidItem]:
    errors = []
    for item in change.items:
        if _NAME.match(item.name):
            continue
        label = type(item).__name__.lower()
        allowed = "lower-case letters, digits and '-', at most 63"
        errors.append(_error(change, label, "name", repr(item.name), allowed))
    return errors


def _check_profiles(view: View, change: Change) -> list[InvalidItem]:
    errors = []
    for item in change.items:
        if not isinstance(item, Profile):
            continue
        label = f"profile {item.name}"
        for field in (
            "queue_timeout",
            "deadline",
            "idle_timeout",
            "slow_start",
            "drain_timeout",
        ):
            value = getattr(item, field)
            if 0 < value <= 7 * 24 * 3600:
                continue
            allowed = "more than 0 and at most 604800 seconds"
            errors.append(_error(change, label, field, str(value), allowed))
        if not 0 <= item.retry_budget <= 1:
            value = str(item.retry_budget)
            errors.append(_error(change, label, "retry_budget", value, "0 to 1"))
        if not 0 <= item.queue_length <= 100_000:
            value = str(item.queue_length)
            errors.append(_error(change, label, "queue_length", value, "0 to 100000"))
        errors += _check_bounds(change, item)
    return errors


def _check_bounds(change: Change, profile: Profile) -> list[InvalidItem]:
    """Check the limits on an upstream's load and on a request's deadline."""
    errors = []
    label = f"profile {profile.name}"
    for field, maximum in (("slots", MAX_SLOTS), ("connections", MAX_CONNECTIONS)):
        value = getattr(profile, field)
        if 0 <= value <= maximum:
            continue
        errors.append(_error(change, label, field, str(value), f"0 to {maximum}"))
    if not MIN_COLD_SHARE <= profile.cold_share <= 1:
        value = str(profile.cold_share)
        allowed = f"{MIN_COLD_SHARE} to 1"
        errors.append(_error(change, label, "cold_share", value, allowed))
    is_request = profile.kind in (TrafficKind.IDEMPOTENT, TrafficKind.NON_IDEMPOTENT)
    if is_request and profile.deadline > MAX_TIMEOUT_S:
        value = str(profile.deadline)
        allowed = f"at most {MAX_TIMEOUT_S:g} seconds for requests"
        errors.append(_error(change, label, "deadline", value, allowed))
    return errors


def _check_services(view: View, change: Change) -> list[InvalidItem]:
    errors = []
    removed = {(removal.item_type, removal.name) for removal in change.removed}
    profiles = {key[1] for key in view.items if key[0] == "Profile"}
    profiles -= {name for kind, name in removed if kind == "Profile"}
    profiles |= {item.name for item in change.items if isinstance(item, Profile)}
    for item in change.items:
        if not isinstance(item, Service):
            continue
        label = f"service {item.name}"
        if item.profile not in profiles:
            allowed = ", ".join(sorted(profiles)) or "a declared profile"
            errors.append(_error(change, label, "profile", item.profile, allowed))
        if not 1 <= item.port <= MAX_PORT:
            value = str(item.port)
            errors.append(_error(change, label, "port", value, f"1 to {MAX_PORT}"))
        if not _is_address(item.host):
            errors.append(_error(change, label, "host", item.host, "an IP address"))
    return errors


def _check_addresses(view: View, change: Change) -> list[InvalidItem]:
    """Check that no two services share an address."""
    errors = []
    services = {
        stamped.item.name: stamped.item
        for key, stamped in view.items.items()
        if key[0] == "Service"
    }
    for removal in change.removed:
        if removal.item_type == "Service":
            services.pop(removal.name, None)
    for item in change.items:
        if isinstance(item, Service):
            services[item.name] = item
    holders: dict[tuple[str, int, bool], str] = {}
    for service in sorted(services.values(), key=lambda service: service.name):
        address = (service.host, service.port, service.protocol == "tcp")
        holder = holders.setdefault(address, service.name)
        if holder == service.name:
            continue
        value = f"{service.host}:{service.port}"
        allowed = f"an address other than that of {holder}"
        label = f"service {service.name}"
        errors.append(_error(change, label, "port", value, allowed))
    return errors


def _check_removed(view: View, change: Change) -> list[InvalidItem]:
    errors = []
    for removal in change.removed:
        label = f"{removal.item_type.lower()} {removal.name}"
        if removal.item_type not in ("Profile", "Service", "Zone", "Drain"):
            allowed = "Profile, Service, Zone or Drain"
            errors.append(_error(change, label, "type", removal.item_type, allowed))
            continue
        if (removal.item_type, removal.name) not in view.items:
            allowed = "a declared name"
            errors.append(_error(change, label, "name", removal.name, allowed))
    return errors + _check_profiles_in_use(view, change)


def _check_profiles_in_use(view: View, change: Change) -> list[InvalidItem]:
    removed_profiles = {
        entry.name for entry in change.removed if entry.item_type == "Profile"
    }
    removed_services = {
        entry.name for entry in change.removed if entry.item_type == "Service"
    }
    changed = {item.name: item for item in change.items if isinstance(item, Service)}
    errors = []
    for key, stamped in view.items.items():
        if key[0] != "Service" or key[1] in removed_services:
            continue
        service = changed.get(key[1], stamped.item)
        if service.profile not in removed_profiles:
            continue
        allowed = f"removal once service {service.name} uses another profile"
        label = f"profile {service.profile}"
        errors.append(_error(change, label, "name", service.profile, allowed))
    return errors


def _check_empty(view: View, change: Change) -> list[InvalidItem]:
    if change.items or change.removed:
        return []
    return [_error(change, "change", "items", "none", "at least one item")]


def _is_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


CHECKS = [
    _check_empty,
    _check_names,
    _check_profiles,
    _check_services,
    _check_addresses,
    _check_removed,
]
