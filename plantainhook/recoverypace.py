"""Decide the share of calls for a leaf that has started or recovered.

A ramp begins when a leaf appears beside known leafs of its shard, becomes
cold, starts again, or replies after a penalty. Its share is the part of an
equal part of the calls that a leaf is offered. The share doubles with each
sound answer, is bounded by how fast the leaf answers compared with the others
of its shard, and is halved by a refusal, a loss or a very late answer.

Each daemon decides from its own calls. As the share is a part of the calls of
a daemon, the calls of all daemons together begin at the same small part of
the usual load, however many daemons there are.
"""

import dataclasses
import enum
import random
import typing
from collections import abc

from plantainhook import querytypes, replicastate

# The share after a start or after an outage, and after a single failure.
START_SHARE: typing.Final = 0.25
RETURN_SHARE: typing.Final = 0.5
# The share is never lower, so a leaf always gets calls that can show that it
# has recovered.
MIN_SHARE: typing.Final = 1.0 / 32.0
GROWTH_FACTOR: typing.Final = 2.0
DECREASE_RATIO: typing.Final = 0.5
# Latencies, divided by the median of the group, up to which an answer is
# sound, and from which it shows an overloaded leaf.
SOUND_RATIO: typing.Final = 1.25
OVERLOADED_RATIO: typing.Final = 3.0
RATIO_MAX: typing.Final = 10.0
RATIO_WEIGHT: typing.Final = 0.5
# All calls in flight can fail together; they decrease the share only once.
DECREASE_INTERVAL_S: typing.Final = 0.1
# A leaf that is slow for good gets its usual cost after this many answers
# without a decrease.
SETTLED_COUNT: typing.Final = 16
# A ramp without calls ends after the time in which estimates decay.
IDLE_S: typing.Final = 10.0
# A leaf that needs another ramp within this time starts with a lower share.
FLAPPING_S: typing.Final = 10.0


class Cause(enum.StrEnum):
    """Name why a ramp began."""

    NEW = "it is new"
    COLD = "it is cold"
    RESTARTED = "it has started again"
    RECOVERED = "it was down and replies again"
    RETURNED = "it replies after a failure"


@dataclasses.dataclass(slots=True)
class Ramp:
    """Track the share of one leaf.

    ``ratio`` is a moving average of its latency divided by the median of its
    group, and ``least_ratio`` its lowest value: a leaf in another data centre
    seems slow without any load. ``settled_count`` counts the answers since
    the last decrease. ``credit`` rises with each offered call, to 1 at most.
    """

    start_share: float
    share: float
    begun_s: float
    used_s: float
    credit: float
    ratio: float = 1.0
    least_ratio: float = RATIO_MAX
    settled_count: int = 0
    answers_count: int = 0
    decreased_s: float = float("-inf")

    def allowed_count(self, slot_count: int) -> int:
        """Return how many calls of this daemon may be in flight."""
        return 1 if self.share < RETURN_SHARE else max(1, slot_count)

    def on_answer(self, ratio: float, now_s: float) -> None:
        """Raise the share after a sound answer; lower it after a late one.

        Pattern: a cold leaf answers 1.6 times as slowly as the others of its
        shard. It is offered the part of the calls that it can answer in the
        time that the others need.
        """
        self.answers_count += 1
        self.ratio += RATIO_WEIGHT * (min(ratio, RATIO_MAX) - self.ratio)
        self.least_ratio = max(1.0, min(self.least_ratio, ratio))
        if ratio >= OVERLOADED_RATIO * self.least_ratio:
            self.decrease(now_s)
            return
        self.settled_count += 1
        bound = 1.0 if self.ratio <= SOUND_RATIO else 1.0 / self.ratio
        grown = min(self.share * GROWTH_FACTOR, bound)
        self.share = max(MIN_SHARE, grown)

    def decrease(self, now_s: float) -> None:
        """Halve the share.

        Pattern: a leaf that has just started is swamped: it refuses calls,
        loses connections or answers late.
        """
        self.settled_count = 0
        if now_s - self.decreased_s < DECREASE_INTERVAL_S:
            return
        self.decreased_s = now_s
        self.share = max(MIN_SHARE, self.share * DECREASE_RATIO)


