"""Let other tasks run while one connection has many events to handle.

A peer chooses into how many chunks it divides a body, so one read may contain
thousands of events. Without a checkpoint between them, every other task of
the process waits until the last one is handled.
"""

import typing

import trio.lowlevel

# With h11, this many events take less than a millisecond.
EVENTS_PER_TURN_COUNT: typing.Final = 64


class EventTurns:
    """Count the events of one message and yield after a number of them."""

    __slots__ = ("_count",)

    def __init__(self) -> None:
        self._count = 0

    async def count(self) -> None:
        """Count an event; run the other tasks if this turn is over."""
        self._count += 1
        if self._count % EVENTS_PER_TURN_COUNT == 0:
            await trio.lowlevel.checkpoint()
