"""Build query machines for forwarded HTTP requests.

A route is treated as a query target whose shards are services: all shard
services of a scatter-gather route, or else the one service that was drawn for
the request. A leaf serves the shard of its service in every version of the
configuration, and a query keeps the route with which it started, so all parts
of an answer belong to one version.
"""

import dataclasses
import typing

import trio
import xxhash

from plantainhook import (
    blackboard,
    clock,
    forwardtypes,
    gatheradmission,
    gatherers,
    quarantine,
    query,
    queryplan,
    querytypes,
    routetable,
    schema,
    shardmap,
    snapshot,
    urgency,
    windowbudget,
)

# Part of the latency goal that is reserved for the exchange between caller and
# daemon: two round trips of up to 6 ms (connection set-up and request) and the
# work of answering.
CALLER_MARGIN_RATIO: typing.Final = 0.06
CALLER_MARGIN_MIN_MS: typing.Final = 16.0
# Hedges aim to use this fraction of the extra calls that the budget allows.
HEDGE_BUDGET_RATIO: typing.Final = 0.5
HEDGE_QUANTILE_MIN: typing.Final = 0.6
# Reserved for the answer to a peer, which has to cross the link between the
# daemons and may wait for a busy CPU.
PEER_MARGIN_MS: typing.Final = 10.0
# Attempts that a leaf certainly did not run do not count towards the limit of
# the route. They are limited by the budget and by this count.
RETRIES_MAX_COUNT: typing.Final = 6
# Limit on the fraction of optional calls that go to other data centres.
CROSS_ZONE_RATIO: typing.Final = 0.5
HEDGE_POLICY: typing.Final = "goal"
# Headers that callers, or proxies before them, set anew for each attempt.
ATTEMPT_HEADERS: typing.Final = frozenset(
    {
        b"b3",
        b"baggage",
        b"date",
        b"traceparent",
        b"tracestate",
        b"x-amzn-trace-id",
        b"x-b3-parentspanid",
        b"x-b3-spanid",
        b"x-b3-traceid",
        b"x-correlation-id",
        b"x-request-id",
        b"x-request-start",
    }
)
# The target of a route has a single version, which is its set of services.
TARGET_VERSION: typing.Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedView:
    """Store a target view and the event that makes it stale."""

    leafs_changed: trio.Event
    view: snapshot.TargetView


@dataclasses.dataclass(frozen=True, slots=True)
class BranchTimes:
    """Store when a branch starts, and its goal and deadline."""

    started_s: float
    goal_s: float
    deadline_s: float


