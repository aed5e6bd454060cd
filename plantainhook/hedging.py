"""Hedge policies and the latency estimates on which they rest.

A policy states when a shard set is hedged, how often it is hedged and
retried, and whether its extra attempts draw on the load budget.
"""

import dataclasses
import math
import typing

from plantainhook import querytypes, registry

BUCKET_GROWTH: typing.Final = 1.05
BUCKET_COUNT: typing.Final = 400
LOWEST_S: typing.Final = 0.00005
# After this many samples all counts are halved, so that old samples fade.
WINDOW_COUNT: typing.Final = 4000
REFRESH_COUNT: typing.Final = 50
LEARNED_MIN_COUNT: typing.Final = 50
# With fewer samples the tail is unknown and a multiple of the median serves.
MEDIAN_MIN_COUNT: typing.Final = 5
UNLEARNED_FACTOR: typing.Final = 3.0
# Share of the extra-load budget that first hedges aim to use; the rest is
# left for second hedges and retries.
FIRST_HEDGE_SHARE: typing.Final = 0.6
FIXED_RETRY_COUNT: typing.Final = 3
FIXED_HEDGE_COUNT: typing.Final = 1

_LOG_GROWTH: typing.Final = math.log(BUCKET_GROWTH)


@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Estimate quantiles of recent latency in log-spaced buckets.

    A cancelled attempt is recorded with the time it had waited. This is a
    lower bound, but it lies above the hedge delay, so quantiles up to that
    delay stay right although losers never report their true latency.
    """

    counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKET_COUNT
    )
    total: float = 0.0
    median_s: float = 0.0
    refresh_at: float = MEDIAN_MIN_COUNT
    quantiles: dict[float, float] = dataclasses.field(default_factory=dict)

    def record(self, latency_s: float) -> None:
        """Add a latency in seconds."""
        index = 0
        if latency_s > LOWEST_S:
            index = int(math.log(latency_s / LOWEST_S) / _LOG_GROWTH) + 1
        self.counts[min(index, BUCKET_COUNT - 1)] += 1.0
        self.total += 1.0
        if self.total >= self.refresh_at:
            self._refresh()

    def has_enough_samples(self) -> bool:
        """Return whether there are enough samples to trust the tail."""
        return self.total >= LEARNED_MIN_COUNT

    def quantile_s(self, quantile: float) -> float:
        """Return the latency below which a share of the samples lies.

        Quantiles are computed again after every few samples only.
        """
        known = self.quantiles.get(quantile)
        if known is None:
            known = self.quantiles[quantile] = self._compute(quantile)
        return known

    def _refresh(self) -> None:
        if self.total > WINDOW_COUNT:
            self.counts = [count * 0.5 for count in self.counts]
            self.total *= 0.5
        interval = (
            REFRESH_COUNT if self.has_enough_samples() else MEDIAN_MIN_COUNT
        )
        self.refresh_at = self.total + interval
        self.quantiles.clear()
        self.median_s = self._compute(0.5)

    def _compute(self, quantile: float) -> float:
        wanted = quantile * self.total
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted and count > 0:
                return LOWEST_S * math.exp(_LOG_GROWTH * index)
        return 0.0


@dataclasses.dataclass(slots=True)
class LatencyEstimates:
    """Hold the estimates per group and request kind."""

    estimates: dict[tuple[str, str], LatencyEstimate] = dataclasses.field(
        default_factory=dict
    )

    def of(self, group: str, kind: str) -> LatencyEstimate:
        """Return the estimate of a group and kind."""
        key = (group, kind)
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = LatencyEstimate()
        return estimate


class HedgePolicy(typing.Protocol):
    """Decide on the extra attempts of a query."""

    uses_load_budget: bool
    allows_early_finish: bool

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return how long an attempt may take before it is hedged."""

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the largest number of hedges per shard set."""

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the largest number of retries per shard set."""


POLICIES: typing.Final[registry.Registry[HedgePolicy]] = registry.Registry(
    "hedge policy"
)


@POLICIES.register("plain")
class PlainPolicy:
    """Send each shard once and wait."""

    uses_load_budget = False
    allows_early_finish = False

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return a delay that never passes."""
        return math.inf

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return 0."""
        return 0

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return 0."""
        return 0


@POLICIES.register("fixed")
class FixedPolicy:
    """Hedge once after the delay of the rules and retry three times."""

    uses_load_budget = False
    allows_early_finish = False

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return the delay of the rules."""
        return rules.hedge_delay_ms / 1000.0

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return 1."""
        return FIXED_HEDGE_COUNT

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return 3."""
        return FIXED_RETRY_COUNT


@POLICIES.register("adaptive")
class AdaptivePolicy:
    """Hedge after a learned quantile, within the load budget."""

    uses_load_budget = True
    allows_early_finish = True

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return the learned quantile, or the rules' delay before that.

        The quantile is raised where hedging at the quantile of the rules
        would use more than the budget: a budget that runs dry leaves the
        slowest calls without a hedge.
        """
        if estimate.median_s == 0.0:
            return rules.hedge_delay_ms / 1000.0
        if not estimate.has_enough_samples():
            return UNLEARNED_FACTOR * estimate.median_s
        affordable = 1.0 - FIRST_HEDGE_SHARE * rules.extra_load_ratio
        return estimate.quantile_s(max(rules.hedge_quantile, affordable))

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the number in the rules."""
        return rules.max_hedges_count

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the number in the rules."""
        return rules.max_retries_count
