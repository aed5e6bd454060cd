"""Select the index version to which a query is pinned.

``build_target_view`` turns shard maps and leaf statuses into routes from each
shard to the leafs that serve it. A view is immutable: a daemon builds one per
change of its leaf or settings view, and all queries of the target share it.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import querytypes, shardmap

Leafs = abc.Mapping[str, querytypes.LeafStatus]
# The index versions that a leaf named in a 409 reply, by leaf name.
ReportedVersions = abc.Mapping[str, frozenset[int]]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Route:
    """Represent the usable replicas that some shards have in common.

    ``near`` holds the leafs in the daemon's own data centre, ``far`` all
    others.
    """

    group: str
    near: tuple[querytypes.LeafStatus, ...]
    far: tuple[querytypes.LeafStatus, ...]
    shards: tuple[str, ...]

    def has_replica(self) -> bool:
        """Return whether any leaf can serve the shards."""
        return bool(self.near or self.far)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class VersionView:
    """Represent the routes of one index version.

    ``served_weight`` is the weight of the shards with a usable leaf.
    """

    shard_map: shardmap.ShardMap
    routes: tuple[Route, ...]
    route_of: dict[str, Route]
    all_shards: frozenset[str]
    served_weight: float
    total_weight: float

    def served_ratio(self) -> float:
        """Return the weight of shards with a usable leaf over the total."""
        return self.served_weight / self.total_weight

    def is_complete(self) -> bool:
        """Return whether every shard has a usable leaf known to serve it."""
        return all(route.has_replica() for route in self.routes)


NO_VERSION: typing.Final = VersionView(
    shard_map=shardmap.ShardMap("", 0, {}),
    routes=(),
    route_of={},
    all_shards=frozenset(),
    served_weight=0.0,
    total_weight=0.0,
)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class TargetView:
    """Represent the routes of every index version of one target.

    ``pinned`` is the version for new queries; None if no leaf serves any.
    """

    target: str
    data_centre: str
    shard_maps: abc.Mapping[int, shardmap.ShardMap]
    leafs: Leafs
    versions: dict[int, VersionView]
    pinned: int | None


def build_target_view(
    target: str,
    shard_maps: abc.Mapping[int, shardmap.ShardMap],
    leafs: Leafs,
    data_centre: str,
) -> TargetView:
    """Build the routes of all versions and select the one to pin."""
    versions = {
        version: build_version_view(shard_map, leafs, data_centre, {})
        for version, shard_map in shard_maps.items()
    }
    pinned = select_version(versions)
    return TargetView(target, data_centre, shard_maps, leafs, versions, pinned)


def build_version_view(
    shard_map: shardmap.ShardMap,
    leafs: Leafs,
    data_centre: str,
    reported: ReportedVersions,
) -> VersionView:
    """Build the routes of one version.

    ``reported`` adds the versions that leafs named in 409 replies.
    """
    shards_by_replicas: dict[tuple[str, ...], list[shardmap.ShardInfo]] = {}
    for shard in shard_map.shards.values():
        replicas = tuple(
            name
            for name in shard.leafs
            if _serves(leafs.get(name), shard_map.version, shard, reported)
        )
        shards_by_replicas.setdefault(replicas, []).append(shard)
    routes = tuple(
        _build_route(replicas, shards, leafs, data_centre)
        for replicas, shards in shards_by_replicas.items()
    )
    return VersionView(
        shard_map=shard_map,
        routes=routes,
        route_of={name: route for route in routes for name in route.shards},
        all_shards=frozenset(shard_map.shards),
        served_weight=sum(
            shard.weight
            for replicas, shards in shards_by_replicas.items()
            if replicas
            for shard in shards
        ),
        total_weight=shard_map.total_weight(),
    )


def select_version(versions: abc.Mapping[int, VersionView]) -> int | None:
    """Return the highest complete version, or the one with most coverage.

    Returns None if no leaf is known to serve any shard.
    """
    complete = select_complete(versions, 0)
    if complete is not None:
        return complete.shard_map.version
    served = {
        version: view.served_ratio()
        for version, view in versions.items()
        if view.served_weight > 0
    }
    if not served:
        return None
    return max(served, key=lambda version: (served[version], version))


def select_complete(
    versions: abc.Mapping[int, VersionView], above: int
) -> VersionView | None:
    """Return the highest complete version above ``above``, or None."""
    for version in sorted(versions, reverse=True):
        view = versions[version]
        if version > above and view.routes and view.is_complete():
            return view
    return None


def select_newer(
    view: TargetView, pinned: int, reported: ReportedVersions
) -> VersionView | None:
    """Return the newer version on which to restart a query, or None."""
    newer = {
        version: build_version_view(
            shard_map, view.leafs, view.data_centre, reported
        )
        for version, shard_map in view.shard_maps.items()
        if version > pinned
    }
    selected = select_version(newer)
    return None if selected is None else newer[selected]


def _serves(
    status: querytypes.LeafStatus | None,
    version: int,
    shard: shardmap.ShardInfo,
    reported: ReportedVersions,
) -> bool:
    if status is None or not status.usable:
        return False
    if version in reported.get(status.info.name, ()):
        return True
    return shard.name in status.versions.get(version, ())


def _build_route(
    replicas: tuple[str, ...],
    shards: list[shardmap.ShardInfo],
    leafs: Leafs,
    data_centre: str,
) -> Route:
    statuses = [leafs[name] for name in replicas]
    return Route(
        group=shards[0].group,
        near=tuple(
            status
            for status in statuses
            if status.info.data_centre == data_centre
        ),
        far=tuple(
            status
            for status in statuses
            if status.info.data_centre != data_centre
        ),
        shards=tuple(shard.name for shard in shards),
    )
