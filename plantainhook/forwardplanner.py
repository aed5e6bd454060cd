"""Builds the query machine of a forwarded HTTP request.

A route becomes a target whose shards are services: all services of a gather,
or the one service that was drawn for the request. A leaf serves the shard of
its service in every version of the configuration, and a query keeps to the
route with which it began, so the parts of an answer belong to one version.
"""

import dataclasses
import typing

import trio
import xxhash

from plantainhook import (
    blackboard,
    clock,
    forwardtypes,
    query,
    queryplan,
    querytypes,
    routetable,
    schema,
    shardmap,
    snapshot,
    windowbudget,
)

# Time between caller and daemon that a goal has to leave: two round trips of
# up to 6 ms (the connection and the request) and the work of the answer.
RETURN_RATIO: typing.Final = 0.06
RETURN_MIN_MS: typing.Final = 16.0
# Hedges aim to use this part of the extra calls that the budget allows.
HEDGE_SHARE: typing.Final = 0.5
HEDGE_QUANTILE_MIN: typing.Final = 0.6
# An answer to a peer passes a link between daemons and a busy processor.
PEER_RETURN_MS: typing.Final = 10.0
# Tries that a leaf certainly did not run are limited by the budget.
RETRIES_MAX_COUNT: typing.Final = 6
# Replicas of other data centres may take this part of the optional calls.
CROSS_ZONE_RATIO: typing.Final = 0.5
HEDGE_POLICY: typing.Final = "goal"
# A target of a route has one version: its set of services.
VERSION: typing.Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedView:
    """Hold a target view and the event of the change that ends it."""

    leafs_changed: trio.Event
    view: snapshot.TargetView


class ForwardPlanner:
    """Plan forwarded requests from the leafs of the blackboard."""

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

    def machine(
        self,
        request: querytypes.QueryRequest,
        route: routetable.Route,
        services: tuple[str, ...],
        now_s: float,
    ) -> query.QueryMachine:
        """Return a machine that has not started."""
        plan = queryplan.QueryPlan(
            request,
            build_rules(route, self._hedge_quantile(services, now_s)),
            lambda: self.target_view(services),
            rank_of(request.request_id),
        )
        return query.QueryMachine(plan, self.policies, now_s)

    def _hedge_quantile(
        self, services: tuple[str, ...], now_s: float
    ) -> float:
        """Return the quantile at which hedges use their part of the budget."""
        ratio = self.budgets.affordable_ratio(services[0], now_s)
        return max(HEDGE_QUANTILE_MIN, 1.0 - HEDGE_SHARE * ratio)

    def target_view(self, services: tuple[str, ...]) -> snapshot.TargetView:
        """Return the leafs of some services as they are known now."""
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
                usable=state
                in (blackboard.LeafState.LIVE, blackboard.LeafState.COLD),
                cold=state is blackboard.LeafState.COLD,
                versions={VERSION: frozenset((info.service,))},
            )
        shard_map = shardmap.ShardMap(
            "",
            VERSION,
            {
                name: shardmap.ShardInfo(name, name, tuple(leafs), 1.0, ())
                for name, leafs in leafs_by_service.items()
            },
        )
        return snapshot.build_target_view(
            "", {VERSION: shard_map}, statuses, self.data_centre
        )

    def forget_views(self) -> None:
        """Drop the views of routes that may exist no more."""
        self._views.clear()


def build_query_request(
    forwarded: forwardtypes.ForwardRequest,
    route: routetable.Route,
    arrived_s: float,
) -> querytypes.QueryRequest:
    """Return the query of a forwarded request."""
    left_ms = route.timeout_ms
    if forwarded.left_ms is not None:
        left_ms = min(left_ms, forwarded.left_ms - RETURN_MIN_MS)
    return querytypes.QueryRequest(
        request_id=forwarded.request_id,
        target=route.name,
        kind=f"{route.host}{route.path_prefix}",
        params={},
        fingerprint=fingerprint_of(forwarded),
        arrived_s=arrived_s,
        deadline_s=arrived_s + left_ms / 1e3,
    )


def fingerprint_of(forwarded: forwardtypes.ForwardRequest) -> str:
    """Return the hash of what a repeated request has in common."""
    digest = xxhash.xxh3_64(forwarded.method)
    digest.update(forwarded.target)
    digest.update(forwarded.body)
    return digest.hexdigest()


def rank_of(request_id: str) -> float:
    """Return the rank of a query in the use of a short budget."""
    return xxhash.xxh32_intdigest(request_id.encode()) / 2**32


def build_rules(
    route: routetable.Route, hedge_quantile: float
) -> querytypes.EffectiveRules:
    """Return the rules of a route for the query machine."""
    gather = route.gather
    margin_ms = max(RETURN_MIN_MS, RETURN_RATIO * route.goal_ms)
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
        goal_ms=max(1.0, route.goal_ms - margin_ms),
        max_runs_count=route.max_leafs_count,
    )
