"""Builders and a text form of actions, for tests of query decisions."""

import typing
from collections import abc

from plantainhook import (
    errors,
    queryplan,
    querytypes,
    schema,
    shardmap,
    snapshot,
    steps,
)

Table = dict[str, typing.Any]


def build_rules(overrides: Table) -> querytypes.EffectiveRules:
    """Build effective rules from the defaults and some overrides."""
    values = schema.Defaults(**overrides).model_dump()
    return querytypes.EffectiveRules(**values)


def build_leaf(
    name: str, data_centre: str, versions: Table
) -> querytypes.LeafStatus:
    """Build a usable leaf that serves the shards listed for it."""
    info = shardmap.LeafInfo(
        name, "127.0.0.1:1", data_centre, "g", "svc", 2, 25
    )
    served = {
        int(version): frozenset(
            shard for shard, leafs in shards.items() if name in leafs
        )
        for version, shards in versions.items()
    }
    return querytypes.LeafStatus(info, True, False, served)


def build_view(
    leafs: Table, versions: Table, known: Table, tiles: Table
) -> snapshot.TargetView:
    """Build a view of shard maps and of the versions known to be served."""
    statuses = {
        name: build_leaf(name, data_centre, known)
        for name, data_centre in leafs.items()
    }
    shard_maps = {
        int(version): shardmap.ShardMap(
            "t",
            int(version),
            {
                shard: shardmap.ShardInfo(
                    shard, "g", tuple(names), 1.0, tuple(tiles.get(shard, ()))
                )
                for shard, names in shards.items()
            },
        )
        for version, shards in versions.items()
    }
    return snapshot.build_target_view("t", shard_maps, statuses, "dc-1")


def build_plan(
    view: snapshot.TargetView,
    rules: querytypes.EffectiveRules,
    area: abc.Iterable[str] = (),
) -> queryplan.QueryPlan:
    """Build the plan of a query that arrives at time 0."""
    request = querytypes.QueryRequest(
        request_id="r1",
        target="t",
        kind="k",
        params={},
        fingerprint="f1",
        arrived_s=0.0,
        deadline_s=rules.deadline_ms / 1000.0,
        area=tuple(area),
    )
    return queryplan.QueryPlan(request, rules, lambda: view)


def build_reply(
    shards: abc.Iterable[str], version: int = 1, request_id: str = "r1"
) -> querytypes.LeafReply:
    """Build the reply of a leaf."""
    results = tuple(querytypes.ShardResult(name, [name]) for name in shards)
    return querytypes.LeafReply(request_id, version, results)


def build_failure(
    kind: str, ran: str, served: abc.Iterable[int] = ()
) -> errors.LeafError:
    """Build the failure of a call to a leaf."""
    return errors.LeafError(
        steps.Step.QUERY_WAIT,
        "leaf",
        "test",
        errors.LeafFailureKind(kind),
        errors.Ran(ran),
        tuple(served),
    )


def action_text(action: querytypes.Action) -> str:
    """Return an action in the form used by the case files."""
    match action:
        case querytypes.Send():
            shards = "+".join(action.shards)
            return (
                f"{action.reason} {action.attempt_id} {action.leaf} "
                f"{shards} v{action.snapshot}"
            )
        case querytypes.Cancel():
            return f"cancel {action.attempt_id}"
        case querytypes.SetTimer():
            return f"timer {action.at_s:.3f}"
        case querytypes.Finish():
            return outcome_text(action.outcome)


def outcome_text(
    outcome: querytypes.Answer | errors.RefusalError,
) -> str:
    """Return an outcome in the form used by the case files."""
    if isinstance(outcome, errors.RefusalError):
        return f"refused {outcome.kind} ran={outcome.ran}"
    status = "complete" if outcome.complete else "partial"
    text = f"{status} v{outcome.snapshot} {outcome.coverage_ratio:.2f}"
    if outcome.missing_tiles:
        text += " missing " + "+".join(outcome.missing_tiles)
    return text
