"""Marks the steps that a daemon passes, for the matrix world.

The parts of a daemon are wrapped in place, so the code under test has no
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

LIFE_STEPS: typing.Final = {
    blackboard.LifecycleState.LEAVING: steps.Step.STOP_ANNOUNCE,
    blackboard.LifecycleState.DRAINING: steps.Step.STOP_DRAIN,
    blackboard.LifecycleState.STOPPED: steps.Step.STOP_EXIT,
}


class StepTracer(typing.Protocol):
    """Take note of steps; ``matrixworld.Cluster`` implements it."""

    async def record_step(self, step: steps.Step) -> None:
        """Note a step and run its hooks."""

    def record_step_soon(self, step: steps.Step) -> None:
        """Reach a step from code that cannot wait."""


def instrument_query_steps(world: StepTracer, running: daemon.Daemon) -> None:
    """Wrap the parts of a daemon that mark the steps of a query."""
    parts = running.service.dependencies
    offer = parts.gate.queue.offer
    machine = parts.planner.build_machine
    call = running.router.call
    record = parts.recorder.record

    def watched_offer(*given: typing.Any) -> typing.Any:
        world.record_step_soon(steps.Step.QUERY_ADMIT)
        return offer(*given)

    def watched_machine(*given: typing.Any) -> typing.Any:
        world.record_step_soon(steps.Step.QUERY_PIN)
        world.record_step_soon(steps.Step.QUERY_PLAN)
        return machine(*given)

    async def watched_call(
        request: querytypes.QueryRequest, send: querytypes.Send
    ) -> typing.Any:
        if send.reason is querytypes.AttemptReason.HEDGE:
            await world.record_step(steps.Step.QUERY_HEDGE)
        return await call(request, send)

    def watched_record(served: queryservice.AnsweredRequest) -> None:
        world.record_step_soon(steps.Step.QUERY_ANSWER)
        record(served)
        world.record_step_soon(steps.Step.QUERY_RECORD)

    wrapped: list[tuple[typing.Any, str, typing.Any]] = [
        (parts.gate.queue, "offer", watched_offer),
        (parts.planner, "build_machine", watched_machine),
        (running.router, "call", watched_call),
        (parts.recorder, "record", watched_record),
    ]
    for part, name, function in wrapped:
        setattr(part, name, function)


def instrument_control_steps(
    world: StepTracer, running: daemon.Daemon
) -> None:
    """Wrap the parts that mark the steps of settings and stops."""
    adopt = running.source.adopt
    release = running.claims.release

    async def watched_adopt(delta: wire.RevisionDelta) -> typing.Any:
        await world.record_step(steps.Step.SETTINGS_SPREAD)
        return await adopt(delta)

    def watched_notify(topic: blackboard.Topic) -> None:
        if topic is blackboard.Topic.SETTINGS:
            world.record_step_soon(steps.Step.SETTINGS_APPLY)
        if topic is blackboard.Topic.LIFE:
            step = LIFE_STEPS.get(running.board.lifecycle)
            if step is not None:
                world.record_step_soon(step)

    async def watched_release() -> bool:
        await world.record_step(steps.Step.STOP_HAND_OVER)
        return await release()

    source: typing.Any = running.source
    source.adopt = watched_adopt
    claims: typing.Any = running.claims
    claims.release = watched_release
    running.board.listeners.append(watched_notify)
