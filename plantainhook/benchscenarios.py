"""Define scenarios of the benchmark without faults, and their builders.

Each factory in ``SCENARIOS`` returns a ``benchtypes.Scenario``; the command
line can override its ``request_count``. ``benchfaultscenarios`` and
``benchloadscenarios`` register more scenarios with the builders defined here.

The order of leafs, shards and kinds in a scenario determines the order of the
random draws of a simulation, and so its figures.
"""

import dataclasses
import typing

from plantainhook import benchtypes, registry, shardmap

FaultKind = benchtypes.FaultKind
Fault = benchtypes.Fault

SCENARIOS: typing.Final[registry.Registry[benchtypes.Scenario]] = (
    registry.Registry("scenario")
)

DATA_CENTRES: typing.Final = ("dc-1", "dc-2", "dc-3")
FAN_OUT_SHARD_COUNT: typing.Final = 160
FAN_OUT_GROUP_COUNT: typing.Final = 10
FAN_OUT_REPLICA_COUNT: typing.Final = 3
FAN_OUT_RATE_PER_S: typing.Final = 40.0


def build_leafs(
    group: str,
    count: int,
    slot_count: int,
    connection_limit_count: int,
    data_centres: tuple[str, ...],
) -> tuple[shardmap.LeafInfo, ...]:
    """Build the leafs of a group, assigned to data centres in rotation."""
    return tuple(
        shardmap.LeafInfo(
            name=f"{group}-{number}",
            address="127.0.0.1:1",
            data_centre=data_centres[number % len(data_centres)],
            group=group,
            service=group,
            slot_count=slot_count,
            connection_limit_count=connection_limit_count,
        )
        for number in range(count)
    )


def build_map(
    target: str,
    version: int,
    placement: dict[str, tuple[str, tuple[str, ...]]],
) -> shardmap.ShardMap:
    """Build a shard map; each shard holds one tile.

    ``placement`` maps each shard to its group and its leafs.
    """
    return shardmap.ShardMap(
        target,
        version,
        {
            shard: shardmap.ShardInfo(
                shard, group, leafs, 1.0, (f"tile-{shard}",)
            )
            for shard, (group, leafs) in placement.items()
        },
    )


def build_fan_out(service: benchtypes.ServiceTimes) -> benchtypes.Scenario:
    """Build a target of 160 shards, each on three leafs of its own."""
    leafs: list[shardmap.LeafInfo] = []
    placement = {}
    shards_per_group = FAN_OUT_SHARD_COUNT // FAN_OUT_GROUP_COUNT
    for group_number in range(FAN_OUT_GROUP_COUNT):
        group = f"cell-{group_number}"
        members = build_leafs(
            group, shards_per_group * FAN_OUT_REPLICA_COUNT, 8, 100, ("dc-1",)
        )
        leafs += members
        for number in range(shards_per_group):
            first = number * FAN_OUT_REPLICA_COUNT
            names = tuple(
                leaf.name
                for leaf in members[first : first + FAN_OUT_REPLICA_COUNT]
            )
            placement[f"s{group_number}-{number}"] = (group, names)
    kind = benchtypes.KindSpec(
        "search", "index", FAN_OUT_RATE_PER_S, 5.0, {"deadline_ms": 20_000}
    )
    return benchtypes.Scenario(
        leafs=tuple(leafs),
        maps={"index": {1: build_map("index", 1, placement)}},
        kinds=(kind,),
        request_count=2000,
        service=service,
        reply_fault_ratio=0.0,
    )


@SCENARIOS.register("fanout160")
def fanout160() -> benchtypes.Scenario:
    """Make one in 100 calls ten times slower."""
    return build_fan_out(benchtypes.ServiceTimes(slow_ratio=0.01))


@SCENARIOS.register("fanout160-200")
def fanout160_200() -> benchtypes.Scenario:
    """Make one in 100 calls take 200 ms."""
    return build_fan_out(
        benchtypes.ServiceTimes(slow_ratio=0.01, slow_ms=200.0)
    )


@SCENARIOS.register("fanout160-500")
def fanout160_500() -> benchtypes.Scenario:
    """Make one in 100 calls take 500 ms."""
    return build_fan_out(
        benchtypes.ServiceTimes(slow_ratio=0.01, slow_ms=500.0)
    )


@SCENARIOS.register("fanout160-1800")
def fanout160_1800() -> benchtypes.Scenario:
    """Make one in 100 calls take 1,800 ms."""
    return build_fan_out(
        benchtypes.ServiceTimes(slow_ratio=0.01, slow_ms=1800.0)
    )


def build_small_services(
    prefix: str, count: int, shards_per_service: int
) -> tuple[list[shardmap.LeafInfo], dict[str, tuple[str, tuple[str, ...]]]]:
    """Build services of two leafs with 2 slots and 25 connections each.

    Returns the leafs and the placement for ``build_map``.
    """
    leafs: list[shardmap.LeafInfo] = []
    placement = {}
    for number in range(count):
        group = f"{prefix}-{number}"
        start = number % len(DATA_CENTRES)
        data_centres = DATA_CENTRES[start:] + DATA_CENTRES[:start]
        members = build_leafs(group, 2, 2, 25, data_centres)
        leafs += members
        names = tuple(leaf.name for leaf in members)
        for shard in range(shards_per_service):
            placement[f"{group}-s{shard}"] = (group, names)
    return leafs, placement