class ForwardPlanner:
    """Build query machines from the leafs on the blackboard.

    ``budgets`` limits the extra calls to each service.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        data_centre: str,
        policies: queryplan.QueryPolicies,
        budgets: windowbudget.WindowBudgets,
    ) -> None:
        self.board = board
        self.budgets = budgets
        self.data_centre = data_centre
        self.policies = policies
        self.clock = clock.TrioClock()
        self._views: dict[tuple[str, ...], _CachedView] = {}

    def build_machine(
        self,
        request: querytypes.QueryRequest,
        route: routetable.Route,
        services: tuple[str, ...],
        now_s: float,
        rank: float | None = None,
    ) -> query.QueryMachine:
        """Build a machine, which has not been started.

        ``services`` are the shards to query. ``rank`` is by default the hash
        of the request id.
        """
        if rank is None:
            rank = rank_of(request.request_id)
        plan = queryplan.QueryPlan(
            request,
            build_rules(route, self._hedge_quantile(services, now_s)),
            lambda: self.target_view(services),
            rank,
        )
        return query.QueryMachine(plan, self.policies, now_s)

    def build_branch_machine(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        all_services: tuple[str, ...],
        services: tuple[str, ...],
        times: BranchTimes,
    ) -> query.QueryMachine:
        """Build the machine of a branch, which queries some of the shards.

        It ends when each shard is merged or lost, or at the deadline.
        """
        rules = build_rules(
            route, self._hedge_quantile(services, times.started_s)
        )
        rules = dataclasses.replace(
            rules,
            below_min=schema.BelowMin.PARTIAL,
            min_coverage_ratio=1.0,
            goal_ms=max(1.0, (times.goal_s - times.started_s) * 1e3),
        )
        plan = queryplan.QueryPlan(
            build_branch_request(forwarded, route, times, services),
            rules,
            lambda: self.target_view(all_services),
            rank_of_request(forwarded),
        )
        return query.QueryMachine(plan, self.policies, times.started_s)

    def tell_caller(
        self,
        forwarded: forwardtypes.ForwardRequest,
        received: forwardtypes.ForwardRequest,
    ) -> forwardtypes.ForwardRequest:
        """Return a request with its caller if it is ambiguous without.

        ``received`` is the request as the caller sent it.
        """
        if self.policies.quarantine.is_ambiguous(
            fingerprint_of(forwarded), self.clock.now_s()
        ):
            return dataclasses.replace(forwarded, caller=caller_of(received))
        return forwarded

    def _hedge_quantile(
        self, services: tuple[str, ...], now_s: float
    ) -> float:
        """Return the latency quantile after which calls are hedged.

        With it, hedges use ``HEDGE_BUDGET_RATIO`` of the allowed extra calls.
        """
        ratio = self.budgets.affordable_ratio(services[0], now_s)
        return max(HEDGE_QUANTILE_MIN, 1.0 - HEDGE_BUDGET_RATIO * ratio)

    def version_view(self, services: tuple[str, ...]) -> snapshot.VersionView:
        """Return the routes to the leafs of some services."""
        return self.target_view(services).versions[TARGET_VERSION]

    def target_view(self, services: tuple[str, ...]) -> snapshot.TargetView:
        """Return the view of some services; cached until leafs change."""
        cached = self._views.get(services)
        if cached is not None and not cached.leafs_changed.is_set():
            return cached.view
        leafs_changed = self.board.change_event(blackboard.Topic.LEAFS)
        view = self._build_view(services)
        self._views[services] = _CachedView(leafs_changed, view)
        return view

    def _build_view(self, services: tuple[str, ...]) -> snapshot.TargetView:
        leafs_by_service: dict[str, list[str]] = {
            name: [] for name in services
        }
        statuses = {}
        for name, info in self.board.settings.leafs.items():
            if info.service not in leafs_by_service:
                continue
            leafs_by_service[info.service].append(name)
            state = self.board.leafs[name].state
            statuses[name] = querytypes.LeafStatus(
                info=info,
                usable=state in blackboard.USABLE_STATES,
                cold=state is blackboard.LeafState.COLD,
                versions={TARGET_VERSION: frozenset((info.service,))},
            )
        shard_map = shardmap.ShardMap(
            "",
            TARGET_VERSION,
            {
                name: shardmap.ShardInfo(name, name, tuple(leafs), 1.0, ())
                for name, leafs in leafs_by_service.items()
            },
        )
        return snapshot.build_target_view(
            "", {TARGET_VERSION: shard_map}, statuses, self.data_centre
        )

    def clear_views(self) -> None:
        """Clear the cache; it may hold views of routes that were removed."""
        self._views.clear()


def build_query_request(
    forwarded: forwardtypes.ForwardRequest,
    route: routetable.Route,
    arrived_s: float,
) -> querytypes.QueryRequest:
    """Build the query for a forwarded request.

    Its deadline leaves time to return the answer within the time that the
    caller stated.
    """
    left_ms = route.timeout_ms
    if forwarded.left_ms is not None:
        left_ms = min(left_ms, forwarded.left_ms - CALLER_MARGIN_MIN_MS)
    return querytypes.QueryRequest(
        request_id=forwarded.request_id,
        target=route.name,
        kind=f"{route.host}{route.path_prefix}",
        params={},
        fingerprint=fingerprint_of(forwarded),
        arrived_s=arrived_s,
        deadline_s=arrived_s + left_ms / 1e3,
    )


def build_branch_request(
    forwarded: forwardtypes.ForwardRequest,
    route: routetable.Route,
    times: BranchTimes,
    services: tuple[str, ...],
) -> querytypes.QueryRequest:
    """Build the query of a branch for some shards of a route."""
    request = build_query_request(forwarded, route, times.started_s)
    return dataclasses.replace(
        request, deadline_s=times.deadline_s, shards=services
    )


def build_gather_query(
    forwarded: forwardtypes.ForwardRequest,
    request: querytypes.QueryRequest,
    route: routetable.Route,
    cores: float,
) -> gatheradmission.GatherQuery:
    """Describe a request on a gathered route to the queue."""
    goal_s = goal_ms_of(route) / 1e3
    return gatheradmission.GatherQuery(
        forwarded.ranks or urgency.of_request(route, None),
        forwarded.tenant or "",
        route.name,
        gatherers.work_of(route, cores),
        min(request.arrived_s + goal_s, request.deadline_s),
        request.deadline_s,
    )


def fingerprint_of(forwarded: forwardtypes.ForwardRequest) -> str:
    """Return a hash that is equal for repetitions of a request.

    Leafs are told the tenant, so the same request of another tenant differs.
    So does that of another caller if the request is ambiguous.
    """
    digest = xxhash.xxh3_64(forwarded.method)
    digest.update(forwarded.host.encode("latin-1"))
    digest.update(forwarded.target)
    digest.update(forwarded.body)
    if forwarded.tenant is not None:
        digest.update(b"\0" + forwarded.tenant.encode())
    return quarantine.caller_fingerprint(digest.hexdigest(), forwarded.caller)


def caller_of(request: forwardtypes.ForwardRequest) -> str:
    """Return a hash that differs between callers; empty if none can be told.

    ``request`` has the headers that the caller sent. Those which change from
    one attempt to the next don't count.
    """
    digest = xxhash.xxh3_64()
    is_told = False
    for name, value in request.headers:
        is_request_id = value == request.request_id.encode("latin-1")
        if not is_request_id and name not in ATTEMPT_HEADERS:
            digest.update(name + b"\0" + value + b"\0")
            is_told = True
    return digest.hexdigest() if is_told else ""


def rank_of(request_id: str) -> float:
    """Return the rank, from 0 to 1, at which a query may use the budget.

    While the budget is short, only queries of low rank make extra calls. This
    is the rank of a request whose urgency is not known.
    """
    return urgency.hash_rank(request_id)


def rank_of_request(forwarded: forwardtypes.ForwardRequest) -> float:
    """Return the rank of a request, by its urgency if that is known."""
    if forwarded.rank is not None:
        return forwarded.rank
    return rank_of(forwarded.request_id)


def min_coverage_of(route: routetable.Route) -> float:
    """Return the share of its services that a route's answer needs."""
    return route.gather.min_coverage_ratio if route.gather else 1.0


