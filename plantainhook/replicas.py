"""Replica selection by recent latency, calls in flight and zone.

Of two replicas drawn at random the cheaper one is taken (power of two
choices), which spreads load without herding on the fastest leaf. Health is
only a hint: what the calls of this daemon saw decides.
"""

import dataclasses
import random
import typing
from collections import abc

from plantainhook import concurrency, errors, querytypes, zones

SPEED_WEIGHT: typing.Final = 0.1
# A single slow call must not mark a good leaf as slow.
SPEED_SAMPLE_MAX: typing.Final = 10.0
# An unused estimate moves back to average, so that a leaf that was slow is
# tried again.
SPEED_MEMORY_S: typing.Final = 10.0
COLD_FACTOR: typing.Final = 4.0
FULL_FACTOR: typing.Final = 10.0
PENALTY_FACTOR: typing.Final = 100.0
# Above this cost a near replica is compared with those of other zones.
SPILL_COST: typing.Final = 3.0
PENALTY_FIRST_S: typing.Final = 0.25
PENALTY_MAX_S: typing.Final = 4.0
# Polling refreshes the versions that leafs serve every second.
NOT_SERVED_S: typing.Final = 1.0

Statuses = abc.Sequence[querytypes.LeafStatus]

PENALISED_KINDS: typing.Final = frozenset(
    {
        errors.LeafFailureKind.CONNECT,
        errors.LeafFailureKind.CONNECTION_LOST,
        errors.LeafFailureKind.REFUSED,
    }
)
OVERLOAD_KINDS: typing.Final = frozenset(
    {errors.LeafFailureKind.REFUSED, errors.LeafFailureKind.TIMEOUT}
)


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """Hold what the calls of this daemon saw of one leaf.

    ``speed`` is the leaf's recent latency over the median of its group and
    kind, so 1 is average and 2 is half as fast.
    """

    limit: concurrency.ConcurrencyLimit
    slot_count: int
    in_flight_count: int = 0
    speed: float = 1.0
    speed_s: float = 0.0
    penalty_s: float = 0.0
    penalised_until_s: float = 0.0
    not_served_until_s: dict[int, float] = dataclasses.field(
        default_factory=dict
    )

    def cost(self, cold: bool, now_s: float) -> float:
        """Return the expected cost of one more call; lower is better."""
        cost = self.speed * (1.0 + self.in_flight_count / self.slot_count)
        if cold:
            cost *= COLD_FACTOR
        if self.in_flight_count >= self.limit.limit_count:
            cost *= FULL_FACTOR
        if now_s < self.penalised_until_s:
            cost *= PENALTY_FACTOR
        return cost

    def record_speed(self, speed: float, now_s: float) -> None:
        """Average a latency relative to the group median."""
        idle_s = now_s - self.speed_s
        if idle_s > 1.0:
            kept = max(0.0, 1.0 - idle_s / SPEED_MEMORY_S)
            self.speed = 1.0 + (self.speed - 1.0) * kept
        self.speed_s = now_s
        sample = min(speed, SPEED_SAMPLE_MAX)
        self.speed += SPEED_WEIGHT * (sample - self.speed)

    def penalise(self, now_s: float) -> None:
        """Avoid the leaf for a time that doubles with each failure."""
        if now_s < self.penalised_until_s:
            return
        doubled = max(PENALTY_FIRST_S, self.penalty_s * 2.0)
        self.penalty_s = min(PENALTY_MAX_S, doubled)
        self.penalised_until_s = now_s + self.penalty_s


