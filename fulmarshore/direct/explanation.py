"""Explanation of where an entry host would place a new flow, and why.

Reads the state of an entry host's core: nothing is sent, no state changes and no random
number is drawn. Entry hosts import this module on the first request.
"""

from __future__ import annotations

import re
import socket
from http import HTTPStatus
from urllib.parse import parse_qsl

import msgspec
from msgspec import Struct

from fulmarshore.direct.candidates import INELIGIBLE
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.openings import choose_service
from fulmarshore.direct.packets import NO_HOST
from fulmarshore.direct.records import Route
from fulmarshore.direct.settings import SettingsProblem

MS_PER_S = 1000.0
MAX_PORT = 65_535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
ENDPOINT_FORM = f"IPV4-ADDRESS:PORT with a port of 1 to {MAX_PORT}"
FIELDS = ("route", "caller")


class RankedAgent(Struct, frozen=True):
    """An agent, in the order of the cost of offering it the flow.

    Parameters
    ----------
    host, zone, service : str
        Address, availability zone and service of the agent.
    cost_ms, wait_ms, work_ms, standing_ms, hop_ms : float
        Cost of the offer and its terms, milliseconds; 0 where placement is by flows.
    age_s : float or None
        Age of the load that the agent reported, seconds; None if nothing is known.
    behind : str
        Why the agent ranks behind the others; empty if it does not.
    """

    host: str
    zone: str
    service: str
    cost_ms: float
    wait_ms: float
    work_ms: float
    standing_ms: float
    hop_ms: float
    age_s: float | None
    behind: str


class UploadState(Struct, frozen=True):
    """Uploads that pass the link of the entry host.

    Parameters
    ----------
    admitted, limit, waiting : int
        Uploads in progress, most of them at a time (0 for no limit), and openings that
        wait.
    wait_ms : float
        Expected wait of the next opening, milliseconds.
    """

    admitted: int
    limit: int
    waiting: int
    wait_ms: float


NO_UPLOAD_LIMIT = UploadState(0, 0, 0, 0.0)


class PlacementExplanation(Struct, frozen=True):
    """What an entry host would do with a new flow.

    Parameters
    ----------
    outcome : str
        ``offered``, ``waiting``, ``rejected``, ``no_route``, ``no_configuration`` or
        ``no_agent``.
    service : str, dict or None
        Service of the flow; its services with their shares where these depend on a
        caller that is not given; None if there is none.
    reason : str
        What decided the outcome.
    placement : str
        ``cost`` or ``flows``.
    ranking : list of RankedAgent
        The agents of the services, in the order of their cost.
    upload : UploadState or None
        State of the upload limit; None if the route is not an upload route.
    """

    outcome: str
    service: str | dict[str, float] | None
    reason: str
    placement: str
    ranking: list[RankedAgent] = []
    upload: UploadState | None = None


def answer_query(core: EntryCore, query: str, now: float) -> tuple[HTTPStatus, bytes]:
    """Return status and JSON body for the query string of a request.

    An invalid query gives status 400 and an error that names the field and its value.
    """
    parsed = _parse_query(query)
    if isinstance(parsed, SettingsProblem):
        error = {name: getattr(parsed, name) for name in parsed.__struct_fields__}
        return HTTPStatus.BAD_REQUEST, msgspec.json.encode({"error": error})
    explanation = explain_placement(core, parsed["route"], parsed.get("caller"), now)
    return HTTPStatus.OK, msgspec.json.encode(explanation)


def explain_placement(
    core: EntryCore, address: bytes, caller: bytes | None, now: float
) -> PlacementExplanation:
    """Return what an entry host would do with a new flow to an address and port.

    Parameters
    ----------
    core : EntryCore
        The entry host.
    address : bytes
        Address and port of the route, six bytes.
    caller : bytes or None
        Address and port of the caller, six bytes; None if it does not matter.
    now : float
        Monotonic time in seconds.
    """
    placement = "cost" if core.tables.places_by_cost else "flows"
    if not core.tables.is_known:
        reason = "this host has received no configuration"
        return PlacementExplanation("no_configuration", None, reason, placement)
    route = core.tables.find_route(address)
    if route is None:
        version = core.tables.table.version
        reason = f"no route of this address and port in version {version}"
        return PlacementExplanation("no_route", None, reason, placement)
    shares = _list_shares(route, caller)
    ranking = [
        agent for service in shares for agent in _rank_agents(core, service, now)
    ]
    service: str | dict[str, float] | None = shares if len(shares) > 1 else None
    if len(shares) == 1:
        service = next(iter(shares))
    outcome, reason, upload = _explain_upload(core, route, caller, now)
    if outcome == "offered":
        outcome, reason = _explain_offer(shares, ranking, placement)
    return PlacementExplanation(outcome, service, reason, placement, ranking, upload)


