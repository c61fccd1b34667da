"""Measures how state and processor time grow with the size of a region.

Every figure is taken in one process over the pure cores, without a network:
encoded bytes, traced memory and processor time of views, tables and flows.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from msgspec import Struct

from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.hashing import BUCKETS_PER_SERVICE
from fulmarshore.core.records import (
    Address,
    Datagram,
    EntryHost,
    Identity,
    Item,
    LinkMessage,
    Member,
    Profile,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import View, apply_delta, change_view, make_delta
from fulmarshore.routing.entry import EntryCore
from fulmarshore.routing.table import Table
from fulmarshore.standins.control import list_renewals

ENDPOINTS = (10, 100, 1000, 2170)
ENDPOINTS_PER_SERVICE = 4
ENDPOINTS_PER_ENTRY_HOST = 11
ZONES = 3
FLOWS = 20_000
FLOW_ENDPOINTS = 100
ROUNDS = 5


class RegionSlope(Struct, frozen=True):
    """Memory and processor time that one process needs for a region.

    Parameters
    ----------
    endpoints, services : int
        Size of the region.
    snapshot_bytes : int
        Size of the encoded view.
    decode_ms, change_ms, table_ms : float
        Processor time to decode and apply a snapshot, to apply a change of
        one item, and to rebuild the table after that change, in milliseconds.
    view_bytes, table_bytes, rows_bytes : int
        Memory of the view, of the table, and of the rankings of all buckets.
    """

    endpoints: int
    services: int
    snapshot_bytes: int
    decode_ms: float
    change_ms: float
    table_ms: float
    view_bytes: int
    table_bytes: int
    rows_bytes: int


class FlowSlope(Struct, frozen=True):
    """Memory of a flow at an entry host, and processor time to open one."""

    flows: int
    bytes_per_flow: float
    open_us: float


class CapacityReport(Struct, frozen=True):
    """Figures for each size of a region, and for the flows of an entry host."""

    regions: list[RegionSlope]
    entry_flows: FlowSlope


def run(seed: int = 1) -> CapacityReport:
    """Measure every size of a region, and the flows of an entry host."""
    regions = [measure_region(endpoints) for endpoints in ENDPOINTS]
    return CapacityReport(regions, measure_entry_flows(seed))


def measure_region(endpoints: int) -> RegionSlope:
    """Measure the view and the table of a region of the given size."""
    items = list_items(endpoints)
    source = change_view(View(), 1, items, [])
    frame = encode(make_delta(source, 0))
    view, view_bytes = trace_memory(lambda: _decode(frame))
    table, table_bytes = trace_memory(lambda: Table(view))
    _, rows_bytes = trace_memory(lambda: _fill_rankings(table))
    member = next(item for item in items if isinstance(item, Member))
    changed = change_view(view, 2, [member], [])
    return RegionSlope(
        endpoints=endpoints,
        services=len(table.services),
        snapshot_bytes=len(frame),
        decode_ms=_measure_cpu_ms(lambda: _decode(frame)),
        change_ms=_measure_cpu_ms(lambda: change_view(view, 2, [member], [])),
        table_ms=_measure_cpu_ms(lambda: Table(changed, table)),
        view_bytes=view_bytes,
        table_bytes=table_bytes,
        rows_bytes=rows_bytes,
    )


def measure_entry_flows(seed: int) -> FlowSlope:
    """Measure the memory and processor time of flows at an entry host."""
    events = [
        Datagram("service-0", Address(f"10.0.{n >> 8 & 255}.{n & 255}", n), b"x")
        for n in range(FLOWS)
    ]
    core = _make_entry(seed)
    _, used = trace_memory(lambda: _open_flows(core, events))
    assert core.hint_count == FLOWS, "an entry host holds no hint for some of the flows"
    timed_core = _make_entry(seed)
    open_ms = _measure_cpu_ms(lambda: _open_flows(timed_core, events), rounds=1)
    return FlowSlope(FLOWS, used / FLOWS, open_ms * 1000 / FLOWS)


def list_items(endpoints: int) -> list[Item]:
    """Return the items of a region of the given size."""
    services = max(endpoints // ENDPOINTS_PER_SERVICE, 1)
    items: list[Item] = [Profile("feed", TrafficKind.FEED)]
    items += [Zone(f"zone-{number}") for number in range(ZONES)]
    for number in range(services):
        host = f"10.9.{number >> 8}.{number & 255}"
        items.append(Service(f"service-{number}", "feed", host, 443))
    for number in range(endpoints):
        service = f"service-{number % services}"
        host = f"10.1.{number >> 8}.{number & 255}"
        zone = f"zone-{number % ZONES}"
        name = f"host-{number:05d}"
        items.append(Member(name, 1_700_000_000_000_000, service, zone, host, 7000))
    for number in range(endpoints // ENDPOINTS_PER_ENTRY_HOST):
        name = f"entry-{number:04d}"
        host = f"10.2.{number >> 8}.{number & 255}"
        items.append(EntryHost(name, 1_700_000_000_000_000, "zone-0", host, 7000))
    return items


def _make_entry(seed: int) -> EntryCore:
    identity = Identity("entry", 1)
    host = EntryHost("entry", 1, "zone-0", "127.0.0.1", 1)
    core = EntryCore(Subscriber(identity, host, ["control"], Random(seed)))
    view = change_view(View(), 1, list_items(FLOW_ENDPOINTS), [])
    for event in list_renewals("control"):
        core.handle(event, 0.0)
    core.handle(LinkMessage("control", make_delta(view, 0)), 0.0)
    assert core.table.version == 1, "the entry host has not applied the view"
    return core


def _decode(frame: bytes) -> View:
    view, errors = apply_delta(View(), decode_control(frame, "bench"))
    assert not errors, errors
    return view


def _fill_rankings(table: Table) -> None:
    for service in table.services.values():
        for bucket in range(BUCKETS_PER_SERVICE):
            service.get_ranking(bucket)


def _open_flows(core: EntryCore, events: list[Datagram]) -> None:
    for event in events:
        core.handle(event, 0.0)


def trace_memory(make: Callable[[], object]) -> tuple[object, int]:
    """Return the result of a function and the bytes that stay allocated for it."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, used


def _measure_cpu_ms(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the shortest processor time of a call over some rounds, in ms."""
    best = float("inf")
    for _ in range(rounds):
        started = time.process_time()
        call()
        best = min(best, time.process_time() - started)
    return best * 1000
