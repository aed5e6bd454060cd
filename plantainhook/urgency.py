"""Rank requests by the urgency of their tenant and route.

The rank of a request, from 0 to 1, decides whether it may use what is scarce:
extra calls, tokens of leafs, admission by their limits. The ranks of all
requests are evenly distributed, so of the queries that a service can serve
half of, half have a rank below 0.5.

Pattern: leafs can serve part of the queries, of which few are urgent. Each
urgency has a part of the range as wide as its share of the requests. The
urgent ones are served first, and the others use all that is left.
"""

import bisect
import dataclasses
import math
import typing

import xxhash

from plantainhook import routetable

# Where a fraction of all queries is served, each urgency is served at least
# this part of that fraction.
FLOOR_RATIO: typing.Final = 0.25
# Requests are counted with a weight that falls with this time constant.
MEMORY_S: typing.Final = 60.0
# Requests that are assumed, in equal parts, before any are counted.
ASSUMED_COUNT: typing.Final = 4.0


class Urgency(typing.NamedTuple):
    """Represent the urgency of a request; the lowest is the most urgent."""

    tenant_rank: int
    route_rank: int


def hash_rank(request_id: str) -> float:
    """Return the hash of a request id as a number from 0 to 1."""
    return xxhash.xxh32_intdigest(request_id.encode()) / 2**32


def of_request(
    route: routetable.Route, tenant: routetable.Tenant | None
) -> Urgency:
    """Return the urgency of a request."""
    tenant_rank = 0 if tenant is None else tenant.urgency_rank
    return Urgency(tenant_rank, route.urgency_rank)


def configured(table: routetable.RouteTable) -> tuple[Urgency, ...]:
    """Return the urgencies that requests can have, most urgent first."""
    routes = [
        route for routes in table.routes_by_host.values() for route in routes
    ]
    tenant_ranks = {
        tenant.urgency_rank for tenant in (table.tenants or {}).values()
    }
    found = {
        Urgency(tenant_rank, route.urgency_rank)
        for tenant_rank in tenant_ranks
        for route in routes
    }
    found.update(
        Urgency(0, route.urgency_rank)
        for route in routes
        if table.tenants is None or route.is_public
    )
    return tuple(sorted(found))


def place(hashed: float, below_ratio: float, share_ratio: float) -> float:
    """Return the rank of a request from its hash.

    ``share_ratio`` is the part of the requests with the same urgency, and
    ``below_ratio`` that of the more urgent ones. A fraction x of all requests
    has ranks below x, and at least ``FLOOR_RATIO`` * x of each urgency.
    """
    reached = 1.0 - FLOOR_RATIO * (1.0 - below_ratio - share_ratio)
    ordered = (below_ratio + share_ratio * hashed) / reached
    # Rounding may exceed 1, and peers reject such a rank.
    return min(hashed / FLOOR_RATIO, ordered, 1.0)


@dataclasses.dataclass(slots=True)
class RankScale:
    """Count the requests of this daemon's callers by urgency."""

    urgencies: tuple[Urgency, ...] = ()
    version: int = -1
    _counts: dict[Urgency, float] = dataclasses.field(default_factory=dict)
    _counted_s: float = 0.0

    def rank(
        self,
        table: routetable.RouteTable,
        wanted: Urgency,
        request_id: str,
        now_s: float,
    ) -> float:
        """Count a request and return its rank.

        With only one configured urgency, this is the hash of the request id.
        """
        if table.version != self.version:
            self.version = table.version
            self.urgencies = configured(table)
        hashed = hash_rank(request_id)
        if len(self.urgencies) < 2:
            return hashed
        self._count(wanted, now_s)
        shares = self._shares()
        index = bisect.bisect_left(self.urgencies, wanted)
        own = shares[index] if wanted in self.urgencies else 0.0
        return place(hashed, sum(shares[:index]), own)

    def _count(self, wanted: Urgency, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self._counted_s) / MEMORY_S)
        self._counted_s = now_s
        for known in self._counts:
            self._counts[known] *= kept
        self._counts[wanted] = self._counts.get(wanted, 0.0) + 1.0

    def _shares(self) -> list[float]:
        assumed = ASSUMED_COUNT / len(self.urgencies)
        counts = [
            self._counts.get(known, 0.0) + assumed for known in self.urgencies
        ]
        total = sum(counts)
        return [count / total for count in counts]
