"""Run a query machine against leafs.

The machine decides. The executor carries out its actions with trio tasks and
passes replies, failures and timer expiries back to it until it finishes. When
the query ends, attempts that are still open are cancelled, so no leaf works
for a caller that has its answer or has disconnected.
"""

import collections
import dataclasses
import math
import typing
from collections import abc

import result
import trio

from plantainhook import clock, errors, querytypes, steps

AttemptResult = result.Result[querytypes.LeafReply, errors.LeafError]
Outcome = querytypes.Answer | errors.RefusalError


class LeafCaller(typing.Protocol):
    """Send an attempt to a leaf, directly or through a peer."""

    async def call(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> AttemptResult:
        """Return the reply of the leaf or the failure of the call."""


class Machine(typing.Protocol):
    """Decide one query; ``query.QueryMachine`` implements it."""

    def start(self, now_s: float) -> abc.Sequence[querytypes.Action]:
        """Return the first actions."""

    def on_reply(
        self, attempt_id: int, reply: querytypes.LeafReply, now_s: float
    ) -> abc.Sequence[querytypes.Action]:
        """Handle the reply to an attempt."""

    def on_failure(
        self, attempt_id: int, failure: errors.LeafError, now_s: float
    ) -> abc.Sequence[querytypes.Action]:
        """Handle the failure of an attempt."""

    def on_timer(self, now_s: float) -> abc.Sequence[querytypes.Action]:
        """Handle the expiry of the timer that was set last."""

    def on_cancel(self, now_s: float) -> abc.Sequence[querytypes.Action]:
        """Close all attempts, because nobody waits for the query."""


@dataclasses.dataclass(slots=True)
class _RunningQuery:
    """Track the state of one running query.

    ``results`` queues the results of attempts, ``arrived`` is set with each,
    and ``scopes`` holds the cancel scopes of open attempts by attempt id.
    """

    request: querytypes.QueryRequest
    caller: LeafCaller
    clock: clock.Clock
    nursery: trio.Nursery
    results: collections.deque[tuple[int, AttemptResult]] = dataclasses.field(
        default_factory=collections.deque
    )
    arrived: trio.Event = dataclasses.field(default_factory=trio.Event)
    scopes: dict[int, trio.CancelScope] = dataclasses.field(
        default_factory=dict
    )
    timer_s: float = math.inf
    outcome: Outcome | None = None

    def carry_out(self, actions: abc.Iterable[querytypes.Action]) -> None:
        """Carry out the actions of the machine in order."""
        for action in actions:
            match action:
                case querytypes.Send():
                    scope = trio.CancelScope()
                    self.scopes[action.attempt_id] = scope
                    self.nursery.start_soon(self.run_attempt, action, scope)
                case querytypes.Cancel():
                    open_scope = self.scopes.get(action.attempt_id)
                    if open_scope is not None:
                        open_scope.cancel()
                case querytypes.SetTimer():
                    self.timer_s = action.at_s
                case querytypes.Finish():
                    self.outcome = action.outcome

    async def run_attempt(
        self, send: querytypes.Send, scope: trio.CancelScope
    ) -> None:
        """Run one attempt and queue its result unless it is cancelled."""
        with scope:
            send.delivery.is_sent = True
            attempt_result = await self.caller.call(self.request, send)
            self.results.append((send.attempt_id, attempt_result))
            self.arrived.set()
        self.scopes.pop(send.attempt_id, None)


async def run_query(
    machine: Machine,
    request: querytypes.QueryRequest,
    caller: LeafCaller,
    run_clock: clock.Clock,
) -> Outcome:
    """Run a query until it finishes; return its answer or refusal."""
    async with trio.open_nursery() as nursery:
        run = _RunningQuery(request, caller, run_clock, nursery)
        try:
            run.carry_out(machine.start(run_clock.now_s()))
            while run.outcome is None:
                await _next_event(machine, run)
        finally:
            # The policies that all queries share count its open attempts.
            machine.on_cancel(run_clock.now_s())
        nursery.cancel_scope.cancel()
    if run.outcome is None:
        raise errors.PlantainhookError(
            steps.Step.QUERY_WAIT, "executor", "the query has no outcome"
        )
    return run.outcome


async def _next_event(machine: Machine, run: _RunningQuery) -> None:
    if not run.results:
        run.arrived = trio.Event()
        with trio.move_on_at(run.timer_s):
            await run.arrived.wait()
    now_s = run.clock.now_s()
    if not run.results:
        run.timer_s = math.inf
        run.carry_out(machine.on_timer(now_s))
        return
    attempt_id, attempt_result = run.results.popleft()
    if attempt_result.is_ok():
        reply = attempt_result.unwrap()
        run.carry_out(machine.on_reply(attempt_id, reply, now_s))
    else:
        failure = attempt_result.unwrap_err()
        run.carry_out(machine.on_failure(attempt_id, failure, now_s))
