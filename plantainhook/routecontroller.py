"""Controller of the route table: adopts each newer configuration.

It is the only writer of ``Blackboard.routes``. A lower version is ignored
whatever its source, so a configuration in force never reverts.
"""

import typing
from collections import abc

from plantainhook import (
    blackboard,
    errors,
    logs,
    objectsource,
    routetable,
)

LOGGER: typing.Final = logs.part_logger("routes")

ReadRoutes = abc.Callable[[object], routetable.RouteTable]


class RouteController:
    """Publish the route table of the configuration in force."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        name: str,
        read_routes: ReadRoutes,
        on_adopted: abc.Callable[[], None],
    ) -> None:
        self._board = board
        self._name = name
        self._read_routes = read_routes
        self._on_adopted = on_adopted

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Take the configuration where there is one."""
        for item in listing.objects:
            self._take(item)

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Take a changed configuration."""
        for change in changes:
            if not change.deleted:
                self._take(change.object)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Keep the configuration in force."""

    def on_available(self) -> None:
        """Keep the configuration in force."""

    def _take(self, item: objectsource.SourceObject) -> None:
        if item.name != self._name:
            return
        try:
            table = self._read_routes(item.spec)
        except ValueError as error:
            LOGGER.error("Configuration cannot be read: {}", error)
            return
        if table.version <= self._board.routes.version:
            return
        LOGGER.info("Configuration {} is in force.", table.version)
        self._board.routes = table
        self._on_adopted()
        self._board.notify(blackboard.Topic.ROUTES)
