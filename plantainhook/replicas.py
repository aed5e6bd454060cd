"""Select replicas by recent latency, calls in flight and zone.

Of two replicas drawn at random the one with the lower cost is taken (power of
two choices), which spreads the load and avoids herding on the fastest leaf.
Reported health is only a hint. The results of this daemon's own calls, kept
in ``replicastate``, decide.
"""

import dataclasses
import random
import typing
from collections import abc

from plantainhook import (
    concurrency,
    errors,
    forwardtypes,
    leaflimits,
    leafnotices,
    querytypes,
    recoverypace,
    replicastate,
    zones,
)

# A near replica that costs more is compared with those of other zones.
SPILL_COST: typing.Final = 3.0
# A call cancelled after this multiple of the median counts as unanswered.
UNANSWERED_FACTOR: typing.Final = 3.0
# A leaf that leaves this many calls in a row unanswered counts as down.
UNANSWERED_MAX: typing.Final = 5
# A leaf that answered 409 for a version is skipped for this time. Polling
# updates the versions that leafs serve every second.
NOT_SERVED_S: typing.Final = 1.0

# Failures that show that a leaf is down.
HARD_KINDS: typing.Final = frozenset({errors.LeafFailureKind.CONNECT})
# A leaf whose health check is good may fail some calls in these ways and
# answer others.
PARTLY_FAILING_KINDS: typing.Final = frozenset(
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
# Invalid replies arrive quickly, so a leaf that sends nothing else would seem
# fast and attract calls. A single invalid reply may be caused by another leaf.
UNANSWERED_KINDS: typing.Final = frozenset(
    {errors.LeafFailureKind.MALFORMED, errors.LeafFailureKind.TIMEOUT}
)
OVERLOAD_KINDS: typing.Final = frozenset(
    {errors.LeafFailureKind.REFUSED, errors.LeafFailureKind.TIMEOUT}
)
# Failures that show that a leaf gets more calls than it can answer now.
PACED_KINDS: typing.Final = PENALISED_KINDS | UNANSWERED_KINDS


@dataclasses.dataclass(slots=True)
class Candidate:
    """Represent a replica that may be chosen, with its expected cost.

    ``is_declined`` is set if its ramp doesn't want the call.
    """

    status: querytypes.LeafStatus
    cost: float
    failing: bool = False
    is_declined: bool = False


@dataclasses.dataclass(slots=True)
class ReplicaSelector:
    """Select replicas and hold the state of all leafs.

    ``penalised`` names the leafs with a penalty. ``not_served_until_s``
    holds, by leaf and index version, until when a leaf that answered 409 for
    the version is skipped. ``pace`` is None if leafs that have started or
    recovered have no ramp.
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
    limits: leaflimits.LeafLimits = dataclasses.field(
        default_factory=leaflimits.LeafLimits
    )
    notices: leafnotices.LeafNotices = dataclasses.field(
        default_factory=leafnotices.LeafNotices
    )
    pace: recoverypace.RecoveryPace | None = None

    def state(
        self, status: querytypes.LeafStatus
    ) -> replicastate.ReplicaState:
        """Return the state of a leaf; create it if missing."""
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

        Leafs in ``avoid``, leafs without a token for their limit, leafs that
        asked for a pause, and leafs that recently answered 409 for the version
        are skipped. A leaf in
        another zone is selected if no near leaf is usable or the near leaf is
        failing, and, within the limit on optional cross-zone calls, if the
        near leaf costs more.
        """
        if self.pace is not None:
            shard = (*near, *far)
            for status in self.pace.observe(shard, self.states, now_s):
                self._add_state(status)
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
            other.cost < best.cost
            and (best.is_declined or self.zone_policy.may_cross())
        )
        return other.status if crosses else best.status

    def all_down(self, statuses: Statuses, now_s: float) -> bool:
        """Return whether every leaf of a shard is down.

        Pattern: all leafs of a shard are down. Queries skip the shard, and
        one query per interval probes whether a leaf has recovered.
        """
        for status in statuses:
            state = self.states.get(status.info.name)
            if state is None or not state.is_down(now_s):
                return False
        return True

    def is_poor(self, statuses: Statuses, now_s: float) -> bool:
        """Return whether every leaf is avoided or fails many of its calls.

        A slow leaf is not poor: if all its calls went to another leaf, that
        one would be slow next.
        """
        for status in statuses:
            state = self.states.get(status.info.name)
            if state is None or not (
                state.should_avoid(now_s) or state.is_partly_failing(now_s)
            ):
                return False
        return True

    def on_sent(
        self, status: querytypes.LeafStatus, max_ratio: float
    ) -> replicastate.ReplicaState:
        """Record that a call was sent; ``max_ratio`` caps cross-zone calls."""
        state = self.state(status)
        state.in_flight_count += 1
        if self.pace is not None:
            self.pace.on_sent(state.name)
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
        if self.pace is not None:
            self.pace.record_reply(state, latency_s, median_s, now_s)
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
        """Record a cancelled call, whose wait is a lower bound of latency."""
        state.in_flight_count -= 1
        if median_s > 0.0 and waited_s > state.slowdown * median_s:
            state.record_slowdown(waited_s / median_s, now_s)
        if waited_s < UNANSWERED_FACTOR * median_s:
            return
        if self.pace is not None:
            self.pace.on_failure(state.name, now_s)
        if state.link is not None:
            state.link.record(lost=True)
        self._record_unanswered(state, now_s)

    def on_failure(
        self,
        state: replicastate.ReplicaState,
        kind: errors.LeafFailureKind,
        version: int,
        now_s: float,
    ) -> None:
        """Record a failed call."""
        state.in_flight_count -= 1
        if self.pace is not None and kind in PACED_KINDS:
            self.pace.on_failure(state.name, now_s)
        if kind in PENALISED_KINDS:
            self._penalise(state, now_s)
        if kind in HARD_KINDS:
            state.hard_failure_count += 1
        if kind in PARTLY_FAILING_KINDS:
            state.record_failure(True, now_s)
        if kind in OVERLOAD_KINDS:
            state.limit.on_overload(now_s)
        if kind in UNANSWERED_KINDS:
            self._record_unanswered(state, now_s)
        if kind is errors.LeafFailureKind.NOT_SERVED:
            self._record_not_served(state.name, version, now_s)
        lost = kind is errors.LeafFailureKind.CONNECTION_LOST
        if lost:
            state.lost_answer_s = now_s
        if lost and state.link is not None:
            state.link.record(lost=True)

    def _record_unanswered(
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

    def _record_not_served(
        self, name: str, version: int, now_s: float
    ) -> None:
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

    def record_load(
        self, leaf: str, load: forwardtypes.LeafLoad, now_s: float
    ) -> None:
        """Record the load that a leaf states in a reply."""
        state = self.states.get(leaf)
        if state is not None:
            state.load = load
            state.load_s = now_s

    def _pick(
        self,
        statuses: Statuses,
        avoid: abc.Collection[str],
        version: int,
        now_s: float,
    ) -> Candidate | None:
        """Choose among leafs that are not failing, or else among all."""
        failing = False
        if (
            avoid
            or self.penalised
            or self.not_served_until_s
            or self.limits.leafs
            or self.notices.paused_until_s
        ):
            statuses = self._usable(statuses, avoid, version, now_s)
            healthy = self._healthy(statuses, now_s)
            failing = not healthy
            statuses = healthy or statuses
        if not statuses:
            return None
        if self.pace is not None and self.pace.ramps:
            candidate = self._offer(self.pace, statuses, now_s)
        else:
            candidate = Candidate(*self._cheaper_of_two(statuses, now_s))
        state = self.state(candidate.status)
        candidate.failing = failing or state.is_partly_failing(now_s)
        return candidate

    def _cheaper_of_two(
        self, statuses: Statuses, now_s: float
    ) -> tuple[querytypes.LeafStatus, float]:
        count = len(statuses)
        random_unit = self.rng.random
        first = statuses[int(random_unit() * count)]
        cost = self._cost(first, now_s)
        if count == 1:
            return first, cost
        index = int(random_unit() * (count - 1))
        second = statuses[index]
        if second is first:
            second = statuses[-1]
        second_cost = self._cost(second, now_s)
        if second_cost < cost:
            return second, second_cost
        return first, cost

    def _cost(self, status: querytypes.LeafStatus, now_s: float) -> float:
        """Return the cost of a leaf; a ramp replaces the factor of cold."""
        state = self.state(status)
        if self.pace is None:
            return state.cost(status.cold, now_s)
        return state.cost(False, now_s) / self.pace.share(state.name, now_s)

    def _offer(
        self,
        pace: recoverypace.RecoveryPace,
        statuses: Statuses,
        now_s: float,
    ) -> Candidate:
        """Offer a call to the leafs with a ramp, then to the others.

        Pattern: all leafs of a shard start together. If no leaf without a
        ramp is left, the calls go to those with one.
        """
        accepting = pace.offer(statuses, self.states, now_s)
        if accepting is not None:
            cost = self.state(accepting).cost(False, now_s)
            return Candidate(accepting, cost)
        steady = pace.without_ramp(statuses, now_s)
        status, cost = self._cheaper_of_two(steady or statuses, now_s)
        return Candidate(status, cost, is_declined=not steady)

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
            and self.notices.may_call(status.info.name, now_s)
            and self._has_token(status.info.name, now_s)
        ]

    def _has_token(self, name: str, now_s: float) -> bool:
        """Return whether the request limit of a leaf allows a call."""
        if self.limits.may_call(name):
            return True
        self.limits.record_denied(name, now_s)
        return False

    def _healthy(self, statuses: Statuses, now_s: float) -> Statuses:
        penalised = self.penalised
        return [
            status
            for status in statuses
            if status.info.name not in penalised
            or not self.states[status.info.name].should_avoid(now_s)
        ]
