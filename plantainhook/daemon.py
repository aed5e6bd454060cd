"""Build the components of one daemon, run them, and stop them in order.

Each controller runs in its own task, and they share state through the
blackboard. A planned stop goes through the stages of ``Daemon.drain``:

1. The daemon reports to the load balancer that it is not ready, notifies its
   neighbours, and for a short time still admits late requests.
2. It admits no new requests and waits for those in flight.
3. It writes the last figures to the object API.
4. It releases its connection share and notifies the other daemons that it has
   left.
"""

import functools
import random
import typing

import prometheus_client
import trio

from plantainhook import (
    admission,
    admissiongate,
    aggregationcontroller,
    blackboard,
    callerapi,
    claimmemory,
    claimstore,
    crashwatch,
    daemonenvironment,
    daemonstatus,
    errors,
    fleetstatus,
    frontend,
    gossip,
    holderrouter,
    leafgateway,
    leafhealth,
    leafpools,
    logs,
    membership,
    metrics,
    options,
    peerlinks,
    peers,
    peertls,
    planner,
    queryplan,
    queryservice,
    requestrecorder,
    segments,
    settingscleanup,
    settingssource,
    settingsstore,
    shareclaim,
    shares,
    ticketforwarding,
    tickets,
    vmlistdistributor,
    wire,
)

LOGGER: typing.Final = logs.part_logger("daemon")
STOP_STAGE_TIMEOUT_S: typing.Final = 5.0


