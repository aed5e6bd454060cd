"""Run the benchmark of the query decisions and compute its figures.

A run takes a scenario, a hedging policy and a seed. ``report`` returns the
figures of a run as a JSON object, one set per request kind and one for the
whole run; ``commands_bench`` prints it, and its keys are a fixed format.
The safety counters come from ``benchobserver.Observer``.

The ``goodput_ratio`` of a kind is the share of its requests that got an answer
in time and with enough coverage. The ``goodput_ratio`` of the run is the
number of such answers divided by the number of requests that the leafs had
capacity for.
"""

import math
import typing

from plantainhook import (
    benchfaultscenarios,  # noqa: F401  registers its scenarios
    benchloadscenarios,  # noqa: F401  registers its scenarios
    benchobserver,
    benchscenarios,
    benchsim,
    benchtypes,
    query,
)

SAFETY_KEYS: typing.Final = (
    "coverage_misreported",
    "snapshot_mixed",
    "ran_more_than_once",
    "false_not_run",
    "connections_over_limit",
)
# The group that the scenario ``group-outage`` makes unavailable.
OUTAGE_GROUP: typing.Final = "group-0"

Figures = dict[str, float]
Report = dict[str, typing.Any]


def scenario_names() -> tuple[str, ...]:
    """Return the names of all registered scenarios in alphabetical order."""
    return benchscenarios.SCENARIOS.names()


def run(
    scenario: benchtypes.Scenario,
    policy: str,
    seed: int,
    machine_factory: benchsim.MachineFactory = query.QueryMachine,
) -> benchsim.Simulation:
    """Run a scenario and return the simulation at its end."""
    simulation = benchsim.Simulation(scenario, policy, seed, machine_factory)
    simulation.run()
    return simulation


def report(
    name: str, policy: str, seed: int, simulation: benchsim.Simulation
) -> Report:
    """Return the figures of a run by request kind and in total."""
    observer = simulation.observer
    return {
        "scenario": name,
        "policy": policy,
        "seed": seed,
        "kinds": {
            kind: kind_figures(simulation, kind) for kind in observer.kinds
        },
        "run": run_figures(simulation),
    }


def kind_figures(simulation: benchsim.Simulation, kind: str) -> Figures:
    """Return the figures of one request kind."""
    observer = simulation.observer
    stats = observer.kinds[kind]
    latencies = sorted(stats.latencies_ms)
    return {
        "requests": stats.requests,
        "complete": stats.complete,
        "partial": stats.partial,
        "refused": stats.refused,
        "p50_ms": percentile(latencies, 0.5),
        "p99_ms": percentile(latencies, 0.99),
        "p999_ms": percentile(latencies, 0.999),
        "coverage_mean": round(mean(stats.coverages), 6),
        "coverage_min": round(min(stats.coverages, default=0.0), 6),
        "coverage_misreported": stats.coverage_misreported,
        "snapshot_mixed": stats.snapshot_mixed,
        "ran_more_than_once": stats.ran_more_than_once,
        "false_not_run": stats.false_not_run,
        "connections_over_limit": observer.connections_over_limit,
        "extra_load_ratio": ratio(stats.extra_calls, stats.first_calls),
        "goodput_ratio": ratio(stats.acceptable, stats.requests),
    }


def run_figures(simulation: benchsim.Simulation) -> Figures:
    """Return the figures that concern the run as a whole."""
    poison = simulation.poison_fingerprints
    quarantined = simulation.policies.quarantine.until_s.keys()
    zone_policy = simulation.policies.replicas.zone_policy
    cross_count = zone_policy.cross_count
    counters = simulation.policies.counters
    return {
        "goodput_ratio": total_goodput(simulation),
        "group_amplification": amplification(
            simulation.observer, OUTAGE_GROUP
        ),
        "cross_zone_ratio": ratio(
            cross_count, cross_count + zone_policy.near_count
        ),
        "poison_requests": len(poison),
        "poison_crashes": simulation.observer.poison_crashes,
        "poison_quarantined": len(poison & quarantined),
        "innocent_quarantined": len(quarantined - poison),
        "hedges": counters.hedge_count,
        "retries": counters.retry_count,
        "restarts": counters.restart_count,
        "budget_denied": counters.budget_denied_count,
        "early_finishes": counters.early_finish_count,
        "suspect_runs": counters.suspect_run_count,
    }


def total_goodput(simulation: benchsim.Simulation) -> float:
    """Return the goodput ratio of all kinds together."""
    stats = simulation.observer.kinds.values()
    requests = sum(kind.requests for kind in stats)
    capacity = requests * capacity_ratio(simulation.scenario)
    return ratio(sum(kind.acceptable for kind in stats), capacity)


def count_safety_violations(simulation: benchsim.Simulation) -> int:
    """Return the sum of all safety counters; anything but 0 is a fault."""
    observer = simulation.observer
    return observer.connections_over_limit + sum(
        stats.coverage_misreported
        + stats.snapshot_mixed
        + stats.ran_more_than_once
        + stats.false_not_run
        for stats in observer.kinds.values()
    )


def amplification(observer: benchobserver.Observer, group: str) -> float:
    """Return the ratio of all calls to a group to its first calls."""
    first, extra = observer.group_calls.get(group, (0, 0))
    return ratio(first + extra, first)


def capacity_ratio(scenario: benchtypes.Scenario) -> float:
    """Return the share of the offered load that the leafs can serve.

    The group with the highest load per slot determines it.
    """
    offered: dict[str, float] = {}
    slots: dict[str, int] = {}
    for leaf in scenario.leafs:
        slots[leaf.group] = slots.get(leaf.group, 0) + leaf.slot_count
    for kind in scenario.kinds:
        shards = scenario.maps[kind.target][1].shards.values()
        calls = {(shard.group, shard.leafs) for shard in shards}
        for group, _ in calls:
            work = kind.rate_per_s * kind.work_ms / 1000.0
            offered[group] = offered.get(group, 0.0) + work
    return min(1.0, *(slots[group] / load for group, load in offered.items()))


def percentile(sorted_values: list[float], quantile: float) -> float:
    """Return the nearest-rank percentile of sorted values, or 0 for none."""
    if not sorted_values:
        return 0.0
    rank = math.ceil(quantile * len(sorted_values))
    return round(sorted_values[max(0, rank - 1)], 3)


def mean(values: list[float]) -> float:
    """Return the mean of values, or 0 for no values."""
    return sum(values) / len(values) if values else 0.0


def ratio(dividend: float, divisor: float) -> float:
    """Return a quotient rounded to six places, or 0 if the divisor is 0."""
    return round(dividend / divisor, 6) if divisor else 0.0
