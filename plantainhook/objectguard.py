"""Handle the objects of a store so that one that fails affects no other.

Any writer may add objects to a store, and the code that handles them may have
faults that only some content reveals. Each consumer passes its objects through
an ``ObjectGuard``, one by one, so that an error costs the object that caused
it. It is handled again when it is delivered again, and logged once a revision.
"""

import collections
import typing
from collections import abc

from plantainhook import logs, objectsource

LOGGER: typing.Final = logs.part_logger("store")
# Beyond this, the error that is oldest may be logged again.
FAILED_MAX_COUNT: typing.Final = 1000


class ObjectGuard:
    """Handle the objects of one kind, and log those that fail."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        # The revisions at which objects failed last, by name.
        self._failed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def handle(
        self,
        item: objectsource.SourceObject,
        handler: abc.Callable[[objectsource.SourceObject], None],
    ) -> None:
        """Call a handler with an object; log the exception that it raises."""
        try:
            handler(item)
        except Exception as error:
            if self._record(item):
                self._log(item, error)
            return
        self._failed.pop(item.name, None)

    def _record(self, item: objectsource.SourceObject) -> bool:
        """Record a failure; return whether it is new."""
        is_new = self._failed.get(item.name) != item.revision
        self._failed[item.name] = item.revision
        if len(self._failed) > FAILED_MAX_COUNT:
            self._failed.popitem(last=False)
        return is_new

    def _log(self, item: objectsource.SourceObject, error: Exception) -> None:
        # Consumers raise ValueError for content that is invalid.
        if isinstance(error, ValueError):
            LOGGER.warning(
                "The {} {!r} is ignored: {}", self._kind, item.name, error
            )
            return
        LOGGER.opt(exception=error).error(
            "Handling the {} {!r} failed; it is ignored.",
            self._kind,
            item.name,
        )
