"""Extra-load budget of hedges and retries, one per shard group.

Each first attempt earns a fraction of a token, a floor adds tokens with
time, and each hedge or retry spends one. When a whole group is out, the
budget therefore bounds the retry amplification.
"""

import dataclasses
import typing

# Tokens kept for a burst: two 160-shard queries at a ratio of 3%.
BURST_COUNT: typing.Final = 10.0
INITIAL_COUNT: typing.Final = 2.0


@dataclasses.dataclass(slots=True)
class LoadBudget:
    """Hold the tokens of one group."""

    tokens_count: float = INITIAL_COUNT
    refilled_s: float = 0.0

    def earn(self, first_count: int, ratio: float) -> None:
        """Add the share of first attempts."""
        self.tokens_count = min(
            BURST_COUNT, self.tokens_count + first_count * ratio
        )

    def spend(self, now_s: float, floor_per_s: float) -> bool:
        """Take one token; return False where there is none."""
        gained = max(0.0, now_s - self.refilled_s) * floor_per_s
        self.refilled_s = now_s
        self.tokens_count = min(BURST_COUNT, self.tokens_count + gained)
        if self.tokens_count < 1.0:
            return False
        self.tokens_count -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class LoadBudgets:
    """Hold the budgets of all groups."""

    budgets: dict[str, LoadBudget] = dataclasses.field(default_factory=dict)

    def of(self, group: str) -> LoadBudget:
        """Return the budget of a group."""
        budget = self.budgets.get(group)
        if budget is None:
            budget = self.budgets[group] = LoadBudget()
        return budget
