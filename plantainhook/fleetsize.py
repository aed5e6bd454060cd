"""Number of daemons that share a limit.

A daemon that seems dead may only be cut off from this one and still use its
part, so the count falls only some time after members have gone. Before the
first members are known, the least size that the options state holds.
"""

import typing

from plantainhook import blackboard, clock

# Longer than the budget window, so that the calls of a daemon that has just
# gone still count with it.
MEMORY_S: typing.Final = 12.0


class FleetSize:
    """Count the daemons of the fleet; the count falls slowly."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        time_source: clock.Clock,
        least_count: int,
    ) -> None:
        self._board = board
        self._clock = time_source
        self._least_count = least_count
        self._started_s = time_source.now_s()
        self._seen_s: dict[str, float] = {}

    def count(self) -> int:
        """Return the number of daemons seen within the memory."""
        now_s = self._clock.now_s()
        for member in self._board.members.values():
            if member.alive:
                self._seen_s[member.peer_address] = now_s
        oldest_s = now_s - MEMORY_S
        self._seen_s = {
            address: at_s
            for address, at_s in self._seen_s.items()
            if at_s >= oldest_s
        }
        if now_s - self._started_s < MEMORY_S:
            return max(self._least_count, len(self._seen_s))
        return max(1, len(self._seen_s))
