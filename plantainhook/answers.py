"""Outcome of a query: an answer, or a refusal with its cause."""

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
)

PEER: typing.Final = "query"
SUSPECT_RETRY_AFTER_MS: typing.Final = 1000
NAMED_TILES_MAX: typing.Final = 20
NAMED_SHARDS_MAX: typing.Final = 8

Outcome = querytypes.Answer | errors.RefusalError


def build_outcome(
    plan: queryplan.QueryPlan,
    merge: coverage.Merge,
    ran: errors.Ran,
    now_s: float,
) -> Outcome:
    """Build the answer from the merge, or the refusal that rules ask for."""
    request = plan.request
    if not merge.results:
        return _nothing_merged(request, ran, now_s)
    refuses = plan.rules.below_min is schema.BelowMin.REFUSE
    if refuses and not coverage.acceptable(merge, plan.rules, request.area):
        return _not_acceptable(plan, merge, ran)
    gaps = merge.area_gaps(request.area)
    missing_tiles = {*merge.missing_tiles(), *gaps}
    return querytypes.Answer(
        request_id=request.request_id,
        complete=merge.complete() and not gaps,
        snapshot=merge.shard_map.version,
        coverage_ratio=merge.ratio(),
        missing_shards=merge.missing_shards(),
        missing_tiles=tuple(sorted(missing_tiles)),
        results=merge.results,
    )


def no_snapshot(request: querytypes.QueryRequest) -> errors.RefusalError:
    """Refuse a query for whose target no leaf serves any version."""
    return errors.RefusalError(
        steps.Step.QUERY_PIN,
        PEER,
        messages.NO_SNAPSHOT.format(target=request.target),
        errors.RefusalKind.NO_SNAPSHOT,
        errors.Ran.NO,
    )


def out_of_service(
    plan: queryplan.QueryPlan, shards: abc.Sequence[str], ran: errors.Ran
) -> errors.RefusalError:
    """Refuse a query that too many shards cannot answer now."""
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


def unknown_shards(
    version: int,
    shards: abc.Iterable[str],
    ran: errors.Ran,
) -> errors.RefusalError:
    """Refuse a query for shards that the index version lacks."""
    return errors.RefusalError(
        steps.Step.QUERY_PLAN,
        PEER,
        messages.SHARDS_UNKNOWN.format(
            snapshot=version, shards=", ".join(shards)
        ),
        errors.RefusalKind.BAD_REQUEST,
        ran,
    )


def quarantined(left_s: float) -> errors.RefusalError:
    """Refuse a request that crashes leafs, or that runs as a suspect."""
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


def _nothing_merged(
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


def _not_acceptable(
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
