"""Build, run and stop one daemon that forwards HTTP requests by route.

It uses the same code as ``daemon`` for query decisions, membership and peer
links. Its configuration and its leafs come from the platform's store. The
planned stop is carried out by ``stopsequence``.
"""

import random
import typing

import prometheus_client
import trio

from plantainhook import (
    blackboard,
    branchgather,
    branchhelpers,
    branchserver,
    branchworker,
    clientguard,
    clock,
    coldlimits,
    crashsharing,
    daemonservers,
    evacuations,
    fleetdivision,
    forwardmembership,
    forwardmetrics,
    forwardplanner,
    forwardservice,
    gatherers,
    goalhedging,
    leafcalls,
    leafdirectory,
    logs,
    metrics,
    options,
    platformadapters,
    queryplan,
    quotasync,
    recoverypace,
    routecontroller,
    stopadmission,
    stopsequence,
    storereading,
    windowbudget,
)

LOGGER: typing.Final = logs.part_logger("daemon")
INCARNATION_BITS: typing.Final = 64
IDLE_RAMPS_INTERVAL_S: typing.Final = 1.0


class ForwardDaemon:
    """Build, run and stop the components of one forwarding daemon."""

    def __init__(
        self,
        run_options: options.Options,
        forward: options.ForwardOptions,
        adapters: platformadapters.PlatformAdapters,
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
        self.division = fleetdivision.FleetDivision(
            self.board,
            run_options.data_centre,
            forward.fleet_least_count,
            forward.gather_levels_count > 1,
            self.clock,
        )
        self.fleet = self.division.fleet
        self.gatherer_choice = self.division.gatherer_choice
        self.shares = self.division.shares
        self._build_fleet_links()
        self._build_leaf_parts()
        self._build_planner()
        self._build_branches()
        self._build_service()
        self._build_views()
        self._build_servers()

    def _build_fleet_links(self) -> None:
        """Build the links to the other daemons, and their list."""
        self.stop_admission = stopadmission.StopAdmission()
        self.guard = clientguard.build_guard(
            self.forward.memory_limit_mb,
            self.forward.descriptor_limit_count,
            self.registry,
        )
        fleet_links = forwardmembership.FleetLinks(
            self.board,
            self.options,
            self.forward,
            self.guard,
            self.clock,
            self.rng,
        )
        self.handlers = fleet_links.handlers
        self.hello = fleet_links.hello
        self.links = fleet_links.links
        self.members = fleet_links.members

    def _build_leaf_parts(self) -> None:
        """Build what carries and limits requests to leafs and gatherers."""
        forward = self.forward
        calls = leafcalls.LeafCalls(
            self.board,
            self.division,
            self.links,
            self.handlers,
            self.instruments,
            self._on_nothing_listens,
            self.rng,
        )
        self.pools = calls.pools
        self.limits = calls.limits
        self.notices = calls.notices
        self.tokens = calls.tokens
        self.quotas = quotasync.QuotaSync(
            self.board,
            self.links,
            self.handlers,
            self.fleet.count,
            self.rng,
            forward.quota_window_s,
            self.clock.now_s(),
            forward.quota_slack_count,
        )
        self.gatherers = gatherers.Gatherers(
            self.board,
            self.links,
            self.handlers,
            self.gatherer_choice,
            self.stop_admission,
            self.clock,
        )

    def _build_planner(self) -> None:
        """Build the decisions of queries and the quarantine."""
        self.budgets = windowbudget.WindowBudgets(
            windowbudget.WindowRules(
                self.forward.budget_window_s,
                self.forward.budget_extra_ratio,
                self.forward.budget_extra_count,
            ),
            self.shares.divisor,
            self.clock.now_s(),
        )
        self.planner = forwardplanner.ForwardPlanner(
            self.board,
            self.options.data_centre,
            self._build_policies(),
            self.budgets,
        )
        crash_parts = crashsharing.build_parts(
            self.board,
            self.planner.policies.quarantine,
            self.members,
            self.links,
            self.handlers,
            self.adapters.quarantine_writer,
            self.pools.check,
            self.clock,
            self.rng,
        )
        self.quarantine_gossip = crash_parts.gossip
        self.quarantine_store = crash_parts.store
        self.crashes = crash_parts.crashes
        self.forward_metrics.watch_quarantine(self.planner.policies.quarantine)

    def _build_branches(self) -> None:
        """Build the gathering of queries in branches."""
        self.worker = branchworker.BranchWorker(
            self.board,
            self.planner,
            self.pools,
            self.limits,
            self.notices,
            self.tokens,
            self.adapters.dialect,
            self.instruments,
            self._build_decision_log("attempt"),
        )
        self.branch_server = branchserver.BranchServer(
            self.handlers,
            self.worker,
            self.stop_admission,
            self._build_decision_log("branch"),
        )
        self.branches = branchgather.BranchGather(
            branchhelpers.Helpers(self.board, self.gatherer_choice),
            self.links,
            self.worker,
            self.forward_metrics,
            self._build_decision_log("branch"),
        )

    def _build_service(self) -> None:
        """Build the service that answers requests."""
        forward = self.forward
        self.service = forwardservice.ForwardService(
            forwardservice.Dependencies(
                self.gatherers,
                self.branches if forward.gather_levels_count > 1 else None,
                self.board,
                self.planner,
                self.pools,
                self.limits,
                self.notices,
                self.tokens,
                self.adapters.dialect,
                self.instruments,
                self.forward_metrics,
                self._build_decision_log("forward"),
                self._build_decision_log("attempt"),
                self.rng,
                self.stop_admission,
                self.quarantine_store,
                self.quotas,
            ),
            gatherers.cores_of(forwardmembership.capacity_of(forward)),
        )
        self.gatherers.run_here = self.service.answer_for_peer
        self.gatherers.knows = self.service.knows
        self.gatherers.is_overloaded = self.service.would_be_late
        self.gatherers.queued_s = self.service.gate.queue.work_s
        self.forward_metrics.watch_queue(self.service.gate.queue)
        self.members.queued_s = self.service.gate.queue.work_s

    def _build_views(self) -> None:
        """Build the views of leafs and routes, and their reader."""
        forward = self.forward
        adapters = self.adapters
        self.directory = leafdirectory.LeafDirectory(
            self.board, adapters.documents.read_leaf
        )
        self.notices.on_leaving = self.directory.on_leaving
        self.notices.on_cold = self.directory.on_cold
        self.notices.on_load = self.planner.policies.replicas.record_load
        self.cold_limiter = coldlimits.ColdLimiter(
            self.board,
            self.limits,
            coldlimits.ColdRules(
                forward.cold_over_ratio, forward.cold_slack_count
            ),
        )
        self.board.listeners.append(self.cold_limiter.on_change)
        self.directory.on_restart = self._on_leaf_restart
        self.evacuations = evacuations.Evacuations(
            self.board, self.directory.on_evacuations
        )
        self.routes = routecontroller.RouteController(
            self.board,
            adapters.configuration_name,
            adapters.documents.read_routes,
            self._on_routes,
        )
        self.relay = storereading.build_relay(
            self.board,
            self.options.data_centre,
            adapters,
            storereading.list_consumers(
                adapters,
                self.directory,
                self.routes,
                self.quarantine_store,
                self.evacuations if forward.reads_evacuations else None,
            ),
            self.links,
            self.handlers,
            self.forward_metrics,
            forward.memory_limit_mb,
            self.clock,
            self.rng,
        )

    def _build_servers(self) -> None:
        """Build the HTTP servers, and the planned stop."""
        self.caller_server = daemonservers.build_caller_server(
            self.board, self.adapters.dialect, self.service, self.guard
        )
        self.stop_sequence = stopsequence.StopSequence(
            self.caller_server,
            self.service.running,
            self.stop_admission,
            self.branch_server,
            self.gatherers,
            self.members,
            self.forward.stop_timeout_s,
        )
        self.metrics_server = daemonservers.build_metrics_server(
            self.registry, self.guard
        )
        self.readiness_server = daemonservers.build_readiness_server(
            self.is_ready, self.guard
        )

    async def run(self) -> None:
        """Run all components until the planned stop has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.links.run)
            await nursery.start(self.gatherers.run)
            await nursery.start(self.pools.run)
            await nursery.start(self.branch_server.run)
            nursery.start_soon(self.branches.run)
            nursery.start_soon(self.service.gate.run)
            nursery.start_soon(self.members.run)
            if self.forward.reads_evacuations:
                self.directory.await_evacuations()
            nursery.start_soon(self.directory.run)
            nursery.start_soon(self.evacuations.run)
            nursery.start_soon(self.tokens.run)
            nursery.start_soon(self.quotas.run)
            nursery.start_soon(self.relay.run)
            nursery.start_soon(
                self.readiness_server.serve,
                self.forward.ready_address,
                nursery,
            )
            nursery.start_soon(
                self.caller_server.serve, self.forward.front_address, nursery
            )
            if self.forward.metrics_address is not None:
                nursery.start_soon(
                    self.metrics_server.serve,
                    self.forward.metrics_address,
                    nursery,
                )
            nursery.start_soon(self.division.run)
            nursery.start_soon(self._end_idle_ramps)
            nursery.start_soon(self.crashes.run)
            nursery.start_soon(self.quarantine_store.run)
            nursery.start_soon(self.quarantine_gossip.push_changes)
            nursery.start_soon(self.quarantine_gossip.repair, self.handlers)
            LOGGER.info("Serving callers at {}.", self.forward.front_address)

    def request_stop(self) -> None:
        """Start the planned stop; a second call does nothing."""
        if self.board.lifecycle is not blackboard.LifecycleState.LEAVING:
            self.board.lifecycle = blackboard.LifecycleState.LEAVING
            self._nursery.start_soon(self.stop_sequence.run, self._nursery)

    async def _end_idle_ramps(self) -> None:
        """End the ramps of leafs that get no calls."""
        pace = self.planner.policies.replicas.pace
        while pace is not None:
            pace.end_idle(trio.current_time())
            await trio.sleep(IDLE_RAMPS_INTERVAL_S)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return (
            self.board.lifecycle is not blackboard.LifecycleState.LEAVING
            and self.service.is_started()
        )

    def _on_nothing_listens(self, leaf: str) -> None:
        self.crashes.report_down(leaf)

    def _on_leaf_restart(self, leaf: str) -> None:
        self.notices.forget(leaf)
        pace = self.planner.policies.replicas.pace
        if pace is not None:
            pace.begin(leaf, recoverypace.Cause.RESTARTED, trio.current_time())
        self.crashes.report_down(leaf)

    def _on_routes(self) -> None:
        self.planner.clear_views()
        self.directory.on_routes()

    def _build_decision_log(self, part: str) -> logs.DecisionLog:
        """Return a log with its own rate limit.

        A part that logs much can't suppress the lines of another part.
        """
        return logs.DecisionLog(
            logs.part_logger(part),
            self.clock,
            self.options.decision_log_per_s,
        )

    def _build_policies(self) -> queryplan.QueryPolicies:
        policies = queryplan.build_policies(
            self.options.data_centre, self.rng.getrandbits(32)
        )
        policies.latencies = goalhedging.PooledLatencies()
        policies.budgets = self.budgets
        policies.replicas.limits = self.limits
        policies.replicas.notices = self.notices
        if self.forward.recovery_pace:
            pace = recoverypace.RecoveryPace(
                self.rng, self._build_decision_log("pace").log
            )
            policies.replicas.pace = pace
            self.forward_metrics.watch_pace(pace)
        return policies
