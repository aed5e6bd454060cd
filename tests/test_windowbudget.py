"""Test the extra-load budget that all daemons share."""

import typing

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import windowbudget

RULES: typing.Final = windowbudget.WindowRules(10.0, 0.2, 52.0)
SERVICE: typing.Final = "shard-1"


def build(
    daemons: int, started_s: float = -100.0
) -> windowbudget.WindowBudgets:
    """Build the budgets of one daemon of a fleet."""
    return windowbudget.WindowBudgets(
        RULES, lambda service: daemons, started_s
    )


def spend_all(budgets: windowbudget.WindowBudgets, now_s: float) -> int:
    """Spend retries of a query of rank 0 until one is refused."""
    count = 0
    while budgets.spend_retry(SERVICE, now_s, 0.0, 0.0):
        count += 1
    return count


class WindowBudgetTest(testtools.TestCase):
    """Check the limit of every window, and which queries get extra calls."""

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.floats(0.01, 3.0), st.integers(0, 20), st.integers(0, 40)
            ),
            min_size=1,
            max_size=40,
        )
    )
    def test_no_window_exceeds_the_budget(
        self, steps: list[tuple[float, int, int]]
    ) -> None:
        """Guard against a sliding window with too many extra calls."""
        budgets = build(daemons=4)
        now_s = 0.0
        requests: list[float] = []
        extras: list[float] = []
        for pause_s, request_count, wanted_count in steps:
            now_s += pause_s
            budgets.earn(SERVICE, request_count, 0.0, now_s)
            requests += [now_s] * request_count
            for _ in range(wanted_count):
                if budgets.spend_retry(SERVICE, now_s, 0.0, 0.0):
                    extras.append(now_s)
            window = [at_s for at_s in extras if at_s > now_s - 10.0]
            counted = max(
                sum(end - 10.0 < at_s <= end for at_s in requests)
                for end in (now_s, now_s - 5.0, now_s - 10.0)
            )
            # Requests are counted in slices of half a second, so both ends of
            # the window are inexact by one slice.
            blurred = sum(now_s - 20.5 < at_s <= now_s for at_s in requests)
            self.assertTrue(len(window) <= 0.2 * blurred + 52.0 / 4)
            self.assertTrue(counted <= blurred)

    def test_fleet_shares_the_fixed_number(self) -> None:
        """Guard against daemons that each use the whole fixed number."""
        for daemons in (1, 6, 77):
            spent = spend_all(build(daemons), 0.0)
            self.assertTrue(daemons * spent <= 52, f"{daemons}: {spent}")

    def test_restarted_daemon_begins_without_the_fixed_number(self) -> None:
        """Guard against using the fixed number twice around a restart."""
        self.assertEqual(0, spend_all(build(1, started_s=0.0), 0.0))
        self.assertTrue(spend_all(build(1, started_s=0.0), 5.0) <= 26)

    def test_short_budget_serves_low_ranks_at_every_shard(self) -> None:
        """Guard against extra calls spread so thinly that no query completes.

        Most leafs refuse half of their calls, and each query needs twelve
        retries. The budget is enough for some of the queries.
        """
        budgets = build(daemons=1)
        shards = [f"shard-{number}" for number in range(20)]
        for shard in shards:
            budgets.earn(shard, 100, 0.0, 0.0)
        complete_counts = {0.1: 0, 0.9: 0}
        for number in range(100):
            rank = (0.1, 0.9)[number % 2]
            complete_counts[rank] += all(
                budgets.spend_retry(shard, number * 0.05, 0.0, rank)
                for shard in shards
            )
        self.assertTrue(
            complete_counts[0.1] > 1.5 * complete_counts[0.9],
            str(complete_counts),
        )

    def test_hedges_leave_budget_for_retries(self) -> None:
        """Guard against hedges that leave no budget for retries."""
        budgets = build(daemons=1)
        while budgets.spend_hedge(SERVICE, 0.0, 0.0, 0.0):
            pass
        self.assertTrue(budgets.spend_retry(SERVICE, 0.0, 0.0, 0.0))
