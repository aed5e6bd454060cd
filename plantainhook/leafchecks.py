"""Decide whether a request may be sent to leafs, before any call.

A request in quarantine is refused, one that may crash leafs is not given to
helpers, and one is refused if the limits of leafs leave too few services.
"""

from plantainhook import (
    answers,
    coverage,
    errors,
    forwardplanner,
    forwardtypes,
    leaflimits,
    quarantine,
    querytypes,
    routetable,
)


def check_quarantine(
    shared: quarantine.Quarantine,
    request: querytypes.QueryRequest,
    now_s: float,
) -> errors.RefusalError | None:
    """Return a refusal if a request is in quarantine."""
    left_s = shared.left_s(request.fingerprint, now_s)
    return answers.quarantine_refusal(left_s) if left_s > 0.0 else None


def is_suspect(
    shared: quarantine.Quarantine,
    request: querytypes.QueryRequest,
    now_s: float,
) -> bool:
    """Return whether a request may crash leafs.

    A suspect runs on one leaf at a time, so helpers don't run it.
    """
    state = shared.request_state(request.fingerprint, now_s)
    return state is not quarantine.RequestState.CLEAR


def check_limits(
    limits: leaflimits.LeafLimits,
    forwarded: forwardtypes.ForwardRequest,
    route: routetable.Route,
    services: tuple[str, ...],
    now_s: float,
) -> errors.RefusalError | None:
    """Return a refusal if the limits of leafs don't admit the request.

    Pattern: all leafs of many shards limit their requests. Calls for a
    query that can't reach its minimum coverage would use up tokens that
    others need.
    """
    if not limits.leafs:
        return None
    limits.record_query(services, now_s)
    rank = forwardplanner.rank_of_request(forwarded)
    excluded = [
        service for service in services if not limits.admits(service, rank)
    ]
    if coverage.is_enough(
        len(services) - len(excluded),
        len(services),
        forwardplanner.min_coverage_of(route),
    ):
        return None
    return answers.over_limit_refusal(excluded)
