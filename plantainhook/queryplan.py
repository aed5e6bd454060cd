"""What a query machine is given: its plan and the shared policies."""

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
    """Hold what a query needs to know when it starts.

    ``latest_view`` returns the current view of the target; the machine
    reads it again before each extra attempt.
    """

    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules
    latest_view: abc.Callable[[], snapshot.TargetView]
    # Order of the queries in the use of a short budget, from 0 to 1.
    rank: float = 0.0


@dataclasses.dataclass(slots=True)
class QueryPolicies:
    """Hold the state that the queries of a daemon share."""

    replicas: replicas.ReplicaSelector
    latencies: hedging.LatencyEstimates
    budgets: loadbudget.ExtraLoadBudgets
    quarantine: quarantine.Quarantine
    counters: querytypes.QueryCounters


def build_policies(data_centre: str, seed: int) -> QueryPolicies:
    """Build the shared state of a daemon in a data centre."""
    zone_policy = zones.ZonePolicy(data_centre)
    return QueryPolicies(
        replicas=replicas.ReplicaSelector(zone_policy, random.Random(seed)),
        latencies=hedging.LatencyEstimates(),
        budgets=loadbudget.LoadBudgets(),
        quarantine=quarantine.Quarantine(),
        counters=querytypes.QueryCounters(),
    )
