"""Calls from a daemon to leafs: ``LeafGateway`` hides pools and clients.

The gateway keeps one pool per leaf of the settings view. It follows changes
of the settings and of the shares. A call is sent again only where no byte of
the first try was written. A call whose caller is cancelled is cancelled at
the leaf in the background.
"""

import dataclasses
import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    errors,
    httpconnection,
    leafclient,
    leafconnect,
    leafpool,
    leafpools,
    leafprotocol,
    leaftransport,
    logs,
    metrics,
    querytypes,
)

SEND_TRIES_COUNT: typing.Final = 3
LOG_LINES_PER_S: typing.Final = 50.0
UNKNOWN_LEAF: typing.Final = "the settings have no such leaf"

ReplyResult = result.Result[querytypes.LeafReply, errors.LeafError]


class Observer(typing.Protocol):
    """Learn from calls; ``leafhealth`` implements it."""

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Take note of a refusal."""

    def on_connection_lost(self, leaf: str) -> None:
        """Take note of a broken connection or a failed connect."""


class NullObserver:
    """Ignore what calls tell."""

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Ignore a refusal."""

    def on_connection_lost(self, leaf: str) -> None:
        """Ignore a broken connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Hold the fields that all attempts of a query share.

    ``params`` is JSON text, encoded once per query.
    """

    request_id: str
    kind: str
    fingerprint: str
    params: bytes


def attempt_request_id(request_id: str, attempt_id: int) -> str:
    """Return the id of an attempt on the wire.

    Attempts of one query may be at the same leaf, and cancelling one must
    not cancel another.
    """
    return f"{request_id}.{attempt_id}"


class LeafGateway:
    """Run attempts on leafs.

    ``allotment_of`` returns how many connections this daemon may open to a
    leaf; it is asked again after each change of the settings or the shares.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        allotment_of: leafpools.AllotmentOf,
        instruments: metrics.LeafMetrics,
        rng: random.Random,
        connector: leaftransport.Connector = leaftransport.connect,
        options: leafconnect.PoolOptions | None = None,
        observer: Observer | None = None,
    ) -> None:
        self._metrics = instruments
        self._decisions = logs.DecisionLog(
            logs.part_logger("leafwork"), clock.TrioClock(), LOG_LINES_PER_S
        )
        self._pools = leafpools.LeafPools(
            board, allotment_of, instruments, rng, connector, options
        )
        self.observer: Observer = observer or NullObserver()

    def pool(self, leaf: str) -> leafpool.LeafPool | None:
        """Return the pool of a leaf."""
        return self._pools.pool(leaf)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the pools in step with the blackboard until cancelled."""
        await self._pools.run(task_status=task_status)

    async def call(
        self,
        leaf: str,
        send: querytypes.Send,
        fields: RequestFields,
        deadline_s: float,
    ) -> ReplyResult:
        """Run one attempt; the reply carries the id of the query.

        ``deadline_s`` is on the trio clock. After cancellation of the
        calling task the leaf is told to stop in the background.
        """
        started_s = trio.current_time()
        outcome = await self._call(
            leaf,
            leafclient.LeafCall(
                request_id=attempt_request_id(
                    fields.request_id, send.attempt_id
                ),
                kind=fields.kind,
                fingerprint=fields.fingerprint,
                snapshot=send.snapshot,
                shards=send.shards,
                params=fields.params,
                deadline_s=deadline_s,
            ),
        )
        if isinstance(outcome, result.Err):
            self._on_failure(leaf, outcome.err_value)
            return outcome
        self._metrics.count_ok(trio.current_time() - started_s)
        reply = outcome.ok_value
        return result.Ok(
            querytypes.LeafReply(
                fields.request_id, reply.snapshot, reply.results
            )
        )

    async def read_state(
        self,
        leaf: str,
        read: abc.Callable[
            [leafclient.LeafClient],
            abc.Awaitable[httpconnection.LeafResult[None]],
        ],
        deadline_s: float,
    ) -> httpconnection.LeafResult[None]:
        """Lend a connection to a reader of the state endpoints."""
        pool = self._pools.pool(leaf)
        if pool is None:
            return result.Err(
                leafconnect.no_connection_error(leaf, UNKNOWN_LEAF)
            )
        pool.sweep()
        acquired = await pool.acquire(deadline_s)
        if isinstance(acquired, result.Err):
            return acquired
        try:
            return await read(acquired.ok_value)
        finally:
            pool.abandon(acquired.ok_value)

    async def _call(self, leaf: str, call: leafclient.LeafCall) -> ReplyResult:
        pool = self._pools.pool(leaf)
        if pool is None:
            return result.Err(
                leafconnect.no_connection_error(leaf, UNKNOWN_LEAF)
            )
        outcome = await self._try_once(pool, call)
        for _ in range(SEND_TRIES_COUNT - 1):
            if not leafpools.may_resend(outcome):
                break
            self._metrics.resends.inc()
            self._decisions.log(f"{call.request_id} to {leaf} again.")
            outcome = await self._try_once(pool, call)
        return outcome

    async def _try_once(
        self, pool: leafpool.LeafPool, call: leafclient.LeafCall
    ) -> ReplyResult:
        acquired = await pool.acquire(call.deadline_s)
        if isinstance(acquired, result.Err):
            return acquired
        client = acquired.ok_value
        cancel_id = call.request_id
        try:
            outcome = await client.search(call)
            cancel_id = ""
            return outcome
        finally:
            if cancel_id:
                self._decisions.log(f"{cancel_id} at {pool.leaf} cancelled.")
            pool.abandon(client, cancel_id)

    def _on_failure(self, leaf: str, error: errors.LeafError) -> None:
        self._metrics.count_failure(error)
        if isinstance(error, leafclient.RefusedError):
            self.observer.on_refusal(leaf, error.reason)
        elif error.kind in (
            errors.LeafFailureKind.CONNECTION_LOST,
            errors.LeafFailureKind.CONNECT,
        ):
            self.observer.on_connection_lost(leaf)
