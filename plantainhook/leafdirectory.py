"""Controller of the leaf view where leafs register themselves in a store.

It receives the entries of one kind of objects as an ``objectsource.Consumer``
and publishes them. In a forwarding daemon it is the only writer of
``Blackboard.leafs`` and of the leafs in the settings view.

An entry that cannot be decoded, or that is older than the latest one of the
same leaf, is ignored. A leaf that drains, that states in a reply that it
leaves, or whose entry is removed gets no new work from then on. Entries
expire in the store while it is unavailable, and their leafs register again
shortly after it has recovered; until then those leafs stay in use.

Pattern: the store comes back from an older copy. Entries that were written
since are missing until they are written again. Entries of leafs that have left
since are back until they expire, so such a leaf is used again only if its
entry is still there after that time.
"""

import dataclasses
import time
import typing
from collections import abc

import trio

from plantainhook import (
    blackboard,
    errors,
    evacuations,
    forwardtypes,
    knownleaf,
    logs,
    objectguard,
    objectsource,
    shardmap,
)

LOGGER: typing.Final = logs.part_logger("directory")
# Leafs whose entries expired in an outage of the store register again within
# 2 s of its end.
REREGISTRATION_GRACE_S: typing.Final = 2.2
# A removal this soon after an outage may be an entry that expired in it.
AFTER_OUTAGE_S: typing.Final = 1.0
# An entry that nobody renews expires this long after the store came back.
RESTORED_EXPIRY_S: typing.Final = 5.0
# A starting daemon publishes no leafs until it has read the evacuations, for
# this long after the first leafs. A store may not have that kind of objects.
EVACUATIONS_WAIT_S: typing.Final = 1.0
# Of so many leafs that have left, late entries are told from new ones.
LEFT_MAX_COUNT: typing.Final = 10_000

ReadLeaf = abc.Callable[[str, object], forwardtypes.LeafEntry]


