"""Assignment of shards to leafs, one assignment per leaf."""

import dataclasses
from collections import abc

from plantainhook import attempts, querytypes, replicas, snapshot


@dataclasses.dataclass(slots=True)
class Assignment:
    """Give some shards to a leaf."""

    status: querytypes.LeafStatus
    group: str
    shards: tuple[str, ...]


def assign_first(
    view: snapshot.VersionView,
    asked: frozenset[str] | None,
    chooser: replicas.ReplicaSelector,
    now_s: float,
) -> list[Assignment]:
    """Choose a leaf for each route; one assignment per leaf.

    ``asked`` limits the shards; None means all of them.
    """
    version = view.shard_map.version
    by_leaf: dict[str, Assignment] = {}
    for route in view.routes:
        shards = route.shards
        if asked is not None:
            shards = tuple(name for name in shards if name in asked)
        if not shards:
            continue
        status = chooser.choose(route.near, route.far, (), version, now_s)
        if status is not None:
            _add(by_leaf, status, route.group, shards)
    return list(by_leaf.values())


def leave_out(
    view: snapshot.VersionView,
    assignments: list[Assignment],
    asked: frozenset[str],
    chooser: replicas.ReplicaSelector,
    now_s: float,
) -> set[str]:
    """Remove the assignments to shards that are down; return what is lost.

    A query of one shard tries its leafs anyhow.
    """
    given = {name for item in assignments for name in item.shards}
    lost = set(asked - given)
    if len(asked) == 1:
        return lost
    for item in tuple(assignments):
        if _is_out(view, item, chooser, now_s):
            assignments.remove(item)
            lost.update(item.shards)
    return lost


def _is_out(
    view: snapshot.VersionView,
    assignment: Assignment,
    chooser: replicas.ReplicaSelector,
    now_s: float,
) -> bool:
    """Return whether no leaf of any shard of an assignment is up."""
    routes = {view.route_of[name] for name in assignment.shards}
    return all(
        chooser.all_down((*route.near, *route.far), now_s) for route in routes
    )


def assign_again(
    view: snapshot.VersionView,
    shard_set: attempts.ShardSet,
    shards: abc.Iterable[str],
    chooser: replicas.ReplicaSelector,
    hedged: bool,
    now_s: float,
) -> list[Assignment]:
    """Choose other leafs for missing shards of a set.

    A leaf that was tried is chosen again only where no other is left. A
    shard without a leaf is left out.
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
            route, shard_set, chooser, hedged, version, now_s
        )
        if status is not None:
            _add(by_leaf, status, route.group, tuple(names))
    return list(by_leaf.values())


def _choose_again(
    route: snapshot.Route,
    shard_set: attempts.ShardSet,
    chooser: replicas.ReplicaSelector,
    hedged: bool,
    version: int,
    now_s: float,
) -> querytypes.LeafStatus | None:
    avoid = shard_set.barred.union(shard_set.tried)
    status = chooser.choose(route.near, route.far, avoid, version, now_s)
    if status is not None:
        return status
    if not hedged:
        return chooser.choose(
            route.near, route.far, shard_set.barred, version, now_s
        )
    avoid = shard_set.barred | _tried_but_last(shard_set, route, chooser)
    return chooser.choose(route.near, route.far, avoid, version, now_s)


def _tried_but_last(
    shard_set: attempts.ShardSet,
    route: snapshot.Route,
    chooser: replicas.ReplicaSelector,
) -> set[str]:
    """Return the leafs to avoid when every replica was tried.

    The next attempt goes to the leaf tried last. It goes back to the first
    leaf only where more calls are in flight there than it has slots: the
    first attempt then waits in a queue and is not slow by itself.
    """
    tried = set(shard_set.tried)
    if not tried:
        return tried
    first = shard_set.tried[0]
    for status in (*route.near, *route.far):
        if status.info.name == first:
            state = chooser.state(status)
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
