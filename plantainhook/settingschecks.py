"""Check settings across several operator objects.

Each check in ``CHECKS`` takes settings that match the schema and yields
problems with the key path of the cause.
"""

import collections
import dataclasses
from collections import abc

from plantainhook import schema

KeyPath = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe where settings are wrong and what was expected there."""

    key_path: KeyPath
    expected: str


Check = abc.Callable[[schema.Settings], abc.Iterator[Problem]]


def problems_of(settings: schema.Settings) -> list[Problem]:
    """Run all checks and return the problems found."""
    return [found for check in CHECKS for found in check(settings)]


def check_targets(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find targets that name a group that does not exist."""
    for name, target in settings.target.items():
        for i, group in enumerate(target.groups):
            if group not in settings.group:
                yield Problem(
                    ("target", name, "groups", i),
                    f"expected an existing group, found {group!r}",
                )


def check_groups(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find groups that name a service that does not exist."""
    for name, group in settings.group.items():
        if group.service not in settings.service:
            yield Problem(
                ("group", name, "service"),
                f"expected an existing service, found {group.service!r}",
            )


def check_leafs(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find leafs whose name is taken or whose data centre is missing."""
    owners: dict[str, str] = {}
    for group_name, group in settings.group.items():
        for i, leaf in enumerate(group.leafs):
            path: KeyPath = ("group", group_name, "leafs", i)
            if leaf.name in owners:
                yield Problem(
                    (*path, "name"),
                    f"expected a leaf name that is used once, found "
                    f"{leaf.name!r}, which group {owners[leaf.name]!r} has",
                )
            owners.setdefault(leaf.name, group_name)
            if leaf.data_centre not in settings.data_centre:
                yield Problem(
                    (*path, "data_centre"),
                    f"expected an existing data centre, "
                    f"found {leaf.data_centre!r}",
                )


def check_indexes(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find index versions with a wrong key or a missing target."""
    for key, index in settings.index.items():
        expected_key = (
            f"{index.target}{schema.INDEX_KEY_SEPARATOR}{index.version}"
        )
        if key != expected_key:
            yield Problem(
                ("index", key),
                f"expected the key {expected_key!r}, made of the target and "
                f"the version, found {key!r}",
            )
        if index.target not in settings.target:
            yield Problem(
                ("index", key, "target"),
                f"expected an existing target, found {index.target!r}",
            )


def check_shards(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find shards whose name is taken or whose group is not the target's."""
    for key, index in settings.index.items():
        target = settings.target.get(index.target)
        names = collections.Counter(shard.name for shard in index.shards)
        for i, shard in enumerate(index.shards):
            path: KeyPath = ("index", key, "shards", i)
            if names[shard.name] > 1:
                yield Problem(
                    (*path, "name"),
                    f"expected a shard name that is used once, "
                    f"found {shard.name!r}",
                )
            if target is not None and shard.group not in target.groups:
                yield Problem(
                    (*path, "group"),
                    f"expected a group of target {index.target!r}, "
                    f"found {shard.group!r}",
                )


def check_shard_leafs(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find shards whose group is missing or lacks one of their leafs."""
    leafs_of_group = {
        name: {leaf.name for leaf in group.leafs}
        for name, group in settings.group.items()
    }
    for key, index in settings.index.items():
        for i, shard in enumerate(index.shards):
            known = leafs_of_group.get(shard.group)
            if known is None:
                yield Problem(
                    ("index", key, "shards", i, "group"),
                    f"expected an existing group, found {shard.group!r}",
                )
                continue
            for j, leaf in enumerate(shard.leafs):
                if leaf not in known:
                    yield Problem(
                        ("index", key, "shards", i, "leafs", j),
                        f"expected a leaf of group {shard.group!r}, "
                        f"found {leaf!r}",
                    )


def check_hedge_policies(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find rules that name a hedge policy that does not exist."""
    levels: list[tuple[KeyPath, schema.Rules]] = [
        (("defaults",), settings.defaults)
    ]
    for kind in ("data_centre", "service", "request_kind"):
        for name, item in getattr(settings, kind).items():
            levels.append(((kind, name, "rules"), item.rules))
    for path, rules in levels:
        policy = rules.hedge_policy
        if policy is not None and policy not in schema.HEDGE_POLICIES:
            known = ", ".join(schema.HEDGE_POLICIES)
            yield Problem(
                (*path, "hedge_policy"),
                f"expected one of {known}, found {policy!r}",
            )


def check_share_plan(settings: schema.Settings) -> abc.Iterator[Problem]:
    """Find connection limits that are too low to be divided by the plan."""
    plan = settings.share_plan
    holders = plan.holders_per_leaf
    if holders > plan.share_count:
        yield Problem(
            ("share_plan", "holders_per_leaf"),
            f"expected at most share_count = {plan.share_count}, "
            f"found {holders}",
        )
    for group_name, group in settings.group.items():
        for i, leaf in enumerate(group.leafs):
            if leaf.connection_limit_count // holders < 1:
                yield Problem(
                    (
                        "group",
                        group_name,
                        "leafs",
                        i,
                        "connection_limit_count",
                    ),
                    f"expected at least holders_per_leaf = {holders}, "
                    f"found {leaf.connection_limit_count}",
                )


CHECKS: tuple[Check, ...] = (
    check_targets,
    check_groups,
    check_leafs,
    check_indexes,
    check_shards,
    check_shard_leafs,
    check_hedge_policies,
    check_share_plan,
)
