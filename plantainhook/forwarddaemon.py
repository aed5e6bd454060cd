"""One daemon that forwards HTTP requests by route: builds, runs and stops it.

It shares the decision code, the membership and the links with ``daemon``. Its
configuration and its leafs come from the store of the platform. A planned
stop makes it unready at the balancer, serves what still arrives, ends each
connection after its answer, and exits when nothing is in flight.
"""

import random
import typing

import prometheus_client
import trio

from plantainhook import (
    blackboard,
    clock,
    fleetsize,
    forwardmetrics,
    forwardplanner,
    forwardservice,
    forwardtypes,
    gatherers,
    goalhedging,
    httpserver,
    leafconnect,
    leafdirectory,
    leafpools,
    logs,
    membership,
    metrics,
    objectsource,
    options,
    peerlinks,
    peers,
    queryplan,
    routecontroller,
    routetable,
    shardmap,
    storerelay,
    storereplica,
    windowbudget,
    wire,
)

LOGGER: typing.Final = logs.part_logger("daemon")
INCARNATION_BITS: typing.Final = 64
# The balancer takes a daemon out after two misses of a check each second.
NOTICE_S: typing.Final = 2.5
# Idle connections end this long after the stop began; callers have learnt by
# then to open new ones elsewhere.
CLOSE_IDLE_S: typing.Final = 3.0
# Left for the process to exit before it is killed; closing thousands of
# connections takes this long on a quarter of a core.
EXIT_MARGIN_S: typing.Final = 0.9
IDLE_CHECK_S: typing.Final = 0.05
# Part of the connections of a leaf that the daemons share out.
CONNECTIONS_RATIO: typing.Final = 0.9
POOL_OPTIONS: typing.Final = leafconnect.PoolOptions(
    late_reply_timeout_s=0.15,
    close_timeout_s=0.0,
    checks_health=False,
    keeps_spare=False,
)


class Sharing(typing.NamedTuple):
    """Hold how many daemons share limits, and how many of them gather.

    The second is 0 where all daemons gather.
    """

    fleet_count: int
    gatherers_count: int