def goal_ms_of(route: routetable.Route) -> float:
    """Return the latency goal without the time reserved for the caller."""
    margin_ms = max(CALLER_MARGIN_MIN_MS, CALLER_MARGIN_RATIO * route.goal_ms)
    return max(1.0, route.goal_ms - margin_ms)


def build_rules(
    route: routetable.Route, hedge_quantile: float
) -> querytypes.EffectiveRules:
    """Build the rules for the queries of a route.

    The latency goal is reduced by the time reserved for the caller.
    """
    gather = route.gather
    return querytypes.EffectiveRules(
        request_class=schema.RequestClass.INTERACTIVE,
        idempotent=route.idempotent,
        deadline_ms=int(route.timeout_ms),
        min_coverage_ratio=gather.min_coverage_ratio if gather else 1.0,
        below_min=schema.BelowMin.REFUSE,
        hedge_policy=HEDGE_POLICY,
        hedge_quantile=hedge_quantile,
        hedge_delay_ms=0,
        max_hedges_count=route.max_leafs_count - 1,
        max_retries_count=RETRIES_MAX_COUNT,
        extra_load_ratio=0.0,
        extra_load_floor_per_s=0.0,
        cross_zone_max_ratio=CROSS_ZONE_RATIO,
        queue_limit_count=0,
        goal_ms=goal_ms_of(route),
        max_runs_count=route.max_leafs_count,
    )
