"""Divide the limits of a service among the daemons that call it.

A daemon does not see the calls of others, so each uses only its part of a
limit. With helpers (``gathersplit``), the shards of a service are called by
the daemons in the data centres of its leafs. Others call them only if no
helper can be reached or knows them, or if a branch would not pay.

Pattern: the leafs of a shard are slow, and hedges and retries decide whether
a query is complete. If the limit were divided among all daemons, the parts of
those that hardly ever call the service would be wasted.

Pattern: some members can't be reached. They may be alive on the other side of
a cut, where they choose helpers and gatherers of their own. Each side then
divides only its own part of the limit, in proportion to its daemons.

The parts add up to the limit at any moment, but a limit holds for a window.
The calls that others made with their earlier parts still count in it, so a
larger part is used only after it has been due for ``RETENTION_S``.
"""

import collections
import typing
from collections import abc

from plantainhook import blackboard, clock, gatherers, shardmap

# Part of a limit for the daemons in data centres without a leaf of the
# service.
DISTANT_RATIO: typing.Final = 0.15
# Part of a limit for the daemons of a large fleet that are not gatherers. They
# call shards only if no gatherer takes their requests.
NO_GATHERER_RATIO: typing.Final = 0.05
# Longer than the budget window and than the time in which all daemons learn of
# a change.
RETENTION_S: typing.Final = 12.0


class FleetCounts(typing.NamedTuple):
    """Represent the numbers of daemons among which limits are divided.

    ``gatherers_count`` is 0 if all daemons gather. ``unknown_count`` is how
    many of the fleet are only assumed, because this daemon has just started or
    has met no other. ``lost_count`` is how many can't be reached but may be
    alive. ``gatherers_count`` has neither.
    """

    fleet_count: int
    gatherers_count: int
    unknown_count: int = 0
    lost_count: int = 0

    def callers_count(self) -> int:
        """Return the number of daemons that call shards.

        Lost members are taken to choose as many gatherers as this side.
        """
        if not self.gatherers_count:
            return self.fleet_count
        return round(self.gatherers_count * self.sides_ratio())

    def sides_ratio(self) -> float:
        """Return how many times larger the fleet is than this side of it."""
        return self.fleet_count / max(1, self.fleet_count - self.lost_count)


class RecentMaximum:
    """Return the largest of the values of the last ``RETENTION_S``."""

    def __init__(self) -> None:
        # Values in descending order, each with the time at which it was
        # current last.
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def update(self, value: float, now_s: float) -> float:
        """Record the current value; return the maximum."""
        values = self._values
        while values and values[-1][0] <= value:
            values.pop()
        values.append((value, now_s))
        while values[0][1] < now_s - RETENTION_S:
            values.popleft()
        return values[0][0]


class CallerShares:
    """Return among how many daemons a limit of a service is divided.

    The owner updates ``counts`` and calls ``refresh`` about once a second,
    also while there are no calls.
    """

    counts: FleetCounts

    def __init__(
        self,
        board: blackboard.Blackboard,
        data_centre: str,
        choice: gatherers.GathererChoice,
        uses_helpers: bool,
        time_source: clock.Clock,
    ) -> None:
        self.counts = FleetCounts(1, 0)
        self._board = board
        self._data_centre = data_centre
        self._choice = choice
        self._uses_helpers = uses_helpers
        self._clock = time_source
        self._leafs: dict[str, shardmap.LeafInfo] = {}
        self._data_centres: dict[str, set[str]] = {}
        self._maxima: dict[str, RecentMaximum] = {}

    def divisor(self, service: str) -> float:
        """Return the number by which this daemon divides a limit.

        It is the largest that was due in the last ``RETENTION_S``. Daemons
        that are only assumed have made no calls, so they count no longer than
        they are assumed.
        """
        counts = self.counts
        known = counts._replace(
            fleet_count=counts.fleet_count - counts.unknown_count
        )
        maximum = self._maxima.setdefault(service, RecentMaximum())
        recent = maximum.update(
            self._due_divisor(service, known), self._clock.now_s()
        )
        if not counts.unknown_count:
            return recent
        return max(recent, self._due_divisor(service, counts))

    def refresh(self, services: abc.Collection[str]) -> None:
        """Record the parts that are due; forget all other services."""
        self._maxima = {
            service: maximum
            for service, maximum in self._maxima.items()
            if service in services
        }
        for service in services:
            self.divisor(service)

    def _due_divisor(self, service: str, counts: FleetCounts) -> float:
        """Return the divisor that belongs to a fleet and the present leafs."""
        if service not in self._board.routes.gathered_services:
            return counts.fleet_count
        side_count = counts.fleet_count - counts.lost_count
        return self._side_divisor(service, side_count) * counts.sides_ratio()

    def _side_divisor(self, service: str, fleet_count: int) -> float:
        """Return the divisor among the members that can be reached."""
        callers = self._choice.by_data_centre()
        known_count = sum(len(members) for members in callers.values())
        used_ratio = 1.0
        if self.counts.gatherers_count:
            used_ratio -= NO_GATHERER_RATIO
            if not self._is_gatherer(callers):
                others_count = fleet_count - known_count
                return max(1, others_count) / NO_GATHERER_RATIO
        all_count = max(
            self.counts.gatherers_count or fleet_count, known_count
        )
        if not self._uses_helpers:
            return all_count / used_ratio
        near = self._data_centres_of(service)
        near_count = sum(
            len(members) for name, members in callers.items() if name in near
        )
        if not 0 < near_count < all_count:
            return all_count / used_ratio
        if self._data_centre in near:
            # A daemon that is not known yet may be near too.
            near_count += all_count - known_count
            return near_count / (1.0 - DISTANT_RATIO) / used_ratio
        return (all_count - near_count) / DISTANT_RATIO / used_ratio

    def _is_gatherer(
        self, callers: abc.Mapping[str, list[blackboard.MemberInfo]]
    ) -> bool:
        return any(
            member.incarnation == self._board.incarnation
            for member in callers.get(self._data_centre, ())
        )

    def _data_centres_of(self, service: str) -> set[str]:
        """Return the data centres that have a leaf of a service."""
        leafs = self._board.settings.leafs
        if leafs is not self._leafs:
            self._leafs = leafs
            self._data_centres = {}
            for info in leafs.values():
                self._data_centres.setdefault(info.service, set()).add(
                    info.data_centre
                )
        return self._data_centres.get(service, set())
