"""Data that the query decisions take and give.

``QueryMachine`` in ``query.py`` consumes replies and failures and returns
actions. The executor of a daemon and the benchmark carry the actions out.
"""

import dataclasses
import enum
import typing

from plantainhook import errors, schema, shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequest:
    """Hold one validated request of a caller.

    ``area`` names the tiles that must all be present; ``deadline_s`` is on
    the monotonic clock of the daemon.
    """

    request_id: str
    target: str
    kind: str
    params: dict[str, typing.Any]
    fingerprint: str
    arrived_s: float
    deadline_s: float
    area: tuple[str, ...] = ()
    shards: tuple[str, ...] = ()
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveRules:
    """Hold the rules in force for one request; every rule has a value."""

    request_class: schema.RequestClass
    idempotent: bool
    deadline_ms: int
    min_coverage_ratio: float
    below_min: schema.BelowMin
    hedge_policy: str
    hedge_quantile: float
    hedge_delay_ms: int
    max_hedges_count: int
    max_retries_count: int
    extra_load_ratio: float
    extra_load_floor_per_s: float
    cross_zone_max_ratio: float
    queue_limit_count: int
    # From this time on an acceptable answer is given although shards are
    # missing; without it the query waits for them until its deadline.
    goal_ms: float | None = None
    # The most leafs that may run the work of one shard set.
    max_runs_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """Hold what a leaf returned for one shard."""

    shard: str
    items: list[typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class LeafReply:
    """Hold the reply of a leaf to one attempt."""

    request_id: str
    snapshot: int
    results: tuple[ShardResult, ...]


class AttemptReason(enum.StrEnum):
    """State why an attempt was sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the work of some shards to a leaf."""

    attempt_id: int
    leaf: str
    shards: tuple[str, ...]
    snapshot: int
    deadline_s: float
    reason: AttemptReason


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt whose work is no longer needed."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``on_timer`` at a time; a later timer replaces an earlier one."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the answer to a query.

    ``coverage_ratio`` is the weight of the merged shards over the weight of
    all shards asked for in the pinned version.
    """

    request_id: str
    complete: bool
    snapshot: int
    coverage_ratio: float
    missing_shards: tuple[str, ...]
    missing_tiles: tuple[str, ...]
    results: dict[str, list[typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the query with an answer or a refusal."""

    outcome: Answer | errors.RefusalError


Action = Send | Cancel | SetTimer | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class LeafStatus:
    """Hold what a daemon knows of a leaf when a query is planned."""

    info: shardmap.LeafInfo
    usable: bool
    cold: bool
    versions: dict[int, frozenset[str]]


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Count what the query decisions dropped, added and denied."""

    late_reply_count: int = 0
    crossed_reply_count: int = 0
    wrong_snapshot_count: int = 0
    unasked_shard_count: int = 0
    duplicate_shard_count: int = 0
    first_count: int = 0
    hedge_count: int = 0
    retry_count: int = 0
    restart_count: int = 0
    budget_denied_count: int = 0
    early_finish_count: int = 0
    suspect_run_count: int = 0
