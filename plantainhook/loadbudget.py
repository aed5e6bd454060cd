"""Limit the extra load of hedges and retries with token budgets.

There is one budget per shard group and a common one. Each first attempt adds
a fraction of a token, and tokens are also added at a minimum rate over time.
Each hedge or retry takes one token from the budget of its group, and a hedge
takes another from the common budget. The group budgets bound the
amplification by retries when a whole group is unavailable. The common budget
bounds the extra load of a query over many groups: each group's budget keeps
tokens for times of low traffic, and together these would allow too much.
"""

import dataclasses
import typing

# Limit on the tokens of a group: what two queries over 160 shards add at a
# ratio of 3%.
BURST_COUNT: typing.Final = 10.0
# Limit on the common tokens: enough for the stragglers of a few concurrent
# queries over 160 shards.
COMMON_BURST_COUNT: typing.Final = 50.0
INITIAL_COUNT: typing.Final = 2.0


@dataclasses.dataclass(slots=True)
class LoadBudget:
    """Track the tokens of one group, or those common to all groups."""

    tokens_count: float = INITIAL_COUNT
    refilled_s: float = 0.0
    burst_count: float = BURST_COUNT

    def earn(self, first_count: int, ratio: float) -> None:
        """Add the given ratio of a token for each first attempt."""
        self.tokens_count = min(
            self.burst_count, self.tokens_count + first_count * ratio
        )

    def refill(self, now_s: float, floor_per_s: float) -> bool:
        """Add tokens at the minimum rate; return whether one is available."""
        gained = max(0.0, now_s - self.refilled_s) * floor_per_s
        self.refilled_s = now_s
        self.tokens_count = min(self.burst_count, self.tokens_count + gained)
        return self.tokens_count >= 1.0

    def spend(self, now_s: float, floor_per_s: float) -> bool:
        """Take one token; return False if there is none."""
        if not self.refill(now_s, floor_per_s):
            return False
        self.tokens_count -= 1.0
        return True


class ExtraLoadBudgets(typing.Protocol):
    """Grant or deny the extra attempts of queries.

    ``rank`` orders the queries from 0 to 1. If the budget is short, an
    implementation may grant attempts only to queries of low rank, so that
    some queries get all the attempts they need instead of every query getting
    some of them.
    """

    def earn(
        self, group: str, first_count: int, ratio: float, now_s: float
    ) -> None:
        """Record first attempts, which add to the budget."""

    def spend_retry(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Return whether a retry is granted; charge it if so."""

    def spend_hedge(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Return whether a hedge is granted; charge it if so."""

    def refund(self, group: str, now_s: float) -> None:
        """Refund a granted attempt that no leaf received."""


@dataclasses.dataclass(slots=True)
class LoadBudgets:
    """Store the budget of each group and the common budget."""

    budgets: dict[str, LoadBudget] = dataclasses.field(default_factory=dict)
    common: LoadBudget = dataclasses.field(
        default_factory=lambda: LoadBudget(
            INITIAL_COUNT, burst_count=COMMON_BURST_COUNT
        )
    )

    def earn(
        self, group: str, first_count: int, ratio: float, now_s: float
    ) -> None:
        """Add tokens for first attempts to the group and common budgets."""
        self.of(group).earn(first_count, ratio)
        self.common.earn(first_count, ratio)

    def spend_retry(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Take one token of the group for a retry.

        The common budget does not limit retries: a missing retry reduces the
        coverage when a replica is lost, while a missing hedge only costs
        time.
        """
        return self.of(group).spend(now_s, floor_per_s)

    def spend_hedge(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Take one token of the group and one common token, or none."""
        if not self.common.refill(now_s, floor_per_s):
            return False
        if not self.of(group).spend(now_s, floor_per_s):
            return False
        return self.common.spend(now_s, floor_per_s)

    def refund(self, group: str, now_s: float) -> None:
        """Return the token of an attempt to its group.

        The common token of a hedge is not returned, because the common
        budget also limits the work of opening connections.
        """
        self.of(group).earn(1, 1.0)

    def of(self, group: str) -> LoadBudget:
        """Return the budget of a group; create it if missing."""
        budget = self.budgets.get(group)
        if budget is None:
            budget = self.budgets[group] = LoadBudget()
        return budget
