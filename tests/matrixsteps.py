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
    blackboard.LifeState.LEAVING: steps.Step.STOP_ANNOUNCE,
    blackboard.LifeState.DRAINING: steps.Step.STOP_DRAIN,
    blackboard.LifeState.STOPPED: steps.Step.STOP_EXIT,
}


class Marker(typing.Protocol):
    """Take note of steps; ``matrixworld.World`` implements it."""

    async def reach(self, step: steps.Step) -> None:
        """Note a step and run its hooks."""

    def reach_soon(self, step: steps.Step) -> None:
        """Reach a step from code that cannot wait."""


def watch_query_steps(world: Marker, running: daemon.Daemon) -> None:
    """Wrap the parts of a daemon that mark the steps of a query."""
    parts = running.service.parts
    offer = parts.gate.queue.offer
    machine = parts.planner.machine
    call = running.router.call
    record = parts.recorder.record

    def watched_offer(*given: typing.Any) -> typing.Any:
        world.reach_soon(steps.Step.QUERY_ADMIT)
        return offer(*given)

    def watched_machine(*given: typing.Any) -> typing.Any:
        world.reach_soon(steps.Step.QUERY_PIN)
        world.reach_soon(steps.Step.QUERY_PLAN)
        return machine(*given)

    async def watched_call(
        request: querytypes.QueryRequest, send: querytypes.Send
    ) -> typing.Any:
        if send.reason is querytypes.AttemptReason.HEDGE:
            await world.reach(steps.Step.QUERY_HEDGE)
        return await call(request, send)

    def watched_record(served: queryservice.Served) -> None:
        world.reach_soon(steps.Step.QUERY_ANSWER)
        record(served)
        world.reach_soon(steps.Step.QUERY_RECORD)

    wrapped: list[tuple[typing.Any, str, typing.Any]] = [
        (parts.gate.queue, "offer", watched_offer),
        (parts.planner, "machine", watched_machine),
        (running.router, "call", watched_call),
        (parts.recorder, "record", watched_record),
    ]
    for part, name, function in wrapped:
        setattr(part, name, function)


def watch_control_steps(world: Marker, running: daemon.Daemon) -> None:
    """Wrap the parts that mark the steps of settings and stops."""
    adopt = running.source.adopt
    release = running.claims.release

    async def watched_adopt(delta: wire.RevisionDelta) -> typing.Any:
        await world.reach(steps.Step.SETTINGS_SPREAD)
        return await adopt(delta)

    def watched_notify(topic: blackboard.Topic) -> None:
        if topic is blackboard.Topic.SETTINGS:
            world.reach_soon(steps.Step.SETTINGS_APPLY)
        if topic is blackboard.Topic.LIFE:
            step = LIFE_STEPS.get(running.board.life)
            if step is not None:
                world.reach_soon(step)

    async def watched_release() -> bool:
        await world.reach(steps.Step.STOP_HAND_OVER)
        return await release()

    source: typing.Any = running.source
    source.adopt = watched_adopt
    claims: typing.Any = running.claims
    claims.release = watched_release
    running.board.listeners.append(watched_notify)
