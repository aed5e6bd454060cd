"""Assign shards to leafs, with one assignment per leaf.

The dispatcher and the query machine use these functions for first attempts,
hedges and retries. ``replicas.ReplicaSelector`` chooses the leafs.
"""

import dataclasses
from collections import abc

from plantainhook import attempts, querytypes, replicas, snapshot


@dataclasses.dataclass(slots=True)
class Assignment:
    """Represent the shards of one group to request from a leaf."""

    status: querytypes.LeafStatus
    group: str
    shards: tuple[str, ...]


def assign_first(
    view: snapshot.VersionView,
    requested: frozenset[str] | None,
    selector: replicas.ReplicaSelector,
    now_s: float,
) -> list[Assignment]:
    """Choose a leaf for each route of a version.

    ``requested`` limits the shards; None means all of them.
    """
    version = view.shard_map.version
    by_leaf: dict[str, Assignment] = {}
    for route in view.routes:
        shards = route.shards
        if requested is not None:
            shards = tuple(name for name in shards if name in requested)
        if not shards:
            continue
        status = selector.choose(route.near, route.far, (), version, now_s)
        if status is not None:
            _add(by_leaf, status, route.group, shards)
    return list(by_leaf.values())


def skip_unavailable(
    view: snapshot.VersionView,
    assignments: list[Assignment],
    requested: frozenset[str],
    selector: replicas.ReplicaSelector,
    rank: float,
    now_s: float,
) -> set[str]:
    """Remove assignments that cannot be served; return the lost shards.

    These are the ones whose leafs are all down, and those that a query of the
    rank may not send to leafs with request limits. Shards without an
    assignment are lost too. A query of one shard tries its leafs even if all
    seem to be down.
    """
    assigned = {
        name for assignment in assignments for name in assignment.shards
    }
    lost = set(requested - assigned)
    tries_down_leafs = len(requested) == 1
    for assignment in tuple(assignments):
        if not selector.limits.admits(assignment.group, rank) or (
            not tries_down_leafs
            and _is_unavailable(view, assignment, selector, now_s)
        ):
            assignments.remove(assignment)
            lost.update(assignment.shards)
    return lost


def _is_unavailable(
    view: snapshot.VersionView,
    assignment: Assignment,
    selector: replicas.ReplicaSelector,
    now_s: float,
) -> bool:
    """Return whether all leafs of all shards of an assignment are down."""
    routes = {view.route_of[name] for name in assignment.shards}
    return all(
        selector.all_down((*route.near, *route.far), now_s) for route in routes
    )


def assign_again(
    view: snapshot.VersionView,
    shard_set: attempts.ShardSet,
    shards: abc.Iterable[str],
    selector: replicas.ReplicaSelector,
    is_hedge: bool,
    now_s: float,
) -> list[Assignment]:
    """Choose other leafs for missing shards of a shard set.

    A leaf that was already tried is chosen again only if no other is left.
    A shard without a usable leaf gets no assignment.
    """
    version = view.shard_map.version
    shards_by_route: dict[snapshot.Route, list[str]] = {}
    for name in sorted(shards):
        route = view.route_of.get(name)
        if route is not None:
            shards_by_route.setdefault(route, []).append(name)
    by_leaf: dict[str, Assignment] = {}
    for route, names in shards_by_route.items():
        status = _choose_again(
            route, shard_set, selector, is_hedge, version, now_s
        )
        if status is not None:
            _add(by_leaf, status, route.group, tuple(names))
    return list(by_leaf.values())


def _choose_again(
    route: snapshot.Route,
    shard_set: attempts.ShardSet,
    selector: replicas.ReplicaSelector,
    is_hedge: bool,
    version: int,
    now_s: float,
) -> querytypes.LeafStatus | None:
    avoid = shard_set.excluded.union(shard_set.tried)
    status = selector.choose(route.near, route.far, avoid, version, now_s)
    if status is not None:
        return status
    if not is_hedge:
        return selector.choose(
            route.near, route.far, shard_set.excluded, version, now_s
        )
    avoid = shard_set.excluded | _leafs_to_avoid(shard_set, route, selector)
    return selector.choose(route.near, route.far, avoid, version, now_s)


def _leafs_to_avoid(
    shard_set: attempts.ShardSet,
    route: snapshot.Route,
    selector: replicas.ReplicaSelector,
) -> set[str]:
    """Return the leafs to avoid when every replica has been tried.

    The next attempt goes to the leaf that was tried last. It goes to the
    first leaf only if that leaf has more calls in flight than slots: the
    first attempt then probably waits in the leaf's queue, and the leaf itself
    is not slow.
    """
    tried = set(shard_set.tried)
    if not tried:
        return tried
    first = shard_set.tried[0]
    for status in (*route.near, *route.far):
        if status.info.name == first:
            state = selector.state(status)
            if state.in_flight_count > state.slot_count:
                return tried - {first}
    return tried - {shard_set.tried[-1]}


def _add(
    by_leaf: dict[str, Assignment],
    status: querytypes.LeafStatus,
    group: str,
    shards: tuple[str, ...],
) -> None:
    name = status.info.name
    known = by_leaf.get(name)
    if known is not None:
        shards = known.shards + shards
    by_leaf[name] = Assignment(status, group, shards)
