"""Share processor time between connections that send tiny pieces.

Parsing costs a fixed time for each piece, whatever its size, so a client can
cause much work with few bytes. Connections that do so take turns: one pass of
the event loop contains the turn of one of them, whatever their number.
"""

import typing

import trio

# With h11, this many events take less than half a millisecond.
EVENTS_PER_TURN_COUNT: typing.Final = 32
# A message is judged after so many pieces.
JUDGED_AFTER_COUNT: typing.Final = 16
TINY_PIECE_BYTES: typing.Final = 64


class FairTurns:
    """Give turns to the connections of a process, first in, first out.

    Pattern: hundreds of bodies in chunks of one byte. If each is parsed for a
    while in each pass of the event loop, a pass takes over half a second, and
    ordinary requests need many passes.
    """

    def __init__(self) -> None:
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for a turn; it lasts until the caller's next checkpoint."""
        # The lock wakes its next waiter in the next pass of the event loop.
        async with self._lock:
            pass


class Pieces:
    """Count the pieces in which one message arrives."""

    __slots__ = ("_bytes", "_count")

    def __init__(self) -> None:
        self._count = 0
        self._bytes = 0

    def add(self, piece_bytes: int) -> None:
        """Count a piece."""
        self._count += 1
        self._bytes += piece_bytes

    def are_tiny(self) -> bool:
        """Return whether the average piece is tiny."""
        return (
            self._count >= JUDGED_AFTER_COUNT
            and self._bytes < self._count * TINY_PIECE_BYTES
        )
