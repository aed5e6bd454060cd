"""Run branches of queries on leafs and merge their parts into batches.

A branch runs for a query of this daemon or, if it is a helper, of a peer. It
calls one leaf of each of its services, hedges and retries. Nobody else does
that for its shards, so the load budget and the route's limit hold without
coordination. A batch contains the parts that have arrived since the last one.
"""

import dataclasses
import typing

import trio

from plantainhook import (
    blackboard,
    errors,
    executor,
    forwardgateway,
    forwardplanner,
    forwardtypes,
    gathertypes,
    leaflimits,
    leafnotices,
    leafpools,
    limitsync,
    logs,
    metrics,
    query,
    querytypes,
    replicas,
    routetable,
    snapshot,
    toprecords,
)

LOGGER: typing.Final = logs.part_logger("branch")
# Parts that arrive within this time are sent in one batch.
PROGRESS_DELAY_S: typing.Final = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class BranchTask:
    """Describe a branch: a request and the shards of its route to call.

    ``lost_limit_count`` is how many lost shards are reported only with the
    next batch.
    """

    forwarded: forwardtypes.ForwardRequest
    route: routetable.Route
    services: tuple[str, ...]
    goal_s: float
    deadline_s: float
    lost_limit_count: int


class _ObservedMachine:
    """Pass events to a query machine and set ``changed`` at each result."""

    def __init__(self, machine: query.QueryMachine) -> None:
        self.machine = machine
        self.changed = trio.Event()

    def start(self, now_s: float) -> list[querytypes.Action]:
        return self.machine.start(now_s)

    def on_reply(
        self, attempt_id: int, reply: querytypes.LeafReply, now_s: float
    ) -> list[querytypes.Action]:
        self.changed.set()
        return self.machine.on_reply(attempt_id, reply, now_s)

    def on_failure(
        self, attempt_id: int, failure: errors.LeafError, now_s: float
    ) -> list[querytypes.Action]:
        self.changed.set()
        return self.machine.on_failure(attempt_id, failure, now_s)

    def on_timer(self, now_s: float) -> list[querytypes.Action]:
        return self.machine.on_timer(now_s)

    def on_cancel(self, now_s: float) -> list[querytypes.Action]:
        return self.machine.on_cancel(now_s)


class RunningBranch:
    """Track a branch that runs, and build its batches.

    Cancelling ``scope`` ends the branch.
    """

    def __init__(
        self, task: BranchTask, machine: query.QueryMachine | None
    ) -> None:
        self.task = task
        self.scope = trio.CancelScope()
        self.outcome: executor.Outcome | None = None
        self.is_done = machine is None
        self.unknown: frozenset[str] = frozenset()
        self._machine = machine
        # None if no shard has a known leaf.
        self.observed = _ObservedMachine(machine) if machine else None
        # The parts and losses of the batches that are not acknowledged yet,
        # by sequence.
        self._sent: dict[int, tuple[frozenset[str], frozenset[str]]] = {}
        self._sequence = 0
        self._acknowledged: frozenset[str] = frozenset()
        self._known_lost: frozenset[str] = frozenset()

    def finish(self, outcome: executor.Outcome | None) -> None:
        """Record the end of the branch."""
        self.outcome = outcome
        self.is_done = True
        if self.observed is not None:
            self.observed.changed.set()

    async def next_batch(
        self,
        wait_until_s: float,
        wants_progress: bool,
        acknowledged: int | None = None,
    ) -> gathertypes.Batch:
        """Wait for the next batch and return it.

        It is returned when the branch is done, when too many shards are lost,
        at ``wait_until_s``, or with ``wants_progress`` once there is a new
        part. ``acknowledged`` is the sequence of the last batch that has
        arrived; None means that all have.
        """
        self._acknowledge(
            self._sequence if acknowledged is None else acknowledged
        )
        with trio.move_on_at(wait_until_s):
            while not self._is_due(wants_progress):
                if self.observed is None:
                    break
                # Two messages of the sender may wait at the same time.
                if self.observed.changed.is_set():
                    self.observed.changed = trio.Event()
                await self.observed.changed.wait()
            if wants_progress and not self.is_done:
                await trio.sleep(PROGRESS_DELAY_S)
        return self._build_batch()

    def _acknowledge(self, sequence: int) -> None:
        for sent in [number for number in self._sent if number <= sequence]:
            parts, lost = self._sent.pop(sent)
            self._acknowledged |= parts
            self._known_lost = lost

    def _is_due(self, wants_progress: bool) -> bool:
        if self.is_done or self._machine is None:
            return True
        lost = self._machine.lost_shards()
        has_new_lost = not lost <= self._known_lost
        if has_new_lost and len(lost) > self.task.lost_limit_count:
            return True
        return wants_progress and bool(
            has_new_lost
            or self._machine.merge.results.keys() - self._acknowledged
        )

    def _build_batch(self) -> gathertypes.Batch:
        quarantine_ms = 0
        outcome = self.outcome
        if (
            isinstance(outcome, errors.RefusalError)
            and outcome.kind is errors.RefusalKind.QUARANTINED
        ):
            quarantine_ms = max(1, outcome.retry_after_ms)
        if self._machine is None:
            return gathertypes.Batch(
                b"", {}, frozenset(), self.unknown, True, False
            )
        parts: dict[str, forwardtypes.LeafAnswer] = {
            name: items[0]
            for name, items in self._machine.merge.results.items()
            if name not in self._acknowledged
        }
        lost = frozenset(self._machine.lost_shards())
        if self.is_done:
            merged = self._machine.merge.results.keys()
            lost = frozenset(self.task.services) - merged - self.unknown
        self._sequence += 1
        self._sent[self._sequence] = (frozenset(parts), lost)
        gather = self.task.route.gather
        limit_count = gather.record_limit_count if gather else 0
        return gathertypes.Batch(
            toprecords.merge_top_records(
                (answer.body for answer in parts.values()), limit_count
            ),
            {name: part.signature or b"" for name, part in parts.items()},
            lost,
            self.unknown,
            self.is_done,
            self._machine.ran is not errors.Ran.NO,
            quarantine_ms,
            self._sequence,
        )


