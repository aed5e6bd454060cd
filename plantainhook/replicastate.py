"""What the calls of a daemon tell of one leaf: speed, failures, penalty.

``ReplicaSelector`` in ``replicas`` feeds it and compares the costs of leafs.
An estimate fades while no call tests it, so a leaf that did badly is tried
again.
"""

import dataclasses
import typing

from plantainhook import concurrency, zones

SPEED_WEIGHT: typing.Final = 0.1
# A single slow call must not mark a good leaf as slow.
SPEED_SAMPLE_MAX: typing.Final = 10.0
# An unused estimate moves back to average, so that a leaf that was slow or
# failed is tried again.
ESTIMATE_MEMORY_S: typing.Final = 10.0
IDLE_FREE_S: typing.Final = 1.0
COLD_FACTOR: typing.Final = 4.0
FULL_FACTOR: typing.Final = 10.0
PENALTY_FIRST_S: typing.Final = 0.25
PENALTY_MAX_S: typing.Final = 4.0
# A leaf is down after this many hard failures without a reply between. One
# query in each interval probes it: some more than the goal of a query.
DOWN_FAILURES_COUNT: typing.Final = 2
PROBE_INTERVAL_S: typing.Final = 0.3
FAILURE_WEIGHT: typing.Final = 0.2
# A leaf that fails more of its calls is avoided while another does better.
GREY_RATIO: typing.Final = 0.3
GREY_FACTOR: typing.Final = 3.0


@dataclasses.dataclass(slots=True, eq=False)
class ReplicaState:
    """Hold what the calls of this daemon saw of one leaf.

    ``speed`` is the leaf's recent latency over the median of its group and
    kind, so 1 is average and 2 is half as fast. ``failure_ratio`` is the
    share of the recent calls that it refused, lost or answered wrongly.
    """

    name: str
    limit: concurrency.ConcurrencyLimit
    slot_count: int
    link: zones.Link | None
    in_flight_count: int = 0
    slowdown: float = 1.0
    slowdown_updated_s: float = 0.0
    penalty_s: float = 0.0
    penalised_until_s: float = 0.0
    unanswered_count: int = 0
    failure_ratio: float = 0.0
    failure_s: float = 0.0
    hard_failure_count: int = 0
    sent_s: float = 0.0

    def cost(self, cold: bool, now_s: float) -> float:
        """Return the expected cost of one more call; lower is better."""
        cost = self.slowdown * (1.0 + self.in_flight_count / self.slot_count)
        if cold:
            cost *= COLD_FACTOR
        if not self.limit.has_room(self.in_flight_count):
            cost *= FULL_FACTOR
        if self.is_grey(now_s):
            cost *= GREY_FACTOR
        if self.link is not None:
            cost *= self.link.cost_factor()
        return cost

    def failing(self, now_s: float) -> bool:
        """Return whether the leaf is to be avoided.

        After the penalty one call at a time probes the leaf until a reply.
        """
        if self.penalty_s == 0.0:
            return False
        return now_s < self.penalised_until_s or self.in_flight_count > 0

    def is_down(self, now_s: float) -> bool:
        """Return whether the leaf does not answer and is probed already."""
        if self.hard_failure_count < DOWN_FAILURES_COUNT:
            return False
        probed = now_s - self.sent_s < PROBE_INTERVAL_S
        return probed or self.in_flight_count > 0

    def current_failure_ratio(self, now_s: float) -> float:
        """Return the share of failed calls, which fades while idle."""
        return self.failure_ratio * kept_ratio(now_s - self.failure_s)

    def is_grey(self, now_s: float) -> bool:
        """Return whether the leaf fails much of what it gets."""
        return self.current_failure_ratio(now_s) > GREY_RATIO

    def record_failure(self, failed: bool, now_s: float) -> None:
        """Average whether calls fail; an idle average fades.

        Pattern: a leaf refuses a part of its calls or loses their answers
        while its health is good. A reply between two failures says little,
        so the average decides.
        """
        self.failure_ratio *= kept_ratio(now_s - self.failure_s)
        self.failure_s = now_s
        sample = 1.0 if failed else 0.0
        self.failure_ratio += FAILURE_WEIGHT * (sample - self.failure_ratio)

    def record_slowdown(self, speed: float, now_s: float) -> None:
        """Average a latency relative to the group median."""
        kept = kept_ratio(now_s - self.slowdown_updated_s)
        self.slowdown = 1.0 + (self.slowdown - 1.0) * kept
        self.slowdown_updated_s = now_s
        sample = min(speed, SPEED_SAMPLE_MAX)
        self.slowdown += SPEED_WEIGHT * (sample - self.slowdown)

    def penalise(self, now_s: float) -> None:
        """Avoid the leaf for a time that doubles with each failure."""
        if now_s < self.penalised_until_s:
            return
        doubled = max(PENALTY_FIRST_S, self.penalty_s * 2.0)
        self.penalty_s = min(PENALTY_MAX_S, doubled)
        self.penalised_until_s = now_s + self.penalty_s


def kept_ratio(idle_s: float) -> float:
    """Return how much of an estimate is left after a time without calls."""
    if idle_s <= IDLE_FREE_S:
        return 1.0
    return max(0.0, 1.0 - idle_s / ESTIMATE_MEMORY_S)
