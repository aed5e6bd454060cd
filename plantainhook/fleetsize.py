"""Estimate the number of daemons among which a limit is divided.

A daemon that appears dead may only be cut off from this one and still use its
part of the limit, so the count falls only some time after a member has
disappeared. For the same time after the start, while not all members may be
known yet, the count is at least the minimum fleet size in the options. So it
is as long as no other member was ever seen: a daemon whose seeds are all down
can't tell whether it is alone.
"""

import typing

from plantainhook import blackboard, clock

# Longer than the budget window, so that a daemon that has just disappeared
# counts as long as its last calls do.
RETENTION_S: typing.Final = 12.0


class FleetSize:
    """Count the daemons of the fleet, with a delay for those that disappear.

    ``min_count`` applies for ``RETENTION_S`` after the start, and until
    another daemon was seen.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        time_source: clock.Clock,
        min_count: int,
    ) -> None:
        self._board = board
        self._clock = time_source
        self._min_count = min_count
        self._started_s = time_source.now_s()
        self._last_seen_s: dict[str, float] = {}
        self._has_met_others = False

    def count(self) -> int:
        """Return the number of daemons seen alive within ``RETENTION_S``.

        It is at least ``min_count`` at first, and at least 1 later.
        """
        now_s = self._clock.now_s()
        for incarnation, member in self._board.members.items():
            if member.alive:
                self._last_seen_s[member.peer_address] = now_s
                if incarnation != self._board.incarnation:
                    self._has_met_others = True
        oldest_s = now_s - RETENTION_S
        self._last_seen_s = {
            address: at_s
            for address, at_s in self._last_seen_s.items()
            if at_s >= oldest_s
        }
        is_new = now_s - self._started_s < RETENTION_S
        if is_new or not self._has_met_others:
            return max(self._min_count, len(self._last_seen_s))
        return max(1, len(self._last_seen_s))

    def unknown_count(self) -> int:
        """Return how many of the counted daemons were never seen."""
        return self.count() - max(1, len(self._last_seen_s))