class BranchWorker:
    """Start branches on the leafs that this daemon knows."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        planner: forwardplanner.ForwardPlanner,
        pools: leafpools.LeafPools,
        limits: leaflimits.LeafLimits,
        notices: leafnotices.LeafNotices,
        tokens: limitsync.LimitSync,
        dialect: forwardtypes.Dialect,
        instruments: metrics.LeafMetrics,
        failure_log: logs.DecisionLog,
    ) -> None:
        self._board = board
        self._planner = planner
        self._pools = pools
        self.limits = limits
        self._notices = notices
        self._tokens = tokens
        self._dialect = dialect
        self._instruments = instruments
        self._failure_log = failure_log

    def start(self, nursery: trio.Nursery, task: BranchTask) -> RunningBranch:
        """Start a branch; its tasks run in the nursery."""
        now_s = trio.current_time()
        all_services = self._known_services(task.route, task.services)
        view = self._planner.version_view(all_services)
        unknown = frozenset(
            name for name in task.services if not has_replica(view, name)
        )
        known = tuple(name for name in task.services if name not in unknown)
        machine = None
        if known:
            machine = self._planner.build_branch_machine(
                task.forwarded,
                task.route,
                all_services,
                known,
                forwardplanner.BranchTimes(
                    now_s, task.goal_s, task.deadline_s
                ),
            )
        running = RunningBranch(task, machine)
        running.unknown = unknown
        if running.observed is not None:
            nursery.start_soon(self._run, running, running.observed)
        return running

    def view_of(
        self, route: routetable.Route, services: tuple[str, ...]
    ) -> snapshot.VersionView:
        """Return the view of all shards of the route."""
        return self._planner.version_view(
            self._known_services(route, services)
        )

    def is_poor(self, statuses: replicas.Statuses) -> bool:
        """Return whether none of some leafs is likely to answer well."""
        return self._planner.policies.replicas.is_poor(
            statuses, trio.current_time()
        )

    def _known_services(
        self, route: routetable.Route, services: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return all shards of the route if they include the given ones.

        Views are cached by the shards, and all branches of a route can use
        the same one. During a change of the configuration this daemon may
        know other shards of the route than the sender of a branch.
        """
        own = self._board.routes.match(route.host, route.path_prefix)
        if own is not None and own.gather is not None:
            all_services = own.gather.shard_services
            if set(services).issubset(all_services):
                return all_services
        return services

    async def _run(
        self, running: RunningBranch, machine: _ObservedMachine
    ) -> None:
        task = running.task
        gateway = forwardgateway.ForwardGateway(
            task.forwarded,
            True,
            self._dialect,
            self._pools,
            self.limits,
            self._notices,
            self._instruments,
            self._failure_log,
        )
        outcome: executor.Outcome | None = None
        try:
            with running.scope:
                await self._tokens.prepare(
                    self.view_of(task.route, task.services),
                    task.services,
                    machine.machine.plan.rank,
                    task.goal_s,
                )
                outcome = await executor.run_query(
                    machine,
                    machine.machine.plan.request,
                    gateway,
                    self._planner.clock,
                )
        except Exception:
            # An unexpected error ends this branch and not the process.
            LOGGER.exception(
                "The branch of request {} failed.", task.forwarded.request_id
            )
        finally:
            running.finish(outcome)


def has_replica(view: snapshot.VersionView, service: str) -> bool:
    """Return whether a leaf of the service is known and usable."""
    route = view.route_of.get(service)
    return route is not None and route.has_replica()
