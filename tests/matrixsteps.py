"""Record the steps that a daemon reaches, for the matrix cluster.

The methods of a running daemon's objects are replaced by wrappers that notify
a ``StepTracer`` and then call the original, so the code under test needs no
hooks for tests.
"""

import typing

from plantainhook import (
    blackboard,
    daemon,
    queryservice,
    querytypes,
    steps,
    wire,
)

LIFECYCLE_STEPS: typing.Final = {
    blackboard.LifecycleState.LEAVING: steps.Step.STOP_ANNOUNCE,
    blackboard.LifecycleState.DRAINING: steps.Step.STOP_DRAIN,
    blackboard.LifecycleState.STOPPED: steps.Step.STOP_EXIT,
}


class StepTracer(typing.Protocol):
    """Record steps; ``matrixcluster.Cluster`` implements it."""

    async def record_step(self, step: steps.Step) -> None:
        """Record that a step is reached, and run its hooks."""

    def record_step_soon(self, step: steps.Step) -> None:
        """Record a step from code that is not async, in a new task."""


def instrument_query_steps(tracer: StepTracer, running: daemon.Daemon) -> None:
    """Wrap the methods that a daemon calls at the steps of a query."""
    dependencies = running.service.dependencies
    offer = dependencies.gate.queue.offer
    build_machine = dependencies.planner.build_machine
    call = running.router.call
    record = dependencies.recorder.record

    def traced_offer(*args: typing.Any) -> typing.Any:
        tracer.record_step_soon(steps.Step.QUERY_ADMIT)
        return offer(*args)

    def traced_build_machine(*args: typing.Any) -> typing.Any:
        tracer.record_step_soon(steps.Step.QUERY_PIN)
        tracer.record_step_soon(steps.Step.QUERY_PLAN)
        return build_machine(*args)

    async def traced_call(
        request: querytypes.QueryRequest, send: querytypes.Send
    ) -> typing.Any:
        if send.reason is querytypes.AttemptReason.HEDGE:
            await tracer.record_step(steps.Step.QUERY_HEDGE)
        return await call(request, send)

    def traced_record(answered: queryservice.AnsweredRequest) -> None:
        tracer.record_step_soon(steps.Step.QUERY_ANSWER)
        record(answered)
        tracer.record_step_soon(steps.Step.QUERY_RECORD)

    wrappers: list[tuple[typing.Any, str, typing.Any]] = [
        (dependencies.gate.queue, "offer", traced_offer),
        (dependencies.planner, "build_machine", traced_build_machine),
        (running.router, "call", traced_call),
        (dependencies.recorder, "record", traced_record),
    ]
    for owner, name, function in wrappers:
        setattr(owner, name, function)


def instrument_control_steps(
    tracer: StepTracer, running: daemon.Daemon
) -> None:
    """Wrap the methods called at the steps of settings and of a stop."""
    adopt = running.source.adopt
    release = running.claims.release

    async def traced_adopt(delta: wire.RevisionDelta) -> typing.Any:
        await tracer.record_step(steps.Step.SETTINGS_SPREAD)
        return await adopt(delta)

    def traced_notify(topic: blackboard.Topic) -> None:
        if topic is blackboard.Topic.SETTINGS:
            tracer.record_step_soon(steps.Step.SETTINGS_APPLY)
        if topic is blackboard.Topic.LIFE:
            step = LIFECYCLE_STEPS.get(running.board.lifecycle)
            if step is not None:
                tracer.record_step_soon(step)

    async def traced_release() -> bool:
        await tracer.record_step(steps.Step.STOP_HAND_OVER)
        return await release()

    source: typing.Any = running.source
    source.adopt = traced_adopt
    claims: typing.Any = running.claims
    claims.release = traced_release
    running.board.listeners.append(traced_notify)