class ForwardDaemon:
    """Hold the parts of one forwarding daemon."""

    def __init__(
        self,
        run_options: options.Options,
        forward: options.ForwardOptions,
        adapters: "PlatformAdapters",
    ) -> None:
        self.options = run_options
        self.forward = forward
        self.adapters = adapters
        self.clock = clock.TrioClock()
        self.rng = random.Random()
        self.board = blackboard.Blackboard(
            incarnation=self.rng.getrandbits(INCARNATION_BITS)
        )
        self.registry = prometheus_client.CollectorRegistry()
        self.instruments = metrics.LeafMetrics(self.registry)
        self.forward_metrics = forwardmetrics.ForwardMetrics(self.registry)
        self.fleet = fleetsize.FleetSize(
            self.board, self.clock, forward.fleet_least_count
        )
        self.sharing = Sharing(self.fleet.count(), 0)
        self.handlers = peers.Handlers()
        self.hello = wire.HelloFrame(
            version=wire.PROTOCOL_VERSION,
            incarnation=self.board.incarnation,
            name=run_options.name,
            vm_id=run_options.vm_id,
            data_centre=run_options.data_centre,
            peer_address=run_options.peer_address,
            http_address=forward.front_address,
        )
        self.links = peerlinks.TcpPeerTransport(
            self.hello,
            self.handlers,
            run_options.peer_message_limit_bytes,
            self.clock,
            self.rng,
        )
        self.members = membership.Membership(
            self.board,
            membership.own_entry(self.hello, capacity_of(forward)),
            self.links,
            self.handlers,
            membership.MembershipOptions(
                run_options.probe_interval_s,
                run_options.probe_timeout_s,
                run_options.suspicion_s,
                tuple(
                    seed
                    for seed in run_options.seed_peers
                    if seed != run_options.peer_address
                ),
            ),
            self.clock,
            self.rng,
        )
        self.pools = leafpools.LeafPools(
            self.board,
            self.allotment_of,
            self.instruments,
            self.rng,
            options=POOL_OPTIONS,
        )
        self.gatherers = gatherers.Gatherers(
            self.board,
            self.links,
            self.handlers,
            gatherers.GathererOptions(),
            self.clock,
        )
        self.budgets = self._build_budgets()
        self.planner = forwardplanner.ForwardPlanner(
            self.board,
            run_options.data_centre,
            self._policies(),
            self.budgets,
        )
        self.service = forwardservice.ForwardService(
            forwardservice.Dependencies(
                self.gatherers,
                self.board,
                self.planner,
                self.pools,
                adapters.dialect,
                self.instruments,
                self.forward_metrics,
                self._decision_log("forward"),
                self._decision_log("attempt"),
                self.rng,
            )
        )
        self.gatherers.run_here = self.service.answer_for_peer
        self.directory = leafdirectory.LeafDirectory(
            self.board, adapters.documents.read_leaf
        )
        self.routes = routecontroller.RouteController(
            self.board,
            adapters.configuration_name,
            adapters.documents.read_routes,
            self._on_routes,
        )
        replicas = {
            source.kind: storereplica.StoreReplica(source.kind, consumer)
            for source, consumer in (
                (adapters.leafs, self.directory),
                (adapters.configurations, self.routes),
            )
        }
        self.relay = storerelay.StoreRelay(
            self.board,
            run_options.data_centre,
            replicas,
            {
                source.kind: source
                for source in (adapters.leafs, adapters.configurations)
            },
            self.links,
            self.handlers,
            storerelay.RelayOptions(),
            objectsource.FollowOptions(),
            self.clock,
            self.rng,
        )
        self.front = httpserver.HttpServer(self._answer, self._limits)
        self.metrics_front = httpserver.HttpServer(
            self._answer_metrics, default_limits
        )
        self.ready = httpserver.HttpServer(self._answer_ready, default_limits)

    def allotment_of(self, info: shardmap.LeafInfo) -> int:
        """Return how many connections this daemon may open to a leaf."""
        shared = info.connection_limit_count * CONNECTIONS_RATIO
        return max(1, int(shared / self._sharers_count(info.service)))

    async def run(self) -> None:
        """Run until the planned stop has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.links.run)
            await nursery.start(self.gatherers.run)
            await nursery.start(self.pools.run)
            nursery.start_soon(self.members.run)
            nursery.start_soon(self.directory.run)
            nursery.start_soon(self.relay.run)
            nursery.start_soon(
                self.ready.serve, self.forward.ready_address, nursery
            )
            nursery.start_soon(
                self.front.serve, self.forward.front_address, nursery
            )
            if self.forward.metrics_address is not None:
                nursery.start_soon(
                    self.metrics_front.serve,
                    self.forward.metrics_address,
                    nursery,
                )
            nursery.start_soon(self._share_connections)
            LOGGER.info("Serving at {}.", self.forward.front_address)

    def request_stop(self) -> None:
        """Start the planned stop."""
        if self.board.lifecycle is not blackboard.LifecycleState.LEAVING:
            self.board.lifecycle = blackboard.LifecycleState.LEAVING
            self._nursery.start_soon(self._stop)

    def in_flight_count(self) -> int:
        """Return the requests in flight."""
        return self.service.in_flight_count

    async def _stop(self) -> None:
        began_s = trio.current_time()
        last_s = began_s + self.forward.stop_timeout_s - EXIT_MARGIN_S
        self.front.drain()
        self._nursery.start_soon(self._announce)
        await trio.sleep(NOTICE_S)
        while trio.current_time() < last_s:
            if trio.current_time() - began_s >= CLOSE_IDLE_S:
                self.front.close_idle()
                if not self.front.connections:
                    break
            await trio.sleep(IDLE_CHECK_S)
        LOGGER.info("Stopped; {} requests cut off.", self.in_flight_count())
        self._nursery.cancel_scope.cancel()

    async def _announce(self) -> None:
        await self.members.announce(draining=True, left=False)

    async def _share_connections(self) -> None:
        """Follow the members: their number sets the allotments."""
        while True:
            with trio.move_on_after(1.0):
                await self.board.change_event(blackboard.Topic.MEMBERS).wait()
            sharing = Sharing(
                self.fleet.count(), self.gatherers.gatherer_count()
            )
            if sharing != self.sharing:
                LOGGER.info(
                    "The fleet has {} daemons; {} gather (0: all).",
                    sharing.fleet_count,
                    sharing.gatherers_count,
                )
                self.sharing = sharing
                self.board.notify(blackboard.Topic.SHARES)
            await trio.sleep(0.2)

    async def _answer(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.Response:
        return await self.service.answer(
            self.adapters.dialect.read_request(method, target, headers, body)
        )

    async def _answer_ready(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.Response:
        status = forwardtypes.STATUS_UNAVAILABLE
        if self.is_ready():
            status = forwardtypes.STATUS_OK
        return forwardtypes.Response(status, [], b"")

    async def _answer_metrics(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.Response:
        content = (b"content-type", b"text/plain; version=0.0.4")
        text = prometheus_client.generate_latest(self.registry)
        return forwardtypes.Response(forwardtypes.STATUS_OK, [content], text)

    def is_ready(self) -> bool:
        """Return whether the balancer is to send callers here."""
        return (
            self.board.lifecycle is not blackboard.LifecycleState.LEAVING
            and self.service.is_started()
        )

    def _limits(self) -> routetable.ClientLimits:
        return self.board.routes.limits

    def _on_routes(self) -> None:
        self.planner.forget_views()
        self.directory.on_routes()

    def _decision_log(self, part: str) -> logs.DecisionLog:
        """Return a log of its own budget, so that no part silences another."""
        return logs.DecisionLog(
            logs.part_logger(part),
            self.clock,
            self.options.decision_log_per_s,
        )

    def _build_budgets(self) -> windowbudget.WindowBudgets:
        forward = self.forward
        return windowbudget.WindowBudgets(
            windowbudget.WindowRules(
                forward.budget_window_s,
                forward.budget_extra_ratio,
                forward.budget_extra_count,
            ),
            self._sharers_count,
            self.clock.now_s(),
        )

    def _sharers_count(self, service: str) -> int:
        """Return how many daemons call a service."""
        if service in self.board.routes.gathered_services:
            return self.sharing.gatherers_count or self.sharing.fleet_count
        return self.sharing.fleet_count

    def _policies(self) -> queryplan.QueryPolicies:
        policies = queryplan.build_policies(
            self.options.data_centre, self.rng.getrandbits(32)
        )
        policies.latencies = goalhedging.PooledLatencies()
        policies.budgets = self.budgets
        return policies


def capacity_of(forward: options.ForwardOptions) -> int:
    """Return the processor of the VM in hundredths of a core."""
    return round(100 * forward.cpu_share_ratio * forward.cpu_speed_factor)


def default_limits() -> routetable.ClientLimits:
    """Return the limits of the balancer's checks and of readers of metrics."""
    return routetable.ClientLimits()


class PlatformAdapters(typing.NamedTuple):
    """Hold the seams to the platform."""

    dialect: forwardtypes.Dialect
    documents: forwardtypes.Documents
    leafs: objectsource.ObjectSource
    configurations: objectsource.ObjectSource
    configuration_name: str
