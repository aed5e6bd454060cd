"""Measure the CPU time of one query in the decision code.

``query.QueryMachine`` runs without leafs and without I/O; every call gets an
immediate reply. Each result is the minimum of several rounds, because other
work on the machine only adds to a measurement.
"""

import time
import typing

from plantainhook import (
    benchscenarios,
    benchtypes,
    query,
    queryplan,
    querytypes,
    shardmap,
    snapshot,
)

FAN_OUTS: typing.Final = (2, 16, 160)
SHARD_SENDS_TOTAL_COUNT: typing.Final = 64_000
LATENCY_S: typing.Final = 0.005
REPLICA_COUNT: typing.Final = 3
ROUND_COUNT: typing.Final = 3


def measure(policy: str) -> dict[str, float]:
    """Return the CPU time per query in microseconds for each fan-out."""
    return {
        f"query_us_fanout_{fan_out}": round(
            min(measure_fan_out(policy, fan_out) for _ in range(ROUND_COUNT))
            * 1e6,
            1,
        )
        for fan_out in FAN_OUTS
    }


def measure_fan_out(policy: str, fan_out: int) -> float:
    """Return the mean CPU time per query in seconds."""
    view = build_view(fan_out)
    rules = benchtypes.build_rules({}, policy)
    policies = queryplan.build_policies("dc-1", 0)
    query_count = SHARD_SENDS_TOTAL_COUNT // fan_out
    started_s = time.process_time()
    for number in range(query_count):
        run_query(view, rules, policies, number)
    return (time.process_time() - started_s) / query_count


def run_query(
    view: snapshot.TargetView,
    rules: querytypes.EffectiveRules,
    policies: queryplan.QueryPolicies,
    number: int,
) -> None:
    """Run one query whose leafs all reply immediately."""
    now_s = float(number)
    request = querytypes.QueryRequest(
        f"q{number}", "t", "k", {}, "f", now_s, now_s + 1.0
    )
    plan = queryplan.QueryPlan(request, rules, lambda: view)
    machine = query.QueryMachine(plan, policies, now_s)
    for action in machine.start(now_s):
        if isinstance(action, querytypes.Send):
            results = tuple(
                querytypes.ShardResult(name, []) for name in action.shards
            )
            reply = querytypes.LeafReply(
                request.request_id, action.snapshot, results
            )
            machine.on_reply(action.attempt_id, reply, now_s + LATENCY_S)


def build_view(fan_out: int) -> snapshot.TargetView:
    """Build a target in which each shard has three leafs of its own."""
    leafs: dict[str, querytypes.LeafStatus] = {}
    placement: dict[str, tuple[str, tuple[str, ...]]] = {}
    for number in range(fan_out):
        group = f"g{number % 10}"
        members = benchscenarios.build_leafs(
            f"{group}-{number}", REPLICA_COUNT, 2, 100, ("dc-1",)
        )
        shard = f"s{number}"
        served = {1: frozenset({shard})}
        for info in members:
            leafs[info.name] = querytypes.LeafStatus(info, True, False, served)
        placement[shard] = (group, tuple(info.name for info in members))
    maps: dict[int, shardmap.ShardMap] = {
        1: benchscenarios.build_map("t", 1, placement)
    }
    return snapshot.build_target_view("t", maps, leafs, "dc-1")
