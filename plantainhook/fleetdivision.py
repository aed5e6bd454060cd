"""Divide the connections and extra calls of leafs among the daemons.

It holds the size of the fleet, the choice of the gatherers and the shares of
this daemon, and keeps the counts of daemons on which they depend up to date.
"""

import typing

import trio

from plantainhook import (
    blackboard,
    callershares,
    clock,
    fleetsize,
    gatherers,
    logs,
    shardmap,
)

LOGGER: typing.Final = logs.part_logger("daemon")
# Fraction of a leaf's connection limit that is divided among the daemons.
DIVIDED_CONNECTIONS_RATIO: typing.Final = 0.9


class FleetDivision:
    """Determine what this daemon may use of each leaf.

    ``fleet_least_count`` is the least number of daemons that is assumed.
    ``has_branches`` states whether daemons gather queries in branches.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        data_centre: str,
        fleet_least_count: int,
        has_branches: bool,
        time_source: clock.Clock,
    ) -> None:
        self.board = board
        self.fleet = fleetsize.FleetSize(board, time_source, fleet_least_count)
        self.gatherer_choice = gatherers.GathererChoice(
            board, gatherers.GathererOptions()
        )
        self.shares = callershares.CallerShares(
            board, data_centre, self.gatherer_choice, has_branches, time_source
        )
        self.shares.counts = callershares.FleetCounts(
            self.fleet.count(), 0, self.fleet.unknown_count()
        )

    def allotment_of(self, info: shardmap.LeafInfo) -> int:
        """Return how many connections this daemon may open to a leaf."""
        divided = info.connection_limit_count * DIVIDED_CONNECTIONS_RATIO
        return max(1, int(divided / self._count_daemons(info.service)))

    def _count_daemons(self, service: str) -> int:
        """Return how many daemons may open connections to a service."""
        if service in self.board.routes.gathered_services:
            return self.shares.counts.callers_count()
        return self.shares.counts.fleet_count

    async def run(self) -> None:
        """Update the fleet counts, on which the allotments depend."""
        while True:
            with trio.move_on_after(1.0):
                await self.board.change_event(blackboard.Topic.MEMBERS).wait()
            fleet_counts = callershares.FleetCounts(
                self.fleet.count(),
                self.gatherer_choice.count(),
                self.fleet.unknown_count(),
                self.fleet.lost_count(),
            )
            is_changed = fleet_counts != self.shares.counts
            self.shares.counts = fleet_counts
            self.shares.refresh(
                self.board.routes.gathered_services
                | self.board.routes.services.keys()
            )
            if is_changed:
                LOGGER.info(
                    "The fleet has {} daemons, of which {} gather (0: all) "
                    "and {} can't be reached.",
                    fleet_counts.fleet_count,
                    fleet_counts.gatherers_count,
                    fleet_counts.lost_count,
                )
                self.board.notify(blackboard.Topic.SHARES)
            await trio.sleep(0.2)
