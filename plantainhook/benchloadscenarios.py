"""Define benchmark scenarios with more load than the leafs can serve.

The target has four groups of three leafs with two slots each. A query makes
one call of about 20 ms to each group, so the target can serve 300 queries a
second. The queries pass the admission queue.
"""

import dataclasses
import typing

from plantainhook import admission, benchscenarios, benchtypes, shardmap

GROUP_COUNT: typing.Final = 4
LEAFS_PER_GROUP: typing.Final = 3
SHARDS_PER_GROUP: typing.Final = 4
WORK_MS: typing.Final = 20.0
CAPACITY_PER_S: typing.Final = 300.0
ARRIVALS_DURATION_S: typing.Final = 5.0
# A group has six slots. A third more queries keep the slots busy.
CONCURRENT_LIMIT_COUNT: typing.Final = 8
QUEUED_LIMIT_COUNT: typing.Final = 64
ARCHIVE_QUEUED_LIMIT_COUNT: typing.Final = 1000

# Request class, share of the load and deadline.
CLASSES: typing.Final = (
    ("urgent", 0.05, 500),
    ("interactive", 0.25, 500),
    ("search", 0.65, 1000),
    ("archive", 0.05, 120_000),
)


def build_overload(factor: float) -> benchtypes.Scenario:
    """Build a scenario whose load is a multiple of the capacity."""
    leafs: list[shardmap.LeafInfo] = []
    placement: dict[str, tuple[str, tuple[str, ...]]] = {}
    for number in range(GROUP_COUNT):
        group = f"group-{number}"
        members = benchscenarios.build_leafs(
            group, LEAFS_PER_GROUP, 2, 100, ("dc-1",)
        )
        leafs += members
        names = tuple(leaf.name for leaf in members)
        for shard in range(SHARDS_PER_GROUP):
            placement[f"{group}-s{shard}"] = (group, names)
    rate = CAPACITY_PER_S * factor
    kinds = tuple(
        benchscenarios.build_kind(
            name,
            "index",
            rate * share,
            WORK_MS,
            request_class=name,
            deadline_ms=deadline_ms,
            min_coverage_ratio=0.5,
        )
        for name, share, deadline_ms in CLASSES
    )
    kinds = tuple(
        dataclasses.replace(kind, fingerprint_count=1000) for kind in kinds
    )
    return benchtypes.Scenario(
        leafs=tuple(leafs),
        maps={"index": {1: benchscenarios.build_map("index", 1, placement)}},
        kinds=kinds,
        request_count=int(rate * ARRIVALS_DURATION_S),
        admission_limits=admission.Limits(
            CONCURRENT_LIMIT_COUNT,
            QUEUED_LIMIT_COUNT,
            ARCHIVE_QUEUED_LIMIT_COUNT,
        ),
    )


@benchscenarios.SCENARIOS.register("overload-2x")
def overload_2x() -> benchtypes.Scenario:
    """Offer twice the load that the leafs can serve."""
    return build_overload(2.0)


@benchscenarios.SCENARIOS.register("overload-10x")
def overload_10x() -> benchtypes.Scenario:
    """Offer ten times the load that the leafs can serve."""
    return build_overload(10.0)
