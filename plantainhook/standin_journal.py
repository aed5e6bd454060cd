"""Journal of the stand-in leaf: which requests it executed, and when.

Tests compare what callers were told with this journal. A run is recorded
when it acquires a slot, so a request without an entry was not executed.
"""

import collections
import dataclasses
import typing

import trio

T = typing.TypeVar("T")

HISTORY_LIMIT_COUNT: typing.Final = 1000


@dataclasses.dataclass(slots=True)
class Run:
    """Represent the execution of one request on one shard.

    ``ended_s`` is None while the run is in progress. ``completed`` stays
    False if the run was cancelled or the leaf crashed.
    """

    request_id: str
    kind: str
    fingerprint: str
    shard: str
    snapshot: int
    started_s: float
    ended_s: float | None = None
    completed: bool = False


class Journal:
    """Record the runs of a leaf, in the order in which they started."""

    def __init__(self) -> None:
        self.runs: list[Run] = []

    def start(
        self,
        request_id: str,
        kind: str,
        fingerprint: str,
        shards: tuple[str, ...],
        snapshot: int,
    ) -> list[Run]:
        """Record that a request acquired a slot; return a run per shard."""
        now_s = trio.current_time()
        started = [
            Run(request_id, kind, fingerprint, shard, snapshot, now_s)
            for shard in shards
        ]
        self.runs.extend(started)
        return started

    def finish(self, runs: list[Run], completed: bool) -> None:
        """Record that a request released its slot."""
        now_s = trio.current_time()
        for run in runs:
            run.ended_s = now_s
            run.completed = completed

    def count_by_shard(self) -> dict[str, dict[str, int]]:
        """Return the number of runs by query id and shard.

        The request id of an attempt consists of the query's id, a full stop
        and the number of the attempt.
        """
        counts: dict[str, dict[str, int]] = {}
        for run in self.runs:
            query_id = run.request_id.rpartition(".")[0] or run.request_id
            by_shard = counts.setdefault(query_id, {})
            by_shard[run.shard] = by_shard.get(run.shard, 0) + 1
        return counts

    def count_runs(self, query_id: str) -> int:
        """Return the number of runs of a query, over attempts and shards."""
        return sum(self.count_by_shard().get(query_id, {}).values())


class History(typing.Generic[T]):
    """Keep past values, so that an endpoint can report an outdated one.

    Only the last ``HISTORY_LIMIT_COUNT`` values are kept.
    """

    def __init__(self, value: T) -> None:
        self._values: collections.deque[tuple[float, T]] = collections.deque(
            [(-float("inf"), value)], maxlen=HISTORY_LIMIT_COUNT
        )

    def append(self, value: T) -> None:
        """Record the value that is valid from now on."""
        self._values.append((trio.current_time(), value))

    def at(self, time_s: float) -> T:
        """Return the value at a time, or the oldest one that is kept."""
        for since_s, value in reversed(self._values):
            if since_s <= time_s:
                return value
        return self._values[0][1]

    def now(self) -> T:
        """Return the current value."""
        return self._values[-1][1]
