"""Test queries whose leafs are down: which are called, which are refused."""

import testtools

from plantainhook import errors, querytypes
from tests import test_querygoal

GoalCase = test_querygoal.GoalCase
CONNECT = errors.LeafFailureKind.CONNECT


def leafs_of(*shards: str) -> list[str]:
    """Return the names of all leafs of some shards."""
    return [f"{shard}{zone}" for shard in shards for zone in "xy"]


class OutOfServiceTest(testtools.TestCase):
    """Check queries while all leafs of one or more shards are down."""

    def test_down_shard_is_not_queried(self) -> None:
        """Guard against waiting for a shard that is known to be down."""
        case = GoalCase(min_coverage_ratio=0.75, down=leafs_of("s2"))
        called = {send.shards[0] for send in case.sends.values()}
        self.assertEqual({"s0", "s1", "s3"}, called)
        for attempt_id in list(case.sends):
            case.reply(attempt_id, 0.02)
        self.assertEqual(("s2",), case.outcome.missing_shards)

    def test_unanswerable_query_is_refused_before_it_runs(self) -> None:
        """Guard against work for a query that cannot be answered."""
        case = GoalCase(min_coverage_ratio=0.75, down=leafs_of("s1", "s2"))
        self.assertEqual({}, case.sends)
        self.assertIsInstance(case.outcome, errors.RefusalError)
        self.assertIs(errors.Ran.NO, case.outcome.ran)

    def test_one_leaf_that_is_up_is_enough(self) -> None:
        """Guard against skipping a shard while one leaf may answer."""
        case = GoalCase(min_coverage_ratio=1.0, down=["s1x", "s2y"])
        self.assertEqual(4, len(case.sends))

    def test_probe_is_sent_after_its_interval(self) -> None:
        """Guard against a down leaf that is never probed."""
        case = GoalCase(min_coverage_ratio=0.75, down=leafs_of("s1"))
        state = case.policies.replicas.states["s1x"]
        state.sent_s = 0.0
        self.assertTrue(state.is_down(0.1))
        self.assertFalse(state.is_down(0.5))
        state.in_flight_count = 1
        self.assertTrue(state.is_down(0.5))

    def test_no_hedge_to_a_leaf_that_is_down(self) -> None:
        """Guard against hedges whose connection would be refused."""
        case = GoalCase(min_coverage_ratio=0.75, down=["s0y"])
        case.record_actions(case.machine.on_timer(0.1))
        self.assertEqual(["s0x"], case.leafs_of("s0"))
        self.assertEqual(2, len(case.leafs_of("s1")))

    def test_query_ends_when_too_few_shards_are_left(self) -> None:
        """Guard against waiting although the query cannot be answered."""
        case = GoalCase(min_coverage_ratio=0.75, max_leafs=1)
        for attempt_id in (1, 2):
            self.assertIs(None, case.outcome)
            case.fail(
                attempt_id,
                0.01,
                errors.Ran.MAYBE,
                errors.LeafFailureKind.CONNECTION_LOST,
            )
        self.assertIsInstance(case.outcome, errors.RefusalError)
        self.assertIsNot(errors.Ran.NO, case.outcome.ran)


class ChargeTest(testtools.TestCase):
    """Check the budget while leafs refuse connections."""

    def test_calls_that_reached_no_leaf_are_free(self) -> None:
        """Guard against a budget spent on leafs that are down."""
        case = GoalCase(extra_count=0.0, min_coverage_ratio=1.0)
        for attempt_id in (1, 2, 3, 4):
            case.fail(attempt_id, 0.01, errors.Ran.NO, CONNECT)
        reasons = [send.reason for send in case.sends.values()]
        retries = reasons.count(querytypes.AttemptReason.RETRY)
        self.assertEqual(4, retries)

    def test_a_hedge_that_reached_no_leaf_is_refunded(self) -> None:
        """Guard against spending the budget on hedges to dead leafs."""
        case = GoalCase(extra_count=1000.0)
        case.record_actions(case.machine.on_timer(0.1))
        budget = case.budgets.of("s0")
        self.assertEqual(1.0, budget.extra_count(0.1))
        (hedge,) = [
            send.attempt_id
            for send in case.sends.values()
            if send.shards == ("s0",)
            and send.reason is querytypes.AttemptReason.HEDGE
        ]
        case.fail(hedge, 0.11, errors.Ran.NO, CONNECT)
        self.assertEqual(0.0, budget.extra_count(0.1))

    def test_refused_calls_are_charged(self) -> None:
        """Guard against free retries of calls that a leaf received."""
        case = GoalCase(extra_count=0.0, min_coverage_ratio=1.0)
        case.fail(1, 0.01, errors.Ran.NO, errors.LeafFailureKind.REFUSED)
        self.assertEqual(4, len(case.sends))