class LeafDirectory:
    """Publish the leafs that are registered in the store.

    ``read_leaf`` decodes an entry from its name and content; it raises
    ValueError if the entry is invalid. ``wall_s`` returns the time of day, by
    which leafs state when they started. ``on_restart`` is called with the name
    of a leaf that has started again under its name.
    """

    on_restart: abc.Callable[[str], None]

    def __init__(
        self,
        board: blackboard.Blackboard,
        read_leaf: ReadLeaf,
        wall_s: abc.Callable[[], float] = time.time,
    ) -> None:
        self._board = board
        self._wall_s = wall_s
        self._read_leaf = read_leaf
        self._guard = objectguard.ObjectGuard("leaf entry")
        self.on_restart = lambda name: None
        self._known: dict[str, knownleaf.KnownLeaf] = {}
        # The order of the latest entry by leaf, kept after a leaf is removed
        # so that a late entry does not bring it back.
        self._latest_order: dict[str, tuple[int, int]] = {}
        # The leafs that stated in a reply that they leave.
        self._words: dict[str, knownleaf.LeavingWord] = {}
        self._store_unavailable = False
        self._store_recovered_s = float("-inf")
        # Entries of leafs that had left before the store came back, and when
        # they are used if they are still there.
        self._doubtful: dict[str, objectsource.SourceObject] = {}
        self._doubtful_due_s = float("inf")
        self._is_restoring = False
        self._awaits_evacuations = False
        self._evacuations_due_s = float("inf")
        self._wake = trio.Event()

    def await_evacuations(self) -> None:
        """Publish no leafs before the evacuations are known."""
        self._awaits_evacuations = True

    def on_evacuations(self) -> None:
        """Apply the evacuations on the blackboard."""
        self._awaits_evacuations = False
        self._publish()

    async def run(self) -> None:
        """Publish the leafs whenever one has warmed up or must be removed."""
        while True:
            change_s = self._next_change_s()
            self._wake = trio.Event()
            with trio.move_on_at(change_s):
                await self._wake.wait()
            if trio.current_time() >= change_s:
                self._publish()

    def on_restored(self) -> None:
        """Record that the next entries are those of an older copy."""
        LOGGER.info("The store came back from an older copy.")
        self._is_restoring = True
        self._store_unavailable = False
        self._store_recovered_s = trio.current_time()
        self._doubtful.clear()
        self._doubtful_due_s = self._store_recovered_s + RESTORED_EXPIRY_S

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Apply a complete list of entries; remove leafs that are absent."""
        present = {item.name for item in listing.objects}
        for name in (self._known.keys() | self._doubtful.keys()) - present:
            self._remove(name)
        for item in listing.objects:
            self._accept(item)
        self._is_restoring = False
        self._publish()

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply changed and removed entries."""
        for change in changes:
            if change.deleted:
                self._remove(change.object.name)
            else:
                self._accept(change.object)
        self._is_restoring = False
        self._publish()

    def _accept(self, item: objectsource.SourceObject) -> None:
        """Apply an entry, unless its leaf had left and may not be back."""
        if self._doubtful.get(item.name) == item:
            return
        has_left = (
            item.name in self._latest_order and item.name not in self._known
        )
        if self._is_restoring and has_left:
            LOGGER.info(
                "Leaf {} had left; its entry is used if it does not expire.",
                item.name,
            )
            self._doubtful[item.name] = item
            return
        self._doubtful.pop(item.name, None)
        self._apply(item)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Record that the store is unavailable; known leafs stay in use."""
        self._store_unavailable = True

    def on_available(self) -> None:
        """Record the time at which the store became available again."""
        if self._store_unavailable:
            self._store_recovered_s = trio.current_time()
            self._store_unavailable = False

    def on_leaving(self, name: str) -> None:
        """Record that a leaf stated that it leaves, until its next start."""
        known = self._known.get(name)
        if known is None or name in self._words:
            return
        LOGGER.info("Leaf {} states that it leaves.", name)
        self._words[name] = knownleaf.LeavingWord(
            known.entry.born_ms, self._wall_s() * 1000, trio.current_time()
        )
        if known.leaving_since_s is None:
            known.leaving_since_s = trio.current_time()
            self._publish()

    def on_cold(self, name: str, left_s: float) -> None:
        """Record that a leaf stated in a reply how long it remains cold."""
        known = self._known.get(name)
        if (
            known is None
            or knownleaf.cold_rules(self._board.routes, known.entry) is None
        ):
            return
        now_s = trio.current_time()
        was_cold = now_s < known.warm_s()
        known.cold_until_s = now_s + min(left_s, knownleaf.COLD_MAX_S)
        if not was_cold:
            LOGGER.info("Leaf {} is cold for {:.1f} s.", name, left_s)
            self._publish()

    def _cold_until_s(
        self, known: knownleaf.KnownLeaf | None, entry: forwardtypes.LeafEntry
    ) -> float:
        """Return until when a leaf is cold by its replies or its start.

        Pattern: a leaf starts again, and its first entry does not tell that
        it is cold.
        """
        if known is not None and entry.born_ms <= known.entry.born_ms:
            return known.cold_until_s
        rules = knownleaf.cold_rules(self._board.routes, entry)
        if rules is None:
            return float("-inf")
        age_s = max(0.0, self._wall_s() - entry.born_ms / 1000)
        warmup_s = min(rules.warmup_s, knownleaf.COLD_MAX_S)
        return trio.current_time() + warmup_s - age_s

    def _apply(self, item: objectsource.SourceObject) -> None:
        """Apply an entry; one that fails leaves its leaf as it was."""
        self._guard.handle(item, self._apply_entry)

    def _apply_entry(self, item: objectsource.SourceObject) -> None:
        entry = self._read_leaf(item.name, item.spec)
        order = (entry.born_ms, entry.sequence)
        if order < self._latest_order.get(item.name, order):
            LOGGER.info(
                "Ignored entry of leaf {}: older than the latest one.",
                item.name,
            )
            return
        known = self._known.get(item.name)
        applied = knownleaf.KnownLeaf(
            entry,
            trio.current_time(),
            leaving_since_s=self._leaving_since_s(known, entry),
            cold_until_s=self._cold_until_s(known, entry),
        )
        latest_born_ms, _ = self._latest_order.get(item.name, order)
        if entry.born_ms > latest_born_ms:
            self.on_restart(item.name)
        self._latest_order[item.name] = order
        self._known[item.name] = applied
        self._forget_left()
        if known is None or known.entry.draining != entry.draining:
            LOGGER.info(
                "Leaf {} of service {} at {} {}.",
                item.name,
                entry.info.service,
                entry.info.address,
                "drains" if entry.draining else "is ready",
            )

    def _forget_left(self) -> None:
        """Forget the leafs that came first of too many that have left."""
        most_count = len(self._known) + 2 * LEFT_MAX_COUNT
        if len(self._latest_order) <= most_count:
            return
        left = [name for name in self._latest_order if name not in self._known]
        for name in left[:-LEFT_MAX_COUNT]:
            del self._latest_order[name]

    def _leaving_since_s(
        self, known: knownleaf.KnownLeaf | None, entry: forwardtypes.LeafEntry
    ) -> float | None:
        """Return since when a leaf leaves, by its new entry or by its word."""
        now_s = trio.current_time()
        word = self._words.get(entry.info.name)
        if word is not None and word.ends_at(entry.born_ms) <= now_s:
            del self._words[entry.info.name]
            word = None
        if not entry.draining and word is None:
            return None
        if known is None or known.leaving_since_s is None:
            return now_s
        return known.leaving_since_s

    def _end_words(self, now_s: float) -> None:
        """Use leafs again whose word may be that of an earlier start."""
        for name, word in list(self._words.items()):
            known = self._known.get(name)
            if known is None or word.ends_at(known.entry.born_ms) > now_s:
                continue
            del self._words[name]
            if not known.entry.draining:
                known.leaving_since_s = None

    def _remove(self, name: str) -> None:
        self._doubtful.pop(name, None)
        known = self._known.get(name)
        if known is None or known.removal_due_s is not None:
            return
        now_s = trio.current_time()
        if now_s - self._store_recovered_s < AFTER_OUTAGE_S:
            known.removal_due_s = (
                self._store_recovered_s + REREGISTRATION_GRACE_S
            )
            return
        LOGGER.info(
            "Leaf {} removed: its entry is no longer in the store.", name
        )
        del self._known[name]

    def _next_change_s(self) -> float:
        """Return the next time at which the published leafs change.

        A cold leaf has then warmed up, or a removal is due.
        """
        now_s = trio.current_time()
        if self._awaits_evacuations:
            return self._evacuations_due_s
        times = [
            known.removal_due_s
            for known in self._known.values()
            if known.removal_due_s is not None
        ]
        times += [
            word.ends_at(self._known[name].entry.born_ms)
            for name, word in self._words.items()
            if name in self._known
        ]
        if self._doubtful:
            times.append(self._doubtful_due_s)
        times += [
            known.warm_s()
            for known in self._known.values()
            if known.warm_s() > now_s
        ]
        times += [
            returned_s
            for known in self._known.values()
            if (returned_s := self._returned_s(known)) > now_s
        ]
        return min(times, default=float("inf"))

    def _returned_s(self, known: knownleaf.KnownLeaf) -> float:
        return evacuations.returned_s(self._board, known.entry.info)

    def _state(
        self, known: knownleaf.KnownLeaf, now_s: float
    ) -> blackboard.LeafState:
        """Return the state of a leaf by its entry and its data centre."""
        evacuated = self._board.evacuated_data_centres
        if known.entry.info.data_centre in evacuated:
            return blackboard.LeafState.EVACUATED
        state = known.state(now_s)
        is_live = state is blackboard.LeafState.LIVE
        if is_live and now_s < self._returned_s(known):
            return blackboard.LeafState.COLD
        return state

    def _is_waiting(self, now_s: float) -> bool:
        """Return whether the evacuations must be read first."""
        if not self._awaits_evacuations:
            return False
        if self._known:
            self._evacuations_due_s = min(
                self._evacuations_due_s, now_s + EVACUATIONS_WAIT_S
            )
        if now_s < self._evacuations_due_s:
            self._wake.set()
            return True
        LOGGER.warning("The evacuations can't be read; leafs are used.")
        self._awaits_evacuations = False
        return False

    def _publish(self) -> None:
        """Remove leafs whose removal is due and publish all others."""
        now_s = trio.current_time()
        if self._is_waiting(now_s):
            return
        self._end_words(now_s)
        if now_s >= self._doubtful_due_s:
            for item in self._doubtful.values():
                self._apply(item)
            self._doubtful.clear()
            self._doubtful_due_s = float("inf")
        for name, known in list(self._known.items()):
            removal_s = known.removal_due_s
            if removal_s is not None and removal_s <= now_s:
                LOGGER.info(
                    "Leaf {} removed: it did not register again.", name
                )
                del self._known[name]
        self._board.settings = dataclasses.replace(
            self._board.settings, leafs=self._leaf_infos()
        )
        self._board.leafs = {
            name: blackboard.LeafView(
                self._state(known, now_s),
                {},
                known.seen_s,
                known.leaving_since_s,
            )
            for name, known in self._known.items()
        }
        self._board.notify(blackboard.Topic.SETTINGS)
        self._board.notify(blackboard.Topic.LEAFS)
        self._wake.set()

    def _leaf_infos(self) -> dict[str, shardmap.LeafInfo]:
        """Return the leafs, with the connection limits of their services."""
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
        """Apply the connection limits of a new route table."""
        self._publish()
