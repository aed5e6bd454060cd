"""Observer of the benchmark: what fake leafs ran and callers received.

The safety counters come from the records of the fakes and the contents of
the answers, never from the counters of the decisions.
"""

import dataclasses
import typing

from plantainhook import errors, querytypes, shardmap

RATIO_TOLERANCE: typing.Final = 1e-6

Payload = tuple[str, str, int]


@dataclasses.dataclass(slots=True, eq=False)
class QueryRecord:
    """Hold what the fakes did for one request."""

    request: querytypes.QueryRequest
    idempotent: bool
    started_s: float
    maps: dict[int, shardmap.ShardMap]
    started_runs: dict[str, int] = dataclasses.field(default_factory=dict)
    produced: set[Payload] = dataclasses.field(default_factory=set)
    sent_shards: set[str] = dataclasses.field(default_factory=set)
    first_calls_count: int = 0
    extra_calls_count: int = 0

    def record_sent(self, shards: tuple[str, ...]) -> bool:
        """Count a call; it is extra if a shard of it was sent before."""
        extra = not self.sent_shards.isdisjoint(shards)
        self.first_calls_count += not extra
        self.extra_calls_count += extra
        self.sent_shards.update(shards)
        return extra

    def record_run(self, shards: tuple[str, ...]) -> None:
        """Count that a leaf began to run the shards."""
        for shard in shards:
            self.started_runs[shard] = self.started_runs.get(shard, 0) + 1


@dataclasses.dataclass(slots=True)
class KindStats:
    """Collect the outcomes of one request kind."""

    requests: int = 0
    complete: int = 0
    partial: int = 0
    refused: int = 0
    acceptable: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    coverages: list[float] = dataclasses.field(default_factory=list)
    coverage_misreported: int = 0
    snapshot_mixed: int = 0
    ran_more_than_once: int = 0
    false_not_run: int = 0
    first_calls: int = 0
    extra_calls: int = 0


class Observer:
    """Check every outcome against what the fakes did."""

    kinds: dict[str, KindStats]
    connections_over_limit: int
    poison_crashes: int

    def __init__(self, kinds: tuple[str, ...]) -> None:
        self.kinds = {kind: KindStats() for kind in kinds}
        self.connections_over_limit = 0
        self.poison_crashes = 0
        self.group_calls: dict[str, tuple[int, int]] = {}

    def record_connections(self, open_count: int, limit_count: int) -> None:
        """Check the connections of a leaf when one is opened."""
        if open_count > limit_count:
            self.connections_over_limit += 1

    def record_call(self, group: str, extra: bool) -> None:
        """Count a call to a group as first or extra."""
        first, more = self.group_calls.get(group, (0, 0))
        self.group_calls[group] = (first + (not extra), more + extra)

    def record_outcome(
        self,
        record: QueryRecord,
        outcome: querytypes.Answer | errors.RefusalError,
        min_coverage_ratio: float,
        now_s: float,
    ) -> None:
        """Check and count the outcome that a caller received."""
        stats = self.kinds[record.request.kind]
        stats.requests += 1
        if isinstance(outcome, errors.RefusalError):
            self._refused(stats, record, outcome)
            return
        ratio = true_coverage(record, outcome)
        stats.coverages.append(ratio)
        stats.latencies_ms.append((now_s - record.started_s) * 1000.0)
        stats.complete += outcome.complete
        stats.partial += not outcome.complete
        in_time = now_s <= record.request.deadline_s + RATIO_TOLERANCE
        enough = ratio >= min_coverage_ratio - RATIO_TOLERANCE
        stats.acceptable += in_time and enough
        stats.coverage_misreported += misreported(record, outcome, ratio)
        stats.snapshot_mixed += mixed(outcome)

    def record_calls(self, record: QueryRecord) -> None:
        """Count the calls of a request once none of them is left."""
        stats = self.kinds[record.request.kind]
        stats.first_calls += record.first_calls_count
        stats.extra_calls += record.extra_calls_count
        runs = record.started_runs.values()
        if not record.idempotent and max(runs, default=0) > 1:
            stats.ran_more_than_once += 1

    def _refused(
        self,
        stats: KindStats,
        record: QueryRecord,
        refusal: errors.RefusalError,
    ) -> None:
        stats.refused += 1
        if refusal.ran is errors.Ran.NO and record.started_runs:
            stats.false_not_run += 1


def true_coverage(record: QueryRecord, answer: querytypes.Answer) -> float:
    """Return the weight of shards whose own, right results are present."""
    shard_map = record.maps[answer.snapshot]
    request_id = record.request.request_id
    present = 0.0
    for shard, items in answer.results.items():
        payload = (request_id, shard, answer.snapshot)
        if items == [payload] and payload in record.produced:
            present += shard_map.shards[shard].weight
    return present / shard_map.total_weight()


def misreported(
    record: QueryRecord, answer: querytypes.Answer, ratio: float
) -> bool:
    """Return whether an answer misstates its coverage or what it lacks."""
    shard_map = record.maps[answer.snapshot]
    absent = set(shard_map.shards) - answer.results.keys()
    lacking = {
        tile for name in absent for tile in shard_map.shards[name].tiles
    }
    named = set(answer.missing_tiles)
    whole = ratio >= 1.0 - RATIO_TOLERANCE
    return (
        abs(answer.coverage_ratio - ratio) > RATIO_TOLERANCE
        or set(answer.missing_shards) != absent
        or not lacking <= named
        or (answer.complete and not whole)
        or (answer.complete and not named.isdisjoint(record.request.area))
    )


def mixed(answer: querytypes.Answer) -> bool:
    """Return whether results of another version are in the answer."""
    versions = {
        payload[2] for items in answer.results.values() for payload in items
    }
    return bool(versions - {answer.snapshot})