@dataclasses.dataclass(slots=True)
class Replicas:
    """Hold the state of all leafs and choose among replicas."""

    zone_policy: zones.ZonePolicy
    rng: random.Random
    states: dict[str, ReplicaState] = dataclasses.field(default_factory=dict)

    def state(self, status: querytypes.LeafStatus) -> ReplicaState:
        """Return the state of a leaf."""
        info = status.info
        state = self.states.get(info.name)
        if state is None:
            limit = concurrency.build_limit(
                info.slot_count, info.connection_limit_count
            )
            state = ReplicaState(limit, info.slot_count)
            self.states[info.name] = state
        return state

    def choose(
        self,
        near: Statuses,
        far: Statuses,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> querytypes.LeafStatus | None:
        """Return the leaf for the next attempt, or None.

        Leafs in ``avoid`` and leafs that recently answered 409 for the
        version are left out.
        """
        best, cost = self._cheaper_of_two(near, avoid, version, now_s)
        if not far or (best is not None and cost < SPILL_COST):
            return best
        if best is not None and not self.zone_policy.may_cross():
            return best
        other, far_cost = self._cheaper_of_two(far, avoid, version, now_s)
        if best is None or (other is not None and far_cost < cost):
            return other
        return best

    def on_sent(self, status: querytypes.LeafStatus, max_ratio: float) -> None:
        """Count a call in flight."""
        self.state(status).in_flight_count += 1
        self.zone_policy.note_sent(status.info.data_centre, max_ratio)

    def on_reply(
        self,
        status: querytypes.LeafStatus,
        latency_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Record a reply and its latency."""
        state = self.state(status)
        state.limit.on_success(state.in_flight_count)
        state.in_flight_count -= 1
        state.penalty_s = 0.0
        state.penalised_until_s = 0.0
        if median_s > 0.0:
            state.record_speed(latency_s / median_s, now_s)
        self._record_link(status, latency_s)

    def on_cancelled(
        self,
        status: querytypes.LeafStatus,
        waited_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Record the wait of a cancelled call as a lower bound."""
        state = self.state(status)
        state.in_flight_count -= 1
        if median_s > 0.0 and waited_s > state.speed * median_s:
            state.record_speed(waited_s / median_s, now_s)

    def on_failure(
        self,
        status: querytypes.LeafStatus,
        failure: errors.LeafError,
        version: int,
        now_s: float,
    ) -> None:
        """Record a failed call."""
        state = self.state(status)
        state.in_flight_count -= 1
        if failure.kind in PENALISED_KINDS:
            state.penalise(now_s)
        if failure.kind in OVERLOAD_KINDS:
            state.limit.on_overload(now_s)
        if failure.kind is errors.LeafFailureKind.NOT_SERVED:
            state.not_served_until_s[version] = now_s + NOT_SERVED_S
        if failure.kind is errors.LeafFailureKind.CONNECTION_LOST:
            self._record_link(status, None)

    def _cheaper_of_two(
        self,
        statuses: Statuses,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> tuple[querytypes.LeafStatus | None, float]:
        usable = [
            status
            for status in statuses
            if self._usable(status, avoid, version, now_s)
        ]
        if not usable:
            return None, 0.0
        drawn = usable
        if len(usable) > 2:
            drawn = self.rng.sample(usable, 2)
        best = drawn[0]
        cost = self._cost(best, now_s)
        for status in drawn[1:]:
            other_cost = self._cost(status, now_s)
            if self._prefer(other_cost, cost):
                best, cost = status, other_cost
        return best, cost

    def _prefer(self, other_cost: float, cost: float) -> bool:
        if other_cost == cost:
            return self.rng.random() < 0.5
        return other_cost < cost

    def _cost(self, status: querytypes.LeafStatus, now_s: float) -> float:
        cost = self.state(status).cost(status.cold, now_s)
        data_centre = status.info.data_centre
        if data_centre != self.zone_policy.data_centre:
            cost *= self.zone_policy.link(data_centre).cost_factor()
        return cost

    def _usable(
        self,
        status: querytypes.LeafStatus,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> bool:
        name = status.info.name
        if name in avoid:
            return False
        state = self.states.get(name)
        if state is None or not state.not_served_until_s:
            return True
        return now_s >= state.not_served_until_s.get(version, 0.0)

    def _record_link(
        self, status: querytypes.LeafStatus, latency_s: float | None
    ) -> None:
        data_centre = status.info.data_centre
        if data_centre != self.zone_policy.data_centre:
            self.zone_policy.link(data_centre).record(latency_s)
