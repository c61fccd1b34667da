"""Routing table derived from the view: ranks the members for each bucket."""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.core.hashing import BUCKETS_PER_SERVICE, score_candidate
from fulmarshore.core.records import (
    Drain,
    EntryHost,
    Member,
    MemberState,
    Profile,
    Service,
    Zone,
)
from fulmarshore.membership.view import View

Ranking = tuple[Member, ...]


class ServiceTable:
    """The members of one service and their ranking in each bucket.

    Parameters
    ----------
    service : Service
        The declaration of the service.
    profile : Profile
        The profile that it uses.
    members : tuple of Member
        Reachable members, sorted by name: accepting or draining, in a zone that
        is not taken out.
    """

    __slots__ = (
        "service",
        "profile",
        "members",
        "accepting",
        "by_name",
        "_rankings",
        "_shared_rankings",
    )

    def __init__(
        self, service: Service, profile: Profile, members: tuple[Member, ...]
    ) -> None:
        self.service = service
        self.profile = profile
        self.members = members
        self.accepting = tuple(
            member for member in members if member.state == MemberState.ACCEPTING
        )
        self.by_name = {member.name: member for member in members}
        self._rankings: list[Ranking | None] = [None] * BUCKETS_PER_SERVICE
        # A service has few members, so many buckets share the same ranking.
        self._shared_rankings: dict[tuple[str, ...], Ranking] = {}

    def get_ranking(self, bucket: int) -> Ranking:
        """Return the accepting members by their rank in the bucket, home first.

        If no member accepts, the ranking holds the draining ones.
        """
        ranking = self._rankings[bucket]
        if ranking is None:
            ranking = self._rank_members(bucket)
            self._rankings[bucket] = ranking
        return ranking

    def get_home(self, bucket: int) -> Member | None:
        """Return the home agent, which arbitrates the flows in a bucket.

        If no member accepts, a draining one still finds the owners of flows.
        """
        ranking = self.get_ranking(bucket)
        return ranking[0] if ranking else None

    def _rank_members(self, bucket: int) -> Ranking:
        name = self.service.name
        scored = []
        for member in self.accepting or self.members:
            weight = float(max(member.connections, 1))
            score = score_candidate(name, bucket, member.name, weight)
            scored.append((-score, member.name, member))
        scored.sort(key=lambda entry: entry[:2])
        names = tuple(entry[1] for entry in scored)
        ranking = tuple(entry[2] for entry in scored)
        return self._shared_rankings.setdefault(names, ranking)


class Table:
    """The items of a view, arranged for routing.

    Parameters
    ----------
    view : View
        The view in force.
    previous : Table, optional
        The table that it replaces; unchanged services keep their rankings.
    """

    __slots__ = (
        "version",
        "services",
        "zones_out",
        "zone_versions",
        "entries",
        "profiles",
        "drained",
    )

    def __init__(self, view: View, previous: Table | None = None) -> None:
        self.version = view.version
        self.services: dict[str, ServiceTable] = {}
        self.zones_out: set[str] = set()
        self.zone_versions: dict[str, int] = {}
        self.drained: set[str] = set()
        self.entries: dict[str, EntryHost] = {}
        self.profiles: dict[str, Profile] = {}
        declared: list[Service] = []
        members: list[Member] = []
        for stamped in view.items.values():
            match stamped.item:
                case Profile() as profile:
                    self.profiles[profile.name] = profile
                case Service() as service:
                    declared.append(service)
                case Zone(name=name, out=out):
                    self.zone_versions[name] = stamped.version
                    if out:
                        self.zones_out.add(name)
                case Drain(name=name):
                    self.drained.add(name)
                case Member() as member:
                    members.append(member)
                case EntryHost() as entry:
                    self.entries[entry.name] = entry
        self._build_services(declared, members, previous)

    def _build_services(
        self, declared: list[Service], members: list[Member], previous: Table | None
    ) -> None:
        grouped: dict[str, list[Member]] = {service.name: [] for service in declared}
        for member in members:
            if member.zone in self.zones_out or member.service not in grouped:
                continue
            if member.name in self.drained:
                member = replace(member, state=MemberState.DRAINING)
            grouped[member.service].append(member)
        for service in declared:
            profile = self.profiles.get(service.profile)
            if profile is None:
                continue
            reachable = tuple(sorted(grouped[service.name], key=lambda m: m.name))
            existing = previous.services.get(service.name) if previous else None
            if (
                existing is not None
                and existing.members == reachable
                and existing.service == service
                and existing.profile == profile
            ):
                self.services[service.name] = existing
                continue
            self.services[service.name] = ServiceTable(service, profile, reachable)
