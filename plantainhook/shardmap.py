"""Define shard maps: the shards of an index version and their leafs.

A shard map is built from a validated ``schema.Index`` and is immutable. Each
index version has its own shard map.
"""

import dataclasses

from plantainhook import schema


@dataclasses.dataclass(frozen=True, slots=True)
class LeafInfo:
    """Describe a leaf for query decisions."""

    name: str
    address: str
    data_centre: str
    group: str
    service: str
    slot_count: int
    connection_limit_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardInfo:
    """Describe a shard of one index version.

    ``leafs`` names its replicas, ``weight`` is its part in the coverage, and
    ``tiles`` names the tiles to which it contributes.
    """

    name: str
    group: str
    leafs: tuple[str, ...]
    weight: float
    tiles: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """Map the names of the shards of one index version to the shards."""

    target: str
    version: int
    shards: dict[str, ShardInfo]

    def total_weight(self) -> float:
        """Return the sum of the weights of all shards."""
        return sum(shard.weight for shard in self.shards.values())


def build_shard_map(index: schema.Index) -> ShardMap:
    """Build the shard map of a validated index version."""
    shards = {
        shard.name: ShardInfo(
            name=shard.name,
            group=shard.group,
            leafs=tuple(shard.leafs),
            weight=shard.weight,
            tiles=tuple(shard.tiles),
        )
        for shard in index.shards
    }
    return ShardMap(index.target, index.version, shards)


def leafs_of(settings: schema.Settings) -> dict[str, LeafInfo]:
    """Return every leaf of the settings, by leaf name."""
    return {
        leaf.name: LeafInfo(
            name=leaf.name,
            address=leaf.address,
            data_centre=leaf.data_centre,
            group=group_name,
            service=group.service,
            slot_count=leaf.slot_count,
            connection_limit_count=leaf.connection_limit_count,
        )
        for group_name, group in settings.group.items()
        for leaf in group.leafs
    }
