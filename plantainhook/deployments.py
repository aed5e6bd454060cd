"""The current deployments of two organisations, the Utility and Dasom.

The demo runs them. A deployment is described without addresses;
``build_settings`` adds the addresses on which the stand-ins listen.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import schema

DAEMON_COUNT: typing.Final = 7
DATA_CENTRE_COUNT: typing.Final = 3
SHARDS_PER_GROUP: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LeafPlan:
    """Describe one leaf of a deployment, without its address."""

    name: str
    group: str
    service: str
    data_centre: str
    connection_limit_count: int
    connect_ms: float
    shards: tuple[str, ...]
    slot_count: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """Describe one query target, which consists of equal shard groups.

    ``service_count`` is the number of groups. Each group has ``leaf_count``
    leafs and ``replica_count`` replicas of each shard.
    """

    target: str
    service_count: int
    leaf_count: int
    connection_limit_count: int
    connect_ms: float
    replica_count: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class KindLoad:
    """Describe a request kind, its rules and its share of the requests."""

    name: str
    target: str
    load_share: float
    rules: schema.Rules


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a deployment at its current size.

    ``zone_delay_ms`` is the one-way delay between data centres, and
    ``caller_delay_ms`` that between callers and daemons.
    """

    name: str
    zone_delay_ms: float
    caller_delay_ms: float
    targets: tuple[TargetSpec, ...]
    kinds: tuple[KindLoad, ...]


UTILITY: typing.Final = Deployment(
    name="utility",
    zone_delay_ms=5.0,
    caller_delay_ms=1.0,
    targets=(
        TargetSpec("map-publishing", 20, 2, 25, 6.0),
        TargetSpec("survey-portal", 30, 2, 25, 6.0),
        TargetSpec("archive-reader", 1, 6, 100, 1.0),
        TargetSpec("fleet-feed", 1, 3, 100, 1.0, replica_count=3),
    ),
    kinds=(
        KindLoad(
            "grid",
            "map-publishing",
            0.4,
            schema.Rules(
                request_class=schema.RequestClass.INTERACTIVE,
                min_coverage_ratio=0.9,
                deadline_ms=2000,
            ),
        ),
        KindLoad(
            "correction",
            "fleet-feed",
            0.3,
            schema.Rules(
                request_class=schema.RequestClass.URGENT, deadline_ms=1000
            ),
        ),
        KindLoad(
            "survey",
            "survey-portal",
            0.2,
            schema.Rules(
                request_class=schema.RequestClass.SEARCH, deadline_ms=3000
            ),
        ),
        KindLoad(
            "station-history",
            "archive-reader",
            0.1,
            schema.Rules(
                request_class=schema.RequestClass.ARCHIVE,
                idempotent=False,
                deadline_ms=10_000,
            ),
        ),
    ),
)

DASOM: typing.Final = Deployment(
    name="dasom",
    zone_delay_ms=4.0,
    caller_delay_ms=3.0,
    targets=(
        TargetSpec("counter-app", 20, 2, 25, 6.0),
        TargetSpec("intake-log", 30, 2, 25, 6.0),
        TargetSpec("archive-desk", 1, 10, 35, 1.0),
        TargetSpec("notice-board", 1, 5, 35, 1.0),
    ),
    kinds=(
        KindLoad(
            "template-hint",
            "notice-board",
            0.4,
            schema.Rules(
                request_class=schema.RequestClass.INTERACTIVE,
                deadline_ms=1000,
            ),
        ),
        KindLoad(
            "case-search",
            "counter-app",
            0.3,
            schema.Rules(
                request_class=schema.RequestClass.SEARCH, deadline_ms=3000
            ),
        ),
        KindLoad(
            "archive-retrieval",
            "archive-desk",
            0.2,
            schema.Rules(
                request_class=schema.RequestClass.ARCHIVE, deadline_ms=30_000
            ),
        ),
        KindLoad(
            "submission",
            "intake-log",
            0.1,
            schema.Rules(
                request_class=schema.RequestClass.SEARCH,
                idempotent=False,
                deadline_ms=5000,
            ),
        ),
    ),
)

DEPLOYMENTS: typing.Final = (UTILITY, DASOM)


