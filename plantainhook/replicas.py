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
# A leaf that was slow gets few calls, so the few that are fast again count
# for more than the same change upwards.
FASTER_WEIGHT: typing.Final = 0.3
FASTER_RATIO: typing.Final = 0.5
# A single slow call must not mark a good leaf as slow.
SPEED_SAMPLE_MAX: typing.Final = 10.0
# An unused estimate moves back to average, so that a leaf that was slow or
# failed is tried again.
ESTIMATE_MEMORY_S: typing.Final = 10.0
IDLE_FREE_S: typing.Final = 1.0
COLD_FACTOR: typing.Final = 4.0
FULL_FACTOR: typing.Final = 10.0
# Above this cost a near replica is compared with those of other zones.
SPILL_COST: typing.Final = 3.0
# A call cancelled after this many medians counts as unanswered.
UNANSWERED_FACTOR: typing.Final = 3.0
UNANSWERED_MAX: typing.Final = 5
PENALTY_FIRST_S: typing.Final = 0.25
PENALTY_MAX_S: typing.Final = 4.0
# A leaf is down after this many hard failures without a reply between; one
# query in each interval probes it.
DOWN_FAILURES_COUNT: typing.Final = 2
PROBE_INTERVAL_S: typing.Final = 0.3
FAILURE_WEIGHT: typing.Final = 0.2
# Added to the cost factor of a leaf that fails every call.
FAILURE_COST: typing.Final = 8.0
# A leaf that fails more of its calls is avoided while another does better.
GREY_RATIO: typing.Final = 0.3
# Polling refreshes the versions that leafs serve every second.
NOT_SERVED_S: typing.Final = 1.0

HARD_KINDS: typing.Final = frozenset({errors.LeafFailureKind.CONNECT})
# A leaf of good health may answer some calls like this and others well.
GREY_KINDS: typing.Final = frozenset(
    {
        errors.LeafFailureKind.CONNECTION_LOST,
        errors.LeafFailureKind.MALFORMED,
        errors.LeafFailureKind.REFUSED,
    }
)

Statuses = abc.Sequence[querytypes.LeafStatus]

PENALISED_KINDS: typing.Final = frozenset(
    {
        errors.LeafFailureKind.CONNECT,
        errors.LeafFailureKind.CONNECTION_LOST,
        errors.LeafFailureKind.REFUSED,
    }
)
# Invalid replies come fast, so a leaf that sends nothing else would draw
# more calls. A single one can belong to another leaf's fault.
UNANSWERED_KINDS: typing.Final = frozenset(
    {errors.LeafFailureKind.MALFORMED, errors.LeafFailureKind.TIMEOUT}
)
OVERLOAD_KINDS: typing.Final = frozenset(
    {errors.LeafFailureKind.REFUSED, errors.LeafFailureKind.TIMEOUT}
)


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
    speed: float = 1.0
    speed_s: float = 0.0
    penalty_s: float = 0.0
    penalised_until_s: float = 0.0
    unanswered_count: int = 0
    failure_ratio: float = 0.0
    failure_s: float = 0.0
    hard_failure_count: int = 0
    sent_s: float = 0.0

    def cost(self, cold: bool, now_s: float) -> float:
        """Return the expected cost of one more call; lower is better."""
        speed = 1.0 + (self.speed - 1.0) * kept_ratio(now_s - self.speed_s)
        cost = speed * (1.0 + self.in_flight_count / self.slot_count)
        if cold:
            cost *= COLD_FACTOR
        if not self.limit.has_room(self.in_flight_count):
            cost *= FULL_FACTOR
        cost *= 1.0 + FAILURE_COST * self.current_failure_ratio(now_s)
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

    def record_speed(self, speed: float, now_s: float) -> None:
        """Average a latency relative to the group median."""
        kept = kept_ratio(now_s - self.speed_s)
        self.speed = 1.0 + (self.speed - 1.0) * kept
        self.speed_s = now_s
        sample = min(speed, SPEED_SAMPLE_MAX)
        faster = sample < FASTER_RATIO * self.speed
        weight = FASTER_WEIGHT if faster else SPEED_WEIGHT
        self.speed += weight * (sample - self.speed)

    def penalise(self, now_s: float) -> None:
        """Avoid the leaf for a time that doubles with each failure."""
        if now_s < self.penalised_until_s:
            return
        doubled = max(PENALTY_FIRST_S, self.penalty_s * 2.0)
        self.penalty_s = min(PENALTY_MAX_S, doubled)
        self.penalised_until_s = now_s + self.penalty_s


