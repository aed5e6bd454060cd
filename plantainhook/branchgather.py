"""Gather a query in branches: here and at helpers in other data centres.

``gathertree`` decides. This module carries out its actions: it runs the
branches of this daemon, sends the others to helpers, and cancels those that
are no longer needed. The services travel with a branch, so helper and sender
work on the same set of shards, whatever version of the configuration the
helper has.
"""

import collections
import dataclasses
import math
import typing
from collections import abc

import result
import trio

from plantainhook import (
    branchhelpers,
    branchworker,
    cancelqueue,
    errors,
    forwardmetrics,
    forwardplanner,
    forwardtypes,
    gathersplit,
    gathertree,
    gathertypes,
    logs,
    peers,
    routetable,
    steps,
    wire,
)

LOGGER: typing.Final = logs.part_logger("branch")
# The request to a helper stays open this long after the deadline, so that the
# decision at the deadline comes first.
REPLY_MARGIN_S: typing.Final = 0.05
# Connections to a helper; repeated messages use the second one.
FIRST_LANE: typing.Final = 0
SECOND_LANE: typing.Final = 1

Event = gathertypes.Batch | errors.PeerError
Outcome = gathertypes.Gathered | errors.RefusalError


@dataclasses.dataclass(frozen=True, slots=True)
class _Remote:
    """Represent a branch at a helper; ``services`` are in its order."""

    address: str
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Query:
    """Describe the query that is gathered."""

    forwarded: forwardtypes.ForwardRequest
    route: routetable.Route
    goal_s: float
    deadline_s: float
    lost_limit_count: int


class BranchGather:
    """Gather the queries of this daemon in branches."""

    def __init__(
        self,
        helpers: branchhelpers.Helpers,
        transport: peers.PeerTransport,
        worker: branchworker.BranchWorker,
        instruments: forwardmetrics.ForwardMetrics,
        decisions: logs.DecisionLog,
    ) -> None:
        self.helpers = helpers
        self.transport = transport
        self.worker = worker
        self.instruments = instruments
        self.cancels = cancelqueue.CancelQueue(transport)
        self._decisions = decisions

    async def run(self) -> None:
        """Send cancellations until cancelled."""
        await self.cancels.run()

    async def gather(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
    ) -> Outcome | None:
        """Gather a query; return None if branches would not save enough."""
        gather = route.gather
        if gather is None:
            return None
        split = self._split(forwarded.request_id, route, gather)
        if not split.branches:
            return None
        self._log_split(forwarded.request_id, split)
        request = forwardplanner.build_query_request(
            forwarded, route, arrived_s
        )
        goal_s = arrived_s + forwardplanner.goal_ms_of(route) / 1e3
        goal_s = min(goal_s, request.deadline_s)
        tree = gathertree.GatherTree(
            gathertypes.TreeRules(
                gather.min_coverage_ratio,
                goal_s,
                request.deadline_s,
            ),
            split.direct,
            split.branches,
            self.helpers.grace_s,
        )
        tolerated = 1.0 - gather.min_coverage_ratio
        tolerated_count = int(tolerated * len(gather.shard_services))
        query = _Query(
            forwarded,
            route,
            goal_s,
            request.deadline_s,
            tolerated_count // (len(split.branches) + 1),
        )
        async with trio.open_nursery() as nursery:
            run = _Gathering(self, query, tree, nursery)
            try:
                outcome = await run.run()
            finally:
                run.cancel_remote()
            nursery.cancel_scope.cancel()
        return outcome

    def _split(
        self,
        request_id: str,
        route: routetable.Route,
        gather: routetable.Gather,
    ) -> gathersplit.Split:
        own_address = self.helpers.own_address()
        groups = self.helpers.groups()
        own_group = groups.pop(self.helpers.own_data_centre(), None)
        if own_group is None:
            # This daemon has not joined the fleet yet.
            return gathersplit.Split(gather.shard_services, {})
        return gathersplit.split_shards(
            self.worker.view_of(route, gather.shard_services),
            own_address,
            own_group,
            groups,
            gather.record_limit_count,
            request_id,
            self.worker.is_poor,
        )

    def _log_split(self, request_id: str, split: gathersplit.Split) -> None:
        parts = ", ".join(
            f"{address} for {len(services)}"
            for address, services in split.branches.items()
        )
        self._decisions.log(
            f"Request {request_id} is gathered here for {len(split.direct)} "
            f"parts and by {parts}."
        )