def build_large_service(
    group: str,
    leaf_count: int,
    connection_limit_count: int,
    shard_count: int,
) -> tuple[list[shardmap.LeafInfo], dict[str, tuple[str, tuple[str, ...]]]]:
    """Build a service whose shards are on three leafs, one per data centre.

    Returns the leafs and the placement for ``build_map``.
    """
    members = build_leafs(
        group, leaf_count, 2, connection_limit_count, DATA_CENTRES
    )
    placement = {}
    for number in range(shard_count):
        names = tuple(
            members[(number + offset) % leaf_count].name for offset in range(3)
        )
        placement[f"{group}-s{number}"] = (group, names)
    return list(members), placement


def build_kind(
    name: str,
    target: str,
    rate_per_s: float,
    work_ms: float,
    **rules: typing.Any,
) -> benchtypes.KindSpec:
    """Build a request kind whose rules override the defaults."""
    return benchtypes.KindSpec(name, target, rate_per_s, work_ms, rules)


@SCENARIOS.register("utility")
def utility() -> benchtypes.Scenario:
    """Build the deployment of the organisation Utility at its current size."""
    maps_leafs, maps_placement = build_small_services("maps", 20, 2)
    survey_leafs, survey_placement = build_small_services("survey", 30, 1)
    archive_leafs, archive_placement = build_large_service(
        "archive", 6, 100, 12
    )
    fleet_leafs, fleet_placement = build_large_service("fleet", 3, 100, 3)
    tiles = dataclasses.replace(
        build_kind(
            "map-tiles",
            "maps",
            30.0,
            4.0,
            request_class="interactive",
            deadline_ms=500,
            min_coverage_ratio=0.95,
            below_min="refuse",
        ),
        area_count=4,
    )
    kinds = (
        tiles,
        build_kind(
            "correction",
            "fleet",
            20.0,
            2.0,
            request_class="urgent",
            deadline_ms=200,
        ),
        build_kind("survey", "survey", 10.0, 6.0, deadline_ms=1000),
        build_kind(
            "station-history",
            "archive",
            4.0,
            20.0,
            request_class="archive",
            deadline_ms=5000,
            idempotent=False,
        ),
    )
    return benchtypes.Scenario(
        leafs=(*maps_leafs, *survey_leafs, *archive_leafs, *fleet_leafs),
        maps={
            "maps": {1: build_map("maps", 1, maps_placement)},
            "survey": {1: build_map("survey", 1, survey_placement)},
            "archive": {1: build_map("archive", 1, archive_placement)},
            "fleet": {1: build_map("fleet", 1, fleet_placement)},
        },
        kinds=kinds,
        request_count=2000,
        service=benchtypes.ServiceTimes(slow_ratio=0.01),
        network=benchtypes.Network(near_ms=0.2, far_ms=5.0),
        connect_ms=6.0,
    )


@SCENARIOS.register("dasom")
def dasom() -> benchtypes.Scenario:
    """Build the deployment of the organisation Dasom at its current size."""
    counter_leafs, counter_placement = build_small_services("counter", 20, 1)
    intake_leafs, intake_placement = build_small_services("intake", 30, 1)
    archive_leafs, archive_placement = build_large_service(
        "archive", 10, 35, 20
    )
    notice_leafs, notice_placement = build_large_service("notice", 5, 35, 5)
    kinds = (
        build_kind(
            "template-hint",
            "counter",
            30.0,
            2.0,
            request_class="interactive",
            deadline_ms=300,
        ),
        build_kind("case-search", "intake", 15.0, 8.0, deadline_ms=2000),
        build_kind(
            "notice",
            "notice",
            20.0,
            2.0,
            request_class="interactive",
            deadline_ms=300,
        ),
        build_kind(
            "archive-retrieval",
            "archive",
            3.0,
            20.0,
            request_class="archive",
            deadline_ms=30_000,
        ),
        build_kind(
            "submission",
            "archive",
            3.0,
            10.0,
            request_class="archive",
            deadline_ms=10_000,
            idempotent=False,
        ),
    )
    return benchtypes.Scenario(
        leafs=(*counter_leafs, *intake_leafs, *archive_leafs, *notice_leafs),
        maps={
            "counter": {1: build_map("counter", 1, counter_placement)},
            "intake": {1: build_map("intake", 1, intake_placement)},
            "archive": {1: build_map("archive", 1, archive_placement)},
            "notice": {1: build_map("notice", 1, notice_placement)},
        },
        kinds=kinds,
        request_count=2000,
        service=benchtypes.ServiceTimes(slow_ratio=0.01),
        network=benchtypes.Network(near_ms=0.2, far_ms=4.0),
        connect_ms=6.0,
    )
