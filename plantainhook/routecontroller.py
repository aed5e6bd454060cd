"""Controller of the route table: adopts each newer configuration.

It receives the configurations in the platform's store as an
``objectsource.Consumer`` and is the only writer of ``Blackboard.routes``. A
configuration whose version is not higher than the one in force is ignored,
whether it comes from the store or from a peer, so the routes never revert.

Pattern: the store comes back from an older copy and has lost the version in
force. Operators write it again soon after, and until then it stays in force.
If it is still missing after ``objectsource.REWRITE_LIMIT_S``, the version in
the store is adopted, so that all daemons agree on one again.
"""

import typing
from collections import abc

import trio

from plantainhook import (
    blackboard,
    errors,
    logs,
    objectguard,
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
        self._guard = objectguard.ObjectGuard("configuration")
        # When a lower version in the store is adopted, if the store came back.
        self._rewrite_due_s = float("inf")
        # The lower version that the store has since it came back.
        self._restored: routetable.RouteTable | None = None

    def on_restored(self) -> None:
        """Keep the configuration in force until it is written again."""
        self._restored = None
        self._rewrite_due_s = (
            trio.current_time() + objectsource.REWRITE_LIMIT_S
        )

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Apply the configuration if the store contains one."""
        for item in listing.objects:
            self._guard.handle(item, self._apply)

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply a changed configuration; a deletion changes nothing."""
        for change in changes:
            if not change.deleted:
                self._guard.handle(change.object, self._apply)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Do nothing: the configuration in force stays."""

    def on_available(self) -> None:
        """Adopt a lower version if the one in force was not written again."""
        table = self._restored
        if table is None or trio.current_time() < self._rewrite_due_s:
            return
        LOGGER.warning(
            "Configuration {} was not written again after the store came "
            "back; configuration {} replaces it.",
            self._board.routes.version,
            table.version,
        )
        self._adopt(table)

    def _apply(self, item: objectsource.SourceObject) -> None:
        if item.name != self._name:
            return
        table = self._read_routes(item.spec)
        if table.version < self._board.routes.version:
            if self._rewrite_due_s < float("inf"):
                self._restored = table
            return
        if table.version == self._board.routes.version:
            self._end_rewrite()
            return
        self._adopt(table)

    def _end_rewrite(self) -> None:
        self._restored = None
        self._rewrite_due_s = float("inf")

    def _adopt(self, table: routetable.RouteTable) -> None:
        self._end_rewrite()
        LOGGER.info("Configuration {} is in force.", table.version)
        self._board.routes = table
        self._on_adopted()
        self._board.notify(blackboard.Topic.ROUTES)