class RecoveryPace:
    """Hold the ramps of one daemon by leaf name.

    ``log`` gets a line at the begin and the end of a ramp. ``cold_seen_s``
    holds when cold leafs were cold at a choice, so that a ramp begins once
    each time a leaf becomes cold.
    """

    ramps: dict[str, Ramp]
    cold_seen_s: dict[str, float]

    def __init__(
        self,
        rng: random.Random,
        log: abc.Callable[[str], None] = lambda text: None,
    ) -> None:
        self._rng = rng
        self.ramps = {}
        self.cold_seen_s = {}
        self._log = log
        # Ramps that ended in the last ``FLAPPING_S``.
        self._ended: dict[str, Ramp] = {}

    def begin(self, leaf: str, cause: Cause, now_s: float) -> None:
        """Begin the ramp of a leaf, unless it has one.

        Pattern: a leaf fails again and again. Each ramp soon after the last
        one starts with half of its share.
        """
        self.end_idle(now_s)
        if leaf in self.ramps:
            return
        share = RETURN_SHARE
        if cause is not Cause.RETURNED:
            share = START_SHARE
            last = self._ended.get(leaf)
            if last is not None:
                share = min(share, last.start_share * DECREASE_RATIO)
        share = max(MIN_SHARE, share)
        credit = self._rng.random()
        self.ramps[leaf] = Ramp(share, share, now_s, now_s, credit)
        self._log(
            f"Leaf {leaf} gets {share:.3f} of its share of calls: {cause}."
        )

    def observe(
        self,
        statuses: abc.Sequence[querytypes.LeafStatus],
        known: abc.Container[str],
        now_s: float,
    ) -> list[querytypes.LeafStatus]:
        """Begin the ramps of leafs that are cold, or new beside known ones.

        Returns the leafs that were not known.

        ``statuses`` are all usable leafs of a shard. A daemon that has just
        started knows none of them. They serve other daemons, so only cold
        ones have a ramp.
        """
        unknown = [
            status for status in statuses if status.info.name not in known
        ]
        if unknown and len(unknown) < len(statuses):
            for status in unknown:
                self.begin(status.info.name, Cause.NEW, now_s)
        for status in statuses:
            if status.cold or self.cold_seen_s:
                self._observe_cold(status.info.name, status.cold, now_s)
        return unknown

    def record_reply(
        self,
        state: replicastate.ReplicaState,
        latency_s: float,
        median_s: float,
        now_s: float,
    ) -> None:
        """Begin the ramp of a leaf that replies after a penalty; record it.

        ``state`` is that before the reply ends the penalty.
        """
        if state.hard_failure_count >= replicastate.DOWN_FAILURES_COUNT:
            self.begin(state.name, Cause.RECOVERED, now_s)
        elif state.penalty_s > 0.0:
            self.begin(state.name, Cause.RETURNED, now_s)
        ratio = latency_s / median_s if median_s > 0.0 else 1.0
        self._record_answer(state, ratio, now_s)

    def _observe_cold(self, leaf: str, is_cold: bool, now_s: float) -> None:
        if not is_cold:
            self.cold_seen_s.pop(leaf, None)
            return
        if leaf not in self.cold_seen_s:
            self.begin(leaf, Cause.COLD, now_s)
        self.cold_seen_s[leaf] = now_s

    def offer(
        self,
        statuses: abc.Sequence[querytypes.LeafStatus],
        states: abc.Mapping[str, replicastate.ReplicaState],
        now_s: float,
    ) -> querytypes.LeafStatus | None:
        """Offer a call; return the leaf with a ramp that accepts it, if any.

        Each offer adds the share of an equal part to the credit of a leaf,
        and a call costs 1. So a leaf waits for a limited number of offers.

        Pattern: many daemons see a leaf for the first time. Their first
        credits are random, so their first calls are spread over time, and
        each has one call in flight until answers arrive.
        """
        accepting = None
        for status in statuses:
            leaf = status.info.name
            share = self.share(leaf, now_s)
            if leaf not in self.ramps:
                continue
            ramp = self.ramps[leaf]
            ramp.credit = min(1.0, ramp.credit + share / len(statuses))
            state = states[leaf]
            allowed_count = ramp.allowed_count(state.slot_count)
            if (
                accepting is None
                and ramp.credit >= 1.0
                and state.in_flight_count < allowed_count
            ):
                accepting = status
        return accepting

    def on_sent(self, leaf: str) -> None:
        """Charge a call to the credit of a leaf."""
        ramp = self.ramps.get(leaf)
        if ramp is not None:
            ramp.credit = max(0.0, ramp.credit - 1.0)

    def without_ramp(
        self, statuses: abc.Sequence[querytypes.LeafStatus], now_s: float
    ) -> list[querytypes.LeafStatus]:
        """Return the leafs that have no ramp."""
        return [
            status
            for status in statuses
            if self.share(status.info.name, now_s) >= 1.0
        ]

    def share(self, leaf: str, now_s: float) -> float:
        """Return the share of a leaf; 1 without a ramp.

        Pattern: a leaf gets no calls, or so few that its answers say nothing
        about its present state. Its ramp ends.
        """
        ramp = self.ramps.get(leaf)
        if ramp is None:
            return 1.0
        if self._end_if_idle(leaf, ramp, now_s):
            return 1.0
        return ramp.share

    def end_idle(self, now_s: float) -> None:
        """End the ramps of leafs without calls; forget what is old.

        Pattern: leafs come and go under new names.
        """
        for leaf, ramp in list(self.ramps.items()):
            self._end_if_idle(leaf, ramp, now_s)
        self._ended = {
            name: ramp
            for name, ramp in self._ended.items()
            if now_s - ramp.used_s < FLAPPING_S
        }
        self.cold_seen_s = {
            name: seen_s
            for name, seen_s in self.cold_seen_s.items()
            if now_s - seen_s < IDLE_S
        }

    def _record_answer(
        self, state: replicastate.ReplicaState, ratio: float, now_s: float
    ) -> None:
        """Record an answer and end the ramp if it is over.

        Pattern: a leaf is slow for good. Its ramp ends when its share has
        settled, and its usual cost, which contains its latency, applies. A
        leaf that is still cold keeps the share that fits its latency.
        """
        leaf = state.name
        ramp = self.ramps.get(leaf)
        if ramp is None:
            return
        ramp.used_s = now_s
        if state.has_queue(now_s):
            ramp.decrease(now_s)
            return
        ramp.on_answer(ratio, now_s)
        if ramp.share >= 1.0:
            # The latencies of the start would leave the leaf idle for long.
            state.slowdown = 1.0
            self._end(leaf, ramp, "it has its full share", now_s)
        elif (
            ramp.settled_count >= SETTLED_COUNT
            and leaf not in self.cold_seen_s
        ):
            self._end(leaf, ramp, "it stays slower than others", now_s)

    def on_failure(self, leaf: str, now_s: float) -> None:
        """Record a refusal, a loss or a call without an answer."""
        ramp = self.ramps.get(leaf)
        if ramp is not None:
            ramp.decrease(now_s)

    def least_share(self) -> float:
        """Return the lowest share of a leaf; 1 without ramps."""
        return min((ramp.share for ramp in self.ramps.values()), default=1.0)

    def mean_share(self) -> float:
        """Return the mean share of the leafs with a ramp; 1 without ramps."""
        if not self.ramps:
            return 1.0
        total = sum(ramp.share for ramp in self.ramps.values())
        return total / len(self.ramps)

    def _end_if_idle(self, leaf: str, ramp: Ramp, now_s: float) -> bool:
        if now_s - ramp.used_s < IDLE_S:
            return False
        self._end(leaf, ramp, "it got no answers", now_s)
        return True

    def _end(self, leaf: str, ramp: Ramp, reason: str, now_s: float) -> None:
        del self.ramps[leaf]
        ramp.used_s = now_s
        self._ended[leaf] = ramp
        self._log(
            f"Leaf {leaf} gets its usual calls after "
            f"{now_s - ramp.begun_s:.1f} s and {ramp.answers_count} answers: "
            f"{reason}."
        )
