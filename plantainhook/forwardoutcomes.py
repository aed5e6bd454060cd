"""Record the outcomes of forwarded requests.

An outcome is counted and logged, the duration of an answer is kept for the
planned stop, and a request that failed is described for the quarantine.
"""

import typing

import trio

from plantainhook import (
    errors,
    executor,
    forwardmetrics,
    forwardtypes,
    logs,
    quarantinestore,
    querytypes,
    routetable,
    stopadmission,
)

# Limit on the number of missing parts that a log line names.
NAMED_PARTS_MAX: typing.Final = 5


class ForwardOutcomes:
    """Record the outcomes of the requests of one daemon."""

    def __init__(
        self,
        forward_metrics: forwardmetrics.ForwardMetrics,
        stop: stopadmission.StopAdmission,
        quarantines: quarantinestore.QuarantineStore,
        decisions: logs.DecisionLog,
    ) -> None:
        self._forward_metrics = forward_metrics
        self._stop = stop
        self._quarantines = quarantines
        self._decisions = decisions

    def record(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        outcome: executor.Outcome,
        arrived_s: float,
        in_flight_count: int,
    ) -> None:
        """Count and log the outcome of a request."""
        duration_s = trio.current_time() - arrived_s
        self._forward_metrics.count(
            route, outcome, duration_s, in_flight_count
        )
        if not isinstance(outcome, errors.RefusalError):
            self._stop.record(route.name, duration_s, trio.current_time())
        self._decisions.log(
            describe_outcome(forwarded.request_id, route, outcome, duration_s)
        )

    def label(
        self,
        forwarded: forwardtypes.ForwardRequest,
        request: querytypes.QueryRequest,
        outcome: executor.Outcome,
    ) -> None:
        """Describe a request that failed, in case it crashes leafs."""
        if (
            isinstance(outcome, errors.RefusalError)
            and outcome.ran is not errors.Ran.NO
        ):
            method = forwarded.method.decode("latin-1")
            target = forwarded.target.decode("latin-1")
            text = f"{method} {forwarded.host}{target}"
            if forwarded.tenant is not None:
                text += f" of tenant {forwarded.tenant}"
            self._quarantines.label(request.fingerprint, text)


def describe_outcome(
    request_id: str,
    route: routetable.Route,
    outcome: executor.Outcome,
    duration_s: float,
) -> str:
    """Return the log line for a request that was answered or refused."""
    duration_ms = duration_s * 1e3
    if isinstance(outcome, errors.RefusalError):
        return (
            f"Request {request_id} on route {route.name} was refused "
            f"after {duration_ms:.0f} ms: {outcome.kind}, ran {outcome.ran}, "
            f"{outcome.detail}."
        )
    missing = outcome.missing_shards
    named = f" ({', '.join(missing[:NAMED_PARTS_MAX])})" if missing else ""
    return (
        f"Request {request_id} on route {route.name} was answered "
        f"after {duration_ms:.0f} ms; {len(missing)} parts are missing{named}."
    )
