"""Order the gathered queries that a daemon runs, and refuse those too late.

A gathered query uses much CPU time. When more of them run at once than the
processor can finish in time, all of them miss their goals. The queue therefore
starts a query only if those that run leave the processor idle, and otherwise
holds it back before any leaf works on it.

Pattern: a gatherer gets more queries than its processor can run, from tenants
of several ranks, one of which sends many times its usual load. Urgent queries
start first, among equal ranks those of the tenant that used the least, and
queries that have already missed their goal start last.

Pattern: leafs are slow and many queries wait for them. The event loop is on
time, so waiting queries are started as long as it stays so.

The module does no I/O; ``gathergate`` suspends the tasks of waiting queries.
"""

import collections
import dataclasses
import enum
import math
import typing
from collections import abc

from plantainhook import urgency

# Queries start at once while the running ones need less CPU time than this.
BASE_WORK_S: typing.Final = 0.06
# While the event loop is on time, one more query starts at each tick.
TICK_S: typing.Final = 0.002
ON_TIME_S: typing.Final = 0.005
# Part of the work of running queries for which the next start waits if the
# event loop is late.
RUNNING_PART_RATIO: typing.Final = 0.25
# Where a part of all queries is served, each tenant and each kind of query is
# served at least 0.25 of it. The queue aims higher, because it acts only after
# it has observed a lack.
FLOOR_RATIO: typing.Final = 0.3
FLOOR_SLACK_COUNT: typing.Final = 0.5
FLOOR_MEMORY_S: typing.Final = 60.0
# How long the CPU time that a tenant used counts against it.
USAGE_MEMORY_S: typing.Final = 5.0
# A wait is predicted from the work ahead and the observed pace. The factor
# keeps queries that may still be answered from being refused.
WAIT_CERTAIN_RATIO: typing.Final = 0.8
# Seconds from one end to the next per second of work. A part of the work may
# be done by helpers, so the first value assumes little.
FIRST_PACE_RATIO: typing.Final = 0.3
PACE_GAIN_RATIO: typing.Final = 0.1
PACE_MAX_RATIO: typing.Final = 10.0
DURATIONS_COUNT: typing.Final = 20
# Bounds on the time that a query is assumed to take at least.
FASTEST_MAX_S: typing.Final = 0.1
REVIEW_INTERVAL_S: typing.Final = 0.05
RETRY_MIN_S: typing.Final = 0.05


class State(enum.Enum):
    """Enumerate the states of a query in the queue."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    REFUSED = enum.auto()
    ENDED = enum.auto()


def ignore() -> None:
    """Do nothing."""


@dataclasses.dataclass(slots=True, eq=False)
class GatherQuery:
    """Describe a query that is to be run.

    ``work_s`` is the CPU time that it needs on this VM. ``on_decided`` is
    called when a waiting query starts or is refused. ``retry_after_s`` is set
    for a refused one.
    """

    ranks: urgency.Urgency
    tenant: str
    kind: str
    work_s: float
    goal_s: float
    deadline_s: float
    on_decided: abc.Callable[[], None] = ignore
    state: State = State.WAITING
    number: int = 0
    started_s: float = 0.0
    retry_after_s: float = 0.0

    def groups(self) -> tuple[tuple[str, str], tuple[str, str]]:
        """Return the tenant and the kind, which must not starve."""
        return ("tenant", self.tenant), ("kind", self.kind)


class DecayingSums:
    """Sum amounts by key; an amount loses weight with its age."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._sums: dict[typing.Hashable, tuple[float, float]] = {}

    def add(self, key: typing.Hashable, amount: float, now_s: float) -> None:
        """Add an amount."""
        self._sums[key] = (self.get(key, now_s) + amount, now_s)

    def get(self, key: typing.Hashable, now_s: float) -> float:
        """Return the sum of a key."""
        amount, at_s = self._sums.get(key, (0.0, now_s))
        return amount * math.exp(-max(0.0, now_s - at_s) / self._memory_s)


