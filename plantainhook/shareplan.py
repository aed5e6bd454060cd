"""Division of the connection limits of leafs among shares.

The leafs of a group are hashed into cells. The plan assigns each cell some
shares, its holders. Only these may connect to the leafs of the cell, and each
gets an equal part of a leaf's connection limit.

All functions are pure, and all daemons compute the same result from the plan
and names alone; membership is not involved. The cell of a leaf depends only on
its data centre, group and name, so adding a leaf moves no other leaf.
"""

import dataclasses
import functools
import typing
from collections import abc

from plantainhook import blackboard, hashing, schema, shardmap

DEPLOYMENT_SCOPE: typing.Final = "all"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Plan:
    """Represent the parameters of the division of one generation.

    Plans are ordered by their generation first.
    """

    generation: int
    share_count: int
    holders_per_leaf: int
    cells_per_group: int


def plan_of(plan: schema.SharePlan) -> Plan:
    """Return the plan of the settings, without its scope."""
    return Plan(
        plan.generation,
        plan.share_count,
        plan.holders_per_leaf,
        plan.cells_per_group,
    )


def scope_of(plan: schema.SharePlan, data_centre: str) -> str:
    """Return the scope that a data centre belongs to.

    Claims and shares of different scopes are independent of each other.
    """
    if plan.scope == "deployment":
        return DEPLOYMENT_SCOPE
    return f"dc/{data_centre}"


def cell_of(leaf: shardmap.LeafInfo, plan: Plan) -> str:
    """Return the name of the cell that a leaf is hashed into."""
    number = hashing.bucket(leaf.name, plan.cells_per_group)
    return f"{leaf.data_centre}/{leaf.group}/{number}"


@functools.lru_cache(maxsize=4096)
def holders(cell: str, plan: Plan) -> tuple[int, ...]:
    """Return the shares that may connect to the leafs of a cell."""
    numbers = range(plan.share_count)
    return tuple(hashing.choose(cell, numbers, plan.holders_per_leaf))


def allotment(leaf: shardmap.LeafInfo, share: int, plan: Plan) -> int:
    """Return how many connections a share may open to a leaf.

    The allotments of all holders add up to at most the leaf's limit.
    """
    if share not in holders(cell_of(leaf, plan), plan):
        return 0
    return leaf.connection_limit_count // plan.holders_per_leaf


def allotments(
    leafs: abc.Iterable[shardmap.LeafInfo],
    share: int,
    plans: abc.Collection[Plan],
) -> dict[str, int]:
    """Return the smallest allotment over all plans, by leaf name.

    Leafs with an allotment of 0 are left out.
    """
    counts = {}
    for leaf in leafs:
        count = min(allotment(leaf, share, plan) for plan in plans)
        if count > 0:
            counts[leaf.name] = count
    return counts


def leafs_in_scope(
    view: blackboard.SettingsView, data_centre: str
) -> list[shardmap.LeafInfo]:
    """Return the leafs in the scope of a data centre."""
    plan = view.settings.share_plan
    own_scope = scope_of(plan, data_centre)
    return [
        leaf
        for leaf in view.leafs.values()
        if scope_of(plan, leaf.data_centre) == own_scope
    ]


def owners(
    members: abc.Iterable[blackboard.MemberInfo], plan: schema.SharePlan
) -> dict[str, dict[int, int]]:
    """Return the owners of shares, as the members announce them.

    The result maps scopes and then shares to incarnations.
    """
    by_scope: dict[str, dict[int, int]] = {}
    for member in members:
        if member.alive and member.share is not None:
            scope = scope_of(plan, member.data_centre)
            by_scope.setdefault(scope, {})[member.share] = member.incarnation
    return by_scope


def moved_leafs(old: schema.Settings, new: schema.Settings) -> list[str]:
    """Return the leafs whose cell changes without a new generation.

    Such a change would let two sets of holders connect to the same leaf, so
    settings that contain one are invalid. The result also contains
    "share_plan" if the plan itself changes without a new generation.
    """
    before, after = plan_of(old.share_plan), plan_of(new.share_plan)
    old_leafs = shardmap.leafs_of(old)
    return [
        leaf.name
        for leaf in shardmap.leafs_of(new).values()
        if leaf.name in old_leafs
        and cell_of(leaf, before) != cell_of(old_leafs[leaf.name], before)
    ] + (
        ["share_plan"]
        if before != after and before.generation >= after.generation
        else []
    )
