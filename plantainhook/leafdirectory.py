"""Controller of the leaf view where leafs register themselves in a store.

It is the only writer of ``Blackboard.leafs`` and of the leafs of the
settings view there. An entry that cannot be read, or that is older than what
is known of its leaf, changes nothing. A leaf that drains or whose entry is
removed gets no new work at once. Entries that lapsed while the store did not
answer come back shortly after it; until then their leafs stay in use.
"""

import dataclasses
import typing
from collections import abc

import trio

from plantainhook import (
    blackboard,
    errors,
    forwardtypes,
    logs,
    objectsource,
    shardmap,
)

LOGGER: typing.Final = logs.part_logger("directory")
# Leafs whose entries lapsed during an outage register again within 2 s.
RETURN_GRACE_S: typing.Final = 2.2
# Removals this soon after an outage may be of entries that lapsed in it.
AFTER_OUTAGE_S: typing.Final = 1.0

ReadLeaf = abc.Callable[[str, object], forwardtypes.LeafEntry]


@dataclasses.dataclass(slots=True)
class Known:
    """Hold the newest entry of a leaf and since when it is known."""

    entry: forwardtypes.LeafEntry
    seen_s: float
    removed_at_s: float | None = None

    def state(self, now_s: float) -> blackboard.LeafState:
        """Return the state that the entry tells."""
        if self.entry.draining:
            return blackboard.LeafState.DRAINING
        if now_s < self.seen_s + self.entry.cold_left_s:
            return blackboard.LeafState.COLD
        return blackboard.LeafState.LIVE


class LeafDirectory:
    """Publish the leafs that are registered."""

    def __init__(
        self, board: blackboard.Blackboard, read_leaf: ReadLeaf
    ) -> None:
        self._board = board
        self._read_leaf = read_leaf
        self._known: dict[str, Known] = {}
        # The order of the newest report of each leaf, also of those gone.
        self._newest: dict[str, tuple[int, int]] = {}
        self._lost = False
        self._returned_s = float("-inf")
        self._wake = trio.Event()

    async def run(self) -> None:
        """Apply what time changes: warm leafs and delayed removals."""
        while True:
            at_s = self._next_change_s()
            self._wake = trio.Event()
            with trio.move_on_at(at_s):
                await self._wake.wait()
            if trio.current_time() >= at_s:
                self._publish()

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Take all entries; those that are absent are removed."""
        for item in listing.objects:
            self._take(item)
        present = {item.name for item in listing.objects}
        for name in self._known.keys() - present:
            self._remove(name)
        self._publish()

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Take changed and removed entries."""
        for change in changes:
            if change.deleted:
                self._remove(change.object.name)
            else:
                self._take(change.object)
        self._publish()

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Note that the store does not answer; what is known stays."""
        self._lost = True

    def on_available(self) -> None:
        """Note that the store answers again."""
        if self._lost:
            self._returned_s = trio.current_time()
            self._lost = False

    def _take(self, item: objectsource.SourceObject) -> None:
        try:
            entry = self._read_leaf(item.name, item.spec)
        except ValueError as error:
            LOGGER.warning("Entry {} names no leaf: {}", item.name, error)
            return
        order = (entry.born_ms, entry.sequence)
        if order < self._newest.get(item.name, order):
            LOGGER.info("Entry {} is older than what is known.", item.name)
            return
        self._newest[item.name] = order
        known = self._known.get(item.name)
        if known is None or known.entry.draining != entry.draining:
            LOGGER.info(
                "Leaf {} of {} at {} {}.",
                item.name,
                entry.info.service,
                entry.info.address,
                "drains" if entry.draining else "is ready",
            )
        self._known[item.name] = Known(entry, trio.current_time())

    def _remove(self, name: str) -> None:
        known = self._known.get(name)
        if known is None or known.removed_at_s is not None:
            return
        now_s = trio.current_time()
        if now_s - self._returned_s < AFTER_OUTAGE_S:
            known.removed_at_s = self._returned_s + RETURN_GRACE_S
            return
        LOGGER.info("Leaf {} left.", name)
        del self._known[name]

    def _next_change_s(self) -> float:
        now_s = trio.current_time()
        times = [
            known.removed_at_s
            for known in self._known.values()
            if known.removed_at_s is not None
        ]
        times += [
            known.seen_s + known.entry.cold_left_s
            for known in self._known.values()
            if known.seen_s + known.entry.cold_left_s > now_s
        ]
        return min(times, default=float("inf"))

    def _publish(self) -> None:
        now_s = trio.current_time()
        for name, known in list(self._known.items()):
            due_s = known.removed_at_s
            if due_s is not None and due_s <= now_s:
                LOGGER.info("Leaf {} did not come back.", name)
                del self._known[name]
        self._board.settings = dataclasses.replace(
            self._board.settings, leafs=self._infos()
        )
        self._board.leafs = {
            name: blackboard.LeafView(known.state(now_s), {}, known.seen_s)
            for name, known in self._known.items()
        }
        self._board.notify(blackboard.Topic.SETTINGS)
        self._board.notify(blackboard.Topic.LEAFS)
        self._wake.set()

    def _infos(self) -> dict[str, shardmap.LeafInfo]:
        """Return the leafs with the connection limits of their services."""
        services = self._board.routes.services
        infos = {}
        for name, known in self._known.items():
            info = known.entry.info
            rules = services.get(info.service)
            if rules is not None:
                info = dataclasses.replace(
                    info, connection_limit_count=rules.connection_limit_count
                )
            infos[name] = info
        return infos

    def on_routes(self) -> None:
        """Take the connection limits of a new route table."""
        self._publish()
