"""Build the responses to forwarded requests: answers and refusals.

It takes the outcome of a query and returns what the caller receives. The
status 503 means that no leaf has run the request and none will, so the caller
can send it again. A request that has failed and may have run is answered with
502 or 504.
"""

import random
import typing
from collections import abc

import trio

from plantainhook import (
    coverage,
    errors,
    forwardplanner,
    forwardtypes,
    gathertypes,
    leafnotices,
    querytypes,
    routetable,
    toprecords,
)

# Refused callers are given random retry times in this range, so that they do
# not all return at once.
RETRY_MIN_S: typing.Final = 0.05
RETRY_MAX_S: typing.Final = 0.25


class ForwardResponses:
    """Build the responses of one daemon."""

    def __init__(
        self,
        dialect: forwardtypes.Dialect,
        planner: forwardplanner.ForwardPlanner,
        notices: leafnotices.LeafNotices,
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._planner = planner
        self._notices = notices
        self._rng = rng

    def answer_of(
        self, route: routetable.Route, outcome: querytypes.Answer
    ) -> forwardtypes.Response:
        """Build the response to a request that leafs have answered."""
        answers: list[forwardtypes.LeafAnswer] = [
            items[0] for items in outcome.results.values()
        ]
        dialect = self._dialect
        if route.gather is None:
            (answer,) = answers
            return forwardtypes.Response(
                answer.status, dialect.answer_headers(answer), answer.body
            )
        signatures = [
            answer.signature
            for answer in answers
            if answer.signature is not None
        ]
        return self.merged(
            route,
            signatures,
            [answer.body for answer in answers],
            outcome.missing_shards,
        )

    def merged(
        self,
        route: routetable.Route,
        signatures: list[bytes],
        parts: abc.Iterable[bytes],
        missing: tuple[str, ...],
    ) -> forwardtypes.Response:
        """Build the response that merges the records of several parts."""
        limit_count = route.gather.record_limit_count if route.gather else 0
        return forwardtypes.Response(
            forwardtypes.STATUS_OK,
            self._dialect.gathered_headers(signatures, len(missing)),
            toprecords.merge_top_records(parts, limit_count),
        )

    def refusal_of(
        self,
        refusal: errors.RefusalError,
        route: routetable.Route,
        services: tuple[str, ...],
    ) -> forwardtypes.Response:
        """Build the response to a request that is refused or has failed."""
        if refusal.ran is errors.Ran.NO:
            if refusal.retry_after_ms:
                return self.unavailable(refusal.retry_after_ms / 1e3)
            delay_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            delay_s += self._pause_left_s(route, services)
            return self.unavailable(delay_s)
        if refusal.kind is errors.RefusalKind.DEADLINE:
            return forwardtypes.Response(forwardtypes.STATUS_TIMEOUT, [], b"")
        return bad_gateway()

    def unauthorized(self) -> forwardtypes.Response:
        """Build the response to a request whose key is not valid."""
        return forwardtypes.Response(
            forwardtypes.STATUS_UNAUTHORIZED,
            self._dialect.challenge_headers(),
            b"",
        )

    def over_quota(self, retry_after_s: float) -> forwardtypes.Response:
        """Build the response to a request that will not run."""
        return forwardtypes.Response(
            forwardtypes.STATUS_TOO_MANY_REQUESTS,
            self._dialect.retry_headers(retry_after_s),
            b"",
        )

    def retry_soon(self) -> forwardtypes.Response:
        """Build the response to a request that another daemon may take."""
        return self.unavailable(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))

    def unavailable(self, retry_after_s: float) -> forwardtypes.Response:
        """Build the response to a request that has not run and will not."""
        return forwardtypes.Response(
            forwardtypes.STATUS_UNAVAILABLE,
            self._dialect.retry_headers(retry_after_s),
            b"",
        )

    def _pause_left_s(
        self, route: routetable.Route, services: tuple[str, ...]
    ) -> float:
        """Return when enough services have a leaf that wants requests.

        Pattern: all leafs of a service ask for a pause. Callers that return
        sooner are refused again.
        """
        notices = self._notices
        if not notices.paused_until_s:
            return 0.0
        now_s = trio.current_time()
        view = self._planner.version_view(services)
        waits_s = sorted(
            min(
                notices.pause_left_s(status.info.name, now_s)
                for status in (*replica_route.near, *replica_route.far)
            )
            for replica_route in view.route_of.values()
            if replica_route.has_replica()
        )
        for count, wait_s in enumerate(waits_s, 1):
            if coverage.is_enough(
                count, len(services), forwardplanner.min_coverage_of(route)
            ):
                return wait_s
        return 0.0


def not_found() -> forwardtypes.Response:
    """Build the response to a request that matches no route."""
    return forwardtypes.Response(forwardtypes.STATUS_NOT_FOUND, [], b"")


def bad_gateway() -> forwardtypes.Response:
    """Build the response to a request that failed and may have run."""
    return forwardtypes.Response(forwardtypes.STATUS_BAD_GATEWAY, [], b"")


def describe_gathered(
    request_id: str, gathered: gathertypes.Gathered
) -> querytypes.Answer:
    """Return the outcome to record for a query gathered in branches."""
    missing = gathered.missing
    merged_count = gathered.total_count - len(missing)
    return querytypes.Answer(
        request_id,
        not missing,
        forwardplanner.TARGET_VERSION,
        merged_count / gathered.total_count,
        missing,
        (),
        {},
    )
