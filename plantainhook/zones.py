"""Preference for the near zone and the cap on cross-zone calls.

Each near call earns a part of a token and each cross-zone call spends one,
so the share of optional cross-zone calls stays under the cap. A shard with
no usable near replica crosses in any case (none fit, or all failing),
because coverage comes first;
such calls are counted and use up the allowance of optional ones.
"""

import dataclasses
import typing

BURST_COUNT: typing.Final = 20.0
LINK_WEIGHT: typing.Final = 0.05
# A lost call costs about as much as twenty ordinary ones (a hedge delay or
# a timeout instead of a reply).
LOSS_COST_FACTOR: typing.Final = 20.0
# Keeps the quotient finite where the cap allows every call to cross.
NEAR_RATIO_MIN: typing.Final = 1e-6


@dataclasses.dataclass(slots=True)
class Link:
    """Hold the losses observed on the link to one data centre.

    Its latency is part of the latency of the leafs behind it.
    """

    loss_ratio: float = 0.0

    def record(self, lost: bool) -> None:
        """Record a call that got a reply or was lost."""
        self.loss_ratio += LINK_WEIGHT * (lost - self.loss_ratio)

    def cost_factor(self) -> float:
        """Return by how much losses raise the cost of a call."""
        return 1.0 + LOSS_COST_FACTOR * self.loss_ratio


@dataclasses.dataclass(slots=True)
class ZonePolicy:
    """Hold the links and the allowance of cross-zone calls."""

    data_centre: str
    links: dict[str, Link] = dataclasses.field(default_factory=dict)
    allowance_count: float = 0.0
    near_count: int = 0
    cross_count: int = 0

    def link(self, data_centre: str) -> Link:
        """Return the link to a data centre."""
        link = self.links.get(data_centre)
        if link is None:
            link = self.links[data_centre] = Link()
        return link

    def may_cross(self) -> bool:
        """Return whether an optional cross-zone call is within the cap."""
        return self.allowance_count >= 1.0

    def record_sent(self, near: bool, max_ratio: float) -> None:
        """Count a call against the cap."""
        if not near:
            self.cross_count += 1
            left = self.allowance_count - 1.0
            self.allowance_count = max(-BURST_COUNT, left)
            return
        self.near_count += 1
        if self.allowance_count < BURST_COUNT:
            earned = max_ratio / max(NEAR_RATIO_MIN, 1.0 - max_ratio)
            self.allowance_count += earned
