"""Hedge policy for requests that are worth most before a goal.

Pattern: leafs pause for a moment or turn slow, each at its own time. The
delay follows the latency of recent calls of the kind at all shards, because
the estimate of one shard with a slow leaf would put the hedge off where it is
needed most. It never exceeds a part of the goal, so that the second leaf can
still answer in time.
"""

import typing

from plantainhook import hedging, querytypes

# Part of the goal after which a call is hedged at the latest.
LATEST_RATIO: typing.Final = 0.4
# The same before latencies are known.
UNLEARNED_RATIO: typing.Final = 0.3
# A kind whose goal is less than so many medians away is hedged more often:
# a second try that begins late does not reach the goal.
TIGHT_GOAL_MEDIANS: typing.Final = 5.0
TIGHT_FACTOR: typing.Final = 1.8
# A hedge this soon would overtake calls that are about to answer.
MEDIAN_FACTOR: typing.Final = 1.3


@hedging.POLICIES.register("goal")
class GoalPolicy:
    """Hedge after a learned quantile, at the latest at a part of the goal."""

    uses_load_budget = True
    allows_early_finish = False

    def hedge_delay_s(
        self,
        estimate: hedging.LatencyEstimate,
        rules: querytypes.EffectiveRules,
    ) -> float:
        """Return the learned quantile within the bounds of the goal."""
        goal_s = (rules.goal_ms or rules.deadline_ms) / 1e3
        if not estimate.has_enough_samples():
            return UNLEARNED_RATIO * goal_s
        hedged_ratio = 1.0 - rules.hedge_quantile
        if goal_s < TIGHT_GOAL_MEDIANS * estimate.median_s:
            hedged_ratio *= TIGHT_FACTOR
        quantile_s = estimate.quantile_s(max(0.5, 1.0 - hedged_ratio))
        delay_s = max(quantile_s, MEDIAN_FACTOR * estimate.median_s)
        return min(delay_s, LATEST_RATIO * goal_s)

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the number in the rules."""
        return rules.max_hedges_count

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the number in the rules."""
        return rules.max_retries_count


class PooledLatencies(hedging.LatencyEstimates):
    """Hold one estimate per request kind for the leafs of all groups."""

    def of(self, group: str, kind: str) -> hedging.LatencyEstimate:
        """Return the estimate of a kind; that of whole queries is apart."""
        return super().of("leafs" if group else "", kind)
