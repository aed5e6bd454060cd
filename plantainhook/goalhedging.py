"""Define the hedge policy for requests with a latency goal.

An answer before the goal is worth more than one between the goal and the
deadline.

Pattern: leafs pause briefly or become slow, each at a different time. The
hedge delay follows the recent latencies of the request kind over all shards,
because a separate estimate for a shard with a slow leaf would delay the hedge
exactly where it is needed. The delay never exceeds a fraction of the goal, so
that the second leaf can still answer in time.
"""

import typing

from plantainhook import hedging, querytypes

# Fraction of the goal after which a call is hedged at the latest.
LATEST_RATIO: typing.Final = 0.4
# Fraction of the goal after which a call is hedged while there are too few
# latency samples.
FEW_SAMPLES_RATIO: typing.Final = 0.3
# If the goal is below this multiple of the median latency, more calls are
# hedged, because a hedge that starts late would miss the goal.
TIGHT_GOAL_MEDIANS: typing.Final = 5.0
TIGHT_FACTOR: typing.Final = 1.8
# A hedge sent sooner than this multiple of the median would duplicate calls
# that are about to answer.
MEDIAN_FACTOR: typing.Final = 1.3


@hedging.POLICIES.register("goal")
class GoalPolicy:
    """Hedge after a latency quantile, but within a fraction of the goal."""

    uses_load_budget = True
    allows_early_finish = False

    def hedge_delay_s(
        self,
        estimate: hedging.LatencyEstimate,
        rules: querytypes.EffectiveRules,
    ) -> float:
        """Return a latency quantile, limited by a fraction of the goal."""
        goal_s = (rules.goal_ms or rules.deadline_ms) / 1e3
        if not estimate.has_enough_samples():
            return FEW_SAMPLES_RATIO * goal_s
        hedged_ratio = 1.0 - rules.hedge_quantile
        if goal_s < TIGHT_GOAL_MEDIANS * estimate.median_s:
            hedged_ratio *= TIGHT_FACTOR
        quantile_s = estimate.quantile_s(max(0.5, 1.0 - hedged_ratio))
        delay_s = max(quantile_s, MEDIAN_FACTOR * estimate.median_s)
        return min(delay_s, LATEST_RATIO * goal_s)

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the limit in the rules."""
        return rules.max_hedges_count

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the limit in the rules."""
        return rules.max_retries_count


class PooledLatencies(hedging.LatencyEstimates):
    """Store one estimate per request kind over the leafs of all groups."""

    def of(self, group: str, kind: str) -> hedging.LatencyEstimate:
        """Return the estimate of a kind.

        The empty group name selects the estimate for whole queries.
        """
        return super().of("leafs" if group else "", kind)
