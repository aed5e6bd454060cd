"""Run attempts on leafs, here or through a daemon that has connections.

The executor calls ``HolderRouter`` for each attempt. A daemon that may open no
connections to a leaf sends the attempt to a holder, which is a daemon that
owns one of the shares of the leaf's cell (see ``shareplan``). All attempts of
one query for the same cell go to the same holder, so that their messages are
written together. Each attempt is a message of its own, because a common reply
would have to wait for the slowest leaf. A receiver without connections to the
leaf refuses the work with ``ran=no``, and the next holder is tried.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    blackboard,
    errors,
    hashing,
    leafgateway,
    logs,
    peers,
    querytypes,
    shardmap,
    shareplan,
    steps,
    wire,
)

CANCEL_TIMEOUT_S: typing.Final = 1.0
CACHED_FIELDS_MAX_COUNT: typing.Final = 4096
SHRINK_CHECK_INTERVAL_S: typing.Final = 0.05
MS_PER_S: typing.Final = 1000
NO_HOLDER: typing.Final = "no live daemon has connections to the leaf"
NOT_A_HOLDER: typing.Final = "this daemon has no connections to the leaf"
DEADLINE_PASSED: typing.Final = "the deadline has passed"

AttemptResult = result.Result[querytypes.LeafReply, errors.LeafError]


class LeafRunner(typing.Protocol):
    """Run attempts over this daemon's connections.

    ``leafgateway.LeafGateway`` implements it.
    """

    async def call(
        self,
        leaf: str,
        send: querytypes.Send,
        fields: leafgateway.RequestFields,
        deadline_s: float,
    ) -> AttemptResult:
        """Run one attempt; return the reply of the leaf or the error."""


class HolderRouter:
    """Run or forward attempts, and run those that peers forward."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        runner: LeafRunner,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        decisions: logs.DecisionLog,
    ) -> None:
        self._board = board
        self._runner = runner
        self._transport = transport
        self._decisions = decisions
        self._fields: dict[str, leafgateway.RequestFields] = {}
        self._running: dict[tuple[int, str], trio.CancelScope] = {}
        handlers.register(wire.LeafWork)(self._on_work)
        handlers.register(wire.CancelWork)(self._on_cancel)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send cancellations in the background until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def call(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> AttemptResult:
        """Run one attempt; return the reply of the leaf or the error."""
        fields = self._fields_of(request)
        if self._may_connect(send.leaf):
            return await self._runner.call(
                send.leaf, send, fields, send.deadline_s
            )
        return await self._forward(fields, send)

    def _fields_of(
        self, request: querytypes.QueryRequest
    ) -> leafgateway.RequestFields:
        """Return the fields that all attempts of a query share.

        They are cached, so that the parameters are encoded once per query.
        """
        fields = self._fields.get(request.request_id)
        if fields is None:
            if len(self._fields) >= CACHED_FIELDS_MAX_COUNT:
                self._fields.clear()
            fields = leafgateway.RequestFields(
                request.request_id,
                request.kind,
                request.fingerprint,
                msgspec.json.encode(request.params),
            )
            self._fields[request.request_id] = fields
        return fields

    def _may_connect(self, leaf: str) -> bool:
        return self._board.shares.allotments.get(leaf, 0) > 0

    # Sending

    async def _forward(
        self, fields: leafgateway.RequestFields, send: querytypes.Send
    ) -> AttemptResult:
        """Send the attempt to one holder after another until one runs it."""
        failure = leaf_error(send.leaf, "holders", NO_HOLDER, errors.Ran.NO)
        for holder in holders_of(self._board, send.leaf, fields.request_id):
            self._decisions.log(
                f"Request {fields.request_id} for leaf {send.leaf} is "
                f"forwarded to {holder.name}."
            )
            outcome = await self._send_work(holder, fields, send)
            if isinstance(outcome, result.Ok):
                return outcome
            failure = outcome.err_value
            if not self._may_try_next(failure, send):
                break
        return result.Err(failure)

    def _may_try_next(
        self, failure: errors.LeafError, send: querytypes.Send
    ) -> bool:
        return (
            failure.ran is errors.Ran.NO
            and failure.kind is errors.LeafFailureKind.NO_CONNECTION
            and trio.current_time() < send.deadline_s
        )

    async def _send_work(
        self,
        holder: blackboard.MemberInfo,
        fields: leafgateway.RequestFields,
        send: querytypes.Send,
    ) -> AttemptResult:
        left_s = send.deadline_s - trio.current_time()
        work = build_work(fields, send, left_s)
        if work.deadline_ms < 1:
            return result.Err(
                leaf_error(
                    send.leaf, holder.name, DEADLINE_PASSED, errors.Ran.NO
                )
            )
        try:
            reply = await self._transport.request(
                holder.peer_address, work, left_s
            )
        except trio.Cancelled:
            self._cancel(holder.peer_address, work.request_id)
            raise
        if isinstance(reply, result.Err):
            error = reply.err_value
            if error.ran is not errors.Ran.NO:
                self._cancel(holder.peer_address, work.request_id)
            return result.Err(
                leaf_error(send.leaf, error.peer, error.detail, error.ran)
            )
        return decode_reply(
            reply.ok_value, fields.request_id, send, holder.name
        )

    def _cancel(self, address: str, request_id: str) -> None:
        self._nursery.start_soon(
            self._transport.request,
            address,
            wire.CancelWork(request_id),
            CANCEL_TIMEOUT_S,
        )

    # Receiving

    async def _on_work(
        self, sender: wire.HelloFrame, body: wire.LeafWork
    ) -> wire.AnyBody:
        if not self._may_connect(body.leaf):
            return wire.Refused(NOT_A_HOLDER)
        key = (sender.incarnation, body.request_id)
        if key in self._running:
            return wire.Refused("this work is already running")
        scope = trio.CancelScope()
        self._running[key] = scope
        try:
            with scope:
                return await self._run_work(body)
        finally:
            del self._running[key]
        return wire.LeafWorkFailed(
            errors.LeafFailureKind.CANCELLED,
            errors.Ran.MAYBE,
            "cancelled",
        )

    async def _run_work(self, body: wire.LeafWork) -> wire.AnyBody:
        deadline_s = trio.current_time() + body.deadline_ms / MS_PER_S
        send = querytypes.Send(
            attempt_id=0,
            leaf=body.leaf,
            shards=tuple(body.shards),
            snapshot=body.snapshot,
            deadline_s=deadline_s,
            reason=querytypes.AttemptReason.FIRST,
        )
        fields = leafgateway.RequestFields(
            body.request_id, body.kind, body.fingerprint, body.params
        )
        outcome = await self._runner.call(body.leaf, send, fields, deadline_s)
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            return wire.LeafWorkFailed(
                error.kind, error.ran, error.detail, list(error.served)
            )
        reply = outcome.ok_value
        results = {
            shard_result.shard: shard_result.items
            for shard_result in reply.results
        }
        return wire.LeafWorkDone(reply.snapshot, msgspec.json.encode(results))

    async def _on_cancel(
        self, sender: wire.HelloFrame, body: wire.CancelWork
    ) -> wire.AnyBody:
        scope = self._running.get((sender.incarnation, body.request_id))
        if scope is not None:
            scope.cancel()
        return wire.Ack()


def build_work(
    fields: leafgateway.RequestFields, send: querytypes.Send, left_s: float
) -> wire.LeafWork:
    """Build the message that asks a holder to run an attempt."""
    return wire.LeafWork(
        leaf=send.leaf,
        request_id=leafgateway.attempt_request_id(
            fields.request_id, send.attempt_id
        ),
        kind=fields.kind,
        fingerprint=fields.fingerprint,
        snapshot=send.snapshot,
        shards=list(send.shards),
        params=fields.params,
        deadline_ms=int(left_s * MS_PER_S),
        idempotent=True,
    )


def decode_reply(
    body: wire.AnyBody,
    request_id: str,
    send: querytypes.Send,
    holder: str,
) -> AttemptResult:
    """Decode the reply of a holder into the leaf's reply or the error."""
    if isinstance(body, wire.LeafWorkFailed):
        kind = errors.LeafFailureKind(body.kind)
        failure = leaf_error(
            send.leaf, holder, body.detail, errors.Ran(body.ran), kind
        )
        failure.served = tuple(body.served)
        return result.Err(failure)
    if not isinstance(body, wire.LeafWorkDone):
        detail = f"unexpected reply {type(body).__name__}"
        return result.Err(
            leaf_error(send.leaf, holder, detail, errors.Ran.MAYBE)
        )
    results = msgspec.json.decode(body.results, type=dict[str, list[object]])
    shards = tuple(
        querytypes.ShardResult(shard, items)
        for shard, items in results.items()
    )
    return result.Ok(querytypes.LeafReply(request_id, body.snapshot, shards))


def leaf_error(
    leaf: str,
    peer: str,
    detail: str,
    ran: errors.Ran,
    kind: errors.LeafFailureKind | None = None,
) -> errors.LeafError:
    """Return the error of an attempt that a peer was asked to run.

    Without ``kind`` its kind is NO_CONNECTION if the attempt did not run, and
    CONNECTION_LOST if it may have run.
    """
    if kind is None:
        kind = errors.LeafFailureKind.CONNECTION_LOST
        if ran is errors.Ran.NO:
            kind = errors.LeafFailureKind.NO_CONNECTION
    text = f"{detail} (through {peer})"
    return errors.LeafError(steps.Step.QUERY_SEND, leaf, text, kind, ran)


def holders_of(
    board: blackboard.Blackboard, leaf_name: str, request_id: str
) -> list[blackboard.MemberInfo]:
    """Return the live holders of a leaf in the order in which to try them.

    The order depends on the query and the cell, so that queries are spread
    over the holders. Draining holders are last.
    """
    leaf = board.settings.leafs.get(leaf_name)
    if leaf is None:
        return []
    holders = _live_holders(board, leaf)
    plan = shareplan.plan_of(board.settings.settings.share_plan)
    key = f"{request_id}/{shareplan.cell_of(leaf, plan)}"
    order = hashing.choose(key, holders, len(holders))
    members = [holders[incarnation] for incarnation in order]
    return sorted(members, key=lambda member: member.draining)


def _live_holders(
    board: blackboard.Blackboard, leaf: shardmap.LeafInfo
) -> abc.Mapping[int, blackboard.MemberInfo]:
    settings_plan = board.settings.settings.share_plan
    plan = shareplan.plan_of(settings_plan)
    scope = shareplan.scope_of(settings_plan, leaf.data_centre)
    owners = board.shares.owners.get(scope, {})
    live = {}
    for share in shareplan.holders(shareplan.cell_of(leaf, plan), plan):
        member = board.members.get(owners.get(share, 0))
        if member is None or member.incarnation == board.incarnation:
            continue
        if member.alive:
            live[member.incarnation] = member
    return live


@dataclasses.dataclass(slots=True)
class AllotmentReader:
    """Read from the blackboard how many connections a pool may open."""

    board: blackboard.Blackboard

    def allotment_of(self, leaf: shardmap.LeafInfo) -> int:
        """Return the allotment of this daemon for a leaf."""
        return self.board.shares.allotments.get(leaf.name, 0)


class Pool(typing.Protocol):
    """Count the open connections to a leaf; implemented by ``LeafPool``."""

    @property
    def open_count(self) -> int:
        """Return how many connections count towards the allotment."""


class Pools(typing.Protocol):
    """Provide the pools of leafs; implemented by ``LeafGateway``."""

    def pool(self, leaf: str) -> Pool | None:
        """Return the pool of a leaf, or None if there is none."""


@dataclasses.dataclass(slots=True)
class PoolShrinkWaiter:
    """Wait until no pool has more connections than its allotment.

    Busy connections are closed after their call, so the wait may take until
    the latest deadline of the calls in flight. ``pools`` is called for each
    check.
    """

    board: blackboard.Blackboard
    pools: abc.Callable[[], Pools]

    async def wait(self) -> None:
        """Return once no pool exceeds its allotment."""
        while True:
            if not self._has_excess():
                return
            await trio.sleep(SHRINK_CHECK_INTERVAL_S)

    def _has_excess(self) -> bool:
        pools = self.pools()
        allotments = self.board.shares.allotments
        return any(
            (pool := pools.pool(leaf)) is not None
            and pool.open_count > allotments.get(leaf, 0)
            for leaf in self.board.settings.leafs
        )
