"""Controller of the evacuated data centres.

It receives the evacuations in the platform's store as an
``objectsource.Consumer``. It is the only writer of
``Blackboard.evacuated_data_centres`` and ``Blackboard.returning_since_s``. The
name of an object is the data centre; its content does not matter, so an
unreadable one counts too. While the store is unavailable, the last known
evacuations hold.

Pattern: the store comes back from an older copy and has lost an evacuation.
It stays in force until it is written again, or for
``objectsource.REWRITE_LIMIT_S``.

Pattern: an evacuation is removed, and the leafs may have become cold. If all
daemons used them again at once, they would get their whole load in one moment.
Each daemon treats each leaf as cold for another part of ``RETURN_S``, so the
load rises evenly in that time.
"""

import typing
from collections import abc

import trio

from plantainhook import (
    blackboard,
    errors,
    hashing,
    logs,
    objectsource,
    shardmap,
)

LOGGER: typing.Final = logs.part_logger("evacuations")
# The load of a data centre returns in this time after its evacuation ended.
RETURN_S: typing.Final = 2.0
# Each step rebuilds the views of a daemon, which takes milliseconds of CPU.
RETURN_STEPS_COUNT: typing.Final = 20


class Evacuations:
    """Publish the data centres that are evacuated.

    ``on_change`` is called after a change is published.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        on_change: abc.Callable[[], None],
    ) -> None:
        self._board = board
        self._on_change = on_change
        self._stored: set[str] = set()
        # Evacuations that a restored store has lost, and when they end.
        self._lost_until_s: dict[str, float] = {}
        self._is_restoring = False
        self._is_read = False
        self._wake = trio.Event()

    async def run(self) -> None:
        """End lost evacuations that are not written again in time."""
        while True:
            due_s = min(self._lost_until_s.values(), default=float("inf"))
            self._wake = trio.Event()
            with trio.move_on_at(due_s):
                await self._wake.wait()
            if trio.current_time() >= due_s:
                self._publish()

    def on_restored(self) -> None:
        """Keep the evacuations that the next objects lack."""
        self._is_restoring = True

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Apply all evacuations."""
        self._apply({item.name for item in listing.objects})
        self._publish()

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply evacuations that were written or removed."""
        stored = set(self._stored)
        for change in changes:
            if change.deleted:
                stored.discard(change.object.name)
            else:
                stored.add(change.object.name)
        self._apply(stored)
        self._publish()

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Do nothing: the last known evacuations hold."""

    def on_available(self) -> None:
        """Do nothing: the next listing or changes are applied."""

    def _apply(self, stored: set[str]) -> None:
        """Replace the stored evacuations; keep those that a restore lost."""
        if self._is_restoring:
            until_s = trio.current_time() + objectsource.REWRITE_LIMIT_S
            for name in self._stored - stored:
                LOGGER.warning(
                    "The evacuation of {} is missing since the store came "
                    "back; it stays in force for {:.0f} s at most.",
                    name,
                    objectsource.REWRITE_LIMIT_S,
                )
                self._lost_until_s.setdefault(name, until_s)
            self._is_restoring = False
        for name in stored:
            self._lost_until_s.pop(name, None)
        self._stored = stored
        self._wake.set()

    def _publish(self) -> None:
        """Publish the evacuations in force if they have changed.

        The first ones are published even if there are none.
        """
        now_s = trio.current_time()
        self._lost_until_s = {
            name: until_s
            for name, until_s in self._lost_until_s.items()
            if until_s > now_s
        }
        evacuated = frozenset(self._stored | self._lost_until_s.keys())
        known = self._board.evacuated_data_centres
        if evacuated == known and self._is_read:
            return
        self._is_read = True
        for name in evacuated - known:
            LOGGER.warning("Data centre {} is evacuated.", name)
        returning_s = {
            name: since_s
            for name, since_s in self._board.returning_since_s.items()
            if name not in evacuated
        }
        for name in known - evacuated:
            LOGGER.warning("Data centre {} is no longer evacuated.", name)
            returning_s[name] = now_s
        self._board.evacuated_data_centres = evacuated
        self._board.returning_since_s = returning_s
        self._on_change()


def returned_s(board: blackboard.Blackboard, info: shardmap.LeafInfo) -> float:
    """Return when a leaf has its whole load again after an evacuation.

    It differs by daemon and leaf; it has passed if there was no evacuation.
    """
    since_s = board.returning_since_s.get(info.data_centre)
    if since_s is None:
        return float("-inf")
    step = hashing.bucket(
        f"{board.incarnation} {info.name}", RETURN_STEPS_COUNT
    )
    return since_s + RETURN_S * (step + 1) / RETURN_STEPS_COUNT
