"""Estimate the number of daemons among which a limit is divided.

A daemon that is not reached may have ended or may only be cut off from this
one and still use its part of the limit; nothing that can be seen from here
tells the two apart. A lost daemon therefore counts for as long as a cut may
last. A daemon that announced its stop counts only until its last calls have
left the budget window.

For some time after the start, while not all members may be known yet, the
count is at least the minimum fleet size in the options. So it is as long as no
other member was ever seen, because a daemon whose seeds are all down can't
tell whether it is alone. If half of the known members are lost soon after the
start, others may never have become known, and the minimum applies again.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import blackboard, clock

# Longer than the budget window, so that a daemon that has just stopped counts
# as long as its last calls do.
RETENTION_S: typing.Final = 12.0
# As long as ``membertable`` keeps dead members, to which membership tries to
# return.
LOST_RETENTION_S: typing.Final = 900.0
# Longer than it takes to learn all members, and to find that they are lost.
JOIN_S: typing.Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    """Record when a daemon disappeared, and whether it had announced that."""

    at_s: float
    is_planned: bool

    def until_s(self) -> float:
        """Return until when the daemon counts."""
        retention_s = RETENTION_S if self.is_planned else LOST_RETENTION_S
        return self.at_s + retention_s


class FleetSize:
    """Count the daemons of the fleet, with a delay for those that disappear.

    ``min_count`` applies for ``RETENTION_S`` after the start, until another
    daemon was seen, and while at least half of the daemons are lost that were
    up in the first ``JOIN_S``.
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
        self._members: abc.Mapping[int, blackboard.MemberInfo] | None = None
        # Whether each of the daemons that are up drains, by peer address.
        self._up: dict[str, bool] = {}
        self._lost: dict[str, _Loss] = {}
        self._has_met_others = False

    def count(self) -> int:
        """Return the number of daemons that may use a part of a limit.

        It is at least ``min_count`` at first, and at least 1 later.
        """
        known_count = self._known_count()
        if self._may_be_incomplete():
            return max(self._min_count, known_count)
        return known_count

    def unknown_count(self) -> int:
        """Return how many of the counted daemons were never seen."""
        return self.count() - self._known_count()

    def lost_count(self) -> int:
        """Return how many of the counted daemons have disappeared."""
        return self._known_count() - max(1, len(self._up))

    def _known_count(self) -> int:
        self._update()
        return max(1, len(self._up)) + len(self._lost)

    def _update(self) -> None:
        """Record who is up and who has disappeared."""
        now_s = self._clock.now_s()
        if self._board.members is not self._members:
            self._members = self._board.members
            before, self._up = self._up, self._read_up()
            for address, is_draining in before.items():
                self._lost[address] = _Loss(now_s, is_draining)
        self._lost = {
            address: loss
            for address, loss in self._lost.items()
            if address not in self._up and now_s < loss.until_s()
        }

    def _read_up(self) -> dict[str, bool]:
        draining: dict[str, bool] = {}
        for incarnation, member in self._board.members.items():
            if not member.alive:
                continue
            if incarnation != self._board.incarnation:
                self._has_met_others = True
            # A new run at the address of one that stops doesn't stop.
            draining[member.peer_address] = member.draining and draining.get(
                member.peer_address, True
            )
        return draining

    def _may_be_incomplete(self) -> bool:
        """Return whether there may be daemons that were never seen."""
        early_count = sum(
            loss.at_s - self._started_s < JOIN_S and not loss.is_planned
            for loss in self._lost.values()
        )
        return (
            self._clock.now_s() - self._started_s < RETENTION_S
            or not self._has_met_others
            or early_count >= max(1, len(self._up))
        )
