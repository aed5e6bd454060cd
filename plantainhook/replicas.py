"""Replica selection by recent latency, calls in flight and zone.

Of two replicas drawn at random the cheaper one is taken (power of two
choices), which spreads load without herding on the fastest leaf. Health is
only a hint: what the calls of this daemon saw decides.
"""

import dataclasses
import random
import typing
from collections import abc

from plantainhook import (
    concurrency,
    errors,
    querytypes,
    replicastate,
    zones,
)

# Above this cost a near replica is compared with those of other zones.
SPILL_COST: typing.Final = 3.0
# A call cancelled after this many medians counts as unanswered.
UNANSWERED_FACTOR: typing.Final = 3.0
UNANSWERED_MAX: typing.Final = 5
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


@dataclasses.dataclass(slots=True)
class Choice:
    """Hold a replica, its cost and whether it is failing."""

    status: querytypes.LeafStatus
    cost: float
    failing: bool


@dataclasses.dataclass(slots=True)
class ReplicaSelector:
    """Hold the state of all leafs and choose among replicas.

    ``troubled`` names the leafs with a penalty. ``not_served_until_s``
    holds the leafs that answered 409 for a version.
    """

    zone_policy: zones.ZonePolicy
    rng: random.Random
    states: dict[str, replicastate.ReplicaState] = dataclasses.field(
        default_factory=dict
    )
    penalised: set[str] = dataclasses.field(default_factory=set)
    not_served_until_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )

    def state(
        self, status: querytypes.LeafStatus
    ) -> replicastate.ReplicaState:
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

    def all_down(self, statuses: Statuses, now_s: float) -> bool:
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
    ) -> replicastate.ReplicaState:
        """Count a call in flight."""
        state = self.state(status)
        state.in_flight_count += 1
        self.zone_policy.record_sent(state.link is None, max_ratio)
        return state

    def on_reply(
        self,
        state: replicastate.ReplicaState,
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
            self.penalised.discard(state.name)
        if median_s > 0.0:
            state.record_slowdown(latency_s / median_s, now_s)
        if state.link is not None:
            state.link.record(lost=False)

    def on_cancelled(
        self,
        state: replicastate.ReplicaState,
        waited_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Record the wait of a cancelled call as a lower bound."""
        state.in_flight_count -= 1
        if median_s > 0.0 and waited_s > state.slowdown * median_s:
            state.record_slowdown(waited_s / median_s, now_s)
        if waited_s < UNANSWERED_FACTOR * median_s:
            return
        if state.link is not None:
            state.link.record(lost=True)
        self._note_unanswered(state, now_s)

    def on_failure(
        self,
        state: replicastate.ReplicaState,
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

    def _note_unanswered(
        self, state: replicastate.ReplicaState, now_s: float
    ) -> None:
        state.unanswered_count += 1
        if state.unanswered_count >= UNANSWERED_MAX:
            state.unanswered_count = 0
            state.hard_failure_count = replicastate.DOWN_FAILURES_COUNT
            self._penalise(state, now_s)

    def _penalise(
        self, state: replicastate.ReplicaState, now_s: float
    ) -> None:
        state.penalise(now_s)
        self.penalised.add(state.name)

    def _note_not_served(self, name: str, version: int, now_s: float) -> None:
        self.not_served_until_s = {
            key: until_s
            for key, until_s in self.not_served_until_s.items()
            if until_s > now_s
        }
        until_s = now_s + NOT_SERVED_S
        self.not_served_until_s[name, version] = until_s

    def _add_state(
        self, status: querytypes.LeafStatus
    ) -> replicastate.ReplicaState:
        info = status.info
        link = None
        if info.data_centre != self.zone_policy.data_centre:
            link = self.zone_policy.link(info.data_centre)
        limit = concurrency.build_limit(
            info.slot_count, info.connection_limit_count
        )
        state = replicastate.ReplicaState(
            info.name, limit, info.slot_count, link
        )
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
        if avoid or self.penalised or self.not_served_until_s:
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
        troubled = self.penalised
        return [
            status
            for status in statuses
            if status.info.name not in troubled
            or not self.states[status.info.name].failing(now_s)
        ]
