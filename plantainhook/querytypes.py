"""Define the inputs and outputs of query decisions.

``query.QueryMachine`` takes replies and failures and returns actions. The
executor of a daemon and the benchmark carry out the actions.
"""

import dataclasses
import enum
import typing

from plantainhook import errors, schema, shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequest:
    """Represent one validated request of a caller.

    ``area`` names the tiles that a complete answer must contain, and
    ``shards`` the shards to query; without ``shards`` all are queried.
    ``fingerprint`` is equal for equal requests. ``arrived_s`` and
    ``deadline_s`` are times on the daemon's monotonic clock.
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
    """Represent the rules in effect for one request; each has a value."""

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
    # After this time a query ends as soon as its coverage is acceptable, even
    # if shards are missing. None means that it waits for missing shards until
    # its deadline.
    goal_ms: float | None = None
    # Limit on the number of leafs that may run the work of one shard set.
    max_runs_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """Represent the items that a leaf returned for one shard."""

    shard: str
    items: list[typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class LeafReply:
    """Represent the reply of a leaf to one attempt.

    ``snapshot`` is the index version of the results.
    """

    request_id: str
    snapshot: int
    results: tuple[ShardResult, ...]


class AttemptReason(enum.StrEnum):
    """State why an attempt was sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    RESTART = "restart"


@dataclasses.dataclass(slots=True)
class Delivery:
    """Track whether the leaf may have received an attempt.

    Whoever carries out the attempt sets ``is_sent``, if it has to wait for a
    connection only once it has one.
    """

    is_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Represent the action of sending the work of some shards to a leaf."""

    attempt_id: int
    leaf: str
    shards: tuple[str, ...]
    snapshot: int
    deadline_s: float
    reason: AttemptReason
    delivery: Delivery = dataclasses.field(
        default_factory=Delivery, compare=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Represent the action of cancelling an attempt."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Represent the action of calling ``on_timer`` at a time.

    It replaces a timer that was set before.
    """

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Represent the answer to a query.

    ``coverage_ratio`` is the weight of the merged shards divided by the
    weight of all requested shards of the pinned version.
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
    """Represent the action of ending the query with its outcome."""

    outcome: Answer | errors.RefusalError


Action = Send | Cancel | SetTimer | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class LeafStatus:
    """Describe the known state of a leaf when a query is planned.

    ``versions`` maps an index version to the names of the shards served.
    """

    info: shardmap.LeafInfo
    usable: bool
    cold: bool
    versions: dict[int, frozenset[str]]


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Count what happened in the queries of a daemon.

    A crossed reply belongs to another request or to no attempt of the query,
    and an unasked shard was not requested by the attempt.
    """

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
