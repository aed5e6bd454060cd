"""Limit the extra calls to a service per time window, across all daemons.

In any window a service may receive a limited number of extra calls, that is
calls beyond the first one of each request: a ratio of its requests plus a
fixed number. A daemon does not see the calls of other daemons, so each limits
itself to its own part: the ratio of the requests that it sends itself, and
the fixed number divided by the number of daemons.

Pattern: many leafs refuse part of their calls. A query needs all its shards,
so if the budget were spread over all queries, none of them would complete.
Queries are therefore ranked. The more of the budget is used, the lower the
rank that a query must have for an extra call, so the same queries are served
at every shard.

Pattern: many daemons are killed at once and start again. What they spent just
before still counts, and nobody remembers it. A shorter span therefore has a
budget too, which is more than its part of the window but less than all. So
much of the window's budget is always left that a daemon which has just started
can spend a part that grows with its age.
"""

import collections
import dataclasses
import typing
from collections import abc

# Part of the budget of a window that may be spent at once. The rest of it
# becomes available in proportion to the length of the span.
BURST_RATIO: typing.Final = 0.5
SLICES_PER_WINDOW: typing.Final = 20
# The rest of the budget is a reserve: a sliding window that begins within a
# slice can contain one slice more.
USED_RATIO: typing.Final = 0.9
# Below this fraction of the budget the rank of a query does not matter.
UNRANKED_RATIO: typing.Final = 0.5
# Hedges may use this fraction of the budget. The rest is for retries, without
# which a part of the answer is lost.
HEDGE_RATIO: typing.Final = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class WindowRules:
    """Define the budget of a service, as set by the platform.

    A window of ``window_s`` may contain ``extra_ratio`` extra calls for each
    request, and ``extra_count`` more for the whole fleet.
    """

    window_s: float
    extra_ratio: float
    extra_count: float


@dataclasses.dataclass(slots=True)
class WindowBudget:
    """Count the requests and extra calls of one service by time slices.

    Each item of ``requests`` and ``extras`` is a list of the start of a slice
    and its count.
    """

    slice_s: float
    requests: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    extras: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def record_request(self, now_s: float) -> None:
        """Count a request."""
        self._count(self.requests, now_s)

    def record_extra(self, now_s: float) -> None:
        """Count an extra call."""
        self._count(self.extras, now_s)

    def remove_extra(self) -> None:
        """Remove the last extra call that was counted."""
        for counted in reversed(self.extras):
            if counted[1] >= 1.0:
                counted[1] -= 1.0
                return

    def extra_count(self, now_s: float) -> float:
        """Return the number of extra calls in the window that ends now."""
        oldest_s = now_s - self.slice_s * (SLICES_PER_WINDOW + 1)
        return sum(count for at_s, count in self.extras if at_s > oldest_s)

    def allows_burst(self, limit_count: float, now_s: float) -> bool:
        """Return whether every span that ends now allows an extra call.

        ``limit_count`` is the budget of a window. ``BURST_RATIO`` of it may be
        spent at once.
        """
        window_s = self.slice_s * SLICES_PER_WINDOW
        used_count = 1.0
        if used_count > BURST_RATIO * limit_count:
            return False
        for at_s, count in reversed(self.extras):
            if at_s <= now_s - window_s:
                break
            used_count += count
            span_ratio = (now_s - at_s) / window_s
            usable_ratio = BURST_RATIO + (1.0 - BURST_RATIO) * span_ratio
            if used_count > usable_ratio * limit_count:
                return False
        return True

    def request_count(self, now_s: float) -> float:
        """Return the number of requests in the window that ends now.

        The platform counts the window before it too if that has more. But
        load may move from one daemon to another, and if each of them used its
        largest count, requests would be counted at both.
        """
        window_s = self.slice_s * SLICES_PER_WINDOW
        return sum(
            count for at_s, count in self.requests if at_s > now_s - window_s
        )

    def _count(
        self,
        slices: collections.deque[list[float]],
        now_s: float,
    ) -> None:
        at_s = now_s - now_s % self.slice_s
        if slices and slices[-1][0] == at_s:
            slices[-1][1] += 1.0
        else:
            slices.append([at_s, 1.0])
        keep_s = self.slice_s * (SLICES_PER_WINDOW + 2)
        while slices[0][0] < now_s - keep_s:
            slices.popleft()


@dataclasses.dataclass(slots=True)
class WindowBudgets:
    """Grant the extra calls of one daemon to each service.

    ``divisor_of`` returns by what the fixed number is divided for a service,
    so that the parts of all daemons add up to at most that number. A restarted
    daemon does not know the extra calls of its previous run. Its budget grows
    over the first window as the share of those that may still count falls.
    """

    rules: WindowRules
    divisor_of: abc.Callable[[str], float]
    started_s: float
    budgets: dict[str, WindowBudget] = dataclasses.field(default_factory=dict)

    def earn(
        self, group: str, first_count: int, ratio: float, now_s: float
    ) -> None:
        """Count first attempts as requests."""
        for _ in range(first_count):
            self.of(group).record_request(now_s)

    def spend_retry(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Grant a retry if the budget of the service allows it."""
        return self._charge(group, now_s, rank, 1.0)

    def spend_hedge(
        self, group: str, now_s: float, floor_per_s: float, rank: float
    ) -> bool:
        """Grant a hedge within the fraction of the budget for hedges."""
        return self._charge(group, now_s, rank, HEDGE_RATIO)

    def refund(self, group: str, now_s: float) -> None:
        """Refund a granted call that no leaf received."""
        self.of(group).remove_extra()

    def of(self, group: str) -> WindowBudget:
        """Return the budget of a service; create it if missing."""
        budget = self.budgets.get(group)
        if budget is None:
            slice_s = self.rules.window_s / SLICES_PER_WINDOW
            budget = self.budgets[group] = WindowBudget(slice_s)
        return budget

    def limit_count(self, group: str, now_s: float) -> float:
        """Return how many extra calls this daemon may make in a window."""
        rules = self.rules
        fixed = rules.extra_count / max(1.0, self.divisor_of(group))
        requests = self.of(group).request_count(now_s)
        age_ratio = (now_s - self.started_s) / rules.window_s
        if age_ratio >= 1.0:
            return USED_RATIO * (rules.extra_ratio * requests + fixed)
        # The requests since the start grow with the age themselves.
        counted = rules.extra_ratio * requests + fixed * age_ratio
        return USED_RATIO * (1.0 - BURST_RATIO) * counted

    def affordable_ratio(self, group: str, now_s: float) -> float:
        """Return how many extra calls are allowed per request."""
        requests = self.of(group).request_count(now_s)
        if requests < 1.0:
            return self.rules.extra_ratio
        return self.limit_count(group, now_s) / requests

    def _charge(
        self, group: str, now_s: float, rank: float, usable_ratio: float
    ) -> bool:
        budget = self.of(group)
        limit = self.limit_count(group, now_s) * usable_ratio
        used = budget.extra_count(now_s) + 1.0
        rank_ratio = UNRANKED_RATIO + (1.0 - UNRANKED_RATIO) * (1.0 - rank)
        if used > limit * rank_ratio or not budget.allows_burst(limit, now_s):
            return False
        budget.record_extra(now_s)
        return True
