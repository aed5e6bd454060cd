"""Define benchmark scenarios with faults on a target of 16 shards.

The target has 4 groups of 6 leafs. Each shard is on three leafs, one in each
data centre. There are two request kinds, of which one is not idempotent.
"""

import dataclasses
import typing

from plantainhook import benchscenarios, benchtypes, shardmap

FaultKind = benchtypes.FaultKind
Fault = benchtypes.Fault

GROUP_COUNT: typing.Final = 4
LEAFS_PER_GROUP: typing.Final = 6
SHARDS_PER_GROUP: typing.Final = 4
FAULT_START_S: typing.Final = 5.0

Placement = dict[str, tuple[str, tuple[str, ...]]]


def build_medium(request_count: int = 2000) -> benchtypes.Scenario:
    """Build a scenario with this target and without faults."""
    leafs: list[shardmap.LeafInfo] = []
    placement: Placement = {}
    for number in range(GROUP_COUNT):
        members, group_placement = benchscenarios.build_large_service(
            f"group-{number}", LEAFS_PER_GROUP, 100, SHARDS_PER_GROUP
        )
        leafs += members
        placement.update(group_placement)
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


def build_with_faults(*faults: Fault) -> benchtypes.Scenario:
    """Build a scenario with this target and with faults."""
    return dataclasses.replace(build_medium(), faults=faults)


def group_leafs(number: int) -> tuple[str, ...]:
    """Return the names of the leafs of a group."""
    return tuple(f"group-{number}-{leaf}" for leaf in range(LEAFS_PER_GROUP))


def all_leafs() -> tuple[str, ...]:
    """Return the names of the leafs of all groups."""
    return tuple(
        leaf for number in range(GROUP_COUNT) for leaf in group_leafs(number)
    )


@benchscenarios.SCENARIOS.register("slow-replica")
def slow_replica() -> benchtypes.Scenario:
    """Make one leaf in the daemon's data centre ten times slower for 10 s."""
    leaf = ("group-0-0",)
    return build_with_faults(
        Fault(FAULT_START_S, FaultKind.SLOW, leaf, 10.0),
        Fault(FAULT_START_S + 10.0, FaultKind.SLOW, leaf, 1.0),
    )


@benchscenarios.SCENARIOS.register("lost-replica")
def lost_replica() -> benchtypes.Scenario:
    """Make one leaf refuse connections and another one hang."""
    return build_with_faults(
        Fault(FAULT_START_S, FaultKind.REFUSE_CONNECTIONS, ("group-0-0",)),
        Fault(FAULT_START_S, FaultKind.HANG, ("group-1-0",)),
        Fault(
            FAULT_START_S + 8.0, FaultKind.RECOVER, ("group-0-0", "group-1-0")
        ),
    )


@benchscenarios.SCENARIOS.register("group-outage")
def group_outage() -> benchtypes.Scenario:
    """Make every leaf of a group refuse connections for eight seconds."""
    leafs = group_leafs(0)
    return build_with_faults(
        Fault(FAULT_START_S, FaultKind.REFUSE_CONNECTIONS, leafs),
        Fault(FAULT_START_S + 8.0, FaultKind.RECOVER, leafs),
    )


@benchscenarios.SCENARIOS.register("lossy-zone")
def lossy_zone() -> benchtypes.Scenario:
    """Lose 5% of the packets to one data centre, and drain two leafs."""
    return build_with_faults(
        Fault(
            FAULT_START_S, FaultKind.LINK_LOSS, value=0.05, data_centre="dc-2"
        ),
        Fault(FAULT_START_S + 10.0, FaultKind.LINK_LOSS, data_centre="dc-2"),
        Fault(
            FAULT_START_S + 2.0, FaultKind.DRAIN, ("group-0-0", "group-0-3")
        ),
        Fault(
            FAULT_START_S + 8.0, FaultKind.RECOVER, ("group-0-0", "group-0-3")
        ),
    )


