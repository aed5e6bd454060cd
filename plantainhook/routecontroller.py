"""Controller of the route table: adopts each newer configuration.

It receives the configurations in the platform's store as an
``objectsource.Consumer`` and is the only writer of ``Blackboard.routes``. A
configuration whose version is not higher than the one in force is ignored,
whether it comes from the store or from a peer, so the routes never revert.
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
    """Publish the route table of the configuration in force.

    ``name`` is the name of the configuration object; others are ignored.
    ``read_routes`` decodes a configuration and raises ValueError if it is
    invalid. ``on_adopted`` is called after a new table is published, before
    waiting tasks are notified.
    """

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
        """Apply the configuration if the store contains one."""
        for item in listing.objects:
            self._apply(item)

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply a changed configuration; a deletion changes nothing."""
        for change in changes:
            if not change.deleted:
                self._apply(change.object)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Do nothing: the configuration in force stays."""

    def on_available(self) -> None:
        """Do nothing: the configuration in force stays."""

    def _apply(self, item: objectsource.SourceObject) -> None:
        if item.name != self._name:
            return
        try:
            table = self._read_routes(item.spec)
        except ValueError as error:
            LOGGER.error("Cannot decode the configuration: {}", error)
            return
        if table.version <= self._board.routes.version:
            return
        LOGGER.info("Configuration {} is in force.", table.version)
        self._board.routes = table
        self._on_adopted()
        self._board.notify(blackboard.Topic.ROUTES)
