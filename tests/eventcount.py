"""Count the HTTP events that are handled while other tasks wait."""

import contextlib
import typing
from collections import abc
from unittest import mock

import h11
import trio.lowlevel


class EventCounter:
    """Count the events of h11 connections, in all and between two turns."""

    def __init__(self) -> None:
        self.total_count = 0
        self.longest_turn_count = 0
        self._turn_count = 0

    def add(self) -> None:
        """Count an event."""
        self.total_count += 1
        self._turn_count += 1
        self.longest_turn_count = max(
            self.longest_turn_count, self._turn_count
        )

    async def watch(self) -> None:
        """Begin a new turn each time this task runs, until cancelled."""
        while True:
            self._turn_count = 0
            await trio.lowlevel.checkpoint()


@contextlib.contextmanager
def counting() -> abc.Iterator[EventCounter]:
    """Count the events of all h11 connections."""
    counter = EventCounter()
    next_event = h11.Connection.next_event

    def count_event(connection: h11.Connection) -> typing.Any:
        counter.add()
        return next_event(connection)

    with mock.patch.object(h11.Connection, "next_event", count_event):
        yield counter