@benchscenarios.SCENARIOS.register("cold-start")
def cold_start() -> benchtypes.Scenario:
    """Start with cold leafs, which warm up one after another.

    At half of the usual rate, cold leafs can just serve the load.
    """
    base = build_medium()
    kinds = tuple(
        dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 2.0)
        for kind in base.kinds
    )
    leafs = all_leafs()
    cold = [Fault(0.0, FaultKind.COLD, leafs)]
    warm = [
        Fault(1.0 + 0.3 * number, FaultKind.RECOVER, (leaf,))
        for number, leaf in enumerate(leafs)
    ]
    return dataclasses.replace(base, kinds=kinds, faults=(*cold, *warm))


def change_one_by_one(
    leafs: tuple[str, ...], at_s: float, versions: tuple[int, ...]
) -> list[Fault]:
    """Return faults that change what leafs serve, one leaf every 100 ms."""
    return [
        Fault(at_s + 0.1 * number, FaultKind.SERVE, (leaf,), versions=versions)
        for number, leaf in enumerate(leafs)
    ]


@benchscenarios.SCENARIOS.register("version-change")
def version_change() -> benchtypes.Scenario:
    """Roll out three index versions, the last two without overlap.

    For a while, leafs serve versions 1 and 2 together. Version 3 replaces
    version 2 on one leaf after another, and version 4 replaces version 3 on
    all leafs at once.
    """
    base = build_medium()
    first = base.maps["index"][1]
    maps = {
        version: dataclasses.replace(first, version=version)
        for version in (1, 2, 3, 4)
    }
    leafs = all_leafs()
    declare = Fault(2.0, FaultKind.DECLARE, versions=(2, 3, 4))
    faults = (
        declare,
        *change_one_by_one(leafs, 3.0, (1, 2)),
        *change_one_by_one(leafs, 6.0, (2,)),
        *change_one_by_one(leafs, 9.0, (3,)),
        Fault(14.0, FaultKind.SERVE, leafs, versions=(4,)),
    )
    return dataclasses.replace(base, maps={"index": maps}, faults=faults)


@benchscenarios.SCENARIOS.register("repartition")
def repartition() -> benchtypes.Scenario:
    """Split every shard in two and move the halves to other leafs."""
    base = build_medium()
    placement: Placement = {}
    for number in range(GROUP_COUNT):
        group = f"group-{number}"
        members = group_leafs(number)
        for shard in range(SHARDS_PER_GROUP * 2):
            names = tuple(
                members[(shard + offset + 1) % LEAFS_PER_GROUP]
                for offset in range(3)
            )
            placement[f"{group}-h{shard}"] = (group, names)
    maps = {
        1: base.maps["index"][1],
        2: benchscenarios.build_map("index", 2, placement),
    }
    leafs = all_leafs()
    faults = (
        Fault(2.0, FaultKind.DECLARE, versions=(2,)),
        *change_one_by_one(leafs, 4.0, (1, 2)),
        *change_one_by_one(leafs, 10.0, (2,)),
    )
    return dataclasses.replace(base, maps={"index": maps}, faults=faults)


@benchscenarios.SCENARIOS.register("poison")
def poison() -> benchtypes.Scenario:
    """Send requests that crash leafs, while other leafs crash anyway.

    Eight leafs crash one after another, then six at once, as in the outage
    of a rack. No other request may be quarantined for these crashes.
    """
    base = build_medium()
    search, record = base.kinds
    kinds = (dataclasses.replace(search, poison_count=3), record)
    faults = tuple(
        Fault(2.0 + 1.5 * number, FaultKind.CRASH, (leaf,))
        for number, leaf in enumerate(all_leafs()[:8])
    )
    rack_crash = Fault(
        16.0, FaultKind.CRASH, group_leafs(2)[:3] + group_leafs(3)[:3]
    )
    return dataclasses.replace(base, kinds=kinds, faults=(*faults, rack_crash))
