"""Extra-load budgets of hedges and retries: of each shard group and of all.

Each first attempt earns a fraction of a token, a floor adds tokens with
time, and each hedge or retry spends one from the budget of its group; a hedge
spends one from the common budget as well. The first bounds the retry
amplification when a whole group is out; the second bounds the extra load of a
query over many groups, each of which has tokens for low traffic.
"""

import dataclasses
import typing

# Tokens kept for a burst: two 160-shard queries at a ratio of 3%.
BURST_COUNT: typing.Final = 10.0
# Tokens for the stragglers of a few queries of fan-out 160 at once.
COMMON_BURST_COUNT: typing.Final = 50.0
INITIAL_COUNT: typing.Final = 2.0


@dataclasses.dataclass(slots=True)
class LoadBudget:
    """Hold the tokens of one group, or the common ones."""

    tokens_count: float = INITIAL_COUNT
    refilled_s: float = 0.0
    burst_count: float = BURST_COUNT

    def earn(self, first_count: int, ratio: float) -> None:
        """Add the share of first attempts."""
        self.tokens_count = min(
            self.burst_count, self.tokens_count + first_count * ratio
        )

    def refill(self, now_s: float, floor_per_s: float) -> bool:
        """Add what the floor gives; return whether there is a token."""
        gained = max(0.0, now_s - self.refilled_s) * floor_per_s
        self.refilled_s = now_s
        self.tokens_count = min(self.burst_count, self.tokens_count + gained)
        return self.tokens_count >= 1.0

    def spend(self, now_s: float, floor_per_s: float) -> bool:
        """Take one token; return False where there is none."""
        if not self.refill(now_s, floor_per_s):
            return False
        self.tokens_count -= 1.0
        return True


class ExtraLoadBudgets(typing.Protocol):
    """Grant the extra attempts of queries.

    ``rank`` orders the queries from 0 to 1. Where the budget is short, an
    implementation may serve queries of low rank only, so that some get all
    the attempts that they need instead of all getting a part of them.
    """

    def earn(
        self, group: str, first_count: int, ratio: float, now_s: float
    ) -> None:
        """Take note of first attempts."""

    def spend_retry(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Grant a retry or refuse it."""

    def spend_hedge(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Grant a hedge or refuse it."""

    def refund(self, group: str, now_s: float) -> None:
        """Take back a granted attempt that no leaf received."""


@dataclasses.dataclass(slots=True)
class LoadBudgets:
    """Hold the budgets of all groups and the common one."""

    budgets: dict[str, LoadBudget] = dataclasses.field(default_factory=dict)
    common: LoadBudget = dataclasses.field(
        default_factory=lambda: LoadBudget(
            INITIAL_COUNT, burst_count=COMMON_BURST_COUNT
        )
    )

    def earn(
        self, group: str, first_count: int, ratio: float, now_s: float
    ) -> None:
        """Add the share of first attempts to a group and to the whole."""
        self.of(group).earn(first_count, ratio)
        self.common.earn(first_count, ratio)

    def spend_retry(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Take one token of the group for a retry.

        The common budget does not bound retries: without a retry a lost
        replica costs coverage, and a hedge only saves time.
        """
        return self.of(group).spend(now_s, floor_per_s)

    def spend_hedge(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Take one token of the group and of the whole, or none."""
        if not self.common.refill(now_s, floor_per_s):
            return False
        if not self.of(group).spend(now_s, floor_per_s):
            return False
        return self.common.spend(now_s, floor_per_s)

    def refund(self, group: str, now_s: float) -> None:
        """Give the group the token of an attempt back.

        A token of the common budget is not: it also bounds the work of
        setting up connections.
        """
        self.of(group).earn(1, 1.0)

    def of(self, group: str) -> LoadBudget:
        """Return the budget of a group."""
        budget = self.budgets.get(group)
        if budget is None:
            budget = self.budgets[group] = LoadBudget()
        return budget