class Daemon:
    """Build, run and stop the components of one daemon.

    ``http_binds`` lists the addresses of the HTTP server once it listens, and
    ``stopped`` is set at the end of a planned stop. Query tasks run in
    ``nursery``, which outlives ``run``.
    """

    def __init__(
        self,
        run_options: options.Options,
        environment: daemonenvironment.Environment,
        nursery: trio.Nursery,
    ) -> None:
        self.options = run_options
        self.environment = environment
        self.nursery = nursery
        self.clock = environment.time_source
        self.rng = random.Random(environment.seed)
        self.board = blackboard.Blackboard(
            incarnation=self.rng.getrandbits(
                daemonenvironment.INCARNATION_BITS
            )
        )
        self.registry = prometheus_client.CollectorRegistry()
        self.http_binds: list[str] = []
        self.stopped = trio.Event()
        self._drain_requested = trio.Event()
        self._http_shutdown = trio.Event()
        self._build_peers()
        self._build_settings()
        self._build_shares()
        self._build_leafs()
        self.service = queryservice.QueryService(self._service_dependencies())

    def _build_peers(self) -> None:
        run_options = self.options
        self.hello = wire.HelloFrame(
            version=wire.PROTOCOL_VERSION,
            incarnation=self.board.incarnation,
            name=run_options.name,
            vm_id=run_options.vm_id,
            data_centre=run_options.data_centre,
            peer_address=run_options.peer_address,
            http_address=run_options.http_address,
        )
        self.handlers = peers.Handlers()
        build_links = self.environment.build_links or self._build_tcp_links
        self.links = build_links(self.hello, self.handlers)
        self.members = membership.Membership(
            self.board,
            membership.own_entry(self.hello),
            self.links,
            self.handlers,
            membership.MembershipOptions(
                probe_interval_s=run_options.probe_interval_s,
                probe_timeout_s=run_options.probe_timeout_s,
                suspicion_s=run_options.suspicion_s,
                seed_peers=tuple(run_options.seed_peers),
            ),
            self.clock,
            self.rng,
        )

    def _build_tcp_links(
        self, hello: wire.HelloFrame, handlers: peers.Handlers
    ) -> daemonenvironment.PeerLinks:
        tls = None
        if self.options.tls is not None:
            tls = peertls.TlsReloader(self.options.tls)
        return peerlinks.TcpPeerTransport(
            hello,
            handlers,
            self.options.peer_message_limit_bytes,
            self.clock,
            self.rng,
            tls,
        )

    def _build_settings(self) -> None:
        run_options = self.options
        store = settingsstore.SettingsStore(self.environment.api, self.clock)
        self.source = settingssource.SettingsSource(store, self.clock)
        self.gossip = gossip.Gossip(
            self.board,
            self.members,
            self.source,
            self.environment.api,
            self.links,
            self.handlers,
            gossip.GossipOptions(
                watcher_count=run_options.watcher_count,
                digest_interval_s=run_options.digest_interval_s,
                poll_interval_s=run_options.settings_poll_s,
                watch_timeout_s=run_options.watch_timeout_s,
            ),
            self.clock,
            self.rng,
        )

        self.fleet = fleetstatus.FleetStatus(
            self.board,
            self.members,
            self.gossip,
            self.links,
            self.handlers,
            self.rng,
        )

    def _build_shares(self) -> None:
        run_options = self.options
        claimant = shareclaim.Claimant(
            self.board.incarnation,
            run_options.vm_id,
            run_options.peer_address,
        )
        self.claims = shares.ShareClaims(
            self.board,
            claimant,
            run_options.data_centre,
            claimstore.ClaimStore(
                self.environment.api, self.board.incarnation
            ),
            claimmemory.ClaimMemory(self.links, self.handlers),
            self.members.set_share,
            shares.ShareOptions(),
            self.rng,
            holderrouter.PoolShrinkWaiter(
                self.board, lambda: self.gateway
            ).wait,
        )

    def _build_leafs(self) -> None:
        run_options = self.options
        self.gateway = leafgateway.LeafGateway(
            self.board,
            holderrouter.AllotmentReader(self.board).allotment_of,
            metrics.LeafMetrics(self.registry),
            self.rng,
            self.environment.connector,
        )
        vm_list = vmlistdistributor.VmListDistributor(
            self.environment.vm_list,
            self.board,
            run_options.vm_id,
            run_options.peer_address,
            self.members,
            self.claims,
            self.request_drain,
        )
        self.health = leafhealth.LeafHealth(
            self.board,
            self.gateway,
            vm_list,
            run_options.leaf_poll_interval_s,
            self.rng,
            run_options.vm_list_interval_s,
        )

    def _service_dependencies(self) -> queryservice.Dependencies:
        run_options = self.options
        decisions = logs.DecisionLog(
            logs.part_logger("query"),
            self.clock,
            run_options.decision_log_per_s,
        )
        self.policies = queryplan.build_policies(
            run_options.data_centre, self.rng.getrandbits(32)
        )
        self.gossip.quarantine_gossip.share(self.policies.quarantine)
        self.writer = segments.SegmentWriter(
            self.environment.api,
            run_options.name,
            self.board.incarnation,
            self.clock.wall_s(),
        )
        self.aggregator = aggregationcontroller.AggregationController(
            self.board,
            self.environment.api,
            self.clock,
            run_options.fold_interval_s,
            run_options.fold_lease_s,
            self.rng,
        )
        self.router = holderrouter.HolderRouter(
            self.board, self.gateway, self.links, self.handlers, decisions
        )
        limits = admission.Limits(
            run_options.concurrent_query_limit_count,
            run_options.queued_query_limit_count,
            run_options.archive_queue_limit_count,
        )
        queue = admission.AdmissionQueue(limits)
        return queryservice.Dependencies(
            board=self.board,
            gate=admissiongate.AdmissionGate(queue, self.clock),
            tickets=tickets.TicketRegistry(
                run_options.peer_address, self.board.incarnation
            ),
            planner=planner.BlackboardPlanner(
                self.board, run_options.data_centre, self.policies
            ),
            leafs=self.router,
            forwarder=ticketforwarding.PeerTicketForwarder(
                self.links, self.handlers, self._answer_forwarded
            ),
            recorder=requestrecorder.RequestRecorder(
                self.board, run_options, self.writer, self.registry
            ),
            clock=self.clock,
            decisions=decisions,
            nursery=self.nursery,
        )

    async def _answer_forwarded(self, query: bytes) -> callerapi.Response:
        parsed = callerapi.parse_query(query)
        if parsed.is_err():
            return callerapi.refusal_response(parsed.unwrap_err())
        return await self.service.query_as_issuer(parsed.unwrap())

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until a planned stop has ended.

        The task counts as started once all addresses are bound. Raises
        OSError if an address is already in use.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self.links.run)
            nursery.start_soon(self.members.run)
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(self.aggregator.run)
            nursery.start_soon(
                settingscleanup.run,
                self.environment.api,
                f"{self.board.incarnation:x}",
                self.clock,
                self.rng,
            )
            await nursery.start(self.gateway.run)
            await nursery.start(self.router.run)
            await nursery.start(self.health.run)
            nursery.start_soon(self._serve_when_initialised)
            nursery.start_soon(self._flush_segments)
            nursery.start_soon(
                crashwatch.CrashWatch(
                    self.board, self.policies.quarantine, self.clock
                ).run
            )
            if self.environment.serve_http:
                self.http_binds = await nursery.start(
                    frontend.serve,
                    frontend.build_app(self._frontend_dependencies()),
                    self.options.http_address,
                    self._http_shutdown,
                )
            task_status.started()
            LOGGER.info("Listening on {}.", ", ".join(self.http_binds))
            await self._drain_requested.wait()
            await self.drain()
            nursery.cancel_scope.cancel()
        self.stopped.set()

    def request_drain(self) -> None:
        """Start a planned stop; further calls have no effect."""
        self._drain_requested.set()

    async def drain(self) -> None:
        """Go through the stages of a planned stop.

        Requests in flight are completed, unless they take longer than
        ``drain_timeout_s``. The stages that need peers or the object API are
        bounded by ``STOP_STAGE_TIMEOUT_S``, so an outage doesn't block the
        stop.
        """
        self._enter(blackboard.LifecycleState.LEAVING)
        with trio.move_on_after(STOP_STAGE_TIMEOUT_S):
            await self.members.announce(draining=True, left=False)
        await trio.sleep(self.options.drain_notice_s)
        self._enter(blackboard.LifecycleState.DRAINING)
        with trio.move_on_after(self.options.drain_timeout_s) as scope:
            await self.service.wait_idle()
        if scope.cancelled_caught:
            LOGGER.error(
                "Drain timeout reached; aborting {} requests.",
                self.in_flight_count(),
            )
        with trio.move_on_after(STOP_STAGE_TIMEOUT_S):
            await self.writer.close(self.clock.wall_s())
        with trio.move_on_after(STOP_STAGE_TIMEOUT_S):
            await self.claims.release()
            await self.members.announce(draining=True, left=True)
        self._enter(blackboard.LifecycleState.STOPPED)
        self._http_shutdown.set()

    def in_flight_count(self) -> int:
        """Return the number of requests that have not been answered."""
        return self.service.in_flight_count

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return self.board.lifecycle is blackboard.LifecycleState.SERVING

    def _frontend_dependencies(self) -> frontend.FrontendDependencies:
        return frontend.FrontendDependencies(
            options=self.options,
            board=self.board,
            service=self.service,
            status=functools.partial(
                daemonstatus.collect,
                self.options,
                self.board,
                self.fleet,
                self.service,
                self.clock,
            ),
            request_drain=self.request_drain,
            registry=self.registry,
        )

    async def _serve_when_initialised(self) -> None:
        """Start serving once settings and leaf states have been read."""
        while not (self.board.settings.revision and self.board.leafs):
            settings = self.board.change_event(blackboard.Topic.SETTINGS)
            leafs = self.board.change_event(blackboard.Topic.LEAFS)
            await leafpools.wait_any([settings, leafs])
        if self.board.lifecycle is blackboard.LifecycleState.STARTING:
            self._enter(blackboard.LifecycleState.SERVING)

    async def _flush_segments(self) -> None:
        """Write the recorded figures at an interval."""
        while True:
            pause_s = self.options.segment_interval_s
            await trio.sleep(pause_s * self.rng.uniform(0.9, 1.1))
            outcome = await self.writer.flush(self.clock.wall_s())
            if outcome.is_err():
                failure: errors.PlantainhookError = outcome.unwrap_err()
                LOGGER.warning(
                    "Figures not written, trying again later: {}.", failure
                )

    def _enter(self, state: blackboard.LifecycleState) -> None:
        self.board.lifecycle = state
        self.board.notify(blackboard.Topic.LIFE)
        LOGGER.info("Lifecycle state is {}.", state.value)
