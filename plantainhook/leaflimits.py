"""Requests to leafs that limit how many they accept.

A leaf that needs relief states in its replies how many requests a second it
accepts from all daemons together. The limit holds for as long as its replies
state it. ``LeafLimits`` keeps the limits that this daemon knows and counts
its calls to these leafs.
"""

import collections
import dataclasses
import typing

from plantainhook import logs, metrics, querytypes

LOGGER: typing.Final = logs.part_logger("limit")
# The calls to a limited leaf are logged at this interval.
REPORT_INTERVAL_S: typing.Final = 4.0


@dataclasses.dataclass(slots=True)
class LimitedLeaf:
    """Describe a leaf with a limit.

    ``calls`` counts the calls of this daemon by reason since ``counted_s``.
    """

    limit_per_s: float
    counted_s: float
    calls: collections.Counter[querytypes.AttemptReason] = dataclasses.field(
        default_factory=collections.Counter
    )


class LeafLimits:
    """Store the request limits of leafs, by leaf name."""

    def __init__(self, instruments: metrics.LeafMetrics) -> None:
        self.leafs: dict[str, LimitedLeaf] = {}
        self._instruments = instruments
        instruments.limited_leafs.set_function(lambda: len(self.leafs))

    def observe(
        self, leaf: str, limit_per_s: float | None, now_s: float
    ) -> None:
        """Apply the limit that a reply of a leaf states; None is no limit."""
        known = self.leafs.get(leaf)
        if limit_per_s is None:
            if known is not None:
                del self.leafs[leaf]
                LOGGER.info("Leaf {} no longer limits its requests.", leaf)
            return
        if known is None:
            self.leafs[leaf] = LimitedLeaf(limit_per_s, now_s)
        elif known.limit_per_s == limit_per_s:
            return
        else:
            known.limit_per_s = limit_per_s
        LOGGER.info(
            "Leaf {} limits its requests to {:.2f} a second.",
            leaf,
            limit_per_s,
        )

    def record_call(
        self, leaf: str, reason: querytypes.AttemptReason, now_s: float
    ) -> None:
        """Count a call that is sent to a leaf; log the calls at intervals."""
        known = self.leafs.get(leaf)
        if known is None:
            return
        known.calls[reason] += 1
        self._instruments.limited_calls.labels(reason).inc()
        elapsed_s = now_s - known.counted_s
        if elapsed_s >= REPORT_INTERVAL_S:
            LOGGER.info(
                "Leaf {} accepts {:.2f} requests a second; this daemon sent "
                "{} in {:.1f} s.",
                leaf,
                known.limit_per_s,
                ", ".join(
                    f"{count} {name}" for name, count in known.calls.items()
                ),
                elapsed_s,
            )
            known.calls.clear()
            known.counted_s = now_s
