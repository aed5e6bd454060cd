"""Which objects of a copy have changed after a position, without versions.

Peers that are behind need the last state of each changed object, which the
copy has. So the log holds one position for each object, however often it
changes.
"""

import itertools
from collections import abc

from plantainhook import objectsource


class ChangeLog:
    """Store the position of the last change of each object.

    Changes are recorded in the order of their positions. ``start`` is the
    position after which the log is complete.
    """

    start: objectsource.Position

    def __init__(self) -> None:
        self.start = objectsource.NO_POSITION
        # Both are in the order of the positions.
        self._changed: dict[str, objectsource.Position] = {}
        self._removed: dict[str, objectsource.Position] = {}
        # The last position of each era. A peer may have seen more of an era
        # than this copy, before the store came back.
        self._era_ends: dict[int, objectsource.Position] = {}

    @property
    def removed_count(self) -> int:
        """Return the number of removed objects in the log."""
        return len(self._removed)

    def restart(self, position: objectsource.Position) -> None:
        """Forget all changes up to a position."""
        self.start = position
        self._changed.clear()
        self._removed.clear()
        self._era_ends = {position.era: position}

    def record(
        self,
        end: objectsource.Position,
        changed: abc.Iterable[str],
        removed: abc.Iterable[str],
    ) -> None:
        """Record the objects that changed up to a position."""
        self._era_ends[end.era] = end
        for names, log, other in (
            (changed, self._changed, self._removed),
            (removed, self._removed, self._changed),
        ):
            for name in names:
                other.pop(name, None)
                log.pop(name, None)
                log[name] = end

    def forget_removed(self, most_count: int) -> None:
        """Forget removed objects beyond a number, those of long ago first.

        Peers that are behind them get all objects.
        """
        excess_count = max(0, len(self._removed) - most_count)
        for name in list(itertools.islice(self._removed, excess_count)):
            self.start = max(self.start, self._removed.pop(name))

    def reaches(self, position: objectsource.Position) -> bool:
        """Return whether the log has all that came after a position."""
        era_end = self._era_ends.get(position.era)
        return era_end is not None and self.start <= position <= era_end

    def changed_after(self, position: objectsource.Position) -> list[str]:
        """Return the objects that changed after a position and exist."""
        return _later(self._changed, position)

    def removed_after(self, position: objectsource.Position) -> list[str]:
        """Return the objects that were removed after a position."""
        return _later(self._removed, position)


def _later(
    log: dict[str, objectsource.Position], position: objectsource.Position
) -> list[str]:
    later = itertools.takewhile(
        lambda entry: entry[1] > position, reversed(log.items())
    )
    return [name for name, _ in later]
