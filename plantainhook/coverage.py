"""Merge the results of a query and compute its coverage.

A merge holds the results of one index version only. Its coverage is the
weight of the merged shards divided by the weight of all requested shards.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import querytypes, schema, shardmap

# Weights are summed in different orders, so ratios that should be equal can
# differ by rounding errors.
RATIO_TOLERANCE: typing.Final = 1e-9


@dataclasses.dataclass(slots=True)
class Merge:
    """Collect the results of one index version, each shard once."""

    shard_map: shardmap.ShardMap
    requested: frozenset[str]
    results: dict[str, list[typing.Any]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, shard: str, items: list[typing.Any]) -> bool:
        """Merge a shard; return False if it is already merged."""
        if shard in self.results:
            return False
        self.results[shard] = items
        return True

    def is_complete(self) -> bool:
        """Return whether every requested shard is merged."""
        return len(self.results) == len(self.requested)

    def ratio(self) -> float:
        """Return the merged weight over the requested one, from 0 to 1."""
        if self.is_complete():
            return 1.0
        shards = self.shard_map.shards
        merged = sum(shards[name].weight for name in self.results)
        return merged / sum(shards[name].weight for name in self.requested)

    def missing_shards(self) -> tuple[str, ...]:
        """Return the names of the shards that are not merged, sorted."""
        return tuple(sorted(self.requested - self.results.keys()))

    def missing_tiles(self) -> tuple[str, ...]:
        """Return the tiles that need a shard that is not merged, sorted."""
        shards = self.shard_map.shards
        tiles = {
            tile
            for name in self.requested - self.results.keys()
            for tile in shards[name].tiles
        }
        return tuple(sorted(tiles))

    def area_gaps(self, area: abc.Iterable[str]) -> tuple[str, ...]:
        """Return the tiles of an area that are absent or incomplete, sorted.

        A tile is incomplete if a shard that contributes to it is missing.
        """
        area = set(area)
        if not area:
            return ()
        shards = self.shard_map.shards
        present = {
            tile for name in self.results for tile in shards[name].tiles
        }
        gaps = (area - present) | (area & set(self.missing_tiles()))
        return tuple(sorted(gaps))


def is_sufficient_without(
    merge: Merge, rules: querytypes.EffectiveRules, lost: abc.Set[str]
) -> bool:
    """Return whether an answer is possible without the lost shards.

    Below the minimum coverage it is possible only if the rules accept partial
    answers.
    """
    if not lost or rules.below_min is not schema.BelowMin.REFUSE:
        return True
    if lost >= merge.requested:
        return False
    shards = merge.shard_map.shards
    lost_weight = sum(shards[name].weight for name in lost)
    requested_weight = sum(shards[name].weight for name in merge.requested)
    ratio = 1.0 - lost_weight / requested_weight
    return ratio >= rules.min_coverage_ratio - RATIO_TOLERANCE


def is_enough(
    present_count: int, total_count: int, min_coverage_ratio: float
) -> bool:
    """Return whether a number of shards reaches the minimum coverage."""
    least_count = (min_coverage_ratio - RATIO_TOLERANCE) * total_count
    return present_count >= max(1.0, least_count)


def is_acceptable(
    merge: Merge,
    rules: querytypes.EffectiveRules,
    area: abc.Iterable[str],
) -> bool:
    """Return whether the merge has the minimum coverage and the whole area."""
    if not merge.results:
        return False
    if merge.ratio() < rules.min_coverage_ratio - RATIO_TOLERANCE:
        return False
    return not merge.area_gaps(area)
