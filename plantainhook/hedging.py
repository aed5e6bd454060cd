"""Define hedge policies and the latency estimates that they use.

A policy states after which delay a shard set is hedged, how often it may be
hedged and retried, and whether these extra attempts are charged to the load
budget. The settings name a policy by its name in ``POLICIES``.
"""

import dataclasses
import math
import typing

from plantainhook import querytypes, registry

# The upper bound of each bucket is 5% above that of the bucket before it.
BUCKET_GROWTH: typing.Final = 1.05
BUCKET_COUNT: typing.Final = 400
# The upper bound of the first bucket.
LOWEST_S: typing.Final = 0.00005
# Above this many samples all counts are halved, so that old samples lose
# weight.
WINDOW_COUNT: typing.Final = 4000
REFRESH_COUNT: typing.Final = 50
MIN_SAMPLE_COUNT: typing.Final = 50
# With fewer than MIN_SAMPLE_COUNT samples the tail of the distribution is
# unknown, and the hedge delay is this multiple of the median.
MEDIAN_MIN_SAMPLE_COUNT: typing.Final = 5
FEW_SAMPLES_FACTOR: typing.Final = 3.0
# Share of the extra-load budget that first hedges are expected to use. The
# rest is left for second hedges and retries.
FIRST_HEDGE_SHARE: typing.Final = 0.6
FIXED_RETRY_COUNT: typing.Final = 3
FIXED_HEDGE_COUNT: typing.Final = 1

_LOG_GROWTH: typing.Final = math.log(BUCKET_GROWTH)


@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Estimate quantiles of recent latencies in logarithmic buckets.

    A cancelled attempt is recorded with the time for which it had waited.
    This is only a lower bound of its latency, but it is above the hedge
    delay. Quantiles up to that delay therefore stay correct, although the
    true latency of a cancelled attempt is never known.

    When ``total``, the number of samples, reaches ``refresh_at``, the cached
    ``quantiles`` are cleared and the median is computed again.
    """

    counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKET_COUNT
    )
    total: float = 0.0
    median_s: float = 0.0
    refresh_at: float = MEDIAN_MIN_SAMPLE_COUNT
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
        """Return whether the samples are enough for quantiles of the tail."""
        return self.total >= MIN_SAMPLE_COUNT

    def quantile_s(self, quantile: float) -> float:
        """Return the latency below which a fraction of the samples lies.

        The value is cached and recomputed after every few samples.
        """
        cached = self.quantiles.get(quantile)
        if cached is None:
            cached = self.quantiles[quantile] = self._compute_quantile_s(
                quantile
            )
        return cached

    def _refresh(self) -> None:
        if self.total > WINDOW_COUNT:
            self.counts = [count * 0.5 for count in self.counts]
            self.total *= 0.5
        interval = (
            REFRESH_COUNT
            if self.has_enough_samples()
            else MEDIAN_MIN_SAMPLE_COUNT
        )
        self.refresh_at = self.total + interval
        self.quantiles.clear()
        self.median_s = self._compute_quantile_s(0.5)

    def _compute_quantile_s(self, quantile: float) -> float:
        wanted = quantile * self.total
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted and count > 0:
                return LOWEST_S * math.exp(_LOG_GROWTH * index)
        return 0.0


@dataclasses.dataclass(slots=True)
class LatencyEstimates:
    """Store one latency estimate per group and request kind."""

    estimates: dict[tuple[str, str], LatencyEstimate] = dataclasses.field(
        default_factory=dict
    )

    def of(self, group: str, kind: str) -> LatencyEstimate:
        """Return the estimate of a group and kind; create it if missing."""
        key = (group, kind)
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = LatencyEstimate()
        return estimate


class HedgePolicy(typing.Protocol):
    """Decide on the extra attempts of a query.

    ``uses_load_budget`` states whether extra attempts are charged to the
    load budget, ``allows_early_finish`` whether a query may end before its
    deadline when no missing shard is likely to arrive in time.
    """

    uses_load_budget: bool
    allows_early_finish: bool

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return the time in seconds after which an attempt is hedged."""

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the largest number of hedges per shard set."""

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the largest number of retries per shard set."""


POLICIES: typing.Final[registry.Registry[HedgePolicy]] = registry.Registry(
    "hedge policy"
)


@POLICIES.register("plain")
class PlainPolicy:
    """Send each shard once, without hedges and retries."""

    uses_load_budget = False
    allows_early_finish = False

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return infinity: nothing is hedged."""
        return math.inf

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return 0."""
        return 0

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return 0."""
        return 0


@POLICIES.register("fixed")
class FixedPolicy:
    """Hedge once after the delay in the rules; retry up to three times."""

    uses_load_budget = False
    allows_early_finish = False

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return the delay in the rules."""
        return rules.hedge_delay_ms / 1000.0

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return 1."""
        return FIXED_HEDGE_COUNT

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return 3."""
        return FIXED_RETRY_COUNT


@POLICIES.register("adaptive")
class AdaptivePolicy:
    """Hedge after a quantile of recent latencies, within the budget."""

    uses_load_budget = True
    allows_early_finish = True

    def hedge_delay_s(
        self, estimate: LatencyEstimate, rules: querytypes.EffectiveRules
    ) -> float:
        """Return a quantile of recent latencies.

        With few samples this is a multiple of the median, and without a
        median the delay in the rules. The quantile is higher than the one in
        the rules if hedging there would cost more than the budget, because
        once the budget is spent, the slowest calls get no hedge.
        """
        if estimate.median_s == 0.0:
            return rules.hedge_delay_ms / 1000.0
        if not estimate.has_enough_samples():
            return FEW_SAMPLES_FACTOR * estimate.median_s
        affordable = 1.0 - FIRST_HEDGE_SHARE * rules.extra_load_ratio
        return estimate.quantile_s(max(rules.hedge_quantile, affordable))

    def max_hedges(self, rules: querytypes.EffectiveRules) -> int:
        """Return the limit in the rules."""
        return rules.max_hedges_count

    def max_retries(self, rules: querytypes.EffectiveRules) -> int:
        """Return the limit in the rules."""
        return rules.max_retries_count