class AdmissionQueue:
    """Start queries in order; hold back or refuse those without room."""

    def __init__(self) -> None:
        self.waiting: list[GatherQuery] = []
        self.running_count = 0
        self.running_work_s = 0.0
        self._arrivals_count = 0
        self._offered = DecayingSums(FLOOR_MEMORY_S)
        self._served = DecayingSums(FLOOR_MEMORY_S)
        self._usage = DecayingSums(USAGE_MEMORY_S)
        self._durations_s: collections.deque[float] = collections.deque(
            maxlen=DURATIONS_COUNT
        )
        self._typical_s = 0.0
        self._pace_ratio = FIRST_PACE_RATIO
        self._busy_since_s: float | None = None
        self._room_until_s = -math.inf
        self._last_start_s = -math.inf
        self._reviewed_s = -math.inf

    @property
    def needs_ticks(self) -> bool:
        """Return whether ``tick`` has to be called."""
        return bool(self.waiting)

    def work_s(self) -> float:
        """Return the CPU time that running and waiting queries need."""
        waiting_s = sum(query.work_s for query in self.waiting)
        return max(0.0, self.running_work_s) + waiting_s

    def offer(self, query: GatherQuery, now_s: float) -> None:
        """Start a query, let it wait or refuse it, see its ``state``."""
        self._arrivals_count += 1
        query.number = self._arrivals_count
        self._count(self._offered, query, now_s)
        self.waiting.append(query)
        self._fill(now_s)
        if query.state is State.WAITING:
            self._note_busy(now_s)
            self._review(now_s)

    def would_be_late(self, query: GatherQuery, now_s: float) -> bool:
        """Return whether a query that arrives now would miss its goal."""
        if not self.waiting and self._has_room(query.work_s, now_s):
            return False
        key = self._key(query, now_s)
        ahead_s = sum(
            other.work_s
            for other in self.waiting
            if self._key(other, now_s) < key
        )
        wait_s = self._predict_wait_s(ahead_s)
        return now_s + wait_s + self._fastest_s() > query.goal_s

    def end(self, query: GatherQuery, now_s: float) -> None:
        """Remove a query that has ended or no longer waits."""
        state, query.state = query.state, State.ENDED
        if state is State.WAITING:
            self.waiting.remove(query)
        elif state is State.RUNNING:
            self.running_count -= 1
            self.running_work_s -= query.work_s
            if not self.running_count:
                self.running_work_s = 0.0
            self._durations_s.append(now_s - query.started_s)
            ordered_s = sorted(self._durations_s)
            self._typical_s = ordered_s[len(ordered_s) // 2]
            self._learn_pace(query.work_s, now_s)
        self._fill(now_s)
        self._note_busy(now_s)
        self._review_if_due(now_s)

    def tick(self, delay_s: float, now_s: float) -> None:
        """Take note of how late the event loop is; start what has room."""
        self._room_until_s = -math.inf
        if delay_s < ON_TIME_S:
            self._room_until_s = now_s + 2 * TICK_S
        self._fill(now_s)
        self._note_busy(now_s)
        self._review_if_due(now_s)

    def _has_room(self, work_s: float, now_s: float) -> bool:
        """Return whether a query may start.

        Pattern: the event loop is late for other reasons than queries, and
        those that run wait for slow leafs, or need less CPU time than assumed.
        One more starts after the time for its work and a part of theirs.
        """
        if self.running_work_s < BASE_WORK_S or now_s <= self._room_until_s:
            return True
        needed_s = work_s + self.running_work_s * RUNNING_PART_RATIO
        return now_s - self._last_start_s >= needed_s

    def _fill(self, now_s: float) -> None:
        # Whether there is room is cheap to find out, the order is not.
        while self.waiting and self._has_room(self.waiting[0].work_s, now_s):
            query = min(
                self.waiting, key=lambda waiting: self._key(waiting, now_s)
            )
            if self.running_work_s >= BASE_WORK_S:
                # Its effect on the event loop is known after a tick.
                self._room_until_s = -math.inf
            self._start(query, now_s)

    def _start(self, query: GatherQuery, now_s: float) -> None:
        self.waiting.remove(query)
        query.state = State.RUNNING
        query.started_s = self._last_start_s = now_s
        self.running_count += 1
        self.running_work_s += query.work_s
        self._count(self._served, query, now_s)
        self._usage.add(query.tenant, query.work_s, now_s)
        query.on_decided()

    def _review_if_due(self, now_s: float) -> None:
        if self.waiting and now_s >= self._reviewed_s + REVIEW_INTERVAL_S:
            self._review(now_s)

    def _review(self, now_s: float) -> None:
        """Refuse the queries that can't be answered by their deadline."""
        self._reviewed_s = now_s
        ahead_s = 0.0
        ordered = sorted(
            self.waiting, key=lambda waiting: self._key(waiting, now_s)
        )
        for query in ordered:
            wait_s = self._predict_wait_s(ahead_s)
            if now_s + wait_s + self._fastest_s() > query.deadline_s:
                self.waiting.remove(query)
                query.state = State.REFUSED
                query.retry_after_s = max(RETRY_MIN_S, wait_s)
                query.on_decided()
            else:
                ahead_s += query.work_s

    def _predict_wait_s(self, ahead_s: float) -> float:
        """Return the time until a query starts, rather too short."""
        return WAIT_CERTAIN_RATIO * self._pace_ratio * ahead_s

    def _key(
        self, query: GatherQuery, now_s: float
    ) -> tuple[bool, bool, urgency.Urgency, float, int]:
        """Return the sort key of a waiting query; the lowest starts first."""
        return (
            now_s + self._typical_s > query.goal_s,
            not self._is_starved(query, now_s),
            query.ranks,
            self._usage.get(query.tenant, now_s),
            query.number,
        )

    def _is_starved(self, query: GatherQuery, now_s: float) -> bool:
        """Return whether a tenant or kind gets less than its minimum."""
        offered = self._offered.get(None, now_s)
        if offered <= 0.0:
            return False
        floor_ratio = FLOOR_RATIO * self._served.get(None, now_s) / offered
        return any(
            self._served.get(group, now_s) + FLOOR_SLACK_COUNT
            < floor_ratio * self._offered.get(group, now_s)
            for group in query.groups()
        )

    def _count(
        self, sums: DecayingSums, query: GatherQuery, now_s: float
    ) -> None:
        sums.add(None, 1.0, now_s)
        for group in query.groups():
            sums.add(group, 1.0, now_s)

    def _fastest_s(self) -> float:
        return min(FASTEST_MAX_S, *self._durations_s, FASTEST_MAX_S)

    def _note_busy(self, now_s: float) -> None:
        """Begin to measure the pace, or stop if nothing waits."""
        if not self.waiting:
            self._busy_since_s = None
        elif self._busy_since_s is None:
            self._busy_since_s = now_s

    def _learn_pace(self, work_s: float, now_s: float) -> None:
        """Learn from the time since the last end, if queries waited."""
        if self._busy_since_s is None or work_s <= 0.0:
            return
        observed = (now_s - self._busy_since_s) / work_s
        self._busy_since_s = now_s
        change = min(PACE_MAX_RATIO, observed) - self._pace_ratio
        self._pace_ratio += PACE_GAIN_RATIO * change
