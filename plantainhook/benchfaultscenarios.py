"""Benchmark scenarios with faults on a target of 16 shards.

The target has 4 groups of 6 leafs; each shard is on three leafs, one in
each data centre, and a second request kind is not idempotent.
"""

import dataclasses
import typing

from plantainhook import benchscenarios, benchtypes, shardmap

F = benchtypes.FaultKind
Fault = benchtypes.Fault

GROUP_COUNT: typing.Final = 4
LEAFS_PER_GROUP: typing.Final = 6
SHARDS_PER_GROUP: typing.Final = 4
FAULT_AT_S: typing.Final = 5.0

Placement = dict[str, tuple[str, tuple[str, ...]]]


def medium(request_count: int = 2000) -> benchtypes.Scenario:
    """Build the target without faults."""
    leafs: list[shardmap.LeafInfo] = []
    placement: Placement = {}
    for number in range(GROUP_COUNT):
        members, part = benchscenarios.build_large_service(
            f"group-{number}", LEAFS_PER_GROUP, 100, SHARDS_PER_GROUP
        )
        leafs += members
        placement.update(part)
    kinds = (
        benchscenarios.build_kind(
            "search", "index", 80.0, 5.0, min_coverage_ratio=0.5
        ),
        benchscenarios.build_kind(
            "record", "index", 20.0, 5.0, idempotent=False, deadline_ms=2000
        ),
    )
    return benchtypes.Scenario(
        leafs=tuple(leafs),
        maps={"index": {1: benchscenarios.build_map("index", 1, placement)}},
        kinds=kinds,
        request_count=request_count,
        service=benchtypes.ServiceTimes(slow_ratio=0.005),
    )


def with_faults(*faults: Fault) -> benchtypes.Scenario:
    """Build the target with faults."""
    return dataclasses.replace(medium(), faults=faults)


def group_leafs(number: int) -> tuple[str, ...]:
    """Return the leafs of a group."""
    return tuple(f"group-{number}-{leaf}" for leaf in range(LEAFS_PER_GROUP))


def all_leafs() -> tuple[str, ...]:
    """Return the leafs of all groups."""
    return tuple(
        leaf for number in range(GROUP_COUNT) for leaf in group_leafs(number)
    )


@benchscenarios.SCENARIOS.register("slow-replica")
def slow_replica() -> benchtypes.Scenario:
    """Make one near leaf ten times slower for ten seconds."""
    leaf = ("group-0-0",)
    return with_faults(
        Fault(FAULT_AT_S, F.SLOW, leaf, 10.0),
        Fault(FAULT_AT_S + 10.0, F.SLOW, leaf, 1.0),
    )


@benchscenarios.SCENARIOS.register("lost-replica")
def lost_replica() -> benchtypes.Scenario:
    """Lose one leaf by connection refusal and one that hangs."""
    return with_faults(
        Fault(FAULT_AT_S, F.REFUSE_CONNECTIONS, ("group-0-0",)),
        Fault(FAULT_AT_S, F.HANG, ("group-1-0",)),
        Fault(FAULT_AT_S + 8.0, F.RECOVER, ("group-0-0", "group-1-0")),
    )


@benchscenarios.SCENARIOS.register("group-outage")
def group_outage() -> benchtypes.Scenario:
    """Lose every leaf of a group for eight seconds."""
    leafs = group_leafs(0)
    return with_faults(
        Fault(FAULT_AT_S, F.REFUSE_CONNECTIONS, leafs),
        Fault(FAULT_AT_S + 8.0, F.RECOVER, leafs),
    )


@benchscenarios.SCENARIOS.register("lossy-zone")
def lossy_zone() -> benchtypes.Scenario:
    """Lose 5% of the packets on the link to one data centre."""
    return with_faults(
        Fault(FAULT_AT_S, F.LINK_LOSS, value=0.05, data_centre="dc-2"),
        Fault(FAULT_AT_S + 10.0, F.LINK_LOSS, data_centre="dc-2"),
        Fault(FAULT_AT_S + 2.0, F.DRAIN, ("group-0-0", "group-0-3")),
        Fault(FAULT_AT_S + 8.0, F.RECOVER, ("group-0-0", "group-0-3")),
    )


@benchscenarios.SCENARIOS.register("cold-start")
def cold_start() -> benchtypes.Scenario:
    """Start with cold leafs, which warm up one after another.

    At half the usual rate the cold leafs can just serve the load.
    """
    base = medium()
    kinds = tuple(
        dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 2.0)
        for kind in base.kinds
    )
    leafs = all_leafs()
    cold = [Fault(0.0, F.COLD, leafs)]
    warm = [
        Fault(1.0 + 0.3 * number, F.RECOVER, (leaf,))
        for number, leaf in enumerate(leafs)
    ]
    return dataclasses.replace(base, kinds=kinds, faults=(*cold, *warm))


def rolling(
    leafs: tuple[str, ...], at_s: float, versions: tuple[int, ...]
) -> list[Fault]:
    """Change what the leafs serve, one leaf every 100 ms."""
    return [
        Fault(at_s + 0.1 * number, F.SERVE, (leaf,), versions=versions)
        for number, leaf in enumerate(leafs)
    ]


@benchscenarios.SCENARIOS.register("version-change")
def version_change() -> benchtypes.Scenario:
    """Roll out three index versions, the last two without overlap."""
    base = medium()
    first = base.maps["index"][1]
    maps = {
        version: dataclasses.replace(first, version=version)
        for version in (1, 2, 3, 4)
    }
    leafs = all_leafs()
    declared = Fault(2.0, F.DECLARE, versions=(2, 3, 4))
    faults = (
        declared,
        *rolling(leafs, 3.0, (1, 2)),
        *rolling(leafs, 6.0, (2,)),
        *rolling(leafs, 9.0, (3,)),
        Fault(14.0, F.SERVE, leafs, versions=(4,)),
    )
    return dataclasses.replace(base, maps={"index": maps}, faults=faults)


@benchscenarios.SCENARIOS.register("repartition")
def repartition() -> benchtypes.Scenario:
    """Split every shard in two and move the halves to other leafs."""
    base = medium()
    placement: Placement = {}
    for number in range(GROUP_COUNT):
        group = f"group-{number}"
        members = group_leafs(number)
        for shard in range(SHARDS_PER_GROUP * 2):
            names = tuple(
                members[(shard + step + 1) % LEAFS_PER_GROUP]
                for step in range(3)
            )
            placement[f"{group}-h{shard}"] = (group, names)
    maps = {
        1: base.maps["index"][1],
        2: benchscenarios.build_map("index", 2, placement),
    }
    leafs = all_leafs()
    faults = (
        Fault(2.0, F.DECLARE, versions=(2,)),
        *rolling(leafs, 4.0, (1, 2)),
        *rolling(leafs, 10.0, (2,)),
    )
    return dataclasses.replace(base, maps={"index": maps}, faults=faults)


@benchscenarios.SCENARIOS.register("poison")
def poison() -> benchtypes.Scenario:
    """Send requests that crash leafs; other leafs crash by themselves."""
    base = medium()
    search, record = base.kinds
    kinds = (dataclasses.replace(search, poison_count=3), record)
    faults = tuple(
        Fault(2.0 + 1.5 * number, F.CRASH, (leaf,))
        for number, leaf in enumerate(all_leafs()[:8])
    )
    rack = Fault(16.0, F.CRASH, group_leafs(2)[:3] + group_leafs(3)[:3])
    return dataclasses.replace(base, kinds=kinds, faults=(*faults, rack))