class _Gathering:
    """Run the branches of one query."""

    def __init__(
        self,
        owner: BranchGather,
        query: _Query,
        tree: gathertree.GatherTree,
        nursery: trio.Nursery,
    ) -> None:
        self._owner = owner
        self._query = query
        self._tree = tree
        self._nursery = nursery
        self._remote: dict[int, _Remote] = {}
        self._starts: dict[int, gathertypes.StartBranch] = {}
        self._local: dict[int, branchworker.RunningBranch] = {}
        self._avoided: set[int] = set()
        self._events: collections.deque[tuple[int, int, Event]] = (
            collections.deque()
        )
        self._arrived = trio.Event()
        self._timer_s = math.inf
        self._outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Run the query until it finishes; return its outcome."""
        self._carry_out(self._tree.start(trio.current_time()))
        while self._outcome is None:
            if not self._events:
                self._arrived = trio.Event()
                with trio.move_on_at(self._timer_s):
                    await self._arrived.wait()
            self._handle_event(trio.current_time())
        return self._outcome

    def cancel_remote(self) -> None:
        """Cancel the branches that still run at helpers."""
        request_id = self._query.forwarded.request_id
        for branch in self._tree.branches.values():
            remote = self._remote.get(branch.branch_id)
            if remote is not None and branch.is_open:
                self._owner.cancels.put(
                    remote.address, wire.BranchCancel(request_id)
                )

    def _handle_event(self, now_s: float) -> None:
        if not self._events:
            self._timer_s = math.inf
            self._carry_out(self._tree.on_timer(now_s))
            self._avoid_silent()
            return
        branch_id, ask, event = self._events.popleft()
        if isinstance(event, gathertypes.Batch):
            self._carry_out(self._tree.on_batch(branch_id, event, now_s, ask))
            return
        self._carry_out(
            self._tree.on_failure(branch_id, event.ran, now_s, ask)
        )
        is_open = self._tree.branches[branch_id].is_open
        if not is_open and branch_id not in self._avoided:
            self._avoid(branch_id, str(event))

    def _avoid_silent(self) -> None:
        for branch in self._tree.branches.values():
            if branch.is_silent and branch.branch_id not in self._avoided:
                self._avoid(branch.branch_id, "it has not replied in time")

    def _avoid(self, branch_id: int, detail: str) -> None:
        self._avoided.add(branch_id)
        address = self._remote[branch_id].address
        self._owner.helpers.avoid(address)
        self._owner.instruments.branches.labels("lost").inc()
        LOGGER.info(
            "The branch of request {} at {} is lost: {}",
            self._query.forwarded.request_id,
            address,
            detail,
        )

    def _carry_out(self, actions: abc.Iterable[gathertypes.Action]) -> None:
        for action in actions:
            match action:
                case gathertypes.StartBranch():
                    self._start(action)
                case gathertypes.AskMore():
                    self._nursery.start_soon(self._ask_more, action)
                case gathertypes.SetTimer():
                    self._timer_s = action.at_s
                case gathertypes.Finish():
                    self._outcome = action.outcome

    def _start(self, action: gathertypes.StartBranch) -> None:
        query = self._query
        if action.address is not None:
            self._remote[action.branch_id] = _Remote(
                action.address, action.services
            )
            work = _build_work(query, action, trio.current_time())
            self._starts[action.branch_id] = action
            self._owner.instruments.branches.labels("sent").inc()
            self._nursery.start_soon(
                self._exchange, action.branch_id, 0, work, FIRST_LANE
            )
            return
        task = branchworker.BranchTask(
            query.forwarded,
            query.route,
            action.services,
            query.goal_s,
            query.deadline_s,
            lost_limit_count=0,
        )
        running = self._owner.worker.start(self._nursery, task)
        self._local[action.branch_id] = running
        self._nursery.start_soon(
            self._follow, action.branch_id, 0, action.wait_until_s, False
        )

    async def _ask_more(self, action: gathertypes.AskMore) -> None:
        if action.branch_id in self._local:
            await self._follow(
                action.branch_id,
                action.ask,
                action.wait_until_s,
                action.wants_progress,
            )
            return
        body: wire.BranchWork | wire.BranchMore
        if action.acknowledged:
            wait_s = max(0.0, action.wait_until_s - trio.current_time())
            body = wire.BranchMore(
                self._query.forwarded.request_id,
                wait_s * 1e3,
                action.wants_progress,
                action.acknowledged,
            )
        else:
            # The first message may not have arrived. Less time is left now.
            start = dataclasses.replace(
                self._starts[action.branch_id],
                wait_until_s=action.wait_until_s,
            )
            body = _build_work(self._query, start, trio.current_time())
        lane = FIRST_LANE
        if action.is_repeated:
            lane = SECOND_LANE
            self._owner.instruments.branches.labels("repeated").inc()
        await self._exchange(action.branch_id, action.ask, body, lane)

    async def _follow(
        self,
        branch_id: int,
        ask: int,
        wait_until_s: float,
        wants_progress: bool,
    ) -> None:
        """Queue the next batch of a branch of this daemon."""
        batch = await self._local[branch_id].next_batch(
            wait_until_s, wants_progress
        )
        self._queue(branch_id, ask, batch)

    async def _exchange(
        self,
        branch_id: int,
        ask: int,
        body: wire.BranchWork | wire.BranchMore,
        lane: int,
    ) -> None:
        """Exchange a message with a helper and queue its batch."""
        remote = self._remote[branch_id]
        end_s = self._query.deadline_s + REPLY_MARGIN_S
        reply = await self._owner.transport.request(
            remote.address, body, max(0.0, end_s - trio.current_time()), lane
        )
        if isinstance(reply, result.Err):
            self._queue(branch_id, ask, reply.err_value)
            return
        if isinstance(reply.ok_value, wire.BranchResult):
            self._owner.worker.limits.learn(
                reply.ok_value.limits, trio.current_time()
            )
        self._queue(branch_id, ask, _read_batch(reply.ok_value, remote))

    def _queue(self, branch_id: int, ask: int, event: Event) -> None:
        self._events.append((branch_id, ask, event))
        self._arrived.set()


def _build_work(
    query: _Query, action: gathertypes.StartBranch, now_s: float
) -> wire.BranchWork:
    gather = query.route.gather
    forwarded = query.forwarded
    return wire.BranchWork(
        request_id=forwarded.request_id,
        method=forwarded.method,
        target=forwarded.target,
        host=forwarded.host,
        headers=forwarded.headers,
        body=forwarded.body,
        services=list(action.services),
        route=query.route.name,
        path_prefix=query.route.path_prefix,
        record_limit_count=gather.record_limit_count if gather else 0,
        max_leafs_count=query.route.max_leafs_count,
        lost_limit_count=query.lost_limit_count,
        goal_ms=(query.goal_s - now_s) * 1e3,
        deadline_ms=(query.deadline_s - now_s) * 1e3,
        wait_ms=(action.wait_until_s - now_s) * 1e3,
        tenant=forwarded.tenant,
        urgency=forwarded.ranks,
        rank=forwarded.rank,
        caller=forwarded.caller,
    )


def _read_batch(reply: wire.AnyBody, remote: _Remote) -> Event:
    """Return the batch of a reply, or an error if the reply is invalid."""
    if not isinstance(reply, wire.BranchResult):
        return _invalid(remote, f"unexpected reply {type(reply).__name__}")
    services = remote.services
    indices = {*reply.signatures, *reply.lost, *reply.unknown}
    if any(not 0 <= index < len(services) for index in indices):
        return _invalid(remote, "the reply names services that do not exist")
    return gathertypes.Batch(
        reply.records,
        {services[index]: part for index, part in reply.signatures.items()},
        frozenset(services[index] for index in reply.lost),
        frozenset(services[index] for index in reply.unknown),
        reply.done,
        reply.ran,
        reply.quarantine_ms,
        reply.sequence,
    )


def _invalid(remote: _Remote, detail: str) -> errors.PeerError:
    return errors.PeerError(
        steps.Step.QUERY_MERGE, remote.address, detail, errors.Ran.MAYBE
    )
