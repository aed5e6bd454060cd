"""Adaptive concurrency limit per leaf.

The limit grows by one for each limit's worth of successes while it is in
use, and shrinks by a factor on a refusal or timeout (additive increase,
multiplicative decrease). A leaf at its limit is passed over while another
replica has room.
"""

import dataclasses
import typing

DECREASE_RATIO: typing.Final = 0.8
# One round of in-flight calls can fail together; they shrink the limit once.
DECREASE_INTERVAL_S: typing.Final = 0.1
INITIAL_PER_SLOT: typing.Final = 4.0
MINIMUM_COUNT: typing.Final = 1.0


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """Hold the limit of one leaf in calls in flight."""

    ceiling_count: float
    limit_count: float
    decreased_s: float = -1.0

    def has_room(self, in_flight_count: int) -> bool:
        """Return whether one more call stays within the limit."""
        return in_flight_count < self.limit_count

    def on_success(self, in_flight_count: int) -> None:
        """Grow the limit where it was in use."""
        if in_flight_count * 2 < self.limit_count:
            return
        grown = self.limit_count + 1.0 / self.limit_count
        self.limit_count = min(self.ceiling_count, grown)

    def on_overload(self, now_s: float) -> None:
        """Shrink the limit after a refusal or a timeout."""
        if now_s - self.decreased_s < DECREASE_INTERVAL_S:
            return
        self.decreased_s = now_s
        shrunk = self.limit_count * DECREASE_RATIO
        self.limit_count = max(MINIMUM_COUNT, shrunk)


def build_limit(
    slot_count: int, connection_limit_count: int
) -> ConcurrencyLimit:
    """Build the limit of a leaf, never above its connection limit."""
    ceiling = float(connection_limit_count)
    return ConcurrencyLimit(
        ceiling, min(ceiling, INITIAL_PER_SLOT * slot_count)
    )
