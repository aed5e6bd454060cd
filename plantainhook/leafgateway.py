"""Calls from a daemon to leafs, over pooled connections.

``LeafGateway`` takes one attempt of a query and returns the checked reply of
the leaf or a typed error. It keeps one pool per leaf of the settings view,
through ``leafpools``, and reports refusals and lost connections to its
observer.

A call is sent again only if no byte of it was written, because otherwise the
leaf may have run it. When the calling task is cancelled, the request is
cancelled at the leaf in the background.
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

SEND_ATTEMPTS_MAX_COUNT: typing.Final = 3
LOG_LINES_PER_S: typing.Final = 50.0
UNKNOWN_LEAF: typing.Final = "the settings do not contain this leaf"

ReplyResult = result.Result[querytypes.LeafReply, errors.LeafError]


class Observer(typing.Protocol):
    """Receive the failures of calls; ``leafhealth`` implements it."""

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Record that a leaf refused a call, and why."""

    def on_connection_lost(self, leaf: str) -> None:
        """Record that a connection broke or could not be opened."""


class NullObserver:
    """Ignore the failures of calls."""

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Ignore a refusal."""

    def on_connection_lost(self, leaf: str) -> None:
        """Ignore a broken connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Represent the fields that all attempts of a query share.

    ``params`` is JSON text, encoded once per query.
    """

    request_id: str
    kind: str
    fingerprint: str
    params: bytes


def attempt_request_id(request_id: str, attempt_id: int) -> str:
    """Return the request id of one attempt, as the leaf sees it.

    Several attempts of one query may run at the same leaf, and cancelling
    one must not cancel another.
    """
    return f"{request_id}.{attempt_id}"


class LeafGateway:
    """Run attempts on leafs over this daemon's own connections.

    ``allotment_of`` returns how many connections this daemon may open to a
    leaf; it is called after each change of the settings or the shares.
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
        """Return the pool of a leaf, or None if there is none yet."""
        return self._pools.pool(leaf)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Start, change and stop pools with the blackboard until cancelled."""
        await self._pools.run(task_status=task_status)

    async def call(
        self,
        leaf: str,
        send: querytypes.Send,
        fields: RequestFields,
        deadline_s: float,
    ) -> ReplyResult:
        """Run one attempt and return the reply under the id of the query.

        ``deadline_s`` is on the trio clock. If the calling task is
        cancelled, the request is cancelled at the leaf in the background.
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
            self._report_failure(leaf, outcome.err_value)
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
        """Run a reader of the state endpoints on a connection to a leaf."""
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
        """Send a call; repeat it while none of its bytes were written."""
        pool = self._pools.pool(leaf)
        if pool is None:
            return result.Err(
                leafconnect.no_connection_error(leaf, UNKNOWN_LEAF)
            )
        outcome = await self._try_once(pool, call)
        for _ in range(SEND_ATTEMPTS_MAX_COUNT - 1):
            if not leafpools.may_resend(outcome):
                break
            self._metrics.resends.inc()
            self._decisions.log(
                f"Request {call.request_id} is sent to leaf {leaf} again: its "
                "connection broke before any byte was written."
            )
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
                self._decisions.log(
                    f"Request {cancel_id} at leaf {pool.leaf} is cancelled."
                )
            pool.abandon(client, cancel_id)

    def _report_failure(self, leaf: str, error: errors.LeafError) -> None:
        """Count a failure; report it if it shows something about the leaf."""
        self._metrics.count_failure(error)
        if isinstance(error, leafclient.RefusedError):
            self.observer.on_refusal(leaf, error.reason)
        elif error.kind in (
            errors.LeafFailureKind.CONNECTION_LOST,
            errors.LeafFailureKind.CONNECT,
        ):
            self.observer.on_connection_lost(leaf)