def data_centre_name(deployment: Deployment, number: int) -> str:
    """Return the name of a data centre.

    ``number`` counts from 0 and wraps at ``DATA_CENTRE_COUNT``.
    """
    return f"{deployment.name}-dc-{number % DATA_CENTRE_COUNT + 1}"


def plan_leafs(deployment: Deployment) -> list[LeafPlan]:
    """Return all leafs of a deployment, with the shards that they serve."""
    return [
        leaf
        for spec in deployment.targets
        for number in range(spec.service_count)
        for leaf in _group_leafs(deployment, spec, number)
    ]


def _group_leafs(
    deployment: Deployment, spec: TargetSpec, number: int
) -> abc.Iterator[LeafPlan]:
    group = f"{spec.target}-{number + 1}"
    shards_by_leaf: dict[int, list[str]] = {
        n: [] for n in range(spec.leaf_count)
    }
    shard_count = SHARDS_PER_GROUP * max(1, spec.leaf_count // 2)
    for shard in range(shard_count):
        for replica in range(spec.replica_count):
            leaf = (shard + replica) % spec.leaf_count
            shards_by_leaf[leaf].append(f"{group}.{shard}")
    for leaf, shards in shards_by_leaf.items():
        yield LeafPlan(
            name=f"{group}-{leaf + 1}",
            group=group,
            service=spec.target,
            data_centre=data_centre_name(deployment, number + leaf),
            connection_limit_count=spec.connection_limit_count,
            connect_ms=spec.connect_ms,
            shards=tuple(shards),
        )


def build_settings(
    deployment: Deployment, addresses: abc.Mapping[str, str], version: int
) -> schema.Settings:
    """Build the settings of a deployment.

    ``addresses`` maps the name of each leaf to its address; ``version`` is
    the index version of all targets.
    """
    plans = plan_leafs(deployment)
    return schema.Settings(
        data_centre={
            data_centre_name(deployment, number): schema.DataCentre()
            for number in range(DATA_CENTRE_COUNT)
        },
        service={plan.service: schema.Service() for plan in plans},
        request_kind={
            kind.name: schema.RequestKind(rules=kind.rules)
            for kind in deployment.kinds
        },
        group=_build_groups(plans, addresses),
        target={
            spec.target: schema.Target(
                groups=sorted(
                    {p.group for p in plans if p.service == spec.target}
                )
            )
            for spec in deployment.targets
        },
        index={
            index_key(spec.target, version): build_index(
                plans, spec.target, version
            )
            for spec in deployment.targets
        },
    )


def index_key(target: str, version: int) -> str:
    """Return the name of an index object in the settings."""
    return f"{target}{schema.INDEX_KEY_SEPARATOR}{version}"


def _build_groups(
    plans: abc.Iterable[LeafPlan], addresses: abc.Mapping[str, str]
) -> dict[str, schema.Group]:
    groups: dict[str, schema.Group] = {}
    for plan in plans:
        leaf = schema.Leaf(
            name=plan.name,
            address=addresses[plan.name],
            data_centre=plan.data_centre,
            slot_count=plan.slot_count,
            connection_limit_count=plan.connection_limit_count,
            connect_ms=plan.connect_ms,
        )
        group = groups.get(plan.group)
        if group is None:
            groups[plan.group] = schema.Group(
                service=plan.service, leafs=[leaf]
            )
        else:
            group.leafs.append(leaf)
    return groups


def build_index(
    plans: abc.Iterable[LeafPlan], target: str, version: int
) -> schema.Index:
    """Build an index version of a target, with one tile per shard."""
    leafs_by_shard: dict[str, list[str]] = {}
    group_by_shard: dict[str, str] = {}
    for plan in plans:
        if plan.service != target:
            continue
        for shard in plan.shards:
            leafs_by_shard.setdefault(shard, []).append(plan.name)
            group_by_shard[shard] = plan.group
    return schema.Index(
        target=target,
        version=version,
        shards=[
            schema.Shard(
                name=shard,
                group=group_by_shard[shard],
                leafs=leafs,
                tiles=[f"tile-{shard}"],
            )
            for shard, leafs in leafs_by_shard.items()
        ],
    )
