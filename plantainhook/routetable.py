"""Routes of HTTP requests: which services serve a host and path.

A route table is one version of the configuration, decoded and validated at
the border. It never changes; a new version is a new table.
"""

import dataclasses
import random
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Hold a service and its share of the requests of a route."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """Describe the answers of a route that asks every shard.

    An answer holds the greatest ``record_limit_count`` records of at least
    ``min_coverage_ratio`` of the shard services.
    """

    shard_services: tuple[str, ...]
    record_limit_count: int
    min_coverage_ratio: float


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Route:
    """Hold the rules of the requests below one path of a host.

    A route has ``services`` or a ``gather``. ``urgency_rank`` 0 is the most
    urgent.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: float
    goal_ms: float
    max_leafs_count: int
    urgency_rank: int
    services: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        names = [service.name for service in self.services]
        weights = [service.weight for service in self.services]
        return rng.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRules:
    """Hold what the configuration says of a service."""

    name: str
    connection_limit_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bound what a client may send and how long it may be idle."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one version of the configuration."""

    version: int
    services: dict[str, ServiceRules]
    limits: ClientLimits
    routes_by_host: dict[str, tuple[Route, ...]]
    gathered_services: frozenset[str] = frozenset()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


NO_ROUTES = RouteTable(0, {}, ClientLimits(), {})


def build_route_table(
    version: int,
    routes: abc.Iterable[Route],
    services: abc.Iterable[ServiceRules],
    limits: ClientLimits,
) -> RouteTable:
    """Build a table; the routes of a host are sorted, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {service.name: service for service in services},
        limits,
        {
            host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
            for host, found in by_host.items()
        },
        frozenset(
            service
            for found in by_host.values()
            for route in found
            if route.gather is not None
            for service in route.gather.shard_services
        ),
    )
