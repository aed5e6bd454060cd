"""Answer forwarded HTTP requests: choose a route, query leafs, respond.

The service takes a decoded request and returns a response. A request on a
scatter-gather route may be sent to another daemon, see ``gatherers``; all
others are run on leafs from here.

The status 503 means that no leaf has run the request and none will, so the
caller can send it again. A request that has failed and may have run is
answered with 502 or 504.
"""

import dataclasses
import random
import typing

import trio

from plantainhook import (
    answers,
    blackboard,
    branchgather,
    errors,
    executor,
    forwardgateway,
    forwardmetrics,
    forwardoutcomes,
    forwardplanner,
    forwardresponses,
    forwardtypes,
    gatherers,
    gathergate,
    leafchecks,
    leaflimits,
    leafnotices,
    leafpools,
    limitsync,
    logs,
    metrics,
    quarantinestore,
    querytypes,
    quotasync,
    requestaccess,
    routetable,
    runningrequests,
    startwait,
    stopadmission,
)

LOGGER: typing.Final = logs.part_logger("forward")
# A starting daemon has its configuration very soon, and another daemon may
# have it already.
STARTING_RETRY_S: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collect the objects that a forward service uses."""

    gatherers: gatherers.Gatherers
    # None if this daemon calls all shards of a query itself.
    branches: branchgather.BranchGather | None
    board: blackboard.Blackboard
    planner: forwardplanner.ForwardPlanner
    pools: leafpools.LeafPools
    limits: leaflimits.LeafLimits
    notices: leafnotices.LeafNotices
    tokens: limitsync.LimitSync
    dialect: forwardtypes.Dialect
    instruments: metrics.LeafMetrics
    forward_metrics: forwardmetrics.ForwardMetrics
    decisions: logs.DecisionLog
    failure_log: logs.DecisionLog
    rng: random.Random
    stop: stopadmission.StopAdmission
    quarantines: quarantinestore.QuarantineStore
    quotas: quotasync.QuotaSync


class ForwardService:
    """Answer the HTTP requests of callers and those that peers send.

    ``in_flight_count`` counts the requests of callers only. ``running`` holds
    all requests. ``cores`` is the capacity of the VM.
    """

    running: runningrequests.RunningRequests

    def __init__(self, dependencies: Dependencies, cores: float = 1.0) -> None:
        self.dependencies = dependencies
        self.gate = gathergate.GatherGate(cores)
        self.in_flight_count = 0
        self.running = runningrequests.RunningRequests(dependencies.stop)
        self._responses = forwardresponses.ForwardResponses(
            dependencies.dialect,
            dependencies.planner,
            dependencies.notices,
            dependencies.rng,
        )
        self._access = requestaccess.RequestAccess(
            dependencies.board,
            dependencies.dialect,
            dependencies.quotas,
            dependencies.forward_metrics,
            self._responses,
            dependencies.decisions,
        )
        self._outcomes = forwardoutcomes.ForwardOutcomes(
            dependencies.forward_metrics,
            dependencies.stop,
            dependencies.quarantines,
            dependencies.decisions,
        )

    async def answer(
        self,
        forwarded: forwardtypes.ForwardRequest,
        arrived_s: float | None = None,
    ) -> forwardtypes.Response:
        """Answer a caller's request; cancelled if the caller disconnects.

        ``arrived_s`` is when it began to arrive, by default now.
        """
        if arrived_s is None:
            arrived_s = trio.current_time()
        self.in_flight_count += 1
        try:
            return await self._answer_or_give_up(forwarded, arrived_s, True)
        except Exception:
            # Leafs may have run the request, so this is not "unavailable".
            LOGGER.exception("Request {} failed.", forwarded.request_id)
            return forwardresponses.bad_gateway()
        finally:
            self.in_flight_count -= 1

    async def answer_for_peer(
        self, forwarded: forwardtypes.ForwardRequest, elapsed_s: float
    ) -> forwardtypes.Response:
        """Answer a request that another daemon received ``elapsed_s`` ago.

        The arrival time is set further back, so that the answer is ready in
        time to be returned through the peer.
        """
        margin_s = forwardplanner.PEER_MARGIN_MS / 1e3
        arrived_s = trio.current_time() - elapsed_s - margin_s
        return await self._answer_or_give_up(forwarded, arrived_s, False)

    async def _answer_or_give_up(
        self,
        forwarded: forwardtypes.ForwardRequest,
        arrived_s: float,
        may_forward: bool,
    ) -> forwardtypes.Response:
        with self.running.track() as running:
            return await self._answer(
                forwarded, arrived_s, may_forward, running
            )
        # Only a request whose scope was cancelled leads here.
        passed_on = running.progress.passed_on
        self.dependencies.decisions.log(
            f"Request {forwarded.request_id} is given up: this daemon stops. "
            f"It was {'passed on' if passed_on else 'not passed on'}."
        )
        if passed_on:
            return forwardresponses.bad_gateway()
        return self._responses.retry_soon()

    async def _answer(
        self,
        forwarded: forwardtypes.ForwardRequest,
        arrived_s: float,
        may_forward: bool,
        running: runningrequests.RunningRequest,
    ) -> forwardtypes.Response:
        dependencies = self.dependencies
        if not self.is_started():
            await startwait.wait_until_started(dependencies.board, forwarded)
        table = dependencies.board.routes
        if table.version == routetable.NO_ROUTES.version:
            dependencies.decisions.log(
                f"Request {forwarded.request_id} is refused: this daemon has "
                "no configuration yet."
            )
            return self._responses.unavailable(STARTING_RETRY_S)
        route = table.match(forwarded.host, forwarded.path())
        if route is None:
            dependencies.decisions.log(
                f"Request {forwarded.request_id} matches no route of "
                f"configuration {table.version}: {forwarded.host}"
                f"{forwarded.path()}."
            )
            return forwardresponses.not_found()
        access = await self._access.check(
            forwarded, route, arrived_s, may_forward
        )
        if isinstance(access, forwardtypes.Response):
            return access
        received = requestaccess.Received(forwarded, table, may_forward)
        forwarded = self._access.rank(access, table, route)
        if may_forward:
            forwarded = dependencies.planner.tell_caller(
                forwarded, received.request
            )
        request = forwardplanner.build_query_request(
            forwarded, route, arrived_s
        )
        if not self.running.admit(running, route, request.deadline_s):
            dependencies.decisions.log(
                f"Request {forwarded.request_id} on route {route.name} is "
                "refused: this daemon stops."
            )
            return self._responses.retry_soon()
        refusal = leafchecks.check_quarantine(
            dependencies.planner.policies.quarantine,
            request,
            trio.current_time(),
        )
        if refusal is not None:
            self._record(forwarded, route, refusal, arrived_s)
            return self._responses.refusal_of(refusal, route, ())
        # Other daemons may have a scatter-gather request from here on.
        running.progress.passed_on = route.gather is not None
        if may_forward and route.gather is not None:
            answered = await dependencies.gatherers.answer(
                forwarded, route, arrived_s
            )
            if answered is not None:
                return answered
        return await self._run_query(
            received, forwarded, request, route, arrived_s, running.progress
        )

    async def _run_query(
        self,
        received: requestaccess.Received,
        forwarded: forwardtypes.ForwardRequest,
        request: querytypes.QueryRequest,
        route: routetable.Route,
        arrived_s: float,
        progress: forwardtypes.Progress,
    ) -> forwardtypes.Response:
        """Run a request on leafs once there is room for it."""
        services = self._choose_services(route)
        if route.gather is None:
            return await self._run_admitted(
                received,
                forwarded,
                request,
                route,
                services,
                arrived_s,
                progress,
            )
        query = forwardplanner.build_gather_query(
            forwarded, request, route, self.gate.cores
        )
        # While it waits, neither leafs nor other daemons have the request.
        progress.passed_on = False
        async with self.gate.admit(query) as is_admitted:
            if not is_admitted:
                refusal = answers.overloaded_refusal(
                    query.ranks, query.retry_after_s
                )
                self._record(forwarded, route, refusal, arrived_s)
                return self._responses.refusal_of(refusal, route, services)
            denial = self._access.verify_again(received, forwarded, route)
            if denial is not None:
                return denial
            progress.passed_on = True
            return await self._run_admitted(
                received,
                forwarded,
                request,
                route,
                services,
                arrived_s,
                progress,
            )

    def _choose_services(self, route: routetable.Route) -> tuple[str, ...]:
        """Return the services that a request needs."""
        if route.gather is not None:
            return route.gather.shard_services
        return (route.choose_service(self.dependencies.rng),)

    async def _run_admitted(
        self,
        received: requestaccess.Received,
        forwarded: forwardtypes.ForwardRequest,
        request: querytypes.QueryRequest,
        route: routetable.Route,
        services: tuple[str, ...],
        arrived_s: float,
        progress: forwardtypes.Progress,
    ) -> forwardtypes.Response:
        """Run a request on leafs and return the response."""
        dependencies = self.dependencies
        refusal = leafchecks.check_limits(
            dependencies.limits,
            forwarded,
            route,
            services,
            trio.current_time(),
        )
        if refusal is not None:
            self._record(forwarded, route, refusal, arrived_s)
            return self._responses.refusal_of(refusal, route, services)
        gathered = None
        if dependencies.branches is not None and not leafchecks.is_suspect(
            dependencies.planner.policies.quarantine,
            request,
            trio.current_time(),
        ):
            gathered = await dependencies.branches.gather(
                forwarded, route, arrived_s
            )
        if isinstance(gathered, errors.RefusalError):
            self._outcomes.label(forwarded, request, gathered)
        if gathered is not None:
            return self._answer_gathered(
                forwarded, route, services, gathered, arrived_s
            )
        started_s = trio.current_time()
        await dependencies.tokens.prepare(
            dependencies.planner.version_view(services),
            services,
            forwardplanner.rank_of_request(forwarded),
            arrived_s + forwardplanner.goal_ms_of(route) / 1e3,
        )
        machine = dependencies.planner.build_machine(
            request,
            route,
            services,
            started_s,
            forwardplanner.rank_of_request(forwarded),
        )
        gateway = forwardgateway.ForwardGateway(
            forwarded,
            route.idempotent,
            dependencies.dialect,
            dependencies.pools,
            dependencies.limits,
            dependencies.notices,
            dependencies.instruments,
            dependencies.failure_log,
            progress,
            lambda: self._access.may_still_run(received, forwarded, route),
        )
        outcome = await executor.run_query(
            machine, request, gateway, dependencies.planner.clock
        )
        self._outcomes.label(forwarded, request, outcome)
        self._record(forwarded, route, outcome, arrived_s)
        if isinstance(outcome, errors.RefusalError):
            if outcome.ran is errors.Ran.NO:
                denial = self._access.verify_again(received, forwarded, route)
                if denial is not None:
                    return denial
            return self._responses.refusal_of(outcome, route, services)
        return self._responses.answer_of(route, outcome)

    def _answer_gathered(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        services: tuple[str, ...],
        gathered: branchgather.Outcome,
        arrived_s: float,
    ) -> forwardtypes.Response:
        """Build the response to a request that was gathered in branches."""
        if isinstance(gathered, errors.RefusalError):
            self._record(forwarded, route, gathered, arrived_s)
            return self._responses.refusal_of(gathered, route, services)
        answer = forwardresponses.describe_gathered(
            forwarded.request_id, gathered
        )
        self._record(forwarded, route, answer, arrived_s)
        return self._responses.merged(
            route,
            list(gathered.signatures.values()),
            gathered.records,
            gathered.missing,
        )

    def _record(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        outcome: executor.Outcome,
        arrived_s: float,
    ) -> None:
        """Count and log the outcome of a request."""
        self._outcomes.record(
            forwarded, route, outcome, arrived_s, self.in_flight_count
        )

    def knows(self, forwarded: forwardtypes.ForwardRequest) -> bool:
        """Return whether the configuration here allows a peer's request."""
        return self._access.allows(forwarded)

    def would_be_late(
        self, forwarded: forwardtypes.ForwardRequest, elapsed_s: float
    ) -> bool:
        """Return whether a peer's request would miss its goal here."""
        route = self.dependencies.board.routes.match(
            forwarded.host, forwarded.path()
        )
        if route is None or route.gather is None:
            return False
        now_s = trio.current_time()
        request = forwardplanner.build_query_request(
            forwarded, route, now_s - elapsed_s
        )
        query = forwardplanner.build_gather_query(
            forwarded, request, route, self.gate.cores
        )
        return self.gate.queue.would_be_late(query, now_s)

    def is_started(self) -> bool:
        """Return whether a configuration and any leaf are known."""
        return startwait.is_started(self.dependencies.board)
