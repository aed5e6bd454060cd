"""Decide which requests start, wait or are refused.

``AdmissionQueue`` does no I/O. It takes new requests, finished requests and
the time, and returns which requests start and which are refused. The daemon,
through ``admissiongate``, and the benchmark carry out these decisions.

Each class has a queue in deadline order. ``urgent`` has strict priority up to
a fraction of the capacity. The other classes share the rest in proportion to
their weights (weighted fair queueing), so no class starves. A full queue
sheds requests, but never an archive request that was accepted.
"""

import dataclasses
import heapq
import typing

from plantainhook import errors, schema

URGENT_CAPACITY_RATIO: typing.Final = 0.8
SERVICE_EWMA_WEIGHT: typing.Final = 0.05
RETRY_AFTER_MIN_MS: typing.Final = 50
CLASS_WEIGHTS: typing.Final[dict[schema.RequestClass, float]] = {
    schema.RequestClass.URGENT: 8.0,
    schema.RequestClass.INTERACTIVE: 4.0,
    schema.RequestClass.SEARCH: 2.0,
    schema.RequestClass.ARCHIVE: 1.0,
}

# Requests of the first class are shed first. Requests of a class that is not
# listed are never shed once they are queued.
SHED_ORDER: typing.Final = (
    schema.RequestClass.SEARCH,
    schema.RequestClass.INTERACTIVE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Describe a request that asks for admission."""

    request_id: str
    request_class: schema.RequestClass
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Represent the decision to start a request now."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Represent the decision to refuse a request, which has not run."""

    entry: Entry
    kind: errors.RefusalKind
    retry_after_ms: int


Decision = Start | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit the numbers of running and waiting requests of a daemon.

    Waiting archive requests count only towards ``archive_queued_count``.
    """

    running_count: int
    queued_count: int
    archive_queued_count: int


@dataclasses.dataclass(slots=True)
class _ClassQueue:
    """Queue the waiting requests of one class, earliest deadline first.

    Heap items are deadline, sequence number and request id. The item of a
    request that no longer waits is skipped when it reaches the top.
    """

    weight: float
    virtual_time: float = 0.0
    heap: list[tuple[float, int, str]] = dataclasses.field(
        default_factory=list
    )


class AdmissionQueue:
    """Decide which requests run, wait or are refused.

    ``mean_service_s`` is a moving average of the time that requests run.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.mean_service_s = 0.0
        self._sequence = 0
        self._virtual_time = 0.0
        self._running: dict[str, Entry] = {}
        self._waiting: dict[str, Entry] = {}
        self._running_counts = dict.fromkeys(CLASS_WEIGHTS, 0)
        self._waiting_counts = dict.fromkeys(CLASS_WEIGHTS, 0)
        self._queues = {
            request_class: _ClassQueue(weight)
            for request_class, weight in CLASS_WEIGHTS.items()
        }

    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def waiting_count(
        self, request_class: schema.RequestClass | None = None
    ) -> int:
        """Return the number of waiting requests, of one class or of all."""
        if request_class is None:
            return len(self._waiting)
        return self._waiting_counts[request_class]

    def offer(self, entry: Entry, now_s: float) -> list[Decision]:
        """Accept or refuse a new request; return the resulting decisions.

        A request without a decision waits.
        """
        if not self._can_meet_deadline(entry, now_s):
            return [self._refuse(entry, errors.RefusalKind.DEADLINE)]
        if entry.request_class is schema.RequestClass.ARCHIVE:
            archive_count = self.waiting_count(schema.RequestClass.ARCHIVE)
            if archive_count >= self.limits.archive_queued_count:
                return [self._refuse(entry, errors.RefusalKind.OVERLOADED)]
        self._enqueue(entry)
        return [*self._start_waiting(now_s), *self._shed()]

    def finish(
        self, request_id: str, now_s: float, service_s: float
    ) -> list[Decision]:
        """Record the end of a running request and start waiting ones."""
        if not self._remove_running(request_id):
            return []
        self._record_service_time(service_s)
        return self._start_waiting(now_s)

    def abandon(self, request_id: str, now_s: float) -> list[Decision]:
        """Remove a request whose caller has disconnected."""
        if request_id in self._waiting:
            self._remove_waiting(request_id)
            return []
        self._remove_running(request_id)
        return self._start_waiting(now_s)

    def expire(self, now_s: float) -> list[Decision]:
        """Refuse the waiting requests whose deadline has passed."""
        late = [
            entry
            for entry in self._waiting.values()
            if entry.deadline_s <= now_s
        ]
        for entry in late:
            self._remove_waiting(entry.request_id)
        return [
            self._refuse(entry, errors.RefusalKind.DEADLINE) for entry in late
        ]

    def expected_wait_s(self, request_class: schema.RequestClass) -> float:
        """Return how long a new request of the class would wait.

        This is Little's law for the class's share of the slots: the requests
        ahead times the mean service time, divided by the slots of the class.
        """
        if len(self._running) < self.limits.running_count:
            return 0.0
        ahead_count = self.waiting_count(request_class) + 1
        slots = self.limits.running_count * self._capacity_share(request_class)
        return ahead_count * self.mean_service_s / max(slots, 1e-9)

    def _capacity_share(self, request_class: schema.RequestClass) -> float:
        if request_class is schema.RequestClass.URGENT:
            return URGENT_CAPACITY_RATIO
        active = {name for name, n in self._waiting_counts.items() if n}
        active.discard(schema.RequestClass.URGENT)
        active.add(request_class)
        total = sum(CLASS_WEIGHTS[name] for name in active)
        return CLASS_WEIGHTS[request_class] / total

    def _can_meet_deadline(self, entry: Entry, now_s: float) -> bool:
        wait_s = self.expected_wait_s(entry.request_class)
        return now_s + wait_s < entry.deadline_s

    def _record_service_time(self, service_s: float) -> None:
        if self.mean_service_s == 0.0:
            self.mean_service_s = service_s
        change_s = service_s - self.mean_service_s
        self.mean_service_s += SERVICE_EWMA_WEIGHT * change_s

    def _enqueue(self, entry: Entry) -> None:
        queue = self._queues[entry.request_class]
        if not self.waiting_count(entry.request_class):
            # An idle class starts at the current virtual time, so it gets no
            # credit for the time in which it had no requests.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        self._sequence += 1
        heapq.heappush(
            queue.heap, (entry.deadline_s, self._sequence, entry.request_id)
        )
        self._waiting[entry.request_id] = entry
        self._waiting_counts[entry.request_class] += 1

    def _remove_waiting(self, request_id: str) -> Entry:
        entry = self._waiting.pop(request_id)
        self._waiting_counts[entry.request_class] -= 1
        return entry

    def _remove_running(self, request_id: str) -> bool:
        entry = self._running.pop(request_id, None)
        if entry is None:
            return False
        self._running_counts[entry.request_class] -= 1
        return True

    def _start_waiting(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = self.expire(now_s)
        while len(self._running) < self.limits.running_count:
            entry = self._next_entry()
            if entry is None:
                break
            self._running[entry.request_id] = entry
            self._running_counts[entry.request_class] += 1
            decisions.append(Start(entry))
        return decisions

    def _next_entry(self) -> Entry | None:
        request_class = self._next_class()
        if request_class is None:
            return None
        queue = self._queues[request_class]
        _, _, request_id = heapq.heappop(queue.heap)
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += 1.0 / queue.weight
        return self._remove_waiting(request_id)

    def _next_class(self) -> schema.RequestClass | None:
        for queue in self._queues.values():
            while queue.heap and queue.heap[0][2] not in self._waiting:
                heapq.heappop(queue.heap)
        waiting = [name for name, queue in self._queues.items() if queue.heap]
        if not waiting:
            return None
        if schema.RequestClass.URGENT in waiting:
            others = list(waiting)
            others.remove(schema.RequestClass.URGENT)
            if not others or self._urgent_is_below_limit():
                return schema.RequestClass.URGENT
            waiting = others
        return min(waiting, key=lambda name: self._queues[name].virtual_time)

    def _urgent_is_below_limit(self) -> bool:
        urgent_count = self._running_counts[schema.RequestClass.URGENT]
        limit = self.limits.running_count * URGENT_CAPACITY_RATIO
        return urgent_count < max(1.0, limit)

    def _shed(self) -> list[Decision]:
        decisions: list[Decision] = []
        while self._sheddable_count() > self.limits.queued_count:
            victim = self._next_to_shed()
            if victim is None:
                break
            self._remove_waiting(victim.request_id)
            refusal = self._refuse(victim, errors.RefusalKind.OVERLOADED)
            decisions.append(refusal)
        return decisions

    def _sheddable_count(self) -> int:
        """Return the number of waiting requests except archive requests.

        Archive requests have their own limit. When they were counted here,
        nearly all interactive requests were shed at a load of 10 times the
        capacity.
        """
        archive_count = self._waiting_counts[schema.RequestClass.ARCHIVE]
        return len(self._waiting) - archive_count

    def _next_to_shed(self) -> Entry | None:
        for request_class in SHED_ORDER:
            entries = [
                entry
                for entry in self._waiting.values()
                if entry.request_class is request_class
            ]
            if entries:
                # Of equal deadlines the newest request is shed first.
                newest_first = reversed(entries)
                return max(newest_first, key=lambda entry: entry.deadline_s)
        return None

    def _refuse(self, entry: Entry, kind: errors.RefusalKind) -> Refuse:
        wait_ms = int(1000 * self.expected_wait_s(entry.request_class))
        return Refuse(entry, kind, max(RETRY_AFTER_MIN_MS, wait_ms))
