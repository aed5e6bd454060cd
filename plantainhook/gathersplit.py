"""Split the shards of a query into branches.

Pattern: the leafs of a query are in several data centres. If one daemon calls
all of them, every part crosses the links between the data centres in full,
although the answer contains few of its records, and all calls use the CPU of
one VM. A branch is the set of shards that a helper, a daemon in the data
centre of their leafs, calls and merges. Only the merged records, the
signatures and the names of missing parts cross the link.

A branch costs a message, so a few shards are called directly. Where VMs are
weak, the shards of one data centre are divided among several helpers, each
shard always to the same one, so that its connections stay in use.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import hashing, querytypes, snapshot, toprecords

# Approximate size of the heads of one call to a leaf and of its reply.
CALL_BYTES: typing.Final = 600
# Approximate size of a branch message and its reply without parts, and of the
# signature of a part.
BRANCH_BYTES: typing.Final = 600
SIGNATURE_BYTES: typing.Final = 40
# A branch has to save at least this factor and this number of bytes, because
# the helper is one more process that can fail.
SAVED_FACTOR: typing.Final = 2.0
SAVED_MIN_BYTES: typing.Final = 4096

# Returns whether none of some leafs is likely to answer well.
IsPoor = abc.Callable[[abc.Sequence[querytypes.LeafStatus]], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class HelperGroup:
    """Represent the helpers of one data centre.

    One of them should not call more than ``shards_limit_count`` shards of a
    query.
    """

    addresses: tuple[str, ...]
    shards_limit_count: int

    def total_limit_count(self) -> int:
        """Return how many shards all helpers together should call."""
        return self.shards_limit_count * len(self.addresses)


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Represent a query as shards to call directly and remote branches.

    ``branches`` holds the shards of each branch by the helper's address.
    """

    direct: tuple[str, ...]
    branches: dict[str, tuple[str, ...]]


def split_shards(
    view: snapshot.VersionView,
    own_address: str,
    own_group: HelperGroup,
    groups: abc.Mapping[str, HelperGroup],
    record_limit_count: int,
    request_id: str,
    is_poor: IsPoor,
) -> Split:
    """Split the shards of a version.

    ``own_group`` holds the helpers of this data centre, including this
    daemon, and ``groups`` those of the others by data centre. The request id
    decides between equal choices, so that queries are spread.

    Pattern: many leafs of one data centre fail or are down. Each of their
    shards would be called in another data centre, after a hedge delay and
    with its full part. Together they form a branch instead.
    """
    direct: list[str] = []
    near: dict[str, frozenset[str]] = {}
    remaining: dict[str, frozenset[str]] = {}
    for route in view.routes:
        remote = frozenset(
            status.info.data_centre for status in route.far
        ).intersection(groups)
        if route.near and not (remote and is_poor(route.near)):
            near.update(dict.fromkeys(route.shards, remote))
        elif remote:
            remaining.update(dict.fromkeys(route.shards, remote))
        else:
            direct.extend(route.shards)
    remaining |= _take_excess(near, own_group.total_limit_count())
    branches: dict[str, tuple[str, ...]] = {}
    own_parts = _divide(own_group, list(near), request_id, own_address)
    direct.extend(own_parts.pop(own_address, []))
    branches.update(
        {address: tuple(shards) for address, shards in own_parts.items()}
    )
    for name, covered in _cover(remaining, groups, request_id).items():
        if not saves_bytes(len(covered), record_limit_count):
            direct.extend(covered)
            continue
        parts = _divide(groups[name], covered, request_id)
        branches.update(
            {address: tuple(shards) for address, shards in parts.items()}
        )
    return Split(tuple(direct), branches)


def saves_bytes(shard_count: int, record_limit_count: int) -> bool:
    """Return whether a branch transfers much less than calls to its leafs.

    A leaf has to return at least as many records as the answer may contain.
    """
    records_bytes = record_limit_count * toprecords.RECORD_BYTES
    direct_bytes = shard_count * (records_bytes + CALL_BYTES)
    branch_bytes = records_bytes + shard_count * SIGNATURE_BYTES + BRANCH_BYTES
    return (
        direct_bytes >= SAVED_FACTOR * branch_bytes
        and direct_bytes - branch_bytes >= SAVED_MIN_BYTES
    )


def _take_excess(
    near: dict[str, frozenset[str]], limit_count: int
) -> dict[str, frozenset[str]]:
    """Remove and return near shards that other data centres should call.

    These are shards beyond the limit that another data centre can call.
    """
    excess_count = len(near) - limit_count
    if excess_count <= 0:
        return {}
    movable = [shard for shard, remote in near.items() if remote]
    return {shard: near.pop(shard) for shard in movable[:excess_count]}


def _cover(
    remaining: dict[str, frozenset[str]],
    groups: abc.Mapping[str, HelperGroup],
    request_id: str,
) -> dict[str, list[str]]:
    """Assign each shard to one of its data centres, using few of them.

    The data centre with most shards is used first (greedy set cover). Beyond
    the limit of its helpers its other shards go to a data centre that is not
    used yet, if they have one.
    """
    covered: dict[str, list[str]] = {}
    while remaining:
        counts: dict[str, int] = {}
        for data_centres in remaining.values():
            for name in data_centres:
                counts[name] = counts.get(name, 0) + 1
        chosen = max(
            counts,
            key=lambda name: (
                min(counts[name], groups[name].total_limit_count()),
                hashing.score(request_id, name),
            ),
        )
        # Shards that no other data centre can call come first.
        taken = sorted(
            (shard for shard in remaining if chosen in remaining[shard]),
            key=lambda shard: len(remaining[shard]),
        )
        only_here = sum(len(remaining[shard]) == 1 for shard in taken)
        limit_count = groups[chosen].total_limit_count()
        taken = taken[: max(only_here, limit_count)]
        covered[chosen] = taken
        for shard in taken:
            del remaining[shard]
        for shard, data_centres in remaining.items():
            remaining[shard] = data_centres - {chosen}
    return covered


def _divide(
    group: HelperGroup,
    shards: list[str],
    request_id: str,
    always: str | None = None,
) -> dict[str, list[str]]:
    """Divide shards among as few helpers of a data centre as the limit allows.

    ``always`` names a helper that takes part in any case. If one helper is
    enough, it is chosen by the request; otherwise shards are assigned by
    their names.
    """
    if not shards:
        return {}
    wanted_count = -(-len(shards) // group.shards_limit_count)
    others = [name for name in group.addresses if name != always]
    chosen = [always] if always is not None else []
    chosen += hashing.choose(request_id, others, wanted_count - len(chosen))
    divided: dict[str, list[str]] = {}
    limit_count = -(-len(shards) // len(chosen))
    for shard in shards:
        for address in hashing.choose(shard, chosen, len(chosen)):
            part = divided.setdefault(address, [])
            if len(part) < limit_count:
                part.append(shard)
                break
    return {address: part for address, part in divided.items() if part}
