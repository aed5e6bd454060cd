"""Compare what the fake leafs of the benchmark ran with the answers.

``Observer`` counts outcomes and safety violations. It uses only the records of
the fake leafs and the contents of the answers that callers received, never the
counters of the decision code, so that a fault in that code cannot hide itself.
"""

import dataclasses
import typing

from plantainhook import errors, querytypes, shardmap

RATIO_TOLERANCE: typing.Final = 1e-6

Payload = tuple[str, str, int]


@dataclasses.dataclass(slots=True, eq=False)
class QueryRecord:
    """Track what the fake leafs did for one request.

    ``started_runs`` counts runs by shard. ``produced`` holds the payloads
    (request id, shard, index version) of all completed runs.
    """

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
        """Count a call; return whether it is an extra one.

        A call is extra if one of its shards was sent before.
        """
        extra = not self.sent_shards.isdisjoint(shards)
        self.first_calls_count += not extra
        self.extra_calls_count += extra
        self.sent_shards.update(shards)
        return extra

    def record_run(self, shards: tuple[str, ...]) -> None:
        """Count that a leaf has started to run the shards."""
        for shard in shards:
            self.started_runs[shard] = self.started_runs.get(shard, 0) + 1


@dataclasses.dataclass(slots=True)
class KindStats:
    """Aggregate the outcomes of one request kind.

    ``acceptable`` counts answers in time and with enough coverage. The fields
    from ``coverage_misreported`` to ``false_not_run`` count safety violations.
    """

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
    """Check every outcome against what the fake leafs did.

    ``group_calls`` counts first and extra calls by group.
    """

    kinds: dict[str, KindStats]
    connections_over_limit: int
    poison_crashes: int

    def __init__(self, kinds: tuple[str, ...]) -> None:
        self.kinds = {kind: KindStats() for kind in kinds}
        self.connections_over_limit = 0
        self.poison_crashes = 0
        self.group_calls: dict[str, tuple[int, int]] = {}

    def record_connections(self, open_count: int, limit_count: int) -> None:
        """Count a violation if a leaf has more connections than its limit."""
        if open_count > limit_count:
            self.connections_over_limit += 1

    def record_group_call(self, group: str, extra: bool) -> None:
        """Count a call to a group as a first or an extra call."""
        first_count, extra_count = self.group_calls.get(group, (0, 0))
        self.group_calls[group] = (
            first_count + (not extra),
            extra_count + extra,
        )

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
            self._record_refusal(stats, record, outcome)
            return
        ratio = true_coverage(record, outcome)
        stats.coverages.append(ratio)
        stats.latencies_ms.append((now_s - record.started_s) * 1000.0)
        stats.complete += outcome.complete
        stats.partial += not outcome.complete
        is_in_time = now_s <= record.request.deadline_s + RATIO_TOLERANCE
        is_covered = ratio >= min_coverage_ratio - RATIO_TOLERANCE
        stats.acceptable += is_in_time and is_covered
        stats.coverage_misreported += misreports_coverage(
            record, outcome, ratio
        )
        stats.snapshot_mixed += mixes_snapshots(outcome)

    def record_request_calls(self, record: QueryRecord) -> None:
        """Count the calls of a request after the last one has ended."""
        stats = self.kinds[record.request.kind]
        stats.first_calls += record.first_calls_count
        stats.extra_calls += record.extra_calls_count
        runs = record.started_runs.values()
        if not record.idempotent and max(runs, default=0) > 1:
            stats.ran_more_than_once += 1

    def _record_refusal(
        self,
        stats: KindStats,
        record: QueryRecord,
        refusal: errors.RefusalError,
    ) -> None:
        stats.refused += 1
        if refusal.ran is errors.Ran.NO and record.started_runs:
            stats.false_not_run += 1


def true_coverage(record: QueryRecord, answer: querytypes.Answer) -> float:
    """Return the share of the total weight that has correct results.

    A result is correct if a fake leaf produced it for this request, shard
    and index version.
    """
    shard_map = record.maps[answer.snapshot]
    request_id = record.request.request_id
    present = 0.0
    for shard, items in answer.results.items():
        payload = (request_id, shard, answer.snapshot)
        if items == [payload] and payload in record.produced:
            present += shard_map.shards[shard].weight
    return present / shard_map.total_weight()


def misreports_coverage(
    record: QueryRecord, answer: querytypes.Answer, ratio: float
) -> bool:
    """Return whether an answer misreports its coverage or what is missing.

    It may list more tiles as missing than really are, but not fewer.
    """
    shard_map = record.maps[answer.snapshot]
    absent_shards = set(shard_map.shards) - answer.results.keys()
    absent_tiles = {
        tile for name in absent_shards for tile in shard_map.shards[name].tiles
    }
    reported_tiles = set(answer.missing_tiles)
    has_full_coverage = ratio >= 1.0 - RATIO_TOLERANCE
    return (
        abs(answer.coverage_ratio - ratio) > RATIO_TOLERANCE
        or set(answer.missing_shards) != absent_shards
        or not absent_tiles <= reported_tiles
        or (answer.complete and not has_full_coverage)
        or (
            answer.complete
            and not reported_tiles.isdisjoint(record.request.area)
        )
    )


def mixes_snapshots(answer: querytypes.Answer) -> bool:
    """Return whether an answer has results of another index version."""
    versions = {
        payload[2] for items in answer.results.values() for payload in items
    }
    return bool(versions - {answer.snapshot})
