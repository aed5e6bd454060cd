"""Takes a forwarded HTTP request through routing, run and answer.

A request is answered with 503 only where no leaf has run it and none will;
one that may have run ends with 502 or 504.
"""

import dataclasses
import random
import typing

import trio

from plantainhook import (
    blackboard,
    errors,
    executor,
    forwardgateway,
    forwardmetrics,
    forwardplanner,
    forwardtypes,
    gatherers,
    leafpools,
    logs,
    metrics,
    querytypes,
    routetable,
    toprecords,
)

LOGGER: typing.Final = logs.part_logger("forward")
# A starting daemon knows its configuration within a moment, and another
# daemon may know it already.
STARTING_RETRY_S: typing.Final = 0.1
# A caller that is held longer than this would have been answered elsewhere.
STARTING_WAIT_S: typing.Final = 0.3
STARTING_RATIO: typing.Final = 0.2
# Refused callers come back spread over this time, and not all at once.
RETRY_MIN_S: typing.Final = 0.05
RETRY_MAX_S: typing.Final = 0.25
# Missing parts that a log line names.
NAMED_PARTS_MAX: typing.Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Hold what a forward service works with."""

    gatherers: gatherers.Gatherers
    board: blackboard.Blackboard
    planner: forwardplanner.ForwardPlanner
    pools: leafpools.LeafPools
    dialect: forwardtypes.Dialect
    instruments: metrics.LeafMetrics
    outcomes: forwardmetrics.ForwardMetrics
    decisions: logs.DecisionLog
    failures: logs.DecisionLog
    rng: random.Random


class ForwardService:
    """Answer the HTTP requests of callers."""

    def __init__(self, parts: Dependencies) -> None:
        self.dependencies = parts
        self.in_flight_count = 0

    async def answer(
        self, forwarded: forwardtypes.ForwardRequest
    ) -> forwardtypes.Response:
        """Answer one request; cancelled when its caller leaves."""
        self.in_flight_count += 1
        try:
            return await self._answer(forwarded, trio.current_time(), True)
        finally:
            self.in_flight_count -= 1

    async def answer_for_peer(
        self, forwarded: forwardtypes.ForwardRequest, elapsed_s: float
    ) -> forwardtypes.Response:
        """Answer a request that another daemon received before."""
        return_s = forwardplanner.PEER_RETURN_MS / 1e3
        arrived_s = trio.current_time() - elapsed_s - return_s
        return await self._answer(forwarded, arrived_s, False)

    async def _answer(
        self,
        forwarded: forwardtypes.ForwardRequest,
        arrived_s: float,
        may_forward: bool,
    ) -> forwardtypes.Response:
        parts = self.dependencies
        if not self.is_started():
            await self._wait_started(forwarded)
        table = parts.board.routes
        if table.version == routetable.NO_ROUTES.version:
            parts.decisions.log(
                f"Request {forwarded.request_id} is refused: no "
                "configuration is known yet."
            )
            return self._unavailable(STARTING_RETRY_S)
        route = table.match(forwarded.host, forwarded.path())
        if route is None:
            parts.decisions.log(
                f"Request {forwarded.request_id} has no route in "
                f"configuration {table.version}: {forwarded.host}"
                f"{forwarded.path()}."
            )
            return forwardtypes.Response(
                forwardtypes.STATUS_NOT_FOUND, [], b""
            )
        if may_forward and route.gather is not None:
            answered = await parts.gatherers.answer(
                forwarded, route, arrived_s
            )
            if answered is not None:
                return answered
        return await self._run(forwarded, route, arrived_s)

    async def _run(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
    ) -> forwardtypes.Response:
        """Run a request on leafs from here."""
        parts = self.dependencies
        started_s = trio.current_time()
        request = forwardplanner.build_query_request(
            forwarded, route, arrived_s
        )
        if route.gather is not None:
            services = route.gather.shard_services
        else:
            services = (route.choose_service(parts.rng),)
        machine = parts.planner.machine(request, route, services, started_s)
        gateway = forwardgateway.ForwardGateway(
            forwarded,
            route.idempotent,
            parts.dialect,
            parts.pools,
            parts.instruments,
            parts.failures,
        )
        outcome = await executor.run_query(
            machine, request, gateway, parts.planner.clock
        )
        took_s = trio.current_time() - arrived_s
        parts.outcomes.count(route, outcome, took_s, self.in_flight_count)
        parts.decisions.log(describe(request, route, outcome, took_s))
        if isinstance(outcome, errors.RefusalError):
            return self._refused(outcome)
        return self._response(route, outcome)

    def is_started(self) -> bool:
        """Return whether a configuration and any leaf are known."""
        board = self.dependencies.board
        return board.routes.version > 0 and bool(board.leafs)

    async def _wait_started(
        self, forwarded: forwardtypes.ForwardRequest
    ) -> None:
        """Hold a request of a starting daemon for a part of its time.

        Pattern: all daemons start at once and callers are there already. The
        configuration is there within a moment, sooner than a caller that is
        refused would come back.
        """
        wait_s = STARTING_WAIT_S
        if forwarded.left_ms is not None:
            wait_s = min(wait_s, forwarded.left_ms / 1e3 * STARTING_RATIO)
        board = self.dependencies.board
        with trio.move_on_after(wait_s):
            while not self.is_started():
                await leafpools.wait_any(
                    [
                        board.change_event(blackboard.Topic.ROUTES),
                        board.change_event(blackboard.Topic.LEAFS),
                    ]
                )

    def _response(
        self, route: routetable.Route, outcome: querytypes.Answer
    ) -> forwardtypes.Response:
        answers: list[forwardtypes.LeafAnswer] = [
            items[0] for items in outcome.results.values()
        ]
        dialect = self.dependencies.dialect
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
        headers = dialect.gathered_headers(
            signatures, len(outcome.missing_shards)
        )
        body = toprecords.merge_top_records(
            (answer.body for answer in answers),
            route.gather.record_limit_count,
        )
        return forwardtypes.Response(forwardtypes.STATUS_OK, headers, body)

    def _refused(self, refusal: errors.RefusalError) -> forwardtypes.Response:
        if refusal.ran is errors.Ran.NO:
            if refusal.retry_after_ms:
                return self._unavailable(refusal.retry_after_ms / 1e3)
            spread_s = self.dependencies.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            return self._unavailable(spread_s)
        if refusal.kind is errors.RefusalKind.DEADLINE:
            return forwardtypes.Response(forwardtypes.STATUS_TIMEOUT, [], b"")
        return forwardtypes.Response(forwardtypes.STATUS_BAD_GATEWAY, [], b"")

    def _unavailable(self, retry_after_s: float) -> forwardtypes.Response:
        """Refuse a request that has not run and will not."""
        return forwardtypes.Response(
            forwardtypes.STATUS_UNAVAILABLE,
            self.dependencies.dialect.retry_headers(retry_after_s),
            b"",
        )


def describe(
    request: querytypes.QueryRequest,
    route: routetable.Route,
    outcome: executor.Outcome,
    took_s: float,
) -> str:
    """Return the log line of an answered request."""
    took_ms = took_s * 1e3
    if isinstance(outcome, errors.RefusalError):
        return (
            f"Request {request.request_id} on {route.name} is refused after "
            f"{took_ms:.0f} ms: {outcome.kind}, ran {outcome.ran}, "
            f"{outcome.detail}."
        )
    missing = outcome.missing_shards
    named = f" ({', '.join(missing[:NAMED_PARTS_MAX])})" if missing else ""
    return (
        f"Request {request.request_id} on {route.name} is answered after "
        f"{took_ms:.0f} ms, {len(missing)} parts missing{named}."
    )
