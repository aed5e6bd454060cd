"""Build the outcome of a query: an answer, or a refusal with its cause.

``query`` calls these functions. Each refusal names the step at which it arose
and states whether a leaf may have run the request.
"""

import typing
from collections import abc

from plantainhook import (
    coverage,
    errors,
    messages,
    queryplan,
    querytypes,
    schema,
    steps,
    urgency,
)

PEER: typing.Final = "query"
SUSPECT_RETRY_AFTER_MS: typing.Final = 1000
# Only so many tiles and shards are named, to limit the length of a refusal.
NAMED_TILES_MAX: typing.Final = 20
NAMED_SHARDS_MAX: typing.Final = 8

Outcome = querytypes.Answer | errors.RefusalError


def build_outcome(
    plan: queryplan.QueryPlan,
    merge: coverage.Merge,
    ran: errors.Ran,
    now_s: float,
) -> Outcome:
    """Build the answer from the merge, or the refusal that applies.

    The rules state whether a merge below the minimum coverage is refused.
    """
    request = plan.request
    if not merge.results:
        return _refuse_empty(request, ran, now_s)
    refuses = plan.rules.below_min is schema.BelowMin.REFUSE
    if refuses and not coverage.is_acceptable(merge, plan.rules, request.area):
        return _refuse_incomplete(plan, merge, ran)
    gaps = merge.area_gaps(request.area)
    missing_tiles = {*merge.missing_tiles(), *gaps}
    return querytypes.Answer(
        request_id=request.request_id,
        complete=merge.is_complete() and not gaps,
        snapshot=merge.shard_map.version,
        coverage_ratio=merge.ratio(),
        missing_shards=merge.missing_shards(),
        missing_tiles=tuple(sorted(missing_tiles)),
        results=merge.results,
    )


def no_snapshot_refusal(
    request: querytypes.QueryRequest,
) -> errors.RefusalError:
    """Build the refusal of a query for a target that no leaf serves."""
    return errors.RefusalError(
        steps.Step.QUERY_PIN,
        PEER,
        messages.NO_SNAPSHOT.format(target=request.target),
        errors.RefusalKind.NO_SNAPSHOT,
        errors.Ran.NO,
    )


def out_of_service_refusal(
    plan: queryplan.QueryPlan, shards: abc.Sequence[str], ran: errors.Ran
) -> errors.RefusalError:
    """Build the refusal of a query with too many unavailable shards."""
    return errors.RefusalError(
        steps.Step.QUERY_PLAN,
        PEER,
        messages.OUT_OF_SERVICE.format(
            count=len(shards),
            shards=", ".join(shards[:NAMED_SHARDS_MAX]),
            minimum=plan.rules.min_coverage_ratio,
        ),
        errors.RefusalKind.COVERAGE,
        ran,
    )


def over_limit_refusal(shards: abc.Sequence[str]) -> errors.RefusalError:
    """Build the refusal of a query that leafs have no room for."""
    return errors.RefusalError(
        steps.Step.QUERY_ADMIT,
        PEER,
        messages.OVER_LIMIT.format(
            count=len(shards), shards=", ".join(shards[:NAMED_SHARDS_MAX])
        ),
        errors.RefusalKind.COVERAGE,
        errors.Ran.NO,
    )


def overloaded_refusal(
    wanted: urgency.Urgency, retry_after_s: float
) -> errors.RefusalError:
    """Build the refusal of a query that would wait beyond its deadline."""
    return errors.RefusalError(
        steps.Step.QUERY_ADMIT,
        PEER,
        messages.QUEUE_TOO_LONG.format(
            tenant_rank=wanted.tenant_rank, route_rank=wanted.route_rank
        ),
        errors.RefusalKind.OVERLOADED,
        errors.Ran.NO,
        max(1, int(retry_after_s * 1e3)),
    )


def unknown_shards_refusal(
    version: int,
    shards: abc.Iterable[str],
    ran: errors.Ran,
) -> errors.RefusalError:
    """Build the refusal of a query for shards not in the index version."""
    return errors.RefusalError(
        steps.Step.QUERY_PLAN,
        PEER,
        messages.SHARDS_UNKNOWN.format(
            snapshot=version, shards=", ".join(shards)
        ),
        errors.RefusalKind.BAD_REQUEST,
        ran,
    )


def quarantine_refusal(left_s: float) -> errors.RefusalError:
    """Build the refusal of a quarantined or suspect request.

    ``left_s`` is the remaining quarantine; 0 means that the request is
    suspected of crashing leafs and may not run now.
    """
    detail = messages.SUSPECT_RUNNING
    retry_after_ms = SUSPECT_RETRY_AFTER_MS
    if left_s > 0.0:
        detail = messages.QUARANTINED.format(left_s=left_s)
        retry_after_ms = int(left_s * 1000.0)
    return errors.RefusalError(
        steps.Step.QUERY_ADMIT,
        PEER,
        detail,
        errors.RefusalKind.QUARANTINED,
        errors.Ran.NO,
        retry_after_ms,
    )


def _refuse_empty(
    request: querytypes.QueryRequest, ran: errors.Ran, now_s: float
) -> errors.RefusalError:
    kind = errors.RefusalKind.COVERAGE
    detail = messages.NO_SHARD_LEFT
    if now_s >= request.deadline_s:
        kind = errors.RefusalKind.DEADLINE
        detail = messages.NO_SHARD_ANSWERED
    return errors.RefusalError(
        steps.Step.QUERY_ANSWER, PEER, detail, kind, ran
    )


def _refuse_incomplete(
    plan: queryplan.QueryPlan, merge: coverage.Merge, ran: errors.Ran
) -> errors.RefusalError:
    detail = messages.COVERAGE_TOO_LOW.format(
        coverage=merge.ratio(),
        minimum=plan.rules.min_coverage_ratio,
        shards=", ".join(merge.missing_shards()[:NAMED_SHARDS_MAX]),
    )
    gaps = merge.area_gaps(plan.request.area)
    if gaps:
        detail = messages.AREA_HAS_GAPS.format(
            tiles=", ".join(gaps[:NAMED_TILES_MAX])
        )
    return errors.RefusalError(
        steps.Step.QUERY_ANSWER,
        PEER,
        detail,
        errors.RefusalKind.COVERAGE,
        ran,
    )
