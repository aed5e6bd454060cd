"""Test the hedge policy for requests with a latency goal."""

import typing

import testtools

from plantainhook import forwardplanner, goalhedging, hedging, routetable

GOAL_MS: typing.Final = 175.0


def build_rules(quantile: float = 0.9) -> typing.Any:
    """Build the rules of a route that allows two leafs at most."""
    route = routetable.Route("r", "h", "/a/", True, 800.0, GOAL_MS, 2, 1)
    return forwardplanner.build_rules(route, quantile)


def estimate_of(*latencies_s: float) -> hedging.LatencyEstimate:
    """Build an estimate with enough samples."""
    estimate = hedging.LatencyEstimate()
    for _ in range(100):
        for latency_s in latencies_s:
            estimate.record(latency_s)
    return estimate


class GoalPolicyTest(testtools.TestCase):
    """Check the delay after which a call is hedged."""

    def test_delay_stays_within_the_goal(self) -> None:
        """Guard against a hedge too late for an answer before the goal."""
        rules = build_rules()
        slow = estimate_of(0.5)
        delay_s = goalhedging.GoalPolicy().hedge_delay_s(slow, rules)
        self.assertTrue(delay_s <= 0.4 * GOAL_MS / 1e3)

    def test_unknown_latency(self) -> None:
        """Guard against the lack of hedges before latencies are known."""
        delay_s = goalhedging.GoalPolicy().hedge_delay_s(
            hedging.LatencyEstimate(), build_rules()
        )
        self.assertTrue(0 < delay_s <= 0.4 * GOAL_MS / 1e3)

    def test_tight_goal_is_hedged_sooner(self) -> None:
        """Guard against short requests that wait behind long searches.

        The goal of a request is four times its median latency, and the leaf
        that it is sent to has no free slot.
        """
        rules = build_rules(0.7)
        policy = goalhedging.GoalPolicy()
        spread = [0.03 + 0.0005 * number for number in range(40)]
        tight = policy.hedge_delay_s(estimate_of(*spread), rules)
        relaxed = policy.hedge_delay_s(
            estimate_of(*[value / 2 for value in spread]), rules
        )
        self.assertTrue(tight < 2 * relaxed, f"{tight} {relaxed}")

    def test_one_slow_shard_does_not_delay_its_hedges(self) -> None:
        """Guard against an estimate that is based on the slow leafs alone.

        Both leafs of one shard become slow, and all other leafs stay fast.
        """
        estimates = goalhedging.PooledLatencies()
        for _ in range(100):
            for shard in range(20):
                latency_s = 0.3 if shard == 0 else 0.02
                estimates.of(f"s{shard}", "kind").record(latency_s)
        delay_s = goalhedging.GoalPolicy().hedge_delay_s(
            estimates.of("s0", "kind"), build_rules()
        )
        self.assertTrue(delay_s < 0.05, str(delay_s))