@dataclasses.dataclass(slots=True)
class Choice:
    """Hold a replica, its cost and whether it is failing."""

    status: querytypes.LeafStatus
    cost: float
    failing: bool


@dataclasses.dataclass(slots=True)
class Replicas:
    """Hold the state of all leafs and choose among replicas.

    ``troubled`` names the leafs with a penalty. ``not_served_until_s``
    holds the leafs that answered 409 for a version.
    """

    zone_policy: zones.ZonePolicy
    rng: random.Random
    states: dict[str, ReplicaState] = dataclasses.field(default_factory=dict)
    troubled: set[str] = dataclasses.field(default_factory=set)
    not_served_until_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )

    def state(self, status: querytypes.LeafStatus) -> ReplicaState:
        """Return the state of a leaf."""
        state = self.states.get(status.info.name)
        return self._add_state(status) if state is None else state

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
        version are left out. Another zone is used where no near leaf is
        usable, and within the cap where a near leaf is dearer.
        """
        best = self._pick(near, avoid, version, now_s)
        if best is not None and (
            not far or (best.cost < SPILL_COST and not best.failing)
        ):
            return best.status
        other = self._pick(far, avoid, version, now_s)
        if best is None:
            return None if other is None else other.status
        if other is None or other.failing:
            return best.status
        crosses = best.failing or (
            other.cost < best.cost and self.zone_policy.may_cross()
        )
        return other.status if crosses else best.status

    def is_out(self, statuses: Statuses, now_s: float) -> bool:
        """Return whether every leaf of a shard is down.

        Pattern: all leafs of a shard are down. Queries go on without it,
        and one in each interval probes whether a leaf is back.
        """
        for status in statuses:
            state = self.states.get(status.info.name)
            if state is None or not state.is_down(now_s):
                return False
        return True

    def on_sent(
        self, status: querytypes.LeafStatus, max_ratio: float
    ) -> ReplicaState:
        """Count a call in flight."""
        state = self.state(status)
        state.in_flight_count += 1
        self.zone_policy.note_sent(state.link is None, max_ratio)
        return state

    def on_reply(
        self,
        state: ReplicaState,
        latency_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Record a reply and its latency."""
        state.limit.on_success(state.in_flight_count)
        state.in_flight_count -= 1
        state.unanswered_count = 0
        state.hard_failure_count = 0
        if state.failure_ratio > 0.0:
            state.record_failure(False, now_s)
        if state.penalty_s > 0.0:
            state.penalty_s = 0.0
            state.penalised_until_s = 0.0
            self.troubled.discard(state.name)
        if median_s > 0.0:
            state.record_speed(latency_s / median_s, now_s)
        if state.link is not None:
            state.link.record(lost=False)

    def on_cancelled(
        self,
        state: ReplicaState,
        waited_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Record the wait of a cancelled call as a lower bound."""
        state.in_flight_count -= 1
        if median_s > 0.0 and waited_s > state.speed * median_s:
            state.record_speed(waited_s / median_s, now_s)
        if waited_s < UNANSWERED_FACTOR * median_s:
            return
        if state.link is not None:
            state.link.record(lost=True)
        self._note_unanswered(state, now_s)

    def on_failure(
        self,
        state: ReplicaState,
        kind: errors.LeafFailureKind,
        version: int,
        now_s: float,
    ) -> None:
        """Record a failed call."""
        state.in_flight_count -= 1
        if kind in PENALISED_KINDS:
            self._penalise(state, now_s)
        if kind in HARD_KINDS:
            state.hard_failure_count += 1
        if kind in GREY_KINDS:
            state.record_failure(True, now_s)
        if kind in OVERLOAD_KINDS:
            state.limit.on_overload(now_s)
        if kind in UNANSWERED_KINDS:
            self._note_unanswered(state, now_s)
        if kind is errors.LeafFailureKind.NOT_SERVED:
            self._note_not_served(state.name, version, now_s)
        lost = kind is errors.LeafFailureKind.CONNECTION_LOST
        if lost and state.link is not None:
            state.link.record(lost=True)

    def _note_unanswered(self, state: ReplicaState, now_s: float) -> None:
        state.unanswered_count += 1
        if state.unanswered_count >= UNANSWERED_MAX:
            state.unanswered_count = 0
            state.hard_failure_count = DOWN_FAILURES_COUNT
            self._penalise(state, now_s)

    def _penalise(self, state: ReplicaState, now_s: float) -> None:
        state.penalise(now_s)
        self.troubled.add(state.name)

    def _note_not_served(self, name: str, version: int, now_s: float) -> None:
        self.not_served_until_s = {
            key: until_s
            for key, until_s in self.not_served_until_s.items()
            if until_s > now_s
        }
        until_s = now_s + NOT_SERVED_S
        self.not_served_until_s[name, version] = until_s

    def _add_state(self, status: querytypes.LeafStatus) -> ReplicaState:
        info = status.info
        link = None
        if info.data_centre != self.zone_policy.data_centre:
            link = self.zone_policy.link(info.data_centre)
        limit = concurrency.build_limit(
            info.slot_count, info.connection_limit_count
        )
        state = ReplicaState(info.name, limit, info.slot_count, link)
        self.states[info.name] = state
        return state

    def _pick(
        self,
        statuses: Statuses,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> Choice | None:
        """Choose among the leafs that are not failing, else among all."""
        failing = False
        if avoid or self.troubled or self.not_served_until_s:
            statuses = self._usable(statuses, avoid, version, now_s)
            healthy = self._healthy(statuses, now_s)
            failing = not healthy
            statuses = healthy or statuses
        if not statuses:
            return None
        status, cost = self._cheaper_of_two(statuses, now_s)
        failing = failing or self.state(status).is_grey(now_s)
        return Choice(status, cost, failing)

    def _cheaper_of_two(
        self, statuses: Statuses, now_s: float
    ) -> tuple[querytypes.LeafStatus, float]:
        count = len(statuses)
        random_01 = self.rng.random
        first = statuses[int(random_01() * count)]
        cost = self.state(first).cost(first.cold, now_s)
        if count == 1:
            return first, cost
        index = int(random_01() * (count - 1))
        second = statuses[index]
        if second is first:
            second = statuses[-1]
        second_cost = self.state(second).cost(second.cold, now_s)
        if second_cost < cost:
            return second, second_cost
        return first, cost

    def _usable(
        self,
        statuses: Statuses,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> Statuses:
        not_served = self.not_served_until_s
        return [
            status
            for status in statuses
            if status.info.name not in avoid
            and not_served.get((status.info.name, version), 0.0) <= now_s
        ]

    def _healthy(self, statuses: Statuses, now_s: float) -> Statuses:
        troubled = self.troubled
        return [
            status
            for status in statuses
            if status.info.name not in troubled
            or not self.states[status.info.name].failing(now_s)
        ]


def kept_ratio(idle_s: float) -> float:
    """Return how much of an estimate is left after a time without calls."""
    if idle_s <= IDLE_FREE_S:
        return 1.0
    return max(0.0, 1.0 - idle_s / ESTIMATE_MEMORY_S)
