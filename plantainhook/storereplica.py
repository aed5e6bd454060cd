"""Copy of the store's objects of one kind, updated by the store and by peers.

Objects are kept as text, of what their consumers read (``specreader``). They
are decoded when they arrive, for the consumer, which keeps what it needs.

Batches of changes arrive from several sources, each in the order of the
store's positions. A batch is applied if it begins at or before the position
of the copy and ends after it. It is applied as a whole, so that a change that
the copy already has cannot undo a later one. The copy passes every batch to
its consumer and keeps the recent ones for peers.

Pattern: the store comes back from an older copy. The next listing has a higher
era and leads to the state of that copy. What differs is kept as a batch, so
that peers which were up to date before get the difference and not all objects.
"""

import collections
import typing

import msgspec
import trio

from plantainhook import errors, logs, objectsource, specreader, storeupdate

LOGGER: typing.Final = logs.part_logger("store")
# Number of recent batches; a peer whose position is older gets all objects.
LOG_MAX_COUNT: typing.Final = 500


class Batch(typing.NamedTuple):
    """Represent the changes after the previous batch up to a position."""

    end: objectsource.Position
    changes: list[storeupdate.StoreItem]


class StoreReplica:
    """Store the objects of one kind at a position.

    Implements ``objectsource.Replica``. ``changed`` is set and replaced at
    each new position. ``last_change`` is the position of the last known
    change; the position of the copy rises without a change too.
    ``confirmed_s`` is when the store, or a peer that it answers, replied last.
    ``is_vital`` is False for a kind without which a daemon is up to date.
    """

    kind: str
    is_vital: bool
    position: objectsource.Position
    last_change: objectsource.Position
    confirmed_s: float

    def __init__(
        self,
        kind: str,
        consumer: objectsource.Consumer,
        is_vital: bool = True,
        spec_reader: specreader.SpecReader = specreader.ANY,
    ) -> None:
        self.kind = kind
        self.is_vital = is_vital
        self.position = objectsource.NO_POSITION
        self.last_change = objectsource.NO_POSITION
        self.confirmed_s = float("-inf")
        self.changed = trio.Event()
        self._consumer = consumer
        self._spec_reader = spec_reader
        self._objects: dict[str, storeupdate.StoreItem] = {}
        self._log: collections.deque[Batch] = collections.deque()
        # The position after which the log is complete.
        self._log_start = objectsource.NO_POSITION
        # Packed updates to the current position, by the position of the peer.
        self._packed: dict[objectsource.Position, bytes] = {}

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all objects, unless the listing has a lower position."""
        if self.position > listing.position:
            LOGGER.warning(
                "Ignored a listing of {} at {}: the copy is at {}.",
                self.kind,
                listing.position,
                self.position,
            )
            return
        is_restored = self._is_restored_at(listing.position)
        items = {
            item.name: storeupdate.build_item(item, deleted=False)
            for item in listing.objects
        }
        if is_restored:
            self._append(Batch(listing.position, self._changes_to(items)))
        else:
            self._log.clear()
            self._log_start = listing.position
        self._objects = items
        last_revision = max(
            (item.revision for item in listing.objects), default=0
        )
        self.last_change = objectsource.Position(
            listing.position.era, last_revision
        )
        self._advance(listing.position)
        if is_restored:
            self._consumer.on_restored()
        self._consumer.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        position: objectsource.Position,
        after: objectsource.Position,
    ) -> None:
        """Apply the changes after one position up to another.

        Changes that the copy already has are ignored, and so are changes that
        begin after its position, because those in between would be missing.
        Changes that lead to another era must begin exactly at the position:
        they don't undo what came after the one at which they begin.
        """
        if not after <= self.position < position:
            return
        is_restored = self._is_restored_at(position)
        if is_restored and after != self.position:
            return
        items = [
            storeupdate.build_item(change.object, change.deleted)
            for change in changes
        ]
        for item in items:
            if item.deleted:
                self._objects.pop(item.name, None)
            else:
                self._objects[item.name] = item
        if changes or is_restored:
            self.last_change = position
        self._append(Batch(position, items))
        self._advance(position)
        if is_restored:
            self._consumer.on_restored()
        if changes or is_restored:
            self._consumer.on_changes(changes)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Notify the consumer that the store does not answer."""
        self._consumer.on_unavailable(error)

    def on_available(self) -> None:
        """Notify the consumer that the store answers."""
        self.confirmed_s = trio.current_time()
        self._consumer.on_available()

    def update_after(
        self, position: objectsource.Position
    ) -> storeupdate.StoreUpdate | None:
        """Return the update for a peer at a position.

        Returns None if the peer's position is not lower than the copy's.
        """
        if position >= self.position:
            return None
        whole = not self._is_in_log(position)
        if whole:
            items = list(self._objects.values())
        else:
            last = {
                item.name: item
                for batch in self._log
                if batch.end > position
                for item in batch.changes
            }
            items = list(last.values())
        era, revision = self.position
        return storeupdate.StoreUpdate(self.kind, revision, whole, items, era)

    def packed_update_after(
        self, position: objectsource.Position
    ) -> bytes | None:
        """Return the packed update for a peer at a position, or None.

        Most peers are at the same few positions, so packed updates are cached
        until the copy changes.
        """
        packed = self._packed.get(position)
        if packed is None:
            update = self.update_after(position)
            if update is None:
                return None
            packed = self._packed[position] = storeupdate.pack_update(update)
        return packed

    def apply_update(
        self, update: storeupdate.StoreUpdate, after: objectsource.Position
    ) -> None:
        """Apply the reply of a peer to a pull.

        ``after`` is the position that the pull stated. Raises
        msgspec.DecodeError if the spec of an item is not JSON.
        """
        objects = [
            objectsource.SourceObject(
                item.name,
                item.revision,
                self._spec_reader.read(item.spec),
            )
            for item in update.items
        ]
        era = after.era if update.era is None else update.era
        position = objectsource.Position(era, update.revision)
        if update.whole:
            self.on_listing(objectsource.Listing(objects, position))
            return
        changes = [
            objectsource.Change(source_object, item.deleted)
            for source_object, item in zip(objects, update.items, strict=True)
        ]
        self.on_changes(changes, position, after)

    def _is_restored_at(self, position: objectsource.Position) -> bool:
        """Return whether the store came back before a position."""
        has_objects = self.position > objectsource.NO_POSITION
        return has_objects and self.position.era < position.era

    def _changes_to(
        self, objects: dict[str, storeupdate.StoreItem]
    ) -> list[storeupdate.StoreItem]:
        """Return the changes that lead from the copy to other objects."""
        changes = [
            msgspec.structs.replace(item, deleted=True)
            for name, item in self._objects.items()
            if name not in objects
        ]
        for item in objects.values():
            known = self._objects.get(item.name)
            if known is None or known.spec != item.spec:
                changes.append(item)
        return changes

    def _append(self, batch: Batch) -> None:
        self._log.append(batch)
        if len(self._log) > LOG_MAX_COUNT:
            self._log_start = self._log.popleft().end

    def _is_in_log(self, position: objectsource.Position) -> bool:
        """Return whether the log has all that came after a position.

        A peer may have seen more of an era than this copy, before the store
        came back. The log does not undo that.
        """
        ends = [self._log_start, *(batch.end for batch in self._log)]
        seen = [end for end in ends if end.era == position.era]
        return self._log_start <= position and bool(
            seen and position <= seen[-1]
        )

    def _advance(self, position: objectsource.Position) -> None:
        """Set the position and wake those who wait for a change."""
        self.position = position
        self._packed.clear()
        self.changed.set()
        self.changed = trio.Event()
