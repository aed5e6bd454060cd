"""Routes of HTTP requests: which services serve a host and path.

A route table is one version of the configuration, decoded by
``platform.documents``. It is immutable: a new version is a new table, so a
request keeps to the rules with which it started.
"""

import dataclasses
import random
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Represent a service of a route and its weight in the random choice."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """Describe a scatter-gather route, which queries all shard services.

    An answer holds the highest ``record_limit_count`` records and needs the
    replies of at least ``min_coverage_ratio`` of the shard services.
    """

    shard_services: tuple[str, ...]
    record_limit_count: int
    min_coverage_ratio: float


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Route:
    """Describe how requests below one path of a host are forwarded.

    A route has either ``services``, of which one is drawn for each request,
    or a ``gather``. ``goal_ms`` is the latency goal. ``max_leafs_count``
    limits how many leafs may run a request or, in a gather, the part of the
    request for one shard. ``urgency_rank`` 0 is the most urgent. A public
    route needs no key.
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
    is_public: bool = False

    def choose_service(self, rng: random.Random) -> str:
        """Return the name of a service, drawn at random by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        names = [service.name for service in self.services]
        weights = [service.weight for service in self.services]
        return rng.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRules:
    """Describe a service; the limit is on the connections to each leaf.

    A leaf is cold for ``warmup_s`` after its start and then bears
    ``cold_per_s`` requests a second; 0 is no limit.
    """

    name: str
    connection_limit_count: int
    cold_per_s: float = 0.0
    warmup_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """Describe an organisation whose callers identify themselves by keys.

    Its quota over all daemons is ``rate_per_s`` requests a second and a burst
    of ``burst_count``; a rate of 0 means that there is no quota.
    ``urgency_rank`` 0 is the most urgent and precedes the rank of the route.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    urgency_rank: int = 0
    rate_per_s: float = 0.0
    burst_count: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limit the size of requests of callers and how long they may take."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Represent one version of the configuration.

    ``routes_by_host`` lists the routes of a host by decreasing length of
    their prefix. ``gathered_services`` are the services of all gathers.
    ``tenants`` by name is None if no tenants are configured; requests then
    need no key.
    """

    version: int
    services: dict[str, ServiceRules]
    limits: ClientLimits
    routes_by_host: dict[str, tuple[Route, ...]]
    gathered_services: frozenset[str] = frozenset()
    tenants: dict[str, Tenant] | None = None
    tenants_by_key: dict[str, Tenant] = dataclasses.field(
        default_factory=dict, repr=False
    )

    def tenant_of_key(self, key: str | None) -> Tenant | None:
        """Return the tenant that holds a key, if any."""
        return None if key is None else self.tenants_by_key.get(key)

    def max_shards_count(self) -> int:
        """Return the number of shards of the largest gather."""
        return max(
            (
                len(route.gather.shard_services)
                for routes in self.routes_by_host.values()
                for route in routes
                if route.gather is not None
            ),
            default=0,
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
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
    tenants: abc.Iterable[Tenant] | None = None,
) -> RouteTable:
    """Build a table; sort the routes of each host, longest prefix first.

    The first of several tenants with the same key holds it.
    """
    known = None if tenants is None else {item.name: item for item in tenants}
    by_key: dict[str, Tenant] = {}
    for tenant in (known or {}).values():
        for key in tenant.keys:
            by_key.setdefault(key, tenant)
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {service.name: service for service in services},
        limits,
        {
            host: tuple(sorted(host_routes, key=lambda r: -len(r.path_prefix)))
            for host, host_routes in by_host.items()
        },
        frozenset(
            service
            for host_routes in by_host.values()
            for route in host_routes
            if route.gather is not None
            for service in route.gather.shard_services
        ),
        known,
        by_key,
    )