def _list_shares(route: Route, caller: bytes | None) -> dict[str, float]:
    """Return the services that may get the flow, each with its probability."""
    if caller is not None:
        service = choose_service(route, caller + route.address)
        return {} if service is None else {service: 1.0}
    total = sum(backend.weight for backend in route.backends)
    shares: dict[str, float] = {}
    for backend in route.backends:
        if backend.weight <= 0:
            continue
        share = backend.weight / total
        shares[backend.service] = shares.get(backend.service, 0.0) + share
    return shares


def _rank_agents(core: EntryCore, service: str, now: float) -> list[RankedAgent]:
    return [
        RankedAgent(
            candidate.host,
            candidate.zone,
            candidate.service,
            MS_PER_S * candidate.cost_s,
            MS_PER_S * candidate.wait_s,
            MS_PER_S * candidate.work_s,
            MS_PER_S * candidate.standing_s,
            MS_PER_S * candidate.hop_s,
            candidate.age_s,
            candidate.behind,
        )
        for candidate in core.placement.list_ranked(
            service, now, core.tables.is_zone_out
        )
    ]


def _explain_upload(
    core: EntryCore, route: Route, caller: bytes | None, now: float
) -> tuple[str, str, UploadState | None]:
    """Return outcome, reason and state of the upload limit for a route."""
    if not core.uploads.applies_to(route):
        return "offered", "", NO_UPLOAD_LIMIT if route.is_upload else None
    caller_host = NO_HOST if caller is None else caller[:4]
    decision = core.uploads.decide(caller_host, route, now)
    state = UploadState(
        decision.active, decision.limit, decision.waiting, MS_PER_S * decision.wait_s
    )
    outcome = "offered" if decision.verdict == "admitted" else decision.verdict
    return outcome, decision.describe(), state


def _explain_offer(
    shares: dict[str, float], ranking: list[RankedAgent], placement: str
) -> tuple[str, str]:
    """Return outcome and reason for a flow that is not held back."""
    if not shares:
        return "no_agent", "all weights of the route are 0"
    eligible = [agent for agent in ranking if agent.behind not in INELIGIBLE]
    if not eligible:
        known = f"{len(ranking)} agents known, none takes flows"
        return "no_agent", f"{', '.join(shares)}: {known if ranking else 'no agent'}"
    if len(shares) > 1:
        return "offered", "the caller decides the service, by hash and weight"
    first = eligible[0]
    measure = "fewest flows for its slots, its own zone preferred"
    if placement == "cost":
        measure = (
            f"cost {first.cost_ms:.1f} ms, the lowest of those not behind; another of "
            "nearly the same cost may get it"
        )
    reason = f"{first.host} of {len(eligible)} agents that take flows: {measure}"
    return "offered", f"{reason}; behind as {first.behind}" if first.behind else reason


def _parse_query(query: str) -> dict[str, bytes] | SettingsProblem:
    """Return the addresses of a query string by field, or what is wrong with it."""
    parsed: dict[str, bytes] = {}
    for field, value in parse_qsl(query, keep_blank_values=True):
        if field not in FIELDS:
            return SettingsProblem(field, repr(value), f"one of {', '.join(FIELDS)}")
        if field in parsed:
            return SettingsProblem(field, repr(value), "to be given once")
        endpoint = _parse_endpoint(value)
        if endpoint is None:
            return SettingsProblem(field, repr(value), ENDPOINT_FORM)
        parsed[field] = endpoint
    if "route" not in parsed:
        return SettingsProblem("route", "''", ENDPOINT_FORM)
    return parsed


def _parse_endpoint(text: str) -> bytes | None:
    """Return an IPv4 address and a port as six bytes; None if it is none."""
    host, _, port = text.partition(":")
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return None
    try:
        return socket.inet_pton(socket.AF_INET, host) + int(port).to_bytes(2)
    except (OSError, ValueError):
        return None
