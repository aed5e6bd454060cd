"""Run async tests on virtual time, which jumps to the next deadline."""

import typing
from collections import abc

import trio
import trio.testing

T = typing.TypeVar("T")


def run(main: abc.Callable[[], abc.Awaitable[T]]) -> T:
    """Run an async function on virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
