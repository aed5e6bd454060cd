"""Limit the ratio of cross-zone calls and track losses between zones.

A zone is a data centre. Each call within the zone earns a part of a token and
each cross-zone call spends one, so the ratio of optional cross-zone calls
stays under the cap. Calls for a shard without a usable replica in the own
zone, or with only failing ones there, cross in any case, because coverage
comes first. Such calls are counted and use up the allowance of optional ones.
"""

import dataclasses
import typing

ALLOWANCE_LIMIT_COUNT: typing.Final = 20.0
LOSS_SAMPLE_WEIGHT: typing.Final = 0.05
# A lost call costs about as much as twenty ordinary ones, because a hedge
# delay or a timeout passes instead of a reply.
LOSS_COST_FACTOR: typing.Final = 20.0
# Keeps the quotient finite if the cap allows every call to cross.
NEAR_RATIO_MIN: typing.Final = 1e-6


@dataclasses.dataclass(slots=True)
class Link:
    """Track the ratio of lost calls on the link to one data centre.

    The latency of the link is part of the latency of the leafs behind it.
    """

    loss_ratio: float = 0.0

    def record(self, lost: bool) -> None:
        """Record whether a call was lost or got a reply."""
        self.loss_ratio += LOSS_SAMPLE_WEIGHT * (lost - self.loss_ratio)

    def cost_factor(self) -> float:
        """Return the factor by which losses raise the cost of a call."""
        return 1.0 + LOSS_COST_FACTOR * self.loss_ratio


@dataclasses.dataclass(slots=True)
class ZonePolicy:
    """Track the links to other zones and the allowance of cross-zone calls.

    ``data_centre`` is the own zone. ``allowance_count`` is the number of
    optional cross-zone calls that may be sent now; it is negative after
    unavoidable ones.
    """

    data_centre: str
    links: dict[str, Link] = dataclasses.field(default_factory=dict)
    allowance_count: float = 0.0
    near_count: int = 0
    cross_count: int = 0

    def link(self, data_centre: str) -> Link:
        """Return the link to a data centre; create it if missing."""
        link = self.links.get(data_centre)
        if link is None:
            link = self.links[data_centre] = Link()
        return link

    def may_cross(self) -> bool:
        """Return whether an optional cross-zone call is within the cap."""
        return self.allowance_count >= 1.0

    def record_sent(self, near: bool, max_ratio: float) -> None:
        """Count a call; ``max_ratio`` caps the ratio of cross-zone calls."""
        if not near:
            self.cross_count += 1
            remaining = self.allowance_count - 1.0
            self.allowance_count = max(-ALLOWANCE_LIMIT_COUNT, remaining)
            return
        self.near_count += 1
        if self.allowance_count < ALLOWANCE_LIMIT_COUNT:
            earned = max_ratio / max(NEAR_RATIO_MIN, 1.0 - max_ratio)
            self.allowance_count += earned
