"""Define the inputs of a query machine: its plan and the shared policies."""

import dataclasses
import random
from collections import abc

from plantainhook import (
    hedging,
    loadbudget,
    quarantine,
    querytypes,
    replicas,
    snapshot,
    zones,
)


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPlan:
    """Represent the request and the rules of one query.

    ``latest_view`` returns the current view of the target. The machine calls
    it again before each extra attempt.
    """

    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules
    latest_view: abc.Callable[[], snapshot.TargetView]
    # From 0 to 1; if the budget for extra calls or the limits of leafs are
    # short, low ranks go first.
    rank: float = 0.0


@dataclasses.dataclass(slots=True)
class QueryPolicies:
    """Collect the state that all queries of a daemon share."""

    replicas: replicas.ReplicaSelector
    latencies: hedging.LatencyEstimates
    budgets: loadbudget.ExtraLoadBudgets
    quarantine: quarantine.Quarantine
    counters: querytypes.QueryCounters


def build_policies(data_centre: str, seed: int) -> QueryPolicies:
    """Build the shared state of a daemon in a data centre.

    ``seed`` seeds the random choice among replicas.
    """
    zone_policy = zones.ZonePolicy(data_centre)
    return QueryPolicies(
        replicas=replicas.ReplicaSelector(zone_policy, random.Random(seed)),
        latencies=hedging.LatencyEstimates(),
        budgets=loadbudget.LoadBudgets(),
        quarantine=quarantine.Quarantine(),
        counters=querytypes.QueryCounters(),
    )
