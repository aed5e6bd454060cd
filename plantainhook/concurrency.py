"""Adapt the concurrency limit of each leaf.

The limit follows additive increase, multiplicative decrease. A limit of N
grows by one after N successful calls, provided that at least half of it is in
use, and a refusal or timeout multiplies it by a factor below 1. A leaf at its
limit is avoided while another replica is below its own.
"""

import dataclasses
import typing

DECREASE_RATIO: typing.Final = 0.8
# All calls in flight can fail together; they decrease the limit only once.
DECREASE_INTERVAL_S: typing.Final = 0.1
INITIAL_PER_SLOT: typing.Final = 4.0
MINIMUM_COUNT: typing.Final = 1.0


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """Track the limit on the calls in flight to one leaf."""

    ceiling_count: float
    limit_count: float
    decreased_s: float = -1.0

    def has_room(self, in_flight_count: int) -> bool:
        """Return whether one more call stays within the limit."""
        return in_flight_count < self.limit_count

    def on_success(self, in_flight_count: int) -> None:
        """Increase the limit if at least half of it is in use."""
        if in_flight_count * 2 < self.limit_count:
            return
        grown = self.limit_count + 1.0 / self.limit_count
        self.limit_count = min(self.ceiling_count, grown)

    def on_overload(self, now_s: float) -> None:
        """Decrease the limit after a refusal or a timeout."""
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
