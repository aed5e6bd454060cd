"""Track the latency, failures and penalty of one leaf.

``replicas.ReplicaSelector`` records the results of this daemon's calls here
and compares the costs of leafs. An estimate returns to its neutral value
while no calls are made, so a leaf that was slow or failed is tried again.
"""

import dataclasses
import math
import typing

from plantainhook import concurrency, forwardtypes, zones

# Weight of a new sample. It grows with the time since the last one, because a
# daemon of a large fleet calls a leaf about once a second and would need ten
# calls to notice that it became slow.
SLOWDOWN_WEIGHT_MIN: typing.Final = 0.1
SLOWDOWN_WEIGHT_MAX: typing.Final = 0.25
SLOWDOWN_WEIGHT_PER_S: typing.Final = 0.5
# One slow call must not mark a good leaf as slow.
SLOWDOWN_SAMPLE_MAX: typing.Final = 10.0
# An estimate without new samples returns to its neutral value over this time,
# so that a leaf that was slow or failed is tried again.
ESTIMATE_DECAY_S: typing.Final = 10.0
# An estimate does not decay before it has been idle for this time.
DECAY_DELAY_S: typing.Final = 1.0
COLD_FACTOR: typing.Final = 4.0
FULL_FACTOR: typing.Final = 10.0
PENALTY_FIRST_S: typing.Final = 0.25
PENALTY_MAX_S: typing.Final = 4.0
# A leaf counts as down after this many hard failures without a reply between
# them. One query per interval then probes it. The interval is somewhat longer
# than the latency goal of a query.
DOWN_FAILURES_COUNT: typing.Final = 2
PROBE_INTERVAL_S: typing.Final = 0.3
FAILURE_WEIGHT: typing.Final = 0.2
# A leaf that fails a larger share of its calls is avoided while another leaf
# does better.
PARTLY_FAILING_RATIO: typing.Final = 0.3
PARTLY_FAILING_FACTOR: typing.Final = 3.0
# The load that a leaf states is used for this long. A leaf can't state one
# that keeps it from being tried again.
LOAD_MAX_AGE_S: typing.Final = 1.0
LOAD_FACTOR_MAX: typing.Final = 10.0
# A leaf that lost an answer is avoided for this time while another leaf of
# the shard has not. A daemon of a large fleet calls a leaf about once a
# second, so a ratio of failures is known only after several seconds.
LOST_ANSWER_AVOID_S: typing.Final = 3.0


@dataclasses.dataclass(slots=True, eq=False)
class ReplicaState:
    """Describe one leaf by the results of this daemon's calls to it.

    ``slowdown`` is the recent latency of the leaf divided by the median of
    its group and request kind: 1 is average, 2 is twice as slow.
    ``failure_ratio`` is the share of recent calls that it refused, lost or
    answered with an invalid reply. ``sent_s`` is the time of the last call.
    ``link`` is None for a leaf in the daemon's own data centre. ``load`` is
    what the leaf stated at ``load_s``.
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
    load: forwardtypes.LeafLoad | None = None
    load_s: float = 0.0
    lost_answer_s: float = -math.inf

    def cost(self, cold: bool, now_s: float) -> float:
        """Return the expected cost of one more call; lower is better."""
        cost = self.slowdown * (1.0 + self.in_flight_count / self.slot_count)
        if cold:
            cost *= COLD_FACTOR
        if not self.limit.has_room(self.in_flight_count):
            cost *= FULL_FACTOR
        if self.is_partly_failing(now_s):
            cost *= PARTLY_FAILING_FACTOR
        if self.link is not None:
            cost *= self.link.cost_factor()
        return cost * self.load_factor(now_s)

    def load_factor(self, now_s: float) -> float:
        """Return the factor of the load that the leaf stated; 1 without it.

        Pattern: a machine becomes slow, or other daemons fill the queue of a
        leaf. The own calls show it only when they are late.
        """
        load = self._current_load(now_s)
        if load is None:
            return 1.0
        return min(LOAD_FACTOR_MAX, load.cost_factor())

    def has_queue(self, now_s: float) -> bool:
        """Return whether the leaf states more waiting requests than slots."""
        load = self._current_load(now_s)
        return load is not None and load.waiting_count > load.slot_count

    def _current_load(self, now_s: float) -> forwardtypes.LeafLoad | None:
        """Return the load that the leaf stated, unless that is too old."""
        is_current = now_s - self.load_s < LOAD_MAX_AGE_S
        return self.load if is_current else None

    def should_avoid(self, now_s: float) -> bool:
        """Return whether the leaf should be avoided.

        After the penalty has expired, the leaf gets one call at a time as a
        probe until it replies.
        """
        if self.penalty_s == 0.0:
            return False
        return now_s < self.penalised_until_s or self.in_flight_count > 0

    def is_down(self, now_s: float) -> bool:
        """Return whether the leaf is down and needs no further probe now."""
        if self.hard_failure_count < DOWN_FAILURES_COUNT:
            return False
        probed = now_s - self.sent_s < PROBE_INTERVAL_S
        return probed or self.in_flight_count > 0

    def current_failure_ratio(self, now_s: float) -> float:
        """Return the share of failed calls, which decays while idle."""
        return self.failure_ratio * decay_ratio(now_s - self.failure_s)

    def is_partly_failing(self, now_s: float) -> bool:
        """Return whether the leaf fails a large share of its calls."""
        if now_s - self.lost_answer_s < LOST_ANSWER_AVOID_S:
            return True
        return self.current_failure_ratio(now_s) > PARTLY_FAILING_RATIO

    def record_failure(self, failed: bool, now_s: float) -> None:
        """Update the moving average of failures, which decays while idle.

        Pattern: a leaf refuses some of its calls or loses their answers
        while its health check is good. One reply between two failures does
        not show that it is healthy, so the average decides.
        """
        self.failure_ratio *= decay_ratio(now_s - self.failure_s)
        self.failure_s = now_s
        sample = 1.0 if failed else 0.0
        self.failure_ratio += FAILURE_WEIGHT * (sample - self.failure_ratio)

    def record_slowdown(self, ratio: float, now_s: float) -> None:
        """Update the moving average of the slowdown.

        ``ratio`` is the latency of a call divided by the group's median.
        """
        idle_s = now_s - self.slowdown_updated_s
        kept = decay_ratio(idle_s)
        self.slowdown = 1.0 + (self.slowdown - 1.0) * kept
        self.slowdown_updated_s = now_s
        sample = min(ratio, SLOWDOWN_SAMPLE_MAX)
        weight = min(
            SLOWDOWN_WEIGHT_MAX,
            max(SLOWDOWN_WEIGHT_MIN, SLOWDOWN_WEIGHT_PER_S * idle_s),
        )
        self.slowdown += weight * (sample - self.slowdown)

    def penalise(self, now_s: float) -> None:
        """Avoid the leaf for a time that doubles with each penalty.

        Failures during a penalty do not extend it.
        """
        if now_s < self.penalised_until_s:
            return
        doubled = max(PENALTY_FIRST_S, self.penalty_s * 2.0)
        self.penalty_s = min(PENALTY_MAX_S, doubled)
        self.penalised_until_s = now_s + self.penalty_s


def decay_ratio(idle_s: float) -> float:
    """Return the fraction of an estimate left after a time without calls."""
    if idle_s <= DECAY_DELAY_S:
        return 1.0
    return max(0.0, 1.0 - idle_s / ESTIMATE_DECAY_S)
