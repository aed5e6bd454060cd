"""Run the attempts of forwarded requests on leafs.

The gateway takes a connection from the leaf's pool, sends the request in the
dialect of the platform and checks the reply: it must be complete and signed,
and it must not have the id of another request. A reply that fails a check is
returned as an error. A request is sent at most once on a connection, so that
its id also distinguishes a late copy of the reply to an earlier attempt.
"""

import dataclasses
import functools
import math
import typing
from collections import abc

import h11
import result
import trio

from plantainhook import (
    errors,
    forwardtypes,
    httpconnection,
    leafclient,
    leafconnect,
    leaflimits,
    leafnotices,
    leafpools,
    logs,
    metrics,
    querytypes,
    steps,
)

LOGGER: typing.Final = logs.part_logger("forward")
# A request of which no byte was written is sent again on another connection.
SEND_ATTEMPTS_MAX_COUNT: typing.Final = 3
# Leafs that drop idle connections without closing them reset one on which a
# request is sent after 150 ms or more of idle time. The sender can't tell
# whether that request ran.
NON_IDEMPOTENT_IDLE_MAX_S: typing.Final = 0.1

Failure = errors.LeafFailureKind
ReplyResult = result.Result[querytypes.LeafReply, errors.LeafError]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardGateway:
    """Send one forwarded request to leafs; an ``executor.LeafCaller``.

    Pattern: leafs drop idle connections without closing them. A request that
    is not idempotent cannot be sent again after a reset, so it is sent only
    on a connection that was used very recently or is new.

    ``may_run`` returns whether the request may still be sent to a leaf. It is
    called when a connection is free.
    """

    forwarded: forwardtypes.ForwardRequest
    idempotent: bool
    dialect: forwardtypes.Dialect
    pools: leafpools.LeafPools
    limits: leaflimits.LeafLimits
    notices: leafnotices.LeafNotices
    instruments: metrics.LeafMetrics
    failure_log: logs.DecisionLog
    progress: forwardtypes.Progress = dataclasses.field(
        default_factory=forwardtypes.Progress
    )
    may_run: abc.Callable[[], bool] = lambda: True

    async def call(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> ReplyResult:
        """Run one attempt; return the checked reply or the error.

        The items of the reply's only shard are one ``LeafAnswer``.
        """
        started_s = trio.current_time()
        send.delivery.is_sent = False
        try:
            outcome = await self._try_once(request, send)
            for _ in range(SEND_ATTEMPTS_MAX_COUNT - 1):
                if not leafpools.may_resend(outcome):
                    break
                self.instruments.resends.inc()
                outcome = await self._try_once(request, send)
        except Exception as raised:
            # An unexpected error ends the attempt and not the process.
            LOGGER.exception("A call to leaf {} failed.", send.leaf)
            detail = f"{type(raised).__name__}: {raised}"
            outcome = _build_error(send.leaf, detail, Failure.MALFORMED)
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            self.instruments.count_failure(error)
            self.failure_log.log(
                f"Attempt {send.attempt_id} ({send.reason}) of request "
                f"{request.request_id} on leaf {send.leaf} of service "
                f"{send.shards[0]} failed: {error.kind}, ran {error.ran}, "
                f"{error.detail}."
            )
            return outcome
        self.instruments.count_ok(trio.current_time() - started_s)
        shard_result = querytypes.ShardResult(
            send.shards[0], [outcome.ok_value]
        )
        return result.Ok(
            querytypes.LeafReply(
                request.request_id, send.snapshot, (shard_result,)
            )
        )

    async def _try_once(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> result.Result[forwardtypes.LeafAnswer, errors.LeafError]:
        pool = await self.pools.wait_for_pool(send.leaf)
        if pool is None:
            detail = "the leaf is no longer registered"
            return result.Err(
                leafconnect.no_connection_error(send.leaf, detail)
            )
        max_idle_s = math.inf if self.idempotent else NON_IDEMPOTENT_IDLE_MAX_S
        acquired = await pool.acquire(
            send.deadline_s, max_idle_s, request.request_id
        )
        if isinstance(acquired, result.Err):
            return acquired
        connection = acquired.ok_value
        try:
            if not self._may_send(send.leaf):
                detail = "the leaf left or paused before a connection was free"
                return result.Err(
                    leafconnect.no_connection_error(send.leaf, detail)
                )
            if not self.may_run():
                detail = "the key was withdrawn before a connection was free"
                return result.Err(
                    leafconnect.no_connection_error(send.leaf, detail)
                )
            left_ms = int((send.deadline_s - trio.current_time()) * 1000)
            if left_ms <= 0:
                return result.Err(
                    leafconnect.no_connection_error(
                        send.leaf, "the deadline has passed"
                    )
                )
            head = h11.Request(
                method=self.forwarded.method,
                target=self.forwarded.target,
                headers=self.dialect.leaf_headers(
                    self.forwarded, send.leaf, left_ms
                ),
            )
            if self.limits.record_call(
                send.leaf, send.reason, trio.current_time()
            ):
                self.instruments.limited_calls.labels(send.reason).inc()
            self.progress.passed_on = True
            send.delivery.is_sent = True
            connection.record_request(request.request_id, send.deadline_s)
            # No deadline here: the query machine cancels late attempts.
            exchanged = await connection.exchange(
                head, self.forwarded.body, math.inf
            )
            if isinstance(exchanged, result.Err):
                return exchanged
            answer = self.dialect.read_answer(exchanged.ok_value)
            if not self._is_own(answer, connection):
                # The own reply may still follow on this connection.
                connection.phase = httpconnection.Phase.BROKEN
                detail = f"the reply is for request {answer.request_id!r}"
                return _build_error(send.leaf, detail, Failure.MALFORMED)
        finally:
            if connection.phase is httpconnection.Phase.WAITING:
                connection.on_late_reply = functools.partial(
                    self._on_late_reply, send.leaf, connection
                )
            pool.abandon(connection)
        self._apply_notices(send.leaf, answer)
        return self._check_answer(send.leaf, answer)

    def _may_send(self, leaf: str) -> bool:
        """Return whether a leaf still wants a request that had to wait."""
        now_s = trio.current_time()
        return self.pools.may_send(leaf) and self.notices.may_call(leaf, now_s)

    def _on_late_reply(
        self,
        leaf: str,
        connection: leafclient.LeafClient,
        raw: httpconnection.RawReply,
    ) -> None:
        """Apply the notices in the reply to a request that was cancelled.

        Pattern: a leaf refuses a hedge and asks for a pause, while the reply
        to the first attempt arrives. It may refuse no further request.
        """
        answer = self.dialect.read_answer(raw)
        if self._is_own(answer, connection):
            self._apply_notices(leaf, answer)

    def _apply_notices(
        self, leaf: str, answer: forwardtypes.LeafAnswer
    ) -> None:
        if answer.misdirected:
            # These are the notices of another leaf.
            return
        if answer.leaving:
            self.instruments.leaving_replies.inc()
        if answer.pause_s is not None:
            self.instruments.pauses.inc()
        now_s = trio.current_time()
        self.notices.observe(leaf, answer.leaving, answer.pause_s, now_s)
        if answer.cold_left_s > 0.0:
            self.notices.on_cold(leaf, answer.cold_left_s)
        if answer.load is not None:
            self.notices.on_load(leaf, answer.load, now_s)
        self.limits.observe(leaf, answer.limit_per_s, now_s)

    def _is_own(
        self,
        answer: forwardtypes.LeafAnswer,
        connection: leafclient.LeafClient,
    ) -> bool:
        """Return whether a reply may belong to this request.

        Pattern: a leaf sends a second copy of a reply, late, on a connection
        that is in use again. The copy may also be a refusal, which would
        state that this request has not run. A leaf that repeats the id of
        requests on a connection does so in every reply.
        """
        if answer.request_id is None:
            return not connection.echoes_ids
        connection.echoes_ids = True
        return answer.request_id == self.forwarded.request_id

    def _check_answer(
        self, leaf: str, answer: forwardtypes.LeafAnswer
    ) -> result.Result[forwardtypes.LeafAnswer, errors.LeafError]:
        """Return the answer if it is valid for this request, or an error."""
        if answer.misdirected:
            detail = "another leaf has this address"
            return _build_error(
                leaf, detail, Failure.NOT_SERVED, errors.Ran.NO
            )
        if answer.refused:
            detail = f"the leaf refused the request with {answer.status}"
            return _build_error(leaf, detail, Failure.REFUSED, errors.Ran.NO)
        if not answer.is_success():
            detail = f"the leaf answered {answer.status}"
            return _build_error(
                leaf, detail, Failure.MALFORMED, errors.Ran.YES
            )
        if answer.signature is None or answer.encoded:
            detail = "the reply has no signature, or its body is encoded"
            return _build_error(leaf, detail, Failure.MALFORMED)
        return result.Ok(answer)


def _build_error(
    leaf: str,
    detail: str,
    kind: errors.LeafFailureKind,
    ran: errors.Ran = errors.Ran.MAYBE,
) -> result.Err[errors.LeafError]:
    return result.Err(
        errors.LeafError(steps.Step.QUERY_WAIT, leaf, detail, kind, ran)
    )
