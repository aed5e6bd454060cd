"""Define the leafs, shards and index versions of the matrix cluster."""

import typing

from plantainhook import schema

SHARD_COUNT: typing.Final = 4
# Data centre, group and served shards of each leaf.
LEAF_PLACEMENTS: typing.Final = {
    "a1": ("dc-1", "g1", ("s1", "s2")),
    "a2": ("dc-2", "g1", ("s1", "s2")),
    "b1": ("dc-2", "g2", ("s3", "s4")),
    "b2": ("dc-3", "g2", ("s3", "s4")),
}


def leaf_address(number: int) -> str:
    """Return the address of the leaf with this number."""
    return f"10.0.0.{number}:80"


def build_index(version: int) -> schema.Index:
    """Build an index version in which each shard holds one tile."""
    shards: dict[str, list[str]] = {}
    group_of: dict[str, str] = {}
    for name, (_, group, served) in LEAF_PLACEMENTS.items():
        for shard in served:
            shards.setdefault(shard, []).append(name)
            group_of[shard] = group
    return schema.Index(
        target="t",
        version=version,
        shards=[
            schema.Shard(
                name=shard,
                group=group_of[shard],
                leafs=leafs,
                tiles=[f"tile-{shard}"],
            )
            for shard, leafs in shards.items()
        ],
    )
