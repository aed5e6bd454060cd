"""Divide the limits of a service among the daemons that call it.

A daemon does not see the calls of others, so each uses only its part of a
limit. With helpers (``gathersplit``), the shards of a service are called by
the daemons in the data centres of its leafs. Others call them only if no
helper can be reached or knows them, or if a branch would not pay.

Pattern: the leafs of a shard are slow, and hedges and retries decide whether
a query is complete. If the limit were divided among all daemons, the parts of
those that hardly ever call the service would be wasted.
"""

import typing

from plantainhook import blackboard, clock, gatherers, shardmap

# Part of a limit for the daemons in data centres without a leaf of the
# service.
DISTANT_RATIO: typing.Final = 0.15
# A data centre counts as one of a service's for this time after its last leaf
# has left, because earlier calls still count in the budget window.
RETENTION_S: typing.Final = 12.0


class FleetCounts(typing.NamedTuple):
    """Represent the numbers of daemons among which limits are divided.

    ``gatherers_count`` is 0 if all daemons gather.
    """

    fleet_count: int
    gatherers_count: int

    def callers_count(self) -> int:
        """Return the number of daemons that call shards."""
        return self.gatherers_count or self.fleet_count


class CallerShares:
    """Return among how many daemons a limit of a service is divided.

    The owner updates ``counts``.
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
        self._present: dict[str, set[str]] = {}
        self._left_s: dict[str, dict[str, float]] = {}

    def divisor(self, service: str) -> float:
        """Return the number by which this daemon divides a limit."""
        if service not in self._board.routes.gathered_services:
            return self.counts.fleet_count
        all_count = self.counts.callers_count()
        if not self._uses_helpers:
            return all_count
        near = self._data_centres(service)
        near_count = sum(
            len(members)
            for name, members in self._choice.by_data_centre().items()
            if name in near
        )
        if not 0 < near_count < all_count:
            return all_count
        if self._data_centre in near:
            return near_count / (1.0 - DISTANT_RATIO)
        return (all_count - near_count) / DISTANT_RATIO

    def _data_centres(self, service: str) -> set[str]:
        """Return the data centres that have or recently had a leaf."""
        self._update()
        now_s = self._clock.now_s()
        recent = {
            name
            for name, left_s in self._left_s.get(service, {}).items()
            if now_s - left_s < RETENTION_S
        }
        return self._present.get(service, set()) | recent

    def _update(self) -> None:
        """Note which data centres have lost their last leaf of a service."""
        leafs = self._board.settings.leafs
        if leafs is self._leafs:
            return
        self._leafs = leafs
        before, self._present = self._present, {}
        for info in leafs.values():
            self._present.setdefault(info.service, set()).add(info.data_centre)
        now_s = self._clock.now_s()
        for service, data_centres in before.items():
            for name in data_centres - self._present.get(service, set()):
                self._left_s.setdefault(service, {})[name] = now_s
